/*
 * Admission: limits of queues and requests in progress, order of grants, slots
 * kept for short work, refusals of requests that would be too late.
 */
#include "test_instance.h"

namespace
{

enum action_kind { ARRIVE, FINISH_OLDEST, ADVANCE_MS };

/* ARRIVE uses path, and value as the caller; ADVANCE_MS uses value. */
struct action {
	enum action_kind kind;
	const char *path;
	uint64_t value;
};

struct admit_case {
	const char *name;
	struct doc_shape shape;
	std::vector<struct action> actions;
	/* Number of requests in each state after the last action. */
	uint32_t running;
	uint32_t running_long;
	uint32_t waiting;
	/* Causes of refusals, in order. */
	std::vector<enum refusal_cause> refused;
};

std::vector<struct action> repeat(uint32_t times, struct action action,
				  std::vector<struct action> rest = {})
{
	std::vector<struct action> actions(times, action);

	actions.insert(actions.end(), rest.begin(), rest.end());
	return actions;
}

const struct action SHORT = { ARRIVE, "/s/short", 1 };
const struct action LONG = { ARRIVE, "/s/long", 1 };
const struct action LOW = { ARRIVE, "/s/low", 1 };

const struct admit_case admit_cases[] = {
	{ "slots fill, then requests wait",
	  { 1, 2 },
	  repeat(3, SHORT),
	  2,
	  0,
	  1,
	  {} },
	{ "a freed slot goes to a waiting request",
	  { 1, 2 },
	  repeat(3, SHORT, { { FINISH_OLDEST, NULL, 0 } }),
	  2,
	  0,
	  0,
	  {} },
	{ "long work leaves the last third of the slots",
	  { 2, 6 },
	  repeat(12, LONG),
	  8,
	  8,
	  4,
	  {} },
	{ "short work takes what long work leaves",
	  { 2, 6 },
	  repeat(12, LONG, repeat(4, SHORT)),
	  12,
	  8,
	  4,
	  {} },
	{ "the queue of a class is limited",
	  { 1, 1, 0, 2 },
	  repeat(4, SHORT),
	  1,
	  0,
	  2,
	  { REFUSAL_QUEUE_FULL } },
	{ "a full queue does not affect another class",
	  { 1, 1, 0, 2 },
	  repeat(4, LOW, repeat(1, SHORT)),
	  1,
	  0,
	  3,
	  { REFUSAL_QUEUE_FULL } },
	{ "a request that waits past its deadline is refused",
	  { 1, 1, 0, 2, 200 },
	  repeat(2, SHORT, { { ADVANCE_MS, NULL, 250 } }),
	  1,
	  0,
	  0,
	  { REFUSAL_DEADLINE } },
	{ "no service matches the path",
	  { 1, 1 },
	  { { ARRIVE, "/t/short", 1 } },
	  0,
	  0,
	  0,
	  { REFUSAL_NO_SERVICE } },
	{ "a path prefix matches whole segments only",
	  { 1, 1 },
	  { { ARRIVE, "/short", 1 }, { ARRIVE, "/sx/short", 1 } },
	  0,
	  0,
	  0,
	  { REFUSAL_NO_SERVICE, REFUSAL_NO_SERVICE } },
	{ "one caller cannot fill the queue of a class",
	  { 1, 1, 0, 16, 60000 },
	  repeat(9, SHORT,
		 { { ARRIVE, "/s/short", 2 },
		   { ARRIVE, "/s/short", 3 },
		   SHORT,
		   { ARRIVE, "/s/short", 2 } }),
	  1,
	  0,
	  11,
	  { REFUSAL_CALLER_SHARE } },
};

class ActionRunner {
    public:
	TestInstance inst;
	size_t finished_count = 0;

	void act(const struct action &action)
	{
		switch (action.kind) {
		case ARRIVE:
			inst.request(action.path, action.value);
			break;
		case FINISH_OLDEST:
			finish_oldest();
			break;
		case ADVANCE_MS:
			inst.pass_ms(action.value);
			break;
		}
	}

	void finish_oldest()
	{
		size_t seen = 0;

		for (size_t i = 0; i < inst.events.size(); i++) {
			if (inst.events[i].kind != EVENT_GRANT ||
			    seen++ != finished_count)
				continue;
			finished_count++;
			struct grant_event grant = inst.events[i].grant;
			inst.finish(grant, ended(EVIDENCE_OK));
			return;
		}
		ADD_FAILURE() << "no request is running";
	}
};

std::vector<enum refusal_cause> refusals(const TestInstance &inst)
{
	std::vector<enum refusal_cause> causes;

	for (const auto &event : inst.events) {
		if (event.kind != EVENT_REFUSE)
			continue;
		causes.push_back(event.refuse.refusal.cause);
		EXPECT_EQ(event.refuse.refusal.outcome, OUTCOME_NOT_RUN);
	}
	return causes;
}

TEST(AdmitTest, LimitsAndRefusals)
{
	for (const auto &c : admit_cases) {
		SCOPED_TRACE(c.name);
		ActionRunner runner;
		runner.inst.list(1);
		runner.inst.accept(make_doc(c.shape));
		for (const auto &action : c.actions)
			runner.act(action);
		const struct service *service = runner.inst.service();
		EXPECT_EQ(service->running_requests, c.running);
		EXPECT_EQ(service->running_long_requests, c.running_long);
		EXPECT_EQ(service->waiting_requests, c.waiting);
		EXPECT_EQ(refusals(runner.inst), c.refused);
	}
}

TEST(AdmitTest, HigherClassThenEarlierDeadlineGoesFirst)
{
	TestInstance inst;
	inst.list(1);
	inst.accept(make_doc({ 1, 1, 0 }));
	uint64_t now_us = inst.now.mono_us;
	struct grant_event running =
		inst.last_result_of(inst.request("/s/short"))->grant;
	uint32_t low = inst.request("/s/low", 1, now_us + 300000);
	uint32_t late = inst.request("/s/short", 1, now_us + 900000);
	uint32_t early = inst.request("/s/short", 1, now_us + 500000);

	for (uint32_t next : { early, late, low }) {
		EXPECT_EQ(inst.last_result_of(next), nullptr);
		inst.finish(running, ended(EVIDENCE_OK));
		ASSERT_NE(inst.last_result_of(next), nullptr);
		ASSERT_EQ(inst.last_result_of(next)->kind, EVENT_GRANT);
		running = inst.last_result_of(next)->grant;
	}
}

TEST(AdmitTest, LowestClassIsNeverStarved)
{
	TestInstance inst;
	inst.list(1);
	inst.accept(make_doc({ 1, 1, 0, 64, 60000 }));
	struct grant_event running =
		inst.last_result_of(inst.request("/s/short"))->grant;
	uint32_t low = inst.request("/s/low");
	uint32_t grants = 0;

	for (; !inst.last_result_of(low) && grants < 40; grants++) {
		inst.request("/s/short");
		inst.finish(running, ended(EVIDENCE_OK));
		for (const auto &event : inst.events) {
			if (event.kind == EVENT_GRANT)
				running = event.grant;
		}
	}
	EXPECT_LE(grants, 16u);
}

TEST(AdmitTest, RequestThatWouldMissItsDeadlineIsRefused)
{
	TestInstance inst;
	inst.list(1);
	inst.accept(make_doc({ 1, 1, 0, 64, 1000 }));
	/* Requests of 100 ms set the typical duration. */
	for (int i = 0; i < 40; i++) {
		struct grant_event grant =
			inst.last_result_of(inst.request("/s/short"))->grant;
		inst.now.mono_us += 100000;
		inst.finish(grant, ended(EVIDENCE_OK, true, 100000));
	}
	inst.forget();
	uint32_t refused = 0;

	for (int i = 0; i < 20; i++)
		inst.request("/s/short");
	refused = inst.count(EVENT_REFUSE);
	/* At 100 ms each at most ten end within the deadline of 1 s. */
	EXPECT_GE(refused, 9u);
	EXPECT_LE(refused, 12u);
	EXPECT_EQ(inst.count_audit(AUDIT_OVERLOAD_BEGUN), 1u);
	for (auto cause : refusals(inst))
		EXPECT_EQ(cause, REFUSAL_OVERLOAD);
}

TEST(AdmitTest, LongRequestsOfAnInstanceAreLimited)
{
	TestInstance inst;
	inst.settings.requests_max = 16;
	inst.state->long_requests_max = 8;
	inst.list(1);
	inst.accept(make_doc({ 1, 3, 0, 64, 60000 }));

	for (int i = 0; i < 12; i++)
		inst.request("/s/long");

	EXPECT_EQ(inst.state->long_requests, 8u);
	EXPECT_EQ(refusals(inst),
		  std::vector<enum refusal_cause>(4, REFUSAL_LONG_SHARE));
}

struct class_limit_case {
	const char *name;
	uint32_t low;
	uint32_t high;
	uint32_t waiting;
	std::vector<enum refusal_cause> refused;
};

/*
 * At most 16 requests may be in progress, 12 of them of the lower class. One of
 * them runs, as there is one slot; the others wait.
 */
const struct class_limit_case class_limit_cases[] = {
	{ "the lower class leaves a quarter of the limit",
	  14,
	  0,
	  11,
	  { REFUSAL_QUEUE_FULL, REFUSAL_QUEUE_FULL } },
	{ "the higher class fills the rest", 12, 4, 15, {} },
	{ "the higher class sheds waiting requests of the lower class",
	  12,
	  6,
	  15,
	  { REFUSAL_OVERLOAD, REFUSAL_OVERLOAD } },
	{ "the higher class is refused when no lower request waits",
	  0,
	  17,
	  15,
	  { REFUSAL_QUEUE_FULL } },
};

TEST(AdmitTest, LowerClassLeavesRoomForHigherClass)
{
	for (const auto &c : class_limit_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		inst.settings.requests_max = 16;
		inst.list(1);
		inst.accept(make_doc({ 1, 1, 0, 64, 60000 }));

		for (uint32_t i = 0; i < c.low; i++)
			inst.request("/s/low");
		for (uint32_t i = 0; i < c.high; i++)
			inst.request("/s/short");

		EXPECT_EQ(inst.service()->waiting_requests, c.waiting);
		EXPECT_EQ(refusals(inst), c.refused);
	}
}

struct shed_case {
	const char *name;
	/* Waiting requests of the low class that were sent before: the last. */
	uint32_t low_sent;
	/* Index of the request that is shed, 0 for none. */
	uint32_t refused;
	enum refusal_cause cause;
};

/*
 * Four requests of the low class fill the limit, one of them runs; then one of
 * the high class arrives.
 */
const struct shed_case shed_cases[] = {
	{ "the last one is shed", 0, 3, REFUSAL_OVERLOAD },
	{ "a request that was sent before is kept", 1, 2, REFUSAL_OVERLOAD },
	{ "no request can be shed", 3, 0, REFUSAL_QUEUE_FULL },
};

/*
 * A refusal for overload reports that the request has not run. A request that
 * was sent to a backend server before must therefore not be shed.
 */
TEST(AdmitTest, OnlyUnsentRequestsAreShed)
{
	for (const auto &c : shed_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;

		inst.settings.requests_max = 4;
		inst.list(1);
		inst.accept(make_doc({ 1, 1, 0, 64, 60000 }));
		for (uint32_t i = 0; i < 3; i++)
			inst.request("/s/low");
		/* The limit of the low class alone would exclude the fourth. */
		inst.settings.requests_max = 8;
		inst.request("/s/low");
		inst.settings.requests_max = 4;
		for (uint32_t i = 0; i < c.low_sent; i++) {
			gpointer index = g_hash_table_lookup(
				inst.state->ticket_by_request,
				inst.requests[3 - i]);
			struct ticket *ticket =
				&inst.state->tickets[GPOINTER_TO_UINT(index)];

			ticket->sends = 1;
			ticket->outcome = OUTCOME_UNKNOWN;
		}
		uint32_t number = inst.request("/s/short");
		const struct event *event =
			inst.last_result_of(c.refused ? c.refused : number);

		ASSERT_NE(event, nullptr);
		ASSERT_EQ(event->kind, EVENT_REFUSE);
		EXPECT_EQ(inst.count(EVENT_REFUSE), 1u);
		EXPECT_EQ(event->refuse.refusal.cause, c.cause);
		EXPECT_EQ(event->refuse.refusal.outcome, OUTCOME_NOT_RUN);
	}
}

} // namespace
