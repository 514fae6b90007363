/* Schedule of reads from the platform, and the list of documents to fetch. */
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "duty/config_fetch.h"
#include "duty/config_watch.h"
}

namespace
{

const uint64_t NOW_US = 100 * US_PER_S;

struct watch_case {
	const char *name;
	enum watch_kind kind;
	enum reader_role role;
	bool known;
	uint64_t after;
	uint64_t version;
	uint32_t wait_ms;
	/* Range of the time from now to the next read. */
	uint64_t due_min_us;
	uint64_t due_max_us;
};

const struct watch_case watch_cases[] = {
	{ "reader, first read", WATCH_INDEX, READER_FIRST, false, 0, 7, 0, 0,
	  0 },
	{ "reader, same version", WATCH_INDEX, READER_FIRST, true, 7, 7, 4000,
	  0, 0 },
	{ "reader, new version", WATCH_INSTANCES, READER_FIRST, true, 7, 8,
	  4000, 0, 0 },
	{ "no reader, index", WATCH_INDEX, READER_NONE, true, 7, 8, 0,
	  15 * US_PER_S, 30 * US_PER_S },
	{ "no reader, instances", WATCH_INSTANCES, READER_NONE, true, 7, 7, 0,
	  2500 * US_PER_MS, 5 * US_PER_S },
};

TEST(ConfigWatchTest, NextReadFollowsTheRole)
{
	GRand *rand = g_rand_new_with_seed(1);

	for (const struct watch_case &c : watch_cases) {
		SCOPED_TRACE(c.name);
		struct watch watch = {};

		watch.poll_ms = 4000;

		watch.kind = c.kind;
		watch.known = c.known;
		watch.after = c.after;
		watch.running = true;
		watch.failures = 2;
		watch.began_us = NOW_US - 10 * US_PER_S;
		EXPECT_EQ(watch_wait_ms(&watch, c.role), c.wait_ms);
		watch_record_answer(&watch, c.version, c.role, rand, NOW_US);
		EXPECT_FALSE(watch.running);
		EXPECT_EQ(watch.after, c.version);
		EXPECT_EQ(watch.failures, 0u);
		EXPECT_GE(watch.due_us, NOW_US + c.due_min_us);
		EXPECT_LE(watch.due_us, NOW_US + c.due_max_us);
	}
	g_rand_free(rand);
}

struct due_case {
	const char *name;
	enum reader_role role;
	bool alone;
	uint64_t min_us;
	uint64_t max_us;
};

const struct due_case due_cases[] = {
	{ "the first reader fetches at once", READER_FIRST, false, 0, 0 },
	{ "a standby leaves the first reader time to relay", READER_STANDBY,
	  false, 100 * US_PER_MS, 600 * US_PER_MS },
	{ "others leave all readers time to relay", READER_NONE, false,
	  600 * US_PER_MS, 2 * US_PER_S },
	{ "no other live instance is known", READER_NONE, true, 0, 0 },
};

TEST(ConfigWatchTest, FetchDelayOfDocumentsFollowsTheRole)
{
	GRand *rand = g_rand_new_with_seed(1);

	for (const struct due_case &c : due_cases) {
		SCOPED_TRACE(c.name);
		uint64_t due_us =
			watch_document_due_us(c.role, c.alone, rand, NOW_US);

		EXPECT_GE(due_us, NOW_US + c.min_us);
		EXPECT_LE(due_us, NOW_US + c.max_us);
	}
	g_rand_free(rand);
}

/* Guards against a busy loop when the platform answers long polls at once. */
TEST(ConfigWatchTest, PlatformThatDoesNotWaitIsNotFlooded)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct watch watch = {};
	uint64_t now_us = NOW_US;

	for (uint64_t version : { 5, 5, 5, 6 }) {
		watch.began_us = now_us;
		watch_record_answer(&watch, version, READER_FIRST, rand,
				    now_us + 1000);
		EXPECT_GE(watch.due_us, now_us + 100 * US_PER_MS);
		now_us = watch.due_us;
	}
	EXPECT_GE(now_us, NOW_US + 2 * US_PER_S);
	g_rand_free(rand);
}

TEST(ConfigWatchTest, OutageBacksOffWithJitterUpToABound)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct watch watch = {};
	uint64_t span_us = 500 * US_PER_MS;

	for (uint32_t i = 0; i < 40; i++) {
		watch_record_failure(&watch, rand, NOW_US);
		EXPECT_GE(watch.due_us, NOW_US + span_us / 2);
		EXPECT_LE(watch.due_us, NOW_US + span_us);
		span_us = MIN(span_us * 2, 2 * US_PER_S);
	}
	EXPECT_TRUE(watch_has_ended_read(&watch));
	g_rand_free(rand);
}

enum fetch_action { ADD, BEGIN, COMPLETE, DROP, DROP_HELD, MAKE_ALL_DUE };

struct fetch_step {
	enum fetch_action action;
	uint64_t value; /* version, with ADD, COMPLETE and DROP_HELD */
	/* After the step: whether a document is due, and any is listed. */
	bool due;
	bool waiting;
};

struct fetch_case {
	const char *name;
	uint64_t wait_us; /* from ADD until the document is due */
	std::vector<struct fetch_step> steps;
};

const std::vector<struct fetch_case> fetch_cases = {
	{ "fetched once for each version",
	  0,
	  { { ADD, 3, true, true },
	    { BEGIN, 0, false, false },
	    { COMPLETE, 3, false, false },
	    { ADD, 3, false, false },
	    { ADD, 4, true, true } } },
	{ "an older version that the index returns to is fetched once",
	  0,
	  { { ADD, 3, true, true },
	    { BEGIN, 0, false, false },
	    { COMPLETE, 3, false, false },
	    { ADD, 2, true, true },
	    { BEGIN, 0, false, false },
	    { COMPLETE, 2, false, false },
	    { ADD, 2, false, false } } },
	{ "peers have time to relay it",
	  US_PER_S,
	  { { ADD, 3, false, true }, { MAKE_ALL_DUE, 0, true, true } } },
	{ "a document that a peer has relayed is dropped",
	  0,
	  { { ADD, 3, true, true },
	    { DROP_HELD, 2, true, true },
	    { DROP_HELD, 3, false, false },
	    { ADD, 3, false, false } } },
	{ "a document that the platform lost is fetched again",
	  0,
	  { { ADD, 3, true, true },
	    { BEGIN, 0, false, false },
	    { DROP, 0, false, false },
	    { ADD, 3, true, true } } },
};

void apply_step(struct fetch_list *list, const struct fetch_case &c,
		const struct fetch_step &step)
{
	GArray *held = g_array_new(FALSE, TRUE, sizeof(struct config_offer));
	struct config_offer offer = {};
	struct name key;

	name_set(&key, "s");
	offer.key = key;
	offer.version = step.value;
	g_array_append_val(held, offer);
	switch (step.action) {
	case ADD:
		fetch_list_add(list, &key, step.value, NOW_US + c.wait_us);
		break;
	case BEGIN:
		fetch_list_mark_running(list, fetch_list_next(list, NOW_US));
		break;
	case COMPLETE:
		fetch_list_complete(list, fetch_list_end_run(list, &key),
				    step.value);
		break;
	case DROP:
		fetch_list_drop(list, fetch_list_end_run(list, &key));
		break;
	case DROP_HELD:
		fetch_list_drop_held(list, held, NOW_US);
		break;
	case MAKE_ALL_DUE:
		fetch_list_make_all_due(list);
		break;
	}
	g_array_unref(held);
}

TEST(ConfigWatchTest, DocumentsAreFetchedOnce)
{
	for (const struct fetch_case &c : fetch_cases) {
		struct fetch_list list;
		uint32_t number = 0;

		fetch_list_init(&list);
		for (const struct fetch_step &step : c.steps) {
			SCOPED_TRACE(std::string(c.name) + " step " +
				     std::to_string(number++));
			apply_step(&list, c, step);
			EXPECT_EQ(fetch_list_next(&list, NOW_US) != NULL,
				  step.due);
			EXPECT_EQ(fetch_list_due_us(&list) != DEADLINE_NONE_US,
				  step.waiting);
		}
		fetch_list_clear(&list);
	}
}

} // namespace
