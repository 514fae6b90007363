/*
 * Detection, floor and readmission with several homes in one process and
 * simulated time. They guard against a home that ejects a healthy backend
 * server, keeps using an unhealthy one, or ejects below the floor because the
 * homes know different things. Each row prints its seed; bounds are the stated
 * targets.
 */
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "model/fleet_model.h"
}

namespace
{

const uint64_t ONSET_US = 20 * US_PER_S;
const uint64_t DETECTION_MAX_US = 3 * US_PER_S;
const uint64_t TEN_MINUTES_US = 600 * US_PER_S;

struct model_config base_config(uint32_t seed)
{
	struct model_config config = {};

	config.seed = seed;
	config.ejector = MODEL_EJECT_HEALTH;
	config.homes = 3;
	config.domains = 3;
	config.backends = 10;
	config.slots = 6;
	config.floor_percent = 60;
	config.requests_per_s = 20;
	config.typical_us = 50 * US_PER_MS;
	config.digest_delay_us = 5 * US_PER_MS;
	config.run_us = ONSET_US + 10 * US_PER_S;
	return config;
}

/* @amount: permille of the requests or factor of the service time, by @kind. */
struct model_fault make_fault(enum model_fault_kind kind, uint32_t backend,
			      uint32_t amount)
{
	struct model_fault fault = {};

	fault.kind = kind;
	fault.from_us = ONSET_US;
	fault.until_us = MODEL_NEVER_US;
	fault.backend = backend;
	fault.home = MODEL_ALL;
	fault.permille = amount;
	return fault;
}

struct model_fault make_home_fault(enum model_fault_kind kind, uint32_t home,
				   uint32_t backend)
{
	struct model_fault fault = make_fault(kind, backend, 0);

	fault.home = home;
	return fault;
}

void add_fault(struct model_config *config, struct model_fault fault)
{
	config->faults[config->fault_count++] = fault;
}

/*
 * A backend server that partly fails or is slow gets no requests at any home.
 */

struct fault_case {
	const char *name;
	enum model_fault_kind kind;
	uint32_t amount; /* see make_fault() */
	uint32_t homes;
	uint32_t domains;
	uint32_t backends;
	uint32_t slots;
};

const struct fault_case fault_cases[] = {
	{ "fails 30 %", MODEL_FAIL, 300, 3, 3, 10, 6 },
	{ "fails all", MODEL_FAIL, 1000, 3, 3, 10, 6 },
	{ "3x slow", MODEL_SLOW, 3, 3, 3, 10, 6 },
	{ "10x slow", MODEL_SLOW, 10, 3, 3, 10, 6 },
	{ "fails 30 %, one home", MODEL_FAIL, 300, 1, 1, 10, 6 },
	{ "fails 30 %, two homes in one domain", MODEL_FAIL, 300, 2, 1, 10, 6 },
	{ "fails 30 %, four domains", MODEL_FAIL, 300, 4, 4, 15, 3 },
	{ "fails 30 %, six homes", MODEL_FAIL, 300, 6, 3, 20, 6 },
};

TEST(HealthFleetTest, EjectsFaultyBackend)
{
	for (const auto &c : fault_cases) {
		for (uint32_t seed = 1; seed <= 5; seed++) {
			SCOPED_TRACE(std::string(c.name) + ", seed " +
				     std::to_string(seed));
			struct model_config config = base_config(seed);
			struct model_result result;

			config.homes = c.homes;
			config.domains = c.domains;
			config.backends = c.backends;
			config.slots = c.slots;
			add_fault(&config, make_fault(c.kind, 4, c.amount));
			model_run(&config, &result);
			for (uint32_t i = 0; i < c.homes; i++)
				EXPECT_LE(result.no_slots_us[i][4],
					  ONSET_US + DETECTION_MAX_US)
					<< "home " << i;
			EXPECT_EQ(model_ejections(&result),
				  result.ejections[4]);
			EXPECT_EQ(result.breach_us, 0u);
		}
	}
}

/* No healthy backend server is ejected within ten minutes. */

struct healthy_case {
	const char *name;
	uint32_t straggler_permille;
	uint32_t error_permille;
	std::vector<struct model_fault> faults;
};

struct model_fault periodic(struct model_fault fault, uint64_t on_us,
			    uint64_t off_us)
{
	fault.on_us = on_us;
	fault.off_us = off_us;
	return fault;
}

const struct healthy_case healthy_cases[] = {
	{ "stragglers", 20, 0, {} },
	{ "stragglers and errors at all backend servers", 20, 5, {} },
	{ "one backend server sheds half, another most requests",
	  20,
	  0,
	  { make_fault(MODEL_SHED, 2, 500), make_fault(MODEL_SHED, 3, 900) } },
	{ "two backend servers are periodically cold",
	  20,
	  0,
	  { periodic(make_fault(MODEL_COLD, 1, 3), 8 * US_PER_S, 52 * US_PER_S),
	    periodic(make_fault(MODEL_COLD, 6, 3), 8 * US_PER_S,
		     31 * US_PER_S) } },
	{ "one home cannot reach one backend server",
	  20,
	  1,
	  { make_home_fault(MODEL_UNREACHABLE, 0, 4) } },
	{ "one home cannot reach any, periodically",
	  20,
	  1,
	  { periodic(make_home_fault(MODEL_UNREACHABLE, 1, MODEL_ALL),
		     20 * US_PER_S, 40 * US_PER_S) } },
	{ "one home receives no digests, periodically",
	  20,
	  1,
	  { periodic(make_home_fault(MODEL_RECEIVE_LOSS, 1, MODEL_ALL),
		     20 * US_PER_S, 40 * US_PER_S) } },
	{ "one home's process is paused, periodically",
	  20,
	  1,
	  { periodic(make_home_fault(MODEL_STALL, 2, MODEL_ALL), 10 * US_PER_S,
		     30 * US_PER_S) } },
};

TEST(HealthFleetTest, HealthyIsNotEjected)
{
	for (const auto &c : healthy_cases) {
		for (uint32_t seed = 1; seed <= 1; seed++) {
			SCOPED_TRACE(std::string(c.name) + ", seed " +
				     std::to_string(seed));
			struct model_config config = base_config(seed);
			struct model_result result;

			config.run_us = ONSET_US + TEN_MINUTES_US;
			config.straggler_permille = c.straggler_permille;
			config.straggler_factor = 30;
			config.error_permille = c.error_permille;
			for (const auto &fault : c.faults)
				add_fault(&config, fault);
			model_run(&config, &result);
			EXPECT_EQ(model_ejections(&result), 0u);
		}
	}
}

/*
 * The ejections of all homes together keep the floor, except for a limited time
 * (longest_breach_us). A minimum of backend servers is ejected all the same.
 */

struct floor_case {
	const char *name;
	uint32_t homes;
	uint32_t floor_percent;
	uint64_t digest_delay_us;
	uint64_t longest_breach_us;
	uint32_t ejected_min; /* backend servers that any home ejects */
	std::vector<struct model_fault> faults;
};

/*
 * A draining backend server must get no request after this time, so all homes
 * know of the drain by then. Until then the floor may be breached.
 */
const uint64_t DRAIN_NOTICE_MAX_US = 2 * US_PER_S;

struct model_fault delayed(struct model_fault fault, uint64_t after_us)
{
	fault.from_us += after_us;
	return fault;
}

struct model_fault make_partition(uint32_t home_mask)
{
	struct model_fault fault = make_fault(MODEL_PARTITION, MODEL_ALL, 0);

	fault.home_mask = home_mask;
	return fault;
}

const struct floor_case floor_cases[] = {
	{ "six unhealthy at once, floor allows four ejections",
	  3,
	  60,
	  5000,
	  0,
	  3,
	  { make_fault(MODEL_FAIL, 0, 500), make_fault(MODEL_FAIL, 1, 500),
	    make_fault(MODEL_FAIL, 2, 500), make_fault(MODEL_FAIL, 3, 500),
	    make_fault(MODEL_FAIL, 4, 500), make_fault(MODEL_FAIL, 5, 500) } },
	{ "six unhealthy at once, late digests",
	  3,
	  60,
	  900000,
	  0,
	  1,
	  { make_fault(MODEL_FAIL, 0, 500), make_fault(MODEL_FAIL, 1, 500),
	    make_fault(MODEL_FAIL, 2, 500), make_fault(MODEL_FAIL, 3, 500),
	    make_fault(MODEL_FAIL, 4, 500), make_fault(MODEL_FAIL, 5, 500) } },
	{ "partition, failed paths to other backend servers on each side",
	  4,
	  80,
	  5000,
	  0,
	  1,
	  { make_partition(3), make_home_fault(MODEL_UNREACHABLE, 0, 0),
	    make_home_fault(MODEL_UNREACHABLE, 1, 0),
	    make_home_fault(MODEL_UNREACHABLE, 0, 1),
	    make_home_fault(MODEL_UNREACHABLE, 1, 1),
	    make_home_fault(MODEL_UNREACHABLE, 2, 2),
	    make_home_fault(MODEL_UNREACHABLE, 3, 2),
	    make_home_fault(MODEL_UNREACHABLE, 2, 3),
	    make_home_fault(MODEL_UNREACHABLE, 3, 3) } },
	{ "partition after ejections, then more fail",
	  4,
	  60,
	  5000,
	  0,
	  2,
	  { make_fault(MODEL_FAIL, 0, 500), make_fault(MODEL_FAIL, 1, 500),
	    delayed(make_partition(1), 10 * US_PER_S),
	    delayed(make_fault(MODEL_FAIL, 2, 500), 15 * US_PER_S),
	    delayed(make_fault(MODEL_FAIL, 3, 500), 15 * US_PER_S),
	    delayed(make_fault(MODEL_FAIL, 4, 500), 15 * US_PER_S) } },
	{ "floor allows no ejection",
	  3,
	  100,
	  5000,
	  0,
	  0,
	  { make_fault(MODEL_FAIL, 0, 1000) } },
	{ "drains on top of ejections",
	  3,
	  60,
	  5000,
	  DRAIN_NOTICE_MAX_US,
	  2,
	  { make_fault(MODEL_FAIL, 0, 500), make_fault(MODEL_FAIL, 1, 500),
	    make_fault(MODEL_FAIL, 2, 500),
	    delayed(make_fault(MODEL_DRAIN, 8, 0), 10 * US_PER_S),
	    delayed(make_fault(MODEL_DRAIN, 9, 0), 10 * US_PER_S) } },
};

TEST(HealthFleetTest, FloorHolds)
{
	for (const auto &c : floor_cases) {
		for (uint32_t seed = 1; seed <= 5; seed++) {
			SCOPED_TRACE(std::string(c.name) + ", seed " +
				     std::to_string(seed));
			struct model_config config = base_config(seed);
			struct model_result result;
			uint32_t ejected = 0;

			config.homes = c.homes;
			config.floor_percent = c.floor_percent;
			config.digest_delay_us = c.digest_delay_us;
			config.run_us = ONSET_US + 40 * US_PER_S;
			for (const auto &fault : c.faults)
				add_fault(&config, fault);
			model_run(&config, &result);
			EXPECT_LE(result.longest_breach_us,
				  c.longest_breach_us);
			for (uint32_t i = 0; i < MODEL_BACKENDS_MAX; i++)
				ejected += result.ejections[i] > 0;
			EXPECT_GE(ejected, c.ejected_min);
		}
	}
}

/* A backend server is readmitted after recovery, but seldom while it flaps. */

struct readmission_case {
	const char *name;
	struct model_fault fault;
	uint64_t run_us;
	bool readmitted_at_end;
	uint32_t ejections_max;
};

struct model_fault lasting(struct model_fault fault, uint64_t span_us)
{
	fault.until_us = fault.from_us + span_us;
	return fault;
}

const struct readmission_case readmission_cases[] = {
	{ "recovered after ten seconds",
	  lasting(make_fault(MODEL_FAIL, 4, 500), 10 * US_PER_S),
	  120 * US_PER_S, true, 9 },
	/* At each of 3 homes with back-offs of 5, 10, 20, 40 and 80 s. */
	{ "fails all the time", make_fault(MODEL_FAIL, 4, 1000), 120 * US_PER_S,
	  false, 15 },
	{ "flaps every four seconds",
	  periodic(make_fault(MODEL_FAIL, 4, 1000), 4 * US_PER_S, 4 * US_PER_S),
	  120 * US_PER_S, false, 30 },
};

TEST(HealthFleetTest, ReadmitsAfterRecovery)
{
	for (const auto &c : readmission_cases) {
		for (uint32_t seed = 1; seed <= 5; seed++) {
			SCOPED_TRACE(std::string(c.name) + ", seed " +
				     std::to_string(seed));
			struct model_config config = base_config(seed);
			struct model_result result;

			config.run_us = ONSET_US + c.run_us;
			add_fault(&config, c.fault);
			model_run(&config, &result);
			EXPECT_GE(result.ejections[4], 1u);
			EXPECT_LE(result.ejections[4], c.ejections_max);
			for (uint32_t i = 0; c.readmitted_at_end && i < 3; i++)
				EXPECT_GT(result.last_work_us[i][4],
					  config.run_us - 5 * US_PER_S)
					<< "home " << i;
		}
	}
}

/* A draining backend server gets no new request after two seconds. */

TEST(HealthFleetTest, DrainingBackendGetsNoRequests)
{
	for (uint32_t seed = 1; seed <= 5; seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		struct model_config config = base_config(seed);
		struct model_result result;

		config.run_us = ONSET_US + 20 * US_PER_S;
		add_fault(&config, make_fault(MODEL_DRAIN, 4, 0));
		model_run(&config, &result);
		for (uint32_t i = 0; i < 3; i++)
			EXPECT_LE(result.last_work_us[i][4],
				  ONSET_US + 2 * US_PER_S)
				<< "home " << i;
	}
}

/* A failed path is distinguished from an isolated home. */

struct path_case {
	const char *name;
	uint32_t backend;
	bool self_isolated;
};

const struct path_case path_cases[] = {
	{ "home cannot reach one backend server", 4, false },
	{ "home cannot reach any backend server", MODEL_ALL, true },
};

TEST(HealthFleetTest, DistinguishesFailedPathFromIsolatedHome)
{
	for (const auto &c : path_cases) {
		for (uint32_t seed = 1; seed <= 5; seed++) {
			SCOPED_TRACE(std::string(c.name) + ", seed " +
				     std::to_string(seed));
			struct model_config config = base_config(seed);
			struct model_result result;

			config.run_us = ONSET_US + 10 * US_PER_S;
			add_fault(&config, make_home_fault(MODEL_UNREACHABLE, 1,
							   c.backend));
			model_run(&config, &result);
			EXPECT_LE(result.no_slots_us[1][4],
				  ONSET_US + DETECTION_MAX_US);
			EXPECT_EQ(result.no_slots_us[0][4], MODEL_NEVER_US);
			EXPECT_EQ(result.self_isolated_us[1] != MODEL_NEVER_US,
				  c.self_isolated);
			EXPECT_EQ(result.self_isolated_us[0], MODEL_NEVER_US);
			EXPECT_EQ(model_ejections(&result), 0u);
		}
	}
}

} // namespace
