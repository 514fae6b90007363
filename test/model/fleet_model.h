#ifndef TEST_MODEL_FLEET_MODEL_H
#define TEST_MODEL_FLEET_MODEL_H

/**
 * DOC: a few homes and backend servers in memory, with simulated time
 *
 * Each home has its own routing state and runs the real decisions on health.
 * Backend servers, callers and the links between homes are small fakes driven
 * by one seeded source of random numbers. Tests and the detection measurement
 * use it; there is no thread and no clock.
 */

#include "core/state.h"

#define MODEL_HOMES_MAX 8
#define MODEL_BACKENDS_MAX 32
#define MODEL_FAULTS_MAX 16
#define MODEL_ALL UINT32_MAX
#define MODEL_NEVER_US UINT64_MAX

/**
 * enum model_fault_kind - what goes wrong
 * @MODEL_FAIL: a backend server answers a part of its work with an error
 * @MODEL_SLOW: a backend server takes a multiple of the time
 * @MODEL_HANG: a backend server never answers a part of its work
 * @MODEL_SHED: a backend server sheds a part of its work
 * @MODEL_UNREACHABLE: a home cannot connect to a backend server, or to all
 * @MODEL_PARTITION: homes of a mask and the others do not hear each other
 * @MODEL_RECEIVE_LOSS: a home hears no other home, but is heard
 * @MODEL_PAUSE: a home's process stands still
 * @MODEL_COLD: a backend server is slow and its load report says that it is
 *	cold
 * @MODEL_DRAIN: a backend server's answers and load report say that it drains
 */
enum model_fault_kind {
	MODEL_FAIL,
	MODEL_SLOW,
	MODEL_HANG,
	MODEL_SHED,
	MODEL_UNREACHABLE,
	MODEL_PARTITION,
	MODEL_RECEIVE_LOSS,
	MODEL_PAUSE,
	MODEL_COLD,
	MODEL_DRAIN,
};

/**
 * struct model_fault - one fault
 * @kind: what goes wrong, and which member of the union holds
 * @from_us: when it begins
 * @until_us: when it ends
 * @on_us: with @off_us, it comes and goes; 0 for all the time
 * @off_us: see @on_us
 * @backend: whose, MODEL_ALL for all
 * @home: whose, with MODEL_UNREACHABLE, MODEL_RECEIVE_LOSS and MODEL_PAUSE
 * @permille: part of the work, with MODEL_FAIL, MODEL_HANG and MODEL_SHED
 * @factor: with MODEL_SLOW and MODEL_COLD
 * @home_mask: one side, with MODEL_PARTITION
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
 * enum model_ejector - who decides on ejections
 * @MODEL_EJECT_NONE: nobody, the baseline without ejection
 * @MODEL_EJECT_CONSECUTIVE: each home alone, after some failures in a row, for a
 *	fixed time and without a floor
 * @MODEL_EJECT_HEALTH: the decisions under test
 */
enum model_ejector {
	MODEL_EJECT_NONE,
	MODEL_EJECT_CONSECUTIVE,
	MODEL_EJECT_HEALTH,
};

/**
 * struct model_config - what is run
 * @seed: of all random numbers
 * @ejector: who decides on ejections
 * @homes: home set
 * @domains: failure domains of homes and backend servers
 * @backends: backend servers
 * @slots: of each backend server
 * @floor_percent: healthy floor
 * @requests_per_s: offered for each backend server, by all homes together
 * @typical_us: mean time of ordinary work
 * @straggler_permille: part of the work that takes @straggler_factor times
 * @straggler_factor: see there
 * @error_permille: errors of every backend server
 * @digest_delay_us: of messages between homes
 * @run_us: simulated time
 * @faults: faults
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
 * struct model_result - what happened
 * @ejections: by backend server, all homes
 * @avoidances: by backend server, all homes
 * @withheld: by backend server, all homes
 * @no_slots_us: by home and backend server, when it first got no work after
 *	the first fault began, MODEL_NEVER_US for never
 * @whole_us: by home and backend server, when it last came to full service
 * @last_work_us: by home and backend server, when work was last begun
 * @requests: begun
 * @refused_requests: no slot was open
 * @failed_requests: errors and timeouts that callers saw
 * @least_slots: least capacity that no home had taken out, drains left out
 * @breach_us: time that ejections held it below the floor
 * @longest_breach_us: longest of these spans
 * @digest_entries: sent by all homes
 * @digests: sent by all homes
 * @self_isolated_us: by home, when it first saw itself cut
 */
struct model_result {
	uint32_t ejections[MODEL_BACKENDS_MAX];
	uint32_t avoidances[MODEL_BACKENDS_MAX];
	uint32_t withheld[MODEL_BACKENDS_MAX];
	uint64_t no_slots_us[MODEL_HOMES_MAX][MODEL_BACKENDS_MAX];
	uint64_t whole_us[MODEL_HOMES_MAX][MODEL_BACKENDS_MAX];
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
 * model_run() - run a fleet
 * @config: what to run
 * @result: filled
 */
void model_run(const struct model_config *config, struct model_result *result);

/**
 * model_ejections() - all ejections in a result
 * @result: the result
 *
 * Return: the sum over backend servers.
 */
uint32_t model_ejections(const struct model_result *result);

#endif
