/* Routing table: parsing, matching, targets, versions and offers. */
#include "test_instance.h"

extern "C" {
#include "codec/document_json.h"
#include "query/answer.h"
#include "query/route.h"
}

namespace
{

std::string route_text(const std::string &prefix,
		       const std::string &extra_fields = "",
		       const std::string &targets = R"([{"service":"s"}])")
{
	return R"({"path_prefix":")" + prefix +
	       R"(","idempotent":true,"budget_ms":1000,"objective_ms":500)" +
	       extra_fields + R"(,"targets":)" + targets + "}";
}

std::string table_text(const std::string &routes,
		       const std::string &host = "H.example")
{
	return R"({"hosts":[{"host":")" + host + R"(","routes":[)" + routes +
	       "]}]}";
}

struct parse_case {
	const char *name;
	std::string text;
	bool accepted;
	enum settings_error code;
};

const struct parse_case parse_cases[] = {
	{ "one route", table_text(route_text("/a/")), true, SETTINGS_ERROR_IO },
	{ "no host", R"({"hosts":[]})", true, SETTINGS_ERROR_IO },
	{ "hosts is missing", "{}", false, SETTINGS_ERROR_MISSING },
	{ "duplicate host",
	  R"({"hosts":[{"host":"a","routes":[]},{"host":"A","routes":[]}]})",
	  false, SETTINGS_ERROR_DUPLICATE },
	{ "duplicate prefix",
	  table_text(route_text("/a/") + "," + route_text("/a/")), false,
	  SETTINGS_ERROR_DUPLICATE },
	{ "a prefix without a trailing slash", table_text(route_text("/a")),
	  false, SETTINGS_ERROR_RANGE },
	{ "no target", table_text(route_text("/a/", "", "[]")), false,
	  SETTINGS_ERROR_RANGE },
	{ "weights add up to 0",
	  table_text(route_text("/a/", "", R"([{"service":"s","weight":0}])")),
	  false, SETTINGS_ERROR_RANGE },
	{ "zero tries", table_text(route_text("/a/", R"(,"tries":0)")), false,
	  SETTINGS_ERROR_RANGE },
	{ "an unknown field", table_text(route_text("/a/", R"(,"x":1)")), false,
	  SETTINGS_ERROR_UNKNOWN },
};

TEST(RoutingTest, ParsesOrRefusesTable)
{
	for (const auto &c : parse_cases) {
		SCOPED_TRACE(c.name);
		GError *error = nullptr;
		struct routing_table *table = routing_table_parse(
			"t", c.text.data(), c.text.size(), 1, &error);

		EXPECT_EQ(table != nullptr, c.accepted)
			<< (error ? error->message : "");
		if (!c.accepted) {
			EXPECT_TRUE(
				g_error_matches(error, SETTINGS_ERROR, c.code))
				<< error->message;
		}
		g_clear_error(&error);
		routing_table_unref(table);
	}
}

struct find_case {
	const char *host;
	const char *path;
	const char *prefix; /* NULL for none */
};

const struct find_case find_cases[] = {
	{ "h.example", "/a/x", "/a/" },	    { "h.example", "/a/", "/a/" },
	{ "h.example", "/a/b/x", "/a/b/" }, { "h.example", "/a/b", "/a/" },
	{ "h.example", "/a", nullptr },	    { "h.example", "/ab/x", nullptr },
	{ "h.example", "/", nullptr },	    { "other", "/a/x", nullptr },
};

TEST(RoutingTest, TheLongestPrefixWins)
{
	std::string text =
		table_text(route_text("/a/") + "," + route_text("/a/b/"));
	struct routing_table *table =
		routing_table_parse("t", text.data(), text.size(), 1, nullptr);

	ASSERT_NE(table, nullptr);
	for (const auto &c : find_cases) {
		SCOPED_TRACE(std::string(c.host) + c.path);
		const struct table_route *route =
			routing_table_find(table, c.host, c.path);

		ASSERT_EQ(route != nullptr, c.prefix != nullptr);
		if (route) {
			EXPECT_STREQ(route->path_prefix, c.prefix);
		}
	}
	routing_table_unref(table);
}

void accept_table(TestInstance &inst, const std::string &text, uint64_t version)
{
	struct command command = {};

	command.kind = COMMAND_ACCEPT_ROUTES;
	command.accept_routes.table = routing_table_parse(
		"t", text.data(), text.size(), version, nullptr);
	ASSERT_NE(command.accept_routes.table, nullptr);
	inst.apply(command);
}

struct match_case {
	const char *name;
	const char *path;
	bool table;
	bool document;
	enum route_result result;
};

const struct match_case match_cases[] = {
	{ "nothing is known yet", "/a/x", false, false, ROUTE_UNKNOWN },
	{ "the table is not known yet", "/a/x", false, true, ROUTE_UNKNOWN },
	{ "the service is not known yet", "/a/x", true, false, ROUTE_UNKNOWN },
	{ "both are known", "/a/x", true, true, ROUTE_FOUND },
	{ "no route", "/b/x", true, true, ROUTE_NONE },
};

TEST(RoutingTest, FindsRouteNoneOrUnknown)
{
	for (const auto &c : match_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		struct service_doc *doc = make_doc({});
		struct request_facts facts = {};
		struct route_match match;

		inst.settings.platform_kind = PLATFORM_STORE;
		doc->path_prefix[0] = '\0';
		doc->routed = true;
		if (c.table)
			accept_table(inst,
				     table_text(route_text("/a/",
							   R"(,"priority":1)")),
				     1);
		if (c.document)
			inst.accept(doc);
		else
			service_doc_unref(doc);
		host_set(&facts.host, "h.example", strlen("h.example"));
		facts.path = c.path;
		EXPECT_EQ(route_find(inst.state, &facts, &match), c.result);
		if (c.result == ROUTE_FOUND) {
			EXPECT_EQ(match.class_index, 1u);
			EXPECT_TRUE(match.budget_is_limit);
		}
	}
}

TEST(RoutingTest, WeightsSplitTheRequests)
{
	TestInstance inst;
	struct service_doc *other = make_doc({});
	struct request_facts facts = {};
	struct route_match match;
	uint32_t first_count = 0;

	name_set(&other->service, "t");
	inst.accept(make_doc({}));
	inst.accept(other);
	accept_table(
		inst,
		table_text(route_text(
			"/a/", "",
			R"([{"service":"s","weight":90},{"service":"t","weight":10}])")),
		1);
	host_set(&facts.host, "h.example", strlen("h.example"));
	facts.path = "/a/x";
	for (int i = 0; i < 10000; i++) {
		ASSERT_EQ(route_find(inst.state, &facts, &match), ROUTE_FOUND);
		first_count += match.service == inst.service();
	}
	EXPECT_NEAR(first_count, 9000, 300);
}

struct version_case {
	const char *name;
	uint64_t version;
	bool from_peer;
	uint64_t in_force;
};

const struct version_case version_cases[] = {
	{ "the first version", 5, false, 5 },
	{ "an older version", 4, false, 5 },
	{ "an older version of a peer", 3, true, 5 },
	{ "a newer version of a peer", 8, true, 8 },
	{ "the same version again", 8, false, 8 },
};

TEST(RoutingTest, OlderVersionIsIgnored)
{
	TestInstance inst;

	for (const auto &c : version_cases) {
		SCOPED_TRACE(c.name);
		struct command command = {};
		std::string text = table_text(route_text("/a/"));

		command.kind = COMMAND_ACCEPT_ROUTES;
		command.accept_routes.from_peer = c.from_peer;
		command.accept_routes.table = routing_table_parse(
			"t", text.data(), text.size(), c.version, nullptr);
		inst.apply(command);
		EXPECT_EQ(inst.state->routes->version, c.in_force);
	}
}

/* Peers get the table as one document, so they never mix two versions of it. */
TEST(RoutingTest, TableIsOfferedAsDocument)
{
	TestInstance inst;
	GArray *offers;

	accept_table(inst, table_text(route_text("/a/")), 3);
	struct query query = {};
	struct query_reply reply = {};

	query.kind = QUERY_DOCUMENT;
	g_strlcpy(query.service.text, ROUTING_KEY, NAME_BYTES_MAX);
	query_answer(inst.state, &query, inst.now, &reply);
	EXPECT_EQ(reply.document.version, 3u);
	ASSERT_NE(reply.document.text, nullptr);
	query_reply_clear(&reply);
	query.kind = QUERY_OFFERS;
	query_answer(inst.state, &query, inst.now, &reply);
	offers = reply.offers;
	ASSERT_EQ(offers->len, 1u);
	EXPECT_STREQ(g_array_index(offers, struct config_offer, 0).key.text,
		     ROUTING_KEY);
	query_reply_clear(&reply);
}

} // namespace
