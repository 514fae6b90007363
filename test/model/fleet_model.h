#ifndef TEST_MODEL_FLEET_MODEL_H
#define TEST_MODEL_FLEET_MODEL_H

/**
 * DOC: simulation of the homes of one service and its backend servers
 *
 * Each home has its own routing state and runs the health decisions of the
 * product. Backend servers, callers and the links between homes are simple
 * models that draw from one seeded source of random numbers. Time is simulated,
 * and everything runs in the calling thread. Unit tests and the detection
 * measurement use it.
 */

#include "core/state.h"

#define MODEL_HOMES_MAX 8
#define MODEL_BACKENDS_MAX 32
#define MODEL_FAULTS_MAX 16
/* All backend servers or homes; in a query, any of them. */
#define MODEL_ALL UINT32_MAX
#define MODEL_NEVER_US UINT64_MAX

/**
 * enum model_fault_kind - kind of fault
 * @MODEL_FAIL: a backend server answers a part of its requests with an error
 * @MODEL_SLOW: a backend server takes a multiple of the usual service time
 * @MODEL_HANG: a backend server never answers a part of its requests
 * @MODEL_SHED: a backend server sheds a part of its requests
 * @MODEL_UNREACHABLE: a home cannot connect to a backend server, or to any
 * @MODEL_PARTITION: no digests pass between the homes of a mask and the others
 * @MODEL_RECEIVE_LOSS: a home receives no digests, but the others receive its
 *	own
 * @MODEL_STALL: the process of a home does not run
 * @MODEL_COLD: a backend server is slow, and its probe results say that it is
 *	cold
 * @MODEL_DRAIN: answers and probe results of a backend server say that it
 *	drains
 */
enum model_fault_kind {
	MODEL_FAIL,
	MODEL_SLOW,
	MODEL_HANG,
	MODEL_SHED,
	MODEL_UNREACHABLE,
	MODEL_PARTITION,
	MODEL_RECEIVE_LOSS,
	MODEL_STALL,
	MODEL_COLD,
	MODEL_DRAIN,
};

/**
 * struct model_fault - a fault to inject
 * @kind: kind of fault; selects the member of the union
 * @from_us: simulated time when it begins
 * @until_us: simulated time when it ends
 * @on_us: with @off_us, the fault is present for @on_us and absent for @off_us
 *	in turn; 0 if it is present all the time
 * @off_us: see @on_us
 * @backend: index of the backend server, or MODEL_ALL
 * @home: index of the home, or MODEL_ALL; used by MODEL_UNREACHABLE,
 *	MODEL_RECEIVE_LOSS and MODEL_STALL
 * @permille: part of the requests, with MODEL_FAIL, MODEL_HANG and MODEL_SHED
 * @factor: multiple of the service time, with MODEL_SLOW and MODEL_COLD
 * @home_mask: homes on one side, bit i for home i, with MODEL_PARTITION
 */
struct model_fault {
	enum model_fault_kind kind;
	uint64_t from_us;
	uint64_t until_us;
	uint64_t on_us;
	uint64_t off_us;
	uint32_t backend;
	uint32_t home;
	union {
		uint32_t permille;
		uint32_t factor;
		uint32_t home_mask;
	};
};

/**
 * enum model_ejector - method that decides on ejections
 * @MODEL_EJECT_NONE: no ejections, as a baseline
 * @MODEL_EJECT_CONSECUTIVE: each home by itself, after a number of consecutive
 *	failures, for a fixed time and without a healthy floor
 * @MODEL_EJECT_HEALTH: the health decisions under test
 */
enum model_ejector {
	MODEL_EJECT_NONE,
	MODEL_EJECT_CONSECUTIVE,
	MODEL_EJECT_HEALTH,
};

/**
 * struct model_config - parameters of a run
 * @seed: seed of all random numbers
 * @ejector: method that decides on ejections
 * @homes: size of the home set
 * @domains: failure domains of homes and backend servers
 * @backends: number of backend servers
 * @slots: slots of each backend server
 * @floor_percent: healthy floor, in percent of all slots
 * @requests_per_s: requests offered per backend server, by all homes together
 * @typical_us: mean service time of a request that is no straggler
 * @straggler_permille: part of the requests whose service time is multiplied
 *	by @straggler_factor
 * @straggler_factor: see @straggler_permille
 * @error_permille: part of the requests that every backend server answers with
 *	an error, without a fault
 * @digest_delay_us: time that a digest takes from one home to another
 * @run_us: simulated time at which the run ends
 * @faults: faults to inject
 * @fault_count: used entries of @faults
 */
struct model_config {
	uint32_t seed;
	enum model_ejector ejector;
	uint32_t homes;
	uint32_t domains;
	uint32_t backends;
	uint32_t slots;
	uint32_t floor_percent;
	uint32_t requests_per_s;
	uint64_t typical_us;
	uint32_t straggler_permille;
	uint32_t straggler_factor;
	uint32_t error_permille;
	uint64_t digest_delay_us;
	uint64_t run_us;
	struct model_fault faults[MODEL_FAULTS_MAX];
	uint32_t fault_count;
};

/**
 * struct model_result - results of a run
 * @ejections: ejections by backend server, sum of all homes
 * @avoidances: paths avoided by backend server, sum of all homes
 * @withheld: withheld ejections by backend server, sum of all homes
 * @no_slots_us: time by home and backend server when the home first had no open
 *	slots there after faults[0] began, MODEL_NEVER_US for never
 * @readmitted_us: time by home and backend server of the last readmission to
 *	full service, 0 for never
 * @last_work_us: time by home and backend server when the home last began a
 *	request there, 0 for never
 * @requests: requests begun
 * @refused_requests: requests refused because no slot was open or the home ran
 *	too many for the simulation
 * @failed_requests: requests that ended with an error or a timeout for the
 *	caller
 * @least_slots: least number of slots at any time on backend servers that were
 *	neither draining nor ejected by any home
 * @breach_us: time during which ejections held this number below the healthy
 *	floor
 * @longest_breach_us: longest continuous period of @breach_us
 * @digest_entries: entries of all digests sent by all homes
 * @digests: digests sent by all homes, one for each receiver
 * @self_isolated_us: time by home when it first considered itself isolated,
 *	MODEL_NEVER_US for never
 */
struct model_result {
	uint32_t ejections[MODEL_BACKENDS_MAX];
	uint32_t avoidances[MODEL_BACKENDS_MAX];
	uint32_t withheld[MODEL_BACKENDS_MAX];
	uint64_t no_slots_us[MODEL_HOMES_MAX][MODEL_BACKENDS_MAX];
	uint64_t readmitted_us[MODEL_HOMES_MAX][MODEL_BACKENDS_MAX];
	uint64_t last_work_us[MODEL_HOMES_MAX][MODEL_BACKENDS_MAX];
	uint64_t requests;
	uint64_t refused_requests;
	uint64_t failed_requests;
	uint32_t least_slots;
	uint64_t breach_us;
	uint64_t longest_breach_us;
	uint64_t digest_entries;
	uint64_t digests;
	uint64_t self_isolated_us[MODEL_HOMES_MAX];
};

/**
 * model_run() - run a simulation
 * @config: parameters
 * @result: results, overwritten
 */
void model_run(const struct model_config *config, struct model_result *result);

/**
 * model_ejections() - number of ejections of a run
 * @result: results of the run
 *
 * Return: sum over all backend servers and homes.
 */
uint32_t model_ejections(const struct model_result *result);

#endif
