/* Slots that long work leaves for the recent peak of short work. */
#include "test_instance.h"

namespace
{

const uint32_t LONG_REQUESTS = 20;

struct peak_case {
	const char *name;
	uint32_t short_requests; /* at once, ended before long ones arrive */
	uint32_t pass_ms;
	uint32_t long_grants; /* of 24 slots, 16 of them open to long work */
};

const struct peak_case peak_cases[] = {
	{ "no recent short work", 0, 0, 16 },
	{ "little short work fits in its third of the slots", 6, 0, 16 },
	{ "a higher peak takes slots from long work", 12, 0, 12 },
	{ "long work keeps a sixth of the slots", 24, 0, 4 },
	{ "the peak of the previous window counts", 24, 2500, 4 },
	{ "an older peak does not count", 24, 4500, 16 },
};

TEST(LongWork, LeavesSlotsForThePeakOfShortWork)
{
	for (const auto &c : peak_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		const struct evidence ok = ended(EVIDENCE_OK);
		std::vector<struct grant_event> grants;
		uint32_t long_grants = 0;

		inst.list(1);
		inst.accept(make_doc({}));
		inst.pass_ms(50);
		for (uint32_t i = 0; i < c.short_requests; i++)
			inst.request("/s/short", i + 1);
		for (const struct event &event : inst.events) {
			if (event.kind == EVENT_GRANT)
				grants.push_back(event.grant);
		}
		ASSERT_EQ(grants.size(), c.short_requests);
		for (const auto &grant : grants)
			inst.finish(grant, ok);
		inst.pass_ms(c.pass_ms);
		inst.forget();
		for (uint32_t i = 0; i < LONG_REQUESTS; i++)
			inst.request("/s/long", i + 1);
		long_grants = inst.count(EVENT_GRANT);
		EXPECT_EQ(long_grants, c.long_grants);
	}
}

} // namespace
