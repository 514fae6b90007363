/*
 * What a backend server says of itself in its answers alone, before three instances
 * under load: that it drains, or that it wants nothing for a while.
 */
#include <gtest/gtest.h>

#include "promises.h"

namespace
{

const uint32_t DRAIN_MS = 2000;
const uint32_t READY_MS = 10000;
const uint32_t SAYS = 0;
const uint32_t WATCH_S = 5;

enum word_kind { WORD_DRAINS, WORD_PAUSES };

struct word_case {
	const char *name;
	enum word_kind kind;
	const char *order;
	bool publishes; /* a document that names the server as before */
};

const struct word_case word_cases[] = {
	{ "drains", WORD_DRAINS, R"({"draining":true,"load":"good"})", false },
	{ "drains, documents say that it is ready", WORD_DRAINS,
	  R"({"draining":true,"load":"good"})", true },
	{ "drains and is full", WORD_DRAINS,
	  R"({"draining":true,"load":"good","shed_permille":500})", false },
	{ "pauses", WORD_PAUSES, R"({"shed_permille":1000,"retry_after_s":3})",
	  false },
	{ "pauses now and then", WORD_PAUSES,
	  R"({"shed_permille":100,"retry_after_s":3})", true },
};

TEST(BackendWordTest, AnswersAloneAreObeyedByAllInstances)
{
	for (const auto &c : word_cases) {
		SCOPED_TRACE(c.name);
		struct fleet_plan plan;
		struct call_shape shape;
		uint64_t said_us;

		plan.backends = 4;
		shape.callers = 12;
		fleet fleet(plan);

		ASSERT_TRUE(fleet.wait_ready(0, READY_MS));
		callers callers(fleet, shape, "word");

		pause_ms(1000);
		ASSERT_TRUE(fleet.backends.order(SAYS, c.order));
		said_us = unix_us();
		for (uint32_t i = 0; i < WATCH_S; i++) {
			if (c.publishes)
				fleet.publish();
			pause_ms(1000);
		}
		std::vector<struct call_record> records = callers.stop();
		std::vector<struct run_record> arrivals =
			fleet.backends.arrivals();
		uint16_t port = fleet.backends.port(SAYS);

		check_calls(records, fleet.backends.counts());
		switch (c.kind) {
		case WORD_DRAINS:
			EXPECT_EQ(check_said_drain(records, arrivals, port,
						   said_us, DRAIN_MS),
				  plan.instances);
			break;
		case WORD_PAUSES:
			EXPECT_EQ(check_paused(records, arrivals, port),
				  plan.instances);
			break;
		}
	}
}

} // namespace
