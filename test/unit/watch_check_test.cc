/* When a watch of the store is given up before its own time-out. */
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "core/clock.h"
#include "platform/watch_check.h"
}

namespace
{

const uint32_t WAIT_MS = 1500;

/* What happens to the check; times are since the first watch was sent. */
enum check_action { ASK, ANSWER, ANSWER_NEWER, REFUSAL, NEXT_WATCH };

struct check_step {
	uint64_t at_ms;
	enum check_action action;
	bool due; /* with ASK, whether the store is to be asked */
	enum watch_verdict verdict; /* after the step */
};

struct check_case {
	const char *name;
	std::vector<struct check_step> steps;
};

const struct check_case check_cases[] = {
	{ "nothing is asked before the watch is overdue",
	  { { 600, ASK, false, WATCH_WAITS },
	    { 1600, ASK, false, WATCH_WAITS },
	    { 1650, ASK, true, WATCH_WAITS } } },
	{ "an overdue watch is sent again once the store answers",
	  { { 1650, ASK, true, WATCH_WAITS },
	    { 1670, ANSWER, false, WATCH_SILENT } } },
	{ "an overdue watch that missed a change",
	  { { 1650, ASK, true, WATCH_WAITS },
	    { 1670, ANSWER_NEWER, false, WATCH_BEHIND } } },
	{ "a store that refuses the check tells nothing",
	  { { 1650, ASK, true, WATCH_WAITS },
	    { 1660, REFUSAL, false, WATCH_WAITS },
	    { 2100, ASK, false, WATCH_WAITS } } },
	{ "the store is asked once at a time",
	  { { 1650, ASK, true, WATCH_WAITS },
	    { 1700, ASK, false, WATCH_WAITS } } },
	{ "a late answer tells nothing of the next watch",
	  { { 1650, ASK, true, WATCH_WAITS },
	    { 1660, NEXT_WATCH, false, WATCH_WAITS },
	    { 1670, ANSWER_NEWER, false, WATCH_WAITS },
	    { 3310, ASK, true, WATCH_WAITS },
	    { 3320, ANSWER, false, WATCH_SILENT } } },
};

TEST(WatchCheck, SilentWatchIsGivenUp)
{
	for (const auto &c : check_cases) {
		SCOPED_TRACE(c.name);
		struct watch_check check = {};
		const uint64_t begin_us = 100 * US_PER_S;

		watch_check_begin(&check, WAIT_MS, begin_us);
		for (const auto &step : c.steps) {
			SCOPED_TRACE(step.at_ms);
			uint64_t now_us = begin_us + step.at_ms * US_PER_MS;

			switch (step.action) {
			case ASK:
				EXPECT_EQ(watch_check_is_due(&check, now_us),
					  step.due);
				if (step.due)
					watch_check_sent(&check);
				break;
			case ANSWER:
			case ANSWER_NEWER:
			case REFUSAL:
				watch_check_answered(
					&check, step.action != REFUSAL,
					step.action == ANSWER_NEWER);
				break;
			case NEXT_WATCH:
				watch_check_begin(&check, WAIT_MS, now_us);
				break;
			}
			EXPECT_EQ(check.verdict, step.verdict);
		}
	}
}

} // namespace
