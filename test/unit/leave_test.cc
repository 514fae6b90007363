/*
 * Planned stop with a grace time of 30 s: which requests are still started, and
 * what the callers are told of those that run until the end of their time. Later
 * in it only requests with a deadline before that end are started, since a
 * backend server may hang.
 */
#include "test_instance.h"

namespace
{

const uint64_t WORK_ENDS_MS = 27500;

struct admit_case {
	const char *name;
	uint64_t after_ms; /* since the stop began */
	uint64_t typical_ms;
	uint64_t deadline_ms; /* from admission */
	enum event_kind follows; /* a grant or a refusal */
};

const struct admit_case admit_cases[] = {
	{ "at first, short work", 1000, 20, 60000, EVENT_GRANT },
	{ "at first, work whose double duration fits", 1000, 13000, 60000,
	  EVENT_GRANT },
	{ "at first, work that may outlast the stop", 1000, 13500, 60000,
	  EVENT_REFUSE },
	{ "at first, deadline before the end of work", 1000, 15000, 26500,
	  EVENT_GRANT },
	{ "at 3 s, deadline before the end of work", 3000, 20, 24000,
	  EVENT_GRANT },
	{ "at 3 s, deadline after the end of work", 3000, 20, 25000,
	  EVENT_REFUSE },
	{ "late, deadline before the end of work", 20000, 20, 7000,
	  EVENT_GRANT },
	{ "late, deadline after the end of work", 20000, 20, 8000,
	  EVENT_REFUSE },
};

TEST(LeaveTest, RefusesRequestsThatMayOutlastTheStop)
{
	for (const auto &c : admit_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		const struct event *event;
		uint32_t number;

		inst.list(1);
		inst.accept(make_doc(doc_shape()));
		inst.pass_ms(100);
		for (uint32_t i = 0; i <= DOC_ROUTES_MAX; i++)
			inst.service()->route_typical_us[i] =
				c.typical_ms * US_PER_MS;
		inst.begin_stop();
		inst.now.mono_us += c.after_ms * US_PER_MS;
		number = inst.request("/s/write", 1,
				      inst.now.mono_us +
					      c.deadline_ms * US_PER_MS);
		event = inst.last_result_of(number);
		ASSERT_NE(event, nullptr);
		ASSERT_EQ(event->kind, c.follows);
		if (event->kind != EVENT_REFUSE)
			continue;
		EXPECT_EQ(event->refuse.refusal.cause, REFUSAL_LEAVING);
		EXPECT_EQ(event->refuse.refusal.outcome, OUTCOME_NOT_RUN);
	}
}

/* Return: the grant of a request to an instance alone; @number gets its index. */
struct grant_event grant_alone(TestInstance &inst, const char *path,
			       uint64_t deadline_ms, uint32_t *number)
{
	const struct event *event;

	inst.list(1);
	inst.accept(make_doc(doc_shape()));
	inst.pass_ms(100);
	*number = inst.request(path, 1,
			       inst.now.mono_us + deadline_ms * US_PER_MS);
	event = inst.last_result_of(*number);
	EXPECT_NE(event, nullptr);
	if (!event)
		return {};
	EXPECT_EQ(event->kind, EVENT_GRANT);
	return event->grant;
}

/* A try that ends without an answer during the stop. */
struct retry_case {
	const char *name;
	uint64_t after_ms; /* since the stop began */
	uint64_t deadline_ms; /* from the end of the try */
	enum evidence_kind kind;
	bool sent;
	enum event_kind follows; /* a grant of the next try or a refusal */
};

const struct retry_case retry_cases[] = {
	{ "at first", 1000, 60000, EVIDENCE_RESET, true, EVENT_GRANT },
	{ "at 3 s, deadline before the end of work", 3000, 24000,
	  EVIDENCE_RESET, true, EVENT_GRANT },
	{ "at 3 s, deadline after the end of work", 3000, 25000, EVIDENCE_RESET,
	  true, EVENT_REFUSE },
	{ "at 3 s, nothing was sent", 3000, 25000, EVIDENCE_CONNECT, false,
	  EVENT_REFUSE },
	{ "late, deadline before the end of work", 20000, 7000, EVIDENCE_RESET,
	  true, EVENT_GRANT },
	{ "late, deadline after the end of work", 20000, 8000, EVIDENCE_RESET,
	  true, EVENT_REFUSE },
};

/* A retry that is broken off at the end would be work lost by the stop. */
TEST(LeaveTest, RetriesNothingThatMayOutlastTheStop)
{
	for (const auto &c : retry_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		const struct event *event;
		struct grant_event grant;
		uint32_t number;

		grant = grant_alone(inst, "/s/short",
				    c.after_ms + c.deadline_ms, &number);
		ASSERT_FALSE(HasFailure());
		inst.begin_stop();
		inst.now.mono_us += c.after_ms * US_PER_MS;
		inst.forget();
		inst.finish(grant, ended(c.kind, c.sent));
		event = inst.last_result_of(number);
		ASSERT_NE(event, nullptr);
		EXPECT_EQ(event->kind, c.follows);
	}
}

struct end_case {
	const char *name;
	bool sent;
	enum outcome outcome;
};

const struct end_case end_cases[] = {
	{ "a request that was sent may have run", true, OUTCOME_UNKNOWN },
	{ "a request that was not sent has not run", false, OUTCOME_NOT_RUN },
};

TEST(LeaveTest, CancelsRunningRequestsAtItsEnd)
{
	for (const auto &c : end_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		const struct event *event;
		struct grant_event grant;
		uint32_t number;

		grant = grant_alone(inst, "/s/write", 60000, &number);
		ASSERT_FALSE(HasFailure());
		inst.begin_stop();
		inst.pass_ms(WORK_ENDS_MS - 100);
		ASSERT_EQ(inst.count(EVENT_CANCEL), 0u);
		inst.pass_ms(200);
		ASSERT_EQ(inst.count(EVENT_CANCEL), 1u);
		EXPECT_EQ(inst.count(EVENT_LEFT), 1u);
		inst.finish(grant, ended(EVIDENCE_LATE, c.sent));
		event = inst.last_result_of(number);
		ASSERT_EQ(event->kind, EVENT_REFUSE);
		EXPECT_EQ(event->refuse.refusal.outcome, c.outcome);
	}
}

} // namespace
