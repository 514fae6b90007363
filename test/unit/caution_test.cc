/*
 * Choice of a backend server after failed and hanging requests, and retries of
 * hanging ones. Requests must avoid a server that just failed, but find out
 * soon when it has recovered, and never be left without a server.
 */
#include "test_instance.h"

extern "C" {
#include "command/health.h"
#include "query/health.h"
#include "query/pick.h"
}

namespace
{

/* Two backend servers, each with slots for all requests of a case. */
struct doc_shape two_servers()
{
	struct doc_shape shape;

	shape.backends = 2;
	shape.slots = 30;
	return shape;
}

struct failure_case {
	const char *name;
	enum evidence_kind kind;
	/* Earlier requests to one server: failures first, then successes. */
	uint32_t failed;
	uint32_t ok;
	uint64_t after_ms; /* since the last of them */
	const char *path;
	bool expected; /* the server gets a request */
};

const struct failure_case failure_cases[] = {
	{ "no failure", EVIDENCE_OK, 0, 1, 0, "/s/write", true },
	{ "right after a failure", EVIDENCE_RESET, 1, 0, 0, "/s/short", false },
	{ "an idempotent request soon after", EVIDENCE_RESET, 1, 0, 600,
	  "/s/short", true },
	{ "a non-idempotent request soon after", EVIDENCE_RESET, 1, 0, 600,
	  "/s/write", false },
	{ "a non-idempotent request after one success", EVIDENCE_RESET, 1, 1,
	  600, "/s/write", false },
	{ "a non-idempotent request after two successes", EVIDENCE_RESET, 1, 2,
	  600, "/s/write", true },
	{ "soon after three failures", EVIDENCE_RESET, 3, 0, 600, "/s/short",
	  false },
	{ "just under two seconds after many failures", EVIDENCE_RESET, 8, 0,
	  1900, "/s/short", false },
	{ "two seconds after many failures", EVIDENCE_RESET, 8, 0, 2100,
	  "/s/short", true },
	{ "nine seconds without requests", EVIDENCE_RESET, 1, 0, 9000,
	  "/s/write", true },
	{ "a shed request is no failure", EVIDENCE_SHED, 1, 0, 0, "/s/write",
	  true },
	{ "a cancelled request is no failure", EVIDENCE_CANCELLED, 1, 0, 0,
	  "/s/write", true },
};

void observe_end(TestInstance &inst, struct backend *backend,
		 enum evidence_kind kind)
{
	struct ticket ticket = {};
	struct evidence evidence = ended(kind);
	struct event_list list;

	ticket.service = inst.service();
	ticket.granted_us = inst.now.mono_us;
	event_list_init(&list);
	health_observe_exchange(inst.state, inst.service(), backend, &ticket,
				&evidence, inst.now, &list);
	event_list_clear(&list);
}

/* Whether a backend server gets one of 20 requests. */
bool gets_request(TestInstance &inst, const struct backend *wanted,
		  const char *path)
{
	for (uint32_t i = 0; i < 20; i++) {
		const struct event *event =
			inst.last_result_of(inst.request(path, 1));

		if (event && event->kind == EVENT_GRANT &&
		    addr_equal(event->grant.backend, wanted->addr))
			return true;
	}
	return false;
}

TEST(CautionTest, FailedServerIsAvoidedForAWhile)
{
	for (const auto &c : failure_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;

		inst.list(1);
		inst.accept(make_doc(two_servers()));
		struct backend *backend = &inst.service()->backends[0];

		for (uint32_t i = 0; i < c.failed; i++)
			observe_end(inst, backend, c.kind);
		for (uint32_t i = 0; i < c.ok; i++)
			observe_end(inst, backend, EVIDENCE_OK);
		inst.now.mono_us += c.after_ms * US_PER_MS;
		EXPECT_EQ(gets_request(inst, backend, c.path), c.expected);
	}
}

struct hang_case {
	const char *name;
	uint64_t after_ms; /* since the grant of a request that still runs */
	bool timed_out; /* it then ends with a time-out */
	bool expected; /* the server gets another request */
};

const struct hang_case hang_cases[] = {
	{ "not overdue yet", 120, false, true },
	{ "overdue", 1000, false, false },
	{ "overdue for more than two seconds", 2300, false, true },
	{ "time-out after more than two seconds", 2300, true, true },
	{ "time-out after one second", 1000, true, false },
};

/*
 * A server with a hanging request is avoided for a limited time: without new
 * requests its recovery would not be noticed.
 */
TEST(CautionTest, HungServerIsAvoidedForAWhile)
{
	for (const auto &c : hang_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;

		inst.list(1);
		inst.accept(make_doc(two_servers()));
		inst.service()->route_typical_us[0] = 100 * US_PER_MS;
		const struct event *event =
			inst.last_result_of(inst.request("/s/short"));
		ASSERT_EQ(event->kind, EVENT_GRANT);
		struct grant_event grant = event->grant;
		struct backend *backend =
			service_backend(inst.service(), grant.backend);

		inst.pass_ms(c.after_ms);
		if (c.timed_out)
			inst.finish(grant, ended(EVIDENCE_TIMEOUT, true,
						 c.after_ms * US_PER_MS));
		EXPECT_EQ(gets_request(inst, backend, "/s/short"), c.expected);
	}
}

/*
 * Caution only orders the choice: the only server of a service gets the request
 * also while it is avoided, after a short wait.
 */
TEST(CautionTest, AvoidedServerIsUsedWhenAlone)
{
	struct doc_shape shape = two_servers();
	TestInstance inst;

	shape.backends = 1;
	inst.list(1);
	inst.accept(make_doc(shape));
	observe_end(inst, &inst.service()->backends[0], EVIDENCE_RESET);
	uint32_t number = inst.request("/s/write");

	EXPECT_EQ(inst.count(EVENT_GRANT), 0u);
	inst.pass_ms(300);
	EXPECT_EQ(inst.count(EVENT_GRANT), 1u);
	EXPECT_EQ(inst.last_result_of(number)->kind, EVENT_GRANT);
}

/* Each of two servers had a success; the first server had the later one. */
struct success_case {
	const char *name;
	uint32_t busy; /* of 30 slots of the server with the latest success */
	const char *path;
	bool expected; /* it gets the next request */
};

const struct success_case success_cases[] = {
	{ "a non-idempotent request follows the latest success", 0, "/s/write",
	  true },
	{ "also when that server is busier", 10, "/s/write", true },
	{ "not when it is much busier", 20, "/s/write", false },
	{ "an idempotent request tries the other server", 1, "/s/short",
	  false },
};

TEST(CautionTest, NonIdempotentRequestFollowsLatestSuccess)
{
	for (const auto &c : success_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;

		inst.list(1);
		inst.accept(make_doc(two_servers()));
		struct backend *backends = inst.service()->backends;

		observe_end(inst, &backends[1], EVIDENCE_OK);
		inst.pass_ms(3000);
		observe_end(inst, &backends[0], EVIDENCE_OK);
		backends[0].in_use_slots = c.busy;
		const struct event *event =
			inst.last_result_of(inst.request(c.path));

		ASSERT_NE(event, nullptr);
		ASSERT_EQ(event->kind, EVENT_GRANT);
		EXPECT_EQ(addr_equal(event->grant.backend, backends[0].addr),
			  c.expected);
	}
}

struct try_timeout_case {
	const char *name;
	const char *path;
	uint64_t typical_us; /* of the route; 0 if not known */
	uint64_t after_ms; /* since the grant */
	uint32_t budget_permille;
	bool leaving;
	uint32_t tries_max;
	bool cancelled;
};

const struct try_timeout_case try_timeout_cases[] = {
	{ "much longer than typical", "/s/short", 50000, 200, 5000, false, 4,
	  true },
	{ "not long enough", "/s/short", 50000, 100, 5000, false, 4, false },
	{ "no typical time known", "/s/short", 0, 200, 5000, false, 4, false },
	{ "not idempotent", "/s/write", 50000, 200, 5000, false, 4, false },
	{ "retry budget used up", "/s/short", 50000, 200, 500, false, 4,
	  false },
	{ "no further try allowed", "/s/short", 50000, 200, 5000, false, 1,
	  false },
	{ "no time for another try", "/s/short", 50000, 970, 5000, false, 4,
	  false },
	{ "during a planned stop", "/s/short", 50000, 200, 5000, true, 4,
	  false },
};

TEST(TryTimeoutTest, HungRequestIsCancelled)
{
	for (const auto &c : try_timeout_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;

		inst.list(1);
		inst.accept(make_doc(two_servers()));
		struct service *service = inst.service();
		uint32_t number = inst.request(c.path);
		struct grant_event grant = inst.last_result_of(number)->grant;
		struct ticket *ticket =
			&inst.state->tickets[grant.exchange.index];

		ticket->tries_max = c.tries_max;
		service->retry_budget_permille = c.budget_permille;
		service->route_typical_us[ticket->route_index] = c.typical_us;
		if (c.leaving)
			inst.begin_stop();
		inst.now.mono_us += c.after_ms * US_PER_MS;
		inst.tick();
		EXPECT_EQ(inst.count(EVENT_CANCEL), c.cancelled);
		if (!c.cancelled)
			continue;
		/* Charged once; the next tick does not cancel again. */
		EXPECT_EQ(service->retry_budget_permille,
			  c.budget_permille - 1000);
		inst.now.mono_us += 100 * US_PER_MS;
		inst.tick();
		EXPECT_EQ(inst.count(EVENT_CANCEL), 1u);
		inst.finish(grant, ended(EVIDENCE_TIMEOUT));
		EXPECT_EQ(inst.count(EVENT_GRANT), 2u);
		EXPECT_EQ(service->retry_budget_permille,
			  c.budget_permille - 1000);
	}
}

struct unneeded_case {
	const char *name;
	enum evidence_kind kind;
	bool sent;
	bool head_given;
};

const struct unneeded_case unneeded_cases[] = {
	{ "a complete answer in spite of the cancellation", EVIDENCE_OK, true,
	  false },
	{ "the answer had begun and was not completed", EVIDENCE_TIMEOUT, true,
	  true },
	{ "the caller cancelled", EVIDENCE_CANCELLED, true, false },
	{ "not sent, queued again", EVIDENCE_LATE, false, false },
};

TEST(TryTimeoutTest, UnneededRetryReturnsToTheBudget)
{
	for (const auto &c : unneeded_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;

		inst.list(1);
		inst.accept(make_doc(two_servers()));
		struct service *service = inst.service();
		uint32_t number = inst.request("/s/short");
		struct grant_event grant = inst.last_result_of(number)->grant;
		struct evidence evidence = ended(c.kind, c.sent);

		evidence.head_given = c.head_given;
		service->retry_budget_permille = 5000;
		service->route_typical_us[0] = 50000;
		inst.now.mono_us += 200 * US_PER_MS;
		inst.tick();
		ASSERT_EQ(inst.count(EVENT_CANCEL), 1u);
		inst.finish(grant, evidence);
		EXPECT_EQ(service->retry_budget_permille, 5000u);
	}
}

/* A failed connect does not count as one of the two tries allowed. */
TEST(CautionTest, FailedConnectIsNotCountedAsATry)
{
	TestInstance inst;

	inst.list(1);
	inst.accept(make_doc(doc_shape()));
	uint32_t number = inst.request("/s/short");
	struct grant_event grant = inst.last_result_of(number)->grant;

	inst.state->tickets[grant.exchange.index].tries_max = 2;
	inst.finish(grant, ended(EVIDENCE_CONNECT, false));
	ASSERT_EQ(inst.count(EVENT_GRANT), 2u);
	inst.finish(inst.last_result_of(number)->grant, ended(EVIDENCE_RESET));
	ASSERT_EQ(inst.count(EVENT_GRANT), 3u);
	inst.finish(inst.last_result_of(number)->grant, ended(EVIDENCE_RESET));
	EXPECT_EQ(inst.count(EVENT_GRANT), 3u);
	EXPECT_EQ(inst.last_result_of(number)->kind, EVENT_REFUSE);
}

struct lend_case {
	const char *name;
	enum health_state state;
	bool failed; /* the latest request failed */
	uint32_t slots; /* that may be lent */
};

const struct lend_case lend_cases[] = {
	{ "in service", HEALTH_IN_SERVICE, false, 4 },
	{ "in service, just failed", HEALTH_IN_SERVICE, true, 0 },
	{ "trickle", HEALTH_TRICKLE, false, 0 },
	{ "ejected", HEALTH_EJECTED, false, 0 },
};

TEST(CautionTest, OnlySlotsOfTrustedServersAreLent)
{
	for (const auto &c : lend_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;

		inst.list(1);
		inst.accept(make_doc(doc_shape()));
		struct backend *backend = &inst.service()->backends[0];

		if (c.failed)
			observe_end(inst, backend, EVIDENCE_RESET);
		backend->health.state = c.state;
		EXPECT_EQ(backend_lendable_slots(backend, inst.now), c.slots);
	}
}

struct policy_case {
	const char *name;
	enum policy_choice policy;
	uint32_t same_domain_slots; /* of six, at a home in its domain */
	uint32_t other_domain_slots;
};

const struct policy_case policy_cases[] = {
	{ "all slots in its domain, a third elsewhere", POLICY_DOMAIN, 6, 2 },
	{ "all slots everywhere", POLICY_OPEN, 6, 6 },
};

TEST(CautionTest, SlotsByFailureDomain)
{
	for (const auto &c : policy_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst(0, 2);
		struct policy policy = inst.state->policy;

		policy.sharing = c.policy == POLICY_DOMAIN ? SHARING_DOMAIN :
							     SHARING_NONE;
		inst.state->policy = policy;
		inst.list(2, 2);
		inst.accept(make_doc(doc_shape()));
		for (uint32_t i = 0; i < inst.service()->backend_count; i++) {
			const struct backend *backend =
				&inst.service()->backends[i];
			bool same_domain = name_equal(&backend->domain,
						      &inst.settings.domain);

			EXPECT_EQ(backend->own_slots,
				  same_domain ? c.same_domain_slots :
						c.other_domain_slots);
		}
	}
}

} // namespace
