/*
 * Routes of the platform's configuration in many forms: what the platform's
 * pages allow is served in its proportions, and what cannot be used rejects its
 * requests. Guards against a route whose requests run at the service of the
 * next shorter prefix (review/11), as an instance has left the route out.
 */
#include <cmath>
#include <map>

#include "test_instance.h"

extern "C" {
#include "codec/document_json.h"
#include "platform/documents.h"
#include "platform/operator_config.h"
#include "query/entries.h"
}

namespace
{

/* Requests to each form; a part's share lies this close to its weight's. */
constexpr uint32_t REQUESTS = 400;
constexpr double SHARE_OFF = 0.08;

const char *const services[] = { "ledger", "fees", "fees-next" };

/* Shares of the requests by service; what is not named is rejected. */
using shares = std::map<std::string, double>;

/* Fields of a route that each form has unless it says otherwise. */
struct route_fields {
	std::string prefix = R"("/write/fees/")";
	std::string route_type = R"("unsafe")";
	std::string timeout = R"("1200ms")";
	std::string priority = "2";
	std::string attempts = "2";
	std::string target = R"("service":"fees")";
};

struct form_case {
	const char *name;
	struct route_fields fields;
	shares served;
	std::string path = "/write/fees/1";
};

std::string part(const std::string &service, const std::string &weight)
{
	return R"({"service":")" + service + R"(","weight":)" + weight + "}";
}

struct route_fields split(const std::string &first, const std::string &second)
{
	struct route_fields fields;

	fields.target = R"("trafficSplit":[)" + part("fees", first) + "," +
			part("fees-next", second) + "]";
	return fields;
}

/* A split of @count equal parts, the last of which is fees-next. */
struct route_fields split_of(uint32_t count)
{
	struct route_fields fields;
	std::string parts;

	for (uint32_t i = 0; i + 1 < count; i++)
		parts += part("fees", "1") + ",";
	fields.target =
		R"("trafficSplit":[)" + parts + part("fees-next", "1") + "]";
	return fields;
}

/* The fields of every form but for one. */
struct route_fields with(std::string route_fields::*field,
			 const std::string &value)
{
	struct route_fields fields;

	fields.*field = value;
	return fields;
}

const shares all = { { "fees", 1 } };
const shares three_quarters = { { "fees", 0.75 }, { "fees-next", 0.25 } };
const shares none = {};
const std::string long_segment(300, 'a');

const struct form_case form_cases[] = {
	/* What the pages allow. */
	{ "one service", {}, all },
	{ "whole weights", split("75", "25"), three_quarters },
	{ "weights with a fraction", split("0.75", "0.25"), three_quarters },
	{ "weights with an exponent", split("7.5e-1", "25E-2"),
	  three_quarters },
	{ "weights with a fraction of zero", split("3.0", "1.0"),
	  three_quarters },
	{ "a whole and a broken weight", split("3", "1.0"), three_quarters },
	{ "weights of many digits",
	  split("0.75000000000000000000000001", "0.25"), three_quarters },
	{ "weights above 64 bits",
	  split("75000000000000000000000000", "25000000000000000000000000"),
	  three_quarters },
	{ "weights of 20 digits",
	  split("60000000000000000000", "20000000000000000000"),
	  three_quarters },
	{ "large weights", split("9e300", "3e300"), three_quarters },
	{ "small weights", split("9e-300", "3e-300"), three_quarters },
	{ "the smallest weights", split("1.5e-323", "5e-324"), three_quarters },
	{ "weights above the bound of the table",
	  split("9000000000000000000", "3000000000000000000"), three_quarters },
	{ "weights that differ by 18 powers of ten", split("1e18", "1"), all },
	{ "weights that differ by 600 powers of ten", split("1e300", "1e-300"),
	  all },
	{ "a weight of zero", split("0.1", "0.0"), all },
	{ "a weight of minus zero", split("0.1", "-0"), all },
	{ "17 parts",
	  split_of(17),
	  { { "fees", 16 / 17.0 }, { "fees-next", 1 / 17.0 } } },
	{ "1,000 parts",
	  split_of(1000),
	  { { "fees", 0.999 }, { "fees-next", 0.001 } } },
	{ "a prefix of 311 bytes",
	  with(&route_fields::prefix, "\"/write/fees/" + long_segment + "/\""),
	  all, "/write/fees/" + long_segment + "/1" },
	{ "a prefix with brackets",
	  with(&route_fields::prefix, R"("/write/fees[1]|\"x/")"), all,
	  "/write/fees[1]|\"x/1" },
	{ "a priority with a fraction of zero",
	  with(&route_fields::priority, "2.0"), all },
	{ "a priority with an exponent", with(&route_fields::priority, "2e0"),
	  all },
	{ "a large priority",
	  with(&route_fields::priority, "99999999999999999999"), all },
	{ "attempts with a fraction of zero",
	  with(&route_fields::attempts, "2.0"), all },
	{ "many attempts", with(&route_fields::attempts, "1e9"), all },
	{ "a time limit with an exponent",
	  with(&route_fields::timeout, R"("1.2e3ms")"), all },
	{ "a time limit of two days",
	  with(&route_fields::timeout, R"("172800s")"), all },
	{ "an empty split beside a service",
	  with(&route_fields::target, R"("service":"fees","trafficSplit":[])"),
	  all },
	{ "no split beside a service",
	  with(&route_fields::target,
	       R"("service":"fees","trafficSplit":null)"),
	  all },
	/* What cannot be used. */
	{ "a weight in quotes", split(R"("0.75")", "0.25"), none },
	{ "a weight that is null", split("null", "1"), none },
	{ "a negative weight", split("-0.1", "1"), none },
	{ "a weight beyond all numbers", split("1e999", "1"), none },
	{ "weights that add up to 0", split("0.0", "0"), none },
	{ "a split without weights",
	  with(&route_fields::target, R"("trafficSplit":[{"service":"fees"}])"),
	  none },
	{ "a split of numbers",
	  with(&route_fields::target, R"("trafficSplit":[1])"), none },
	{ "a split that is no list",
	  with(&route_fields::target,
	       R"("service":"fees","trafficSplit":{"service":"fees"})"),
	  none },
	{ "an empty split", with(&route_fields::target, R"("trafficSplit":[])"),
	  none },
	{ "no service", with(&route_fields::target, R"("x":1)"), none },
	{ "a service that is no text",
	  with(&route_fields::target, R"("service":7)"), none },
	{ "a service with an invalid name",
	  with(&route_fields::target, R"("service":"fees v2")"), none },
	{ "a service with a long name",
	  with(&route_fields::target, R"("service":")" + long_segment + "\""),
	  none },
	{ "a service that is not configured",
	  with(&route_fields::target, R"("service":"none")"), none },
	{ "a service that cannot be used",
	  with(&route_fields::target, R"("service":"unconnected")"), none },
	{ "a part whose service cannot be used",
	  with(&route_fields::target,
	       R"("trafficSplit":[{"service":"fees","weight":0.75},)"
	       R"({"service":"no name","weight":0.25}])"),
	  { { "fees", 0.75 } } },
	{ "a prefix without its last slash",
	  with(&route_fields::prefix, R"("/write/fees")"), none },
	{ "the same, a path that goes on",
	  with(&route_fields::prefix, R"("/write/fees")"), none,
	  "/write/fees-1" },
	{ "a prefix without its first slash",
	  with(&route_fields::prefix, R"("write/fees/")"), none },
	{ "a prefix with a space",
	  with(&route_fields::prefix, R"("/write/a b/")"), none,
	  "/write/a%20b/1" },
	{ "a prefix in another script",
	  with(&route_fields::prefix, R"("/write/\u00e9/")"), none,
	  "/write/%C3%A9/1" },
	{ "no route type", with(&route_fields::route_type, "null"), none },
	{ "no time limit", with(&route_fields::timeout, "null"), none },
	{ "a time limit of 0", with(&route_fields::timeout, R"("0ms")"), none },
	{ "a time limit without a unit",
	  with(&route_fields::timeout, R"("1200")"), none },
	{ "a time limit that is a number", with(&route_fields::timeout, "1200"),
	  none },
	{ "a negative time limit", with(&route_fields::timeout, R"("-1s")"),
	  none },
	{ "a time limit beyond all numbers",
	  with(&route_fields::timeout, R"("1e999s")"), none },
	{ "no priority", with(&route_fields::priority, "null"), none },
	{ "a negative priority", with(&route_fields::priority, "-1"), none },
	{ "a priority in quotes", with(&route_fields::priority, R"("2")"),
	  none },
	{ "no attempts", with(&route_fields::attempts, "0"), none },
	{ "half an attempt", with(&route_fields::attempts, "0.5"), none },
};

std::string route_text(const struct route_fields &fields)
{
	return R"({"prefix":)" + fields.prefix + R"(,"routeType":)" +
	       fields.route_type + R"(,"timeout":)" + fields.timeout +
	       R"(,"targetLatency":"600ms","priority":)" + fields.priority +
	       R"(,"maxAttempts":)" + fields.attempts + "," + fields.target +
	       "}";
}

std::string config_text(const std::string &hosts)
{
	std::string list = R"({"name":"unconnected"})";

	for (const char *name : services)
		list += std::string(R"(,{"name":")") + name +
			R"(","maxConnections":330})";
	return R"({"version":"r9","services":[)" + list + R"(],"hosts":[)" +
	       hosts + "]}";
}

std::string host_text(const std::string &host, const std::string &routes)
{
	return R"({"host":")" + host + R"(","paths":[)" + routes + "]}";
}

/* The table that each instance reads, from the reader or from a peer. */
struct routing_table *table_of(const std::string &text)
{
	GBytes *value = g_bytes_new(text.data(), text.size());
	const char *reason = nullptr;
	struct operator_config *config = operator_config_read(value, &reason);
	struct routing_table *table = nullptr;
	GError *error = nullptr;

	EXPECT_NE(config, nullptr) << reason;
	if (config) {
		char *document = documents_routes(config);

		table = routing_table_parse(ROUTING_KEY, document,
					    strlen(document), 9, &error);
		EXPECT_NE(table, nullptr) << (error ? error->message : "");
		g_free(document);
	}
	g_clear_error(&error);
	operator_config_free(config);
	g_bytes_unref(value);
	return table;
}

/* An instance with all services, service i at backend server i. */
void configure(TestInstance &inst, const std::string &config)
{
	struct command command = {};

	inst.settings.platform_kind = PLATFORM_STORE;
	inst.list(1);
	for (uint32_t i = 0; i < G_N_ELEMENTS(services); i++) {
		struct service_doc *doc = make_doc({ 1 });

		name_set(&doc->service, services[i]);
		doc->path_prefix[0] = '\0';
		doc->routed = true;
		doc->backends[0].addr = addr_of(200 + i, 9000);
		inst.accept(doc);
	}
	command.kind = COMMAND_ACCEPT_ROUTES;
	command.accept_routes.table = table_of(config);
	ASSERT_NE(command.accept_routes.table, nullptr);
	inst.apply(command);
	inst.tick();
}

/* Return: requests by service; those that were rejected count for "". */
std::map<std::string, uint32_t>
send(TestInstance &inst, const std::string &host, const std::string &path)
{
	std::map<std::string, uint32_t> counts;

	for (uint32_t i = 0; i < REQUESTS; i++) {
		const struct event *event = inst.last_result_of(
			inst.request(path.c_str(), i, DEADLINE_NONE_US,
				     METHOD_POST, host.c_str()));

		if (!event) {
			ADD_FAILURE() << "a request waits";
			break;
		}
		if (event->kind == EVENT_GRANT) {
			counts[services[event->grant.backend.ip -
					addr_of(200, 9000).ip]]++;
			inst.finish(event->grant, ended(EVIDENCE_OK));
		} else {
			EXPECT_STREQ(
				refusal_cause_text(event->refuse.refusal.cause),
				"unusable_route");
			EXPECT_EQ(event->refuse.refusal.outcome,
				  OUTCOME_NOT_RUN);
			counts[""]++;
		}
		inst.forget();
	}
	return counts;
}

TEST(RouteForms, NoRouteGetsTheRequestsOfAnother)
{
	const std::string shorter =
		route_text({ R"("/write/")", R"("safe")", R"("9s")", "1", "3",
			     R"("service":"ledger")" });

	for (const auto &c : form_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		double rejected = 1;

		configure(inst, config_text(host_text(
					"h.example",
					shorter + "," + route_text(c.fields))));
		auto counts = send(inst, "h.example", c.path);

		EXPECT_EQ(counts["ledger"], 0u);
		for (const auto &share : c.served) {
			EXPECT_NEAR(counts[share.first] / (double)REQUESTS,
				    share.second, SHARE_OFF)
				<< share.first;
			rejected -= share.second;
		}
		if (std::abs(rejected) < 1e-9)
			EXPECT_EQ(counts[""], 0u);
		else
			EXPECT_NEAR(counts[""] / (double)REQUESTS, rejected,
				    SHARE_OFF);
		EXPECT_EQ(send(inst, "h.example", "/write/1")["ledger"],
			  REQUESTS);
	}
}

struct host_case {
	const char *name;
	std::string host; /* as configured */
	std::string entry; /* of the configuration */
	std::string asked; /* Host of the requests */
	shares served;
	uint32_t rejecting_routes;
	uint32_t left_out;
};

const std::string long_host = std::string(190, 'h') + ".example";
const std::string fees_route = route_text({});

const struct host_case host_cases[] = {
	{ "a short name", "h.example", host_text("h.example", fees_route),
	  "h.example", all, 0, 1 },
	{ "a name of 198 bytes", long_host, host_text(long_host, fees_route),
	  long_host, all, 0, 1 },
	{ "no list of routes", "h.example", R"({"host":"h.example"})",
	  "h.example", none, 1, 1 },
	{ "routes that are no list", "h.example",
	  R"({"host":"h.example","paths":{}})", "h.example", none, 1, 1 },
	{ "a route that cannot be used, beside one that can", "h.example",
	  host_text("h.example",
		    fees_route + "," +
			    route_text(with(&route_fields::timeout, "1"))),
	  "h.example", all, 0, 2 },
	{ "a route without a prefix", "h.example",
	  host_text("h.example", R"({"service":"ledger"},)" + fees_route),
	  "h.example", all, 0, 2 },
	{ "an entry that is no host", "h.example",
	  "7," + host_text("h.example", fees_route), "h.example", all, 0, 2 },
};

/* The directory names instances for every host whose requests are known. */
TEST(RouteForms, HostsAreKnownToTheDirectory)
{
	for (const auto &c : host_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		struct query query = {};
		struct query_reply reply = {};
		double rejected = 1;

		configure(inst, config_text(c.entry));
		EXPECT_EQ(inst.state->routes->rejecting_routes,
			  c.rejecting_routes);
		EXPECT_EQ(inst.state->routes->left_out, c.left_out);
		query.kind = QUERY_ENTRIES;
		ASSERT_TRUE(
			host_set(&query.host, c.host.data(), c.host.size()));
		entries_answer(inst.state, &query, inst.now, &reply.entries);
		EXPECT_TRUE(reply.entries.known);
		EXPECT_EQ(reply.entries.entry_count, 1u);
		auto counts = send(inst, c.asked, "/write/fees/1");

		for (const auto &share : c.served) {
			EXPECT_EQ(counts[share.first], REQUESTS);
			rejected -= share.second;
		}
		EXPECT_EQ(counts[""], rejected * REQUESTS);
	}
}

/* Requests that are rejected need no key: it is not known if they do. */
TEST(RouteForms, RejectedBeforeTheKeyIsAsked)
{
	TestInstance inst;
	std::string config =
		config_text(host_text("h.example", R"({"prefix":"/a/"})"));

	config.insert(config.size() - 1,
		      R"(,"tenants":[{"name":"t","apiKeys":["k"]}])");
	configure(inst, config);
	EXPECT_EQ(send(inst, "h.example", "/a/1")[""], REQUESTS);
}

} // namespace
