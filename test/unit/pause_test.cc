/*
 * A backend server that refuses a request with Retry-After. Until the time that
 * it names it must get no request and no probe, and afterwards requests must
 * not return all at once.
 */
#include "test_instance.h"

#include <set>

extern "C" {
#include "codec/http_answer.h"
}

namespace
{

const uint32_t BACKENDS = 2;
/* Of each backend server; this instance is the only home. */
const uint32_t SLOTS = 6;
const uint64_t PAUSE_MS = 3000;

struct retry_after_case {
	const char *name;
	std::vector<const char *> values;
	const char *date; /* Date field of the answer, NULL for none */
	uint64_t ms;
};

const char *const NOON = "Fri, 04 Dec 2026 12:00:00 GMT";
const char *const LATER = "Fri, 04 Dec 2026 12:00:07 GMT";

const struct retry_after_case retry_after_cases[] = {
	{ "none", {}, NULL, 0 },
	{ "seconds", { "3" }, NULL, 3000 },
	{ "zero", { "0" }, NULL, 0 },
	{ "five minutes", { "300" }, NULL, 300000 },
	{ "a day, limited to an hour", { "86400" }, NULL, 3600000 },
	{ "beyond 64 bits, limited to an hour",
	  { "99999999999999999999" },
	  NULL,
	  3600000 },
	{ "negative", { "-3" }, NULL, 0 },
	{ "a fraction", { "1.5" }, NULL, 1500 },
	{ "less than a second", { "0.250" }, NULL, 250 },
	{ "a point without a fraction", { "1." }, NULL, 0 },
	{ "two fractions", { "1.5.2" }, NULL, 0 },
	{ "a fraction without seconds", { ".5" }, NULL, 0 },
	{ "an exponent", { "1e3" }, NULL, 0 },
	{ "a unit", { "3s" }, NULL, 0 },
	{ "a date", { LATER }, NOON, 7000 },
	{ "a date, no Date field", { LATER }, NULL, 0 },
	{ "a date that is past", { NOON }, LATER, 0 },
	{ "a date of another form", { "20261204 12:00:07" }, NOON, 0 },
	{ "text", { "soon" }, NOON, 0 },
	{ "empty", { "" }, NULL, 0 },
	{ "twice", { "3", "3" }, NULL, 0 },
};

void add_field(struct answer_head *head, const char *name, const char *value)
{
	head->headers[head->header_count].name = (char *)name;
	head->headers[head->header_count].value = (char *)value;
	head->header_count++;
}

TEST(PauseTest, ParsesRetryAfter)
{
	for (const auto &c : retry_after_cases) {
		SCOPED_TRACE(c.name);
		struct answer_head head = {};

		if (c.date)
			add_field(&head, "Date", c.date);
		for (const char *value : c.values)
			add_field(&head, "retry-after", value);
		EXPECT_EQ(http_answer_retry_after_us(&head), c.ms * US_PER_MS);
	}
}

/* Whether the grant is for backend server 0. */
bool is_paused_server(const struct grant_event &grant)
{
	return grant.backend.ip == addr_of(200, 9000).ip;
}

uint32_t count_grants_of_paused_server(const TestInstance &inst)
{
	uint32_t count = 0;

	for (const struct event &event : inst.events)
		count += event.kind == EVENT_GRANT &&
			 is_paused_server(event.grant);
	return count;
}

struct grant_event last_grant(const TestInstance &inst)
{
	struct grant_event grant = {};

	for (const struct event &event : inst.events) {
		if (event.kind == EVENT_GRANT)
			grant = event.grant;
	}
	return grant;
}

/* A refusal whose Retry-After ends in PAUSE_MS. */
struct evidence refused_with_pause(const TestInstance &inst)
{
	struct evidence evidence = ended(EVIDENCE_SHED);

	evidence.status = 503;
	evidence.notice.pause_until_us =
		inst.now.mono_us + PAUSE_MS * US_PER_MS;
	return evidence;
}

/* Takes every slot with idempotent requests. */
std::vector<struct grant_event> take_all_slots(TestInstance &inst)
{
	std::vector<struct grant_event> grants;

	for (uint64_t i = 0; i < BACKENDS * SLOTS; i++) {
		const struct event *event =
			inst.last_result_of(inst.request("/s/short", i));

		if (event && event->kind == EVENT_GRANT)
			grants.push_back(event->grant);
	}
	return grants;
}

void set_up_service(TestInstance &inst, uint32_t backends = BACKENDS,
		    const char *probe_path = "")
{
	struct doc_shape shape;
	struct service_doc *doc;

	shape.backends = backends;
	shape.slots = SLOTS;
	shape.budget_ms = 2000;
	doc = make_doc(shape);
	g_strlcpy(doc->probe_path, probe_path, PATH_BYTES_MAX);
	inst.list(1);
	inst.accept(doc);
	inst.pass_ms(10000);
}

TEST(PauseTest, PausedServerGetsNoRequests)
{
	TestInstance inst;
	uint32_t unsent_grants = 0;
	bool paused = false;

	set_up_service(inst);
	std::vector<struct grant_event> grants = take_all_slots(inst);

	inst.forget();
	for (const struct grant_event &grant : grants) {
		if (is_paused_server(grant) && paused)
			unsent_grants++;
		else if (is_paused_server(grant))
			inst.finish(grant, refused_with_pause(inst));
		else
			inst.finish(grant, ended(EVIDENCE_OK));
		paused |= is_paused_server(grant);
	}
	ASSERT_GT(unsent_grants, 0u);
	EXPECT_EQ(inst.count(EVENT_RECALL), unsent_grants);
	inst.forget();
	for (uint64_t ms = 0; ms < PAUSE_MS - 100; ms += 100) {
		inst.request("/s/short", ms);
		inst.pass_ms(100);
	}
	EXPECT_EQ(count_grants_of_paused_server(inst), 0u);
	/* The refusals do not count as failures. */
	EXPECT_EQ(inst.service()->backends[0].health.failures_since_trusted,
		  0u);
}

TEST(PauseTest, SlowStartAfterPause)
{
	const uint32_t open_slots[] = { 1, 2, 4, SLOTS, SLOTS };
	TestInstance inst;

	set_up_service(inst, 1);
	for (const struct grant_event &grant : take_all_slots(inst))
		inst.finish(grant, refused_with_pause(inst));
	inst.pass_ms(PAUSE_MS + 100);
	inst.forget();
	for (uint64_t i = 0; i < 4 * SLOTS; i++)
		inst.request("/s/short", i);
	for (uint32_t slots : open_slots) {
		EXPECT_EQ(inst.service()->backends[0].in_use_slots, slots);
		inst.finish(last_grant(inst), ended(EVIDENCE_OK));
	}
}

TEST(PauseTest, AuditsBeginAndEndOnce)
{
	TestInstance inst;
	set_up_service(inst);
	for (const struct grant_event &grant : take_all_slots(inst))
		inst.finish(grant, is_paused_server(grant) ?
					   refused_with_pause(inst) :
					   ended(EVIDENCE_OK));
	inst.forget();
	inst.pass_ms(PAUSE_MS + 1000);
	for (const struct event &event : inst.events) {
		if (event.kind != EVENT_AUDIT ||
		    event.audit.kind != AUDIT_PAUSE_BEGUN)
			continue;
		EXPECT_EQ(event.audit.cause, CAUSE_RETRY_AFTER);
		EXPECT_GT(event.audit.evidence.until_unix_ms, 0u);
	}
	EXPECT_EQ(inst.count_audit(AUDIT_PAUSE_BEGUN), 1u);
	EXPECT_EQ(inst.count_audit(AUDIT_PAUSE_ENDED), 1u);
}

TEST(PauseTest, NewRequestIsRefusedWhenAllPauseBeyondDeadline)
{
	TestInstance inst;
	const struct event *event;

	set_up_service(inst);
	for (const struct grant_event &grant : take_all_slots(inst))
		inst.finish(grant, refused_with_pause(inst));
	event = inst.last_result_of(inst.request("/s/write", 99));
	ASSERT_NE(event, nullptr);
	ASSERT_EQ(event->kind, EVENT_REFUSE);
	EXPECT_EQ(event->refuse.refusal.cause, REFUSAL_NO_BACKEND);
	EXPECT_EQ(event->refuse.refusal.outcome, OUTCOME_NOT_RUN);
	EXPECT_GE(event->refuse.refusal.retry_at_unix_ms,
		  inst.now.unix_ms + PAUSE_MS);
}

/* Whether the last plan probes backend server 0; -1 without a plan. */
int32_t probes_paused_server(const TestInstance &inst)
{
	int32_t found = -1;

	for (const struct event &event : inst.events) {
		if (event.kind != EVENT_PROBE_PLAN)
			continue;
		found = 0;
		for (guint i = 0; i < event.probe_plan.targets->len; i++) {
			const struct probe_target *target =
				&g_array_index(event.probe_plan.targets,
					       struct probe_target, i);

			found |= target->backend.ip == addr_of(200, 9000).ip;
		}
	}
	return found;
}

TEST(PauseTest, PausedServerGetsNoProbes)
{
	TestInstance inst;

	set_up_service(inst, BACKENDS, "/health");
	EXPECT_EQ(probes_paused_server(inst), 1);
	for (const struct grant_event &grant : take_all_slots(inst))
		inst.finish(grant, is_paused_server(grant) ?
					   refused_with_pause(inst) :
					   ended(EVIDENCE_OK));
	inst.forget();
	inst.pass_ms(PAUSE_MS - 100);
	EXPECT_EQ(probes_paused_server(inst), 0);
	inst.forget();
	inst.pass_ms(400);
	EXPECT_EQ(probes_paused_server(inst), 1);
}

struct wait_case {
	const char *name;
	uint64_t left_ms;
	bool waits;
};

const struct wait_case wait_cases[] = {
	{ "deadline before the end of the pause", 1000, false },
	{ "deadline at the end of the pause", PAUSE_MS, false },
	{ "deadline after the pause", PAUSE_MS + 1000, true },
};

TEST(PauseTest, WaitingRequestIsRefusedWhenAllPauseBeyondDeadline)
{
	for (const auto &c : wait_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		std::vector<struct grant_event> grants;
		const struct event *event;
		uint32_t waiting;

		set_up_service(inst, 1);
		grants = take_all_slots(inst);
		waiting =
			inst.request("/s/write", 99,
				     inst.now.mono_us + c.left_ms * US_PER_MS);
		for (const struct grant_event &grant : grants)
			inst.finish(grant, refused_with_pause(inst));
		event = inst.last_result_of(waiting);
		if (c.waits) {
			EXPECT_EQ(event, nullptr);
			continue;
		}
		ASSERT_NE(event, nullptr);
		ASSERT_EQ(event->kind, EVENT_REFUSE);
		EXPECT_EQ(event->refuse.refusal.cause, REFUSAL_NO_BACKEND);
		EXPECT_EQ(event->refuse.refusal.outcome, OUTCOME_NOT_RUN);
		EXPECT_GE(event->refuse.refusal.retry_at_unix_ms,
			  inst.now.unix_ms + PAUSE_MS);
	}
}

TEST(PauseTest, RetryTimesAreSpread)
{
	TestInstance inst;
	std::set<uint64_t> retry_times_ms;

	set_up_service(inst);
	for (const struct grant_event &grant : take_all_slots(inst))
		inst.finish(grant, refused_with_pause(inst));
	for (uint32_t i = 0; i < 20; i++) {
		const struct event *event =
			inst.last_result_of(inst.request("/s/write", i));

		ASSERT_NE(event, nullptr);
		ASSERT_EQ(event->kind, EVENT_REFUSE);
		retry_times_ms.insert(event->refuse.refusal.retry_at_unix_ms);
	}
	EXPECT_GE(*retry_times_ms.begin(), inst.now.unix_ms + PAUSE_MS);
	EXPECT_GT(*retry_times_ms.rbegin(), *retry_times_ms.begin() + 1000);
}

} // namespace
