#ifndef BENCH_CONTROL_MODEL_H
#define BENCH_CONTROL_MODEL_H

/**
 * DOC: cost of the control messages of simulated fleets
 *
 * Runs the decisions and the message encoding of the product in one thread,
 * with simulated time and without sockets.
 */

#include "core/units.h"

/**
 * struct control_plan - sizes of a simulated fleet
 * @instances: number of instances
 * @services: number of services, each with a document in force
 * @backends: backend servers of each service
 * @busy: every home runs requests of all services that it is a home of
 * @seed: seed of the random numbers; instance i gets this plus i
 */
struct control_plan {
	uint32_t instances;
	uint32_t services;
	uint32_t backends;
	bool busy;
	uint32_t seed;
};

/**
 * struct control_cost - average cost of an instance per second
 * @datagrams_per_s: datagrams sent
 * @bytes_per_s: bytes of RPC calls sent, without IP and UDP headers
 * @cpu_us_per_s: CPU time for ticks and received datagrams, including encoding
 *	and decoding
 */
struct control_cost {
	double datagrams_per_s;
	double bytes_per_s;
	double cpu_us_per_s;
};

/**
 * struct state_cost - cost of the routing state of an instance
 * @state_bytes: heap memory
 * @tick_us: average CPU time of a tick
 * @list_us: CPU time to apply a changed list of instances
 */
struct state_cost {
	uint64_t state_bytes;
	double tick_us;
	double list_us;
};

/**
 * control_model_run() - measure the control messages of a whole fleet
 * @plan: sizes of the fleet
 *
 * Return: average over all instances and 10 s of simulated time, after 30 s to
 * settle.
 */
struct control_cost control_model_run(const struct control_plan *plan);

/**
 * control_model_state() - measure the routing state of a single instance
 * @plan: sizes of the fleet that the instance belongs to
 *
 * Return: cost of the instance.
 */
struct state_cost control_model_state(const struct control_plan *plan);

#endif
