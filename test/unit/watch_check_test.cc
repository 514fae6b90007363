/* When a watch of the store is given up before its own time-out. */
#include <gtest/gtest.h>

extern "C" {
#include "core/clock.h"
#include "platform/watch_check.h"
}

namespace
{

const uint32_t WAIT_MS = 1500;

/* What happens while the watch waits; times are since it was sent. */
struct check_step {
	uint64_t at_ms;
	enum { SEND, ANSWER, REFUSAL, NEWER, LOOK } what;
	bool due; /* with SEND, whether the store is to be asked */
	enum watch_verdict verdict; /* with LOOK */
};

struct check_case {
	const char *name;
	bool often;
	std::vector<struct check_step> steps;
};

const struct check_case check_cases[] = {
	{ "nothing is asked before the watch is overdue",
	  false,
	  { { 600, check_step::SEND, false, WATCH_WAITS },
	    { 1600, check_step::SEND, false, WATCH_WAITS },
	    { 1650, check_step::SEND, true, WATCH_WAITS } } },
	{ "an overdue watch is sent again once the store answers",
	  false,
	  { { 1650, check_step::SEND, true, WATCH_WAITS },
	    { 1660, check_step::LOOK, false, WATCH_WAITS },
	    { 1670, check_step::ANSWER, false, WATCH_WAITS },
	    { 1670, check_step::LOOK, false, WATCH_SILENT } } },
	{ "a store that refuses the check tells nothing",
	  false,
	  { { 1650, check_step::SEND, true, WATCH_WAITS },
	    { 1660, check_step::REFUSAL, false, WATCH_WAITS },
	    { 2100, check_step::LOOK, false, WATCH_WAITS } } },
	{ "a slow answer to an earlier check tells nothing of an overdue watch",
	  true,
	  { { 1500, check_step::SEND, true, WATCH_WAITS },
	    { 1900, check_step::ANSWER, false, WATCH_WAITS },
	    { 1900, check_step::LOOK, false, WATCH_WAITS } } },
	{ "a change has time to be reported",
	  true,
	  { { 499, check_step::SEND, false, WATCH_WAITS },
	    { 500, check_step::SEND, true, WATCH_WAITS },
	    { 510, check_step::NEWER, false, WATCH_WAITS },
	    { 700, check_step::LOOK, false, WATCH_WAITS },
	    { 710, check_step::LOOK, false, WATCH_BEHIND } } },
	{ "a later check does not put that off",
	  true,
	  { { 500, check_step::SEND, true, WATCH_WAITS },
	    { 510, check_step::NEWER, false, WATCH_WAITS },
	    { 1000, check_step::SEND, true, WATCH_WAITS },
	    { 1010, check_step::NEWER, false, WATCH_WAITS },
	    { 1010, check_step::LOOK, false, WATCH_BEHIND } } },
	{ "an overdue watch that missed a change has no more time",
	  false,
	  { { 1650, check_step::SEND, true, WATCH_WAITS },
	    { 1660, check_step::NEWER, false, WATCH_WAITS },
	    { 1660, check_step::LOOK, false, WATCH_BEHIND } } },
};

TEST(WatchCheck, SilentWatchIsGivenUp)
{
	for (const auto &c : check_cases) {
		SCOPED_TRACE(c.name);
		struct watch_check check = {};
		const uint64_t begin_us = 100 * US_PER_S;

		watch_check_begin(&check, WAIT_MS, c.often, begin_us);
		for (const auto &step : c.steps) {
			SCOPED_TRACE(step.at_ms);
			uint64_t now_us = begin_us + step.at_ms * US_PER_MS;

			switch (step.what) {
			case check_step::SEND:
				EXPECT_EQ(watch_check_is_due(&check, now_us),
					  step.due);
				if (step.due)
					watch_check_sent(&check, now_us);
				break;
			case check_step::ANSWER:
				watch_check_answered(&check, true, false,
						     now_us);
				break;
			case check_step::REFUSAL:
				watch_check_answered(&check, false, false,
						     now_us);
				break;
			case check_step::NEWER:
				watch_check_answered(&check, true, true,
						     now_us);
				break;
			case check_step::LOOK:
				EXPECT_EQ(watch_check_verdict(&check, now_us),
					  step.verdict);
				break;
			}
		}
	}
}

} // namespace
