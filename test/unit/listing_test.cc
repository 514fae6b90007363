/* Listings: audit records, document offers, metrics and status. */
#include <gtest/gtest.h>

extern "C" {
#include "codec/document_json.h"
#include "query/listing.h"
}

namespace
{

struct settings make_settings(void)
{
	struct settings settings = {};

	settings.peer_listen = { 0x7f000001, 8081 };
	settings.requests_max = 8;
	settings.retry_min_ms = 1000;
	settings.retry_earned_permille = 100;
	settings.retry_max_ms = 3000;
	return settings;
}

void add_record(struct state *state)
{
	struct audit_record record = {};
	struct event_list events;

	event_list_init(&events);
	state_audit(state, &record, { 1, 1 }, &events);
	event_list_clear(&events);
}

struct audit_case {
	const char *name;
	uint64_t records;
	uint64_t since_sequence;
	uint64_t first;
	uint32_t count;
};

const struct audit_case audit_cases[] = {
	{ "no records", 0, 0, 0, 0 },
	{ "all", 3, 0, 1, 3 },
	{ "only newer records", 3, 2, 3, 1 },
	{ "none new", 3, 3, 0, 0 },
	{ "a future sequence", 3, 9, 0, 0 },
	{ "the largest sequence", 3, UINT64_MAX, 0, 0 },
	{ "full ring", AUDIT_KEPT_RECORDS, 0, 1, AUDIT_KEPT_RECORDS },
	{ "older records are dropped", AUDIT_KEPT_RECORDS + 5, 0, 6,
	  AUDIT_KEPT_RECORDS },
	{ "only newer records, after older ones were dropped",
	  AUDIT_KEPT_RECORDS + 5, 4099, 4100, 2 },
};

TEST(ListingTest, AuditListsRecordsAfterASequence)
{
	for (const auto &c : audit_cases) {
		SCOPED_TRACE(c.name);
		struct settings settings = make_settings();
		struct state *state = state_new(&settings);

		for (uint64_t i = 0; i < c.records; i++)
			add_record(state);
		GArray *records = list_audit(state, c.since_sequence);
		ASSERT_EQ(records->len, c.count);
		for (uint32_t i = 0; i < c.count; i++)
			EXPECT_EQ(g_array_index(records, struct audit_record, i)
					  .sequence,
				  c.first + i);
		g_array_unref(records);
		state_free(state);
	}
}

/* What varies in a document of state_with(). */
struct test_doc {
	const char *service;
	uint64_t version;
	const char *floor; /* slots, as in the document */
};

/* Make a state and insert the documents in the given order. */
struct state *state_with(const struct settings *settings,
			 const std::vector<struct test_doc> &docs)
{
	struct state *state = state_new(settings);

	for (const auto &spec : docs) {
		std::string text =
			std::string(R"({"service":")") + spec.service +
			R"(","path_prefix":"/","backends":[{"ip":"127.0.0.1",)"
			R"("port":9001,"failure_domain":"a","slots":6,)"
			R"("connections":350}],"classes":[{"name":"judge",)"
			R"("priority":0,"queue":1}],"routes":[],)"
			R"("healthy_floor":{"slots":)" +
			spec.floor + R"(},"default_budget_ms":1})";
		struct service_doc *doc = service_doc_parse(
			"doc", text.data(), text.size(), spec.version, NULL);

		EXPECT_NE(doc, nullptr);
		g_hash_table_insert(state->services, g_strdup(spec.service),
				    service_new(doc));
		service_doc_unref(doc);
	}
	return state;
}

struct digest_case {
	const char *name;
	std::vector<struct test_doc> one;
	std::vector<struct test_doc> other;
	bool same;
};

const struct digest_case digest_cases[] = {
	{ "no documents", {}, {}, true },
	{ "another order",
	  { { "a", 1, "1" }, { "b", 2, "2" }, { "c", 3, "3" } },
	  { { "c", 3, "3" }, { "a", 1, "1" }, { "b", 2, "2" } },
	  true },
	{ "another version", { { "a", 1, "1" } }, { { "a", 2, "1" } }, false },
	{ "another text", { { "a", 1, "1" } }, { { "a", 1, "2" } }, false },
	{ "one document more",
	  { { "a", 1, "1" } },
	  { { "a", 1, "1" }, { "b", 1, "1" } },
	  false },
	{ "versions exchanged",
	  { { "a", 1, "1" }, { "b", 2, "1" } },
	  { { "a", 2, "1" }, { "b", 1, "1" } },
	  false },
};

TEST(ListingTest, OffersDigestDiffersWithDocuments)
{
	for (const auto &c : digest_cases) {
		SCOPED_TRACE(c.name);
		struct settings settings = make_settings();
		struct state *one = state_with(&settings, c.one);
		struct state *other = state_with(&settings, c.other);

		EXPECT_EQ(offers_digest(one) == offers_digest(other), c.same);
		state_free(one);
		state_free(other);
	}
}

TEST(ListingTest, OffersAreOrderedByKey)
{
	struct settings settings = make_settings();
	struct state *state = state_with(&settings, { { "c", 3, "1" },
						      { "a", 1, "1" },
						      { "b", 2, "1" } });
	GArray *offers = list_offers(state);

	ASSERT_EQ(offers->len, 3U);
	for (uint32_t i = 0; i < offers->len; i++)
		EXPECT_EQ(g_array_index(offers, struct config_offer, i).version,
			  i + 1);
	g_array_unref(offers);
	state_free(state);
}

TEST(ListingTest, MetricsCountMembersAndRecords)
{
	struct settings settings = make_settings();
	struct state *state = state_with(&settings, { { "a", 4, "1" } });
	const enum member_status statuses[] = { MEMBER_ALIVE, MEMBER_ALIVE,
						MEMBER_SUSPECT, MEMBER_DEAD,
						MEMBER_LEAVING };

	for (enum member_status status : statuses) {
		struct member member = {};

		member.status = status;
		g_array_append_val(state->membership.members, member);
	}
	add_record(state);
	state->refused_early[REFUSAL_TOO_LARGE] = 3;
	struct metrics_report *report = list_metrics(state, { 1, 1 });
	EXPECT_EQ(report->members_alive, 2U);
	EXPECT_EQ(report->members_suspect, 1U);
	EXPECT_EQ(report->members_dead, 1U);
	EXPECT_EQ(report->audit_records, 1U);
	EXPECT_EQ(report->refused_early[REFUSAL_TOO_LARGE], 3U);
	ASSERT_EQ(report->service_count, 1U);
	EXPECT_STREQ(report->services[0].service.text, "a");
	EXPECT_STREQ(report->services[0].classes[0].text, "judge");
	EXPECT_EQ(report->services[0].version, 4U);
	metrics_report_free(report);
	state_free(state);
}

struct cause_case {
	const char *name;
	std::vector<struct audit_record> records;
	enum audit_cause cause;
};

struct audit_record make_record(enum audit_kind kind, enum audit_cause cause,
				const char *service, uint16_t port)
{
	struct audit_record record = {};

	record.kind = kind;
	record.cause = cause;
	EXPECT_TRUE(name_set(&record.service, service));
	record.subject = { 0x7f000001, port };
	return record;
}

TEST(ListingTest, StatusNamesTheCauseOfTheLatestChange)
{
	const struct cause_case cases[] = {
		{ "no record", {}, CAUSE_NONE },
		{ "one record",
		  { make_record(AUDIT_EJECTED, CAUSE_SLOWNESS, "a", 9001) },
		  CAUSE_SLOWNESS },
		{ "the latest of two records",
		  { make_record(AUDIT_EJECTED, CAUSE_SLOWNESS, "a", 9001),
		    make_record(AUDIT_TRICKLE, CAUSE_BACKOFF_OVER, "a", 9001) },
		  CAUSE_BACKOFF_OVER },
		{ "another backend server",
		  { make_record(AUDIT_EJECTED, CAUSE_SLOWNESS, "a", 9002) },
		  CAUSE_NONE },
		{ "another service",
		  { make_record(AUDIT_EJECTED, CAUSE_SLOWNESS, "b", 9001) },
		  CAUSE_NONE },
		{ "a kind that does not change the state",
		  { make_record(AUDIT_EJECTED, CAUSE_SLOWNESS, "a", 9001),
		    make_record(AUDIT_EJECTION_WITHHELD, CAUSE_FLOOR, "a",
				9001) },
		  CAUSE_SLOWNESS },
		{ "a drain",
		  { make_record(AUDIT_DRAIN_BEGUN, CAUSE_DOCUMENT, "a", 9001) },
		  CAUSE_DOCUMENT },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		struct settings settings = make_settings();
		struct state *state =
			state_with(&settings, { { "a", 1, "1" } });
		struct event_list events;
		struct name all = {};

		event_list_init(&events);
		for (struct audit_record record : c.records)
			state_audit(state, &record, { 1, 1 }, &events);
		event_list_clear(&events);
		struct status_report *report =
			list_status(state, &all, { 1, 1 });
		ASSERT_EQ(report->service_count, 1U);
		ASSERT_EQ(report->services[0].backend_count, 1U);
		EXPECT_EQ(report->services[0].backends[0].state_cause, c.cause);
		EXPECT_EQ(report->services[0].backends[0].capacity_slots, 6U);
		EXPECT_EQ(report->services[0].floor_slots, 1U);
		status_report_free(report);
		state_free(state);
	}
}

struct status_case {
	const char *service;
	std::vector<std::string> shown;
};

const struct status_case status_cases[] = {
	{ "", { "a", "b", "c" } },
	{ "b", { "b" } },
	{ "absent", {} },
};

TEST(ListingTest, StatusShowsAllServicesOrOne)
{
	struct settings settings = make_settings();
	struct state *state = state_with(&settings, { { "c", 3, "1" },
						      { "a", 1, "1" },
						      { "b", 2, "1" } });

	for (const auto &c : status_cases) {
		SCOPED_TRACE(c.service);
		struct name name = {};

		EXPECT_EQ(name_set(&name, c.service), *c.service != '\0');
		struct status_report *report =
			list_status(state, &name, { 1, 1 });
		ASSERT_EQ(report->service_count, c.shown.size());
		for (uint32_t i = 0; i < report->service_count; i++)
			EXPECT_EQ(c.shown[i], report->services[i].service.text);
		status_report_free(report);
	}
	state_free(state);
}

} // namespace
