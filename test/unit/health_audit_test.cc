/*
 * The audit record of the end of a trickle, by a relapse or by the ramp, has
 * the counts of requests that caused it.
 */
#include <gtest/gtest.h>

extern "C" {
#include "codec/document_json.h"
#include "command/health.h"
}

namespace
{

const char document[] =
	R"({"service":"s","path_prefix":"/","backends":[)"
	R"({"ip":"127.0.0.1","port":9001,"failure_domain":"a","slots":6,)"
	R"("connections":350},)"
	R"({"ip":"127.0.0.1","port":9002,"failure_domain":"b","slots":6,)"
	R"("connections":350}],)"
	R"("classes":[{"name":"c","priority":0,"queue":1}],"routes":[],)"
	R"("healthy_floor":{"slots":6},"default_budget_ms":1000})";

struct trickle_case {
	const char *name;
	std::vector<enum evidence_kind> evidence_kinds; /* in order */
	enum audit_kind kind;
	enum audit_cause cause;
	uint32_t ok_requests;
	uint32_t failed_requests;
};

const struct trickle_case trickle_cases[] = {
	{ "fails on the first request",
	  { EVIDENCE_SERVER_ERROR },
	  AUDIT_EJECTED,
	  CAUSE_RELAPSE,
	  0,
	  1 },
	{ "fails after two successes",
	  { EVIDENCE_OK, EVIDENCE_OK, EVIDENCE_TRUNCATED },
	  AUDIT_EJECTED,
	  CAUSE_RELAPSE,
	  2,
	  1 },
	{ "succeeds",
	  { EVIDENCE_OK, EVIDENCE_OK, EVIDENCE_OK, EVIDENCE_OK, EVIDENCE_OK },
	  AUDIT_RAMP,
	  CAUSE_TRICKLE_OK,
	  5,
	  0 },
};

TEST(HealthAuditTest, EndOfTrickleHasRequestCounts)
{
	for (const auto &c : trickle_cases) {
		SCOPED_TRACE(c.name);
		struct settings settings = {};
		struct instant now = { 1000 * US_PER_S, 1700000000000 };
		struct event_list events;
		struct ticket ticket = {};

		settings.requests_max = 8;
		settings.retry_min_ms = 1000;
		settings.retry_earned_permille = 100;
		settings.retry_max_ms = 3000;
		struct state *state = state_new(&settings);
		struct service_doc *doc = service_doc_parse(
			"doc", document, sizeof(document) - 1, 1, NULL);
		ASSERT_NE(doc, nullptr);
		struct service *service = service_new(doc);
		service_doc_unref(doc);
		g_hash_table_insert(state->services, g_strdup("s"), service);
		event_list_init(&events);
		ticket.service = service;
		ticket.route_index = DOC_ROUTES_MAX;
		ticket.granted_us = now.mono_us;
		service->backends[0].health.state = HEALTH_TRICKLE;
		for (enum evidence_kind kind : c.evidence_kinds) {
			struct evidence evidence = {};

			evidence.kind = kind;
			health_observe_exchange(state, service,
						&service->backends[0], &ticket,
						&evidence, now, &events);
		}
		ASSERT_EQ(state->audit_next, 2U);
		const struct audit_record &record = state->audit[1];
		EXPECT_EQ(record.kind, c.kind);
		EXPECT_EQ(record.cause, c.cause);
		EXPECT_EQ(record.evidence.ok_requests, c.ok_requests);
		EXPECT_EQ(record.evidence.failed_requests, c.failed_requests);
		EXPECT_EQ(record.evidence.floor_slots, 6U);
		event_list_clear(&events);
		state_free(state);
	}
}

} // namespace
