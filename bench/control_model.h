#ifndef BENCH_CONTROL_MODEL_H
#define BENCH_CONTROL_MODEL_H

/**
 * DOC: control messages of fleets in memory
 *
 * Real decisions and the real encoding, without threads, sockets or a clock.
 */

#include "core/units.h"

/**
 * struct control_plan - sizes
 * @instances: how many
 * @services: documents in force
 * @backends: of each service
 * @busy: every home works on requests of every service it serves
 * @seed: of all random numbers
 */
struct control_plan {
	uint32_t instances;
	uint32_t services;
	uint32_t backends;
	bool busy;
	uint32_t seed;
};

/**
 * struct control_figures - what one instance costs in a second, on average
 * @datagrams: sent
 * @bytes: sent, as RPC calls without IP and UDP headers
 * @cpu_us: decisions on ticks and datagrams, encoding and decoding
 */
struct control_figures {
	double datagrams;
	double bytes;
	double cpu_us;
};

/**
 * struct state_figures - what one instance's routing state costs
 * @state_bytes: heap
 * @tick_us: CPU time of one tick
 * @list_us: CPU time of a changed list of instances
 */
struct state_figures {
	uint64_t state_bytes;
	double tick_us;
	double list_us;
};

/**
 * control_model_run() - let a fleet run for simulated time
 * @plan: sizes
 *
 * Return: the figures.
 */
struct control_figures control_model_run(const struct control_plan *plan);

/**
 * control_model_state() - cost of one instance among many
 * @plan: sizes
 *
 * Return: the figures.
 */
struct state_figures control_model_state(const struct control_plan *plan);

#endif
