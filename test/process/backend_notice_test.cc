/*
 * Drain and pause notices of a backend server, which only its answers carry,
 * with three instances under load. Each instance must obey them, also while
 * documents still list the server as ready.
 */
#include <gtest/gtest.h>

#include "invariants.h"

namespace
{

const uint32_t DRAIN_LIMIT_MS = 2000;
const uint32_t READY_LIMIT_MS = 10000;
const uint32_t NOTIFYING_BACKEND = 0;
const uint32_t OBSERVE_S = 5;

enum notice_kind { NOTICE_DRAIN, NOTICE_PAUSE };

struct notice_case {
	const char *name;
	enum notice_kind kind;
	const char *behaviour;
	bool publish_versions; /* documents that list it as ready */
};

const struct notice_case notice_cases[] = {
	{ "drains", NOTICE_DRAIN, R"({"draining":true,"load":"good"})", false },
	{ "drains, documents say that it is ready", NOTICE_DRAIN,
	  R"({"draining":true,"load":"good"})", true },
	{ "drains and refuses half of the requests", NOTICE_DRAIN,
	  R"({"draining":true,"load":"good","shed_permille":500})", false },
	{ "refuses all requests with Retry-After", NOTICE_PAUSE,
	  R"({"shed_permille":1000,"retry_after_s":3})", false },
	{ "refuses a tenth of the requests with Retry-After", NOTICE_PAUSE,
	  R"({"shed_permille":100,"retry_after_s":3})", true },
};

/*
 * Every instance must have the drain notice, from an answer or from a peer that
 * had one, within DRAIN_LIMIT_MS of the first instance, and must obey it.
 */
void check_drain(const fleet &fleet,
		 const std::vector<struct call_record> &records,
		 const std::vector<struct run_record> &arrivals, uint16_t port,
		 uint64_t notice_from_us)
{
	std::map<std::string, uint64_t> known_us;
	uint64_t first_us = UINT64_MAX;

	for (uint32_t i = 0; i < fleet.plan.instances; i++) {
		uint64_t recorded_us =
			fleet.drain_begun_unix_us(i, NOTIFYING_BACKEND);

		if (recorded_us > 0)
			known_us[fleet.caller_addr(i)] = recorded_us;
	}
	known_us = check_drain_notice(records, arrivals, port, notice_from_us,
				      DRAIN_LIMIT_MS, known_us);
	EXPECT_EQ(known_us.size(), fleet.plan.instances);
	for (const auto &known : known_us)
		first_us = std::min(first_us, known.second);
	for (const auto &known : known_us)
		EXPECT_LE(known.second, first_us + DRAIN_LIMIT_MS * 1000)
			<< "notice at " << known.first;
}

TEST(BackendNoticeTest, AllInstancesObeyNoticesInAnswers)
{
	for (const auto &c : notice_cases) {
		SCOPED_TRACE(c.name);
		struct fleet_plan plan;
		struct load_profile profile;
		uint64_t notice_from_us;

		plan.backends = 4;
		profile.callers = 12;
		fleet fleet(plan);

		ASSERT_TRUE(fleet.wait_ready(0, READY_LIMIT_MS));
		callers callers(fleet, profile, "notice");

		sleep_ms(1000);
		ASSERT_TRUE(fleet.backends.set_behaviour(NOTIFYING_BACKEND,
							 c.behaviour));
		notice_from_us = unix_us();
		for (uint32_t i = 0; i < OBSERVE_S; i++) {
			if (c.publish_versions)
				fleet.publish();
			sleep_ms(1000);
		}
		std::vector<struct call_record> records = callers.stop();
		std::vector<struct run_record> arrivals =
			fleet.backends.arrivals();
		uint16_t port = fleet.backends.port(NOTIFYING_BACKEND);

		check_outcomes(records, fleet.backends.run_counts());
		switch (c.kind) {
		case NOTICE_DRAIN:
			check_drain(fleet, records, arrivals, port,
				    notice_from_us);
			break;
		case NOTICE_PAUSE:
			EXPECT_EQ(check_pause_notice(records, arrivals, port),
				  plan.instances);
			break;
		}
	}
}

} // namespace
