/* Decoding of the platform's configuration, entries and answers. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "codec/document_json.h"
#include "platform/directory.h"
#include "platform/documents.h"
#include "platform/operator_config.h"
#include "platform/store_wire.h"
#include "platform/upstream.h"
#include "platform/wire_json.h"
}

namespace
{

GBytes *bytes_of(const std::string &text)
{
	return g_bytes_new(text.data(), text.size());
}

struct duration_case {
	const char *text;
	bool accepted;
	uint32_t ms;
};

const struct duration_case duration_cases[] = {
	{ "1500ms", true, 1500 }, { "2.5s", true, 2500 },
	{ "0ms", true, 0 },	  { "0.2ms", true, 1 },
	{ "10s", true, 10000 },	  { "", false, 0 },
	{ "1500", false, 0 },	  { "-1s", false, 0 },
	{ "1 s", false, 0 },	  { "1sx", false, 0 },
	{ "ms", false, 0 },	  { "1m", false, 0 },
	{ "0x1s", false, 0 },	  { "nans", false, 0 },
	{ "1e999s", false, 0 },	  { "1e9s", true, 86400000 },
};

TEST(PlatformDecode, Durations)
{
	for (const auto &c : duration_cases) {
		SCOPED_TRACE(c.text);
		struct json_object *root = json_object_new_object();
		uint32_t ms = 0;

		json_object_object_add(root, "t",
				       json_object_new_string(c.text));
		EXPECT_EQ(wire_duration_ms(root, "t", &ms), c.accepted);
		if (c.accepted) {
			EXPECT_EQ(ms, c.ms);
		}
		json_object_put(root);
	}
}

const std::string good_info =
	R"("info":{"service":"rolls","version":"v1","zone":"a","maxConcurrency":3})";
const std::string good_status =
	R"("status":{"state":"ready","sequence":4,"warmupLeft":"0ms"})";
const std::string good_address = R"("address":"10.1.0.9:8080")";

struct upstream_case {
	const char *name;
	const char *instance;
	std::string value;
	bool accepted;
	bool draining;
	bool warming;
	uint64_t started_unix_ms;
};

const struct upstream_case upstream_cases[] = {
	{ "as written", "i-1",
	  "{" + good_address + "," + good_info + "," + good_status + "}", true,
	  false, false, 0 },
	{ "with its start time", "i-1",
	  "{" + good_address + "," + good_info + "," + good_status +
		  ",\"born\":1700000000123}",
	  true, false, false, 1700000000123 },
	{ "draining", "i-1",
	  "{" + good_address + "," + good_info +
		  R"(,"status":{"state":"draining","sequence":5,)" +
		  R"("warmupLeft":"0ms"}})",
	  true, true, false, 0 },
	{ "warming up", "i-1",
	  "{" + good_address + "," + good_info +
		  R"(,"status":{"state":"ready","sequence":5,)" +
		  R"("warmupLeft":"1.5s"}})",
	  true, false, true, 0 },
	{ "an unknown field is ignored", "i-1",
	  "{" + good_address + "," + good_info + "," + good_status +
		  ",\"x\":[1]}",
	  true, false, false, 0 },
	{ "an invalid name", "i/1",
	  "{" + good_address + "," + good_info + "," + good_status + "}", false,
	  false, false, 0 },
	{ "not JSON", "i-1", "\xff\xfe", false, false, false, 0 },
	{ "an empty value", "i-1", "", false, false, false, 0 },
	{ "a list", "i-1", "[]", false, false, false, 0 },
	{ "no address", "i-1", "{" + good_info + "," + good_status + "}", false,
	  false, false, 0 },
	{ "an address of another type", "i-1",
	  "{\"address\":8080," + good_info + "," + good_status + "}", false,
	  false, false, 0 },
	{ "no info", "i-1", "{" + good_address + "," + good_status + "}", false,
	  false, false, 0 },
	{ "slots out of range", "i-1",
	  "{" + good_address +
		  R"(,"info":{"service":"rolls","zone":"a","maxConcurrency":0},)" +
		  good_status + "}",
	  false, false, false, 0 },
	{ "slots with a fraction of zero", "i-1",
	  "{" + good_address +
		  R"(,"info":{"service":"rolls","version":"v1","zone":"a",)" +
		  R"("maxConcurrency":3.0},)" + good_status + "}",
	  true, false, false, 0 },
	{ "a start time and a sequence with exponents", "i-1",
	  "{" + good_address + "," + good_info +
		  R"(,"status":{"state":"ready","sequence":4e0,)" +
		  R"("warmupLeft":"0ms"},"born":1.7e12})",
	  true, false, false, 1700000000000 },
	{ "a start time with a fraction", "i-1",
	  "{" + good_address + "," + good_info + "," + good_status +
		  R"(,"born":1.5})",
	  false, false, false, 0 },
	{ "slots of another type", "i-1",
	  "{" + good_address +
		  R"(,"info":{"service":"rolls","zone":"a","maxConcurrency":"3"},)" +
		  good_status + "}",
	  false, false, false, 0 },
	{ "no state", "i-1", "{" + good_address + "," + good_info + "}", false,
	  false, false, 0 },
	{ "an unknown state", "i-1",
	  "{" + good_address + "," + good_info +
		  R"(,"status":{"state":"resting"}})",
	  false, false, false, 0 },
	{ "a warm-up that is not a duration", "i-1",
	  "{" + good_address + "," + good_info +
		  R"(,"status":{"state":"ready","warmupLeft":7}})",
	  false, false, false, 0 },
	{ "no version", "i-1",
	  "{" + good_address +
		  R"(,"info":{"service":"rolls","zone":"a","maxConcurrency":3},)" +
		  good_status + "}",
	  false, false, false, 0 },
	{ "no sequence", "i-1",
	  "{" + good_address + "," + good_info +
		  R"(,"status":{"state":"ready","warmupLeft":"0ms"}})",
	  false, false, false, 0 },
	{ "a sequence that is too large", "i-1",
	  "{" + good_address + "," + good_info +
		  R"(,"status":{"state":"ready","warmupLeft":"0ms",)" +
		  R"("sequence":99999999999999999999999999}})",
	  false, false, false, 0 },
	{ "no warm-up", "i-1",
	  "{" + good_address + "," + good_info +
		  R"(,"status":{"state":"ready","sequence":4}})",
	  false, false, false, 0 },
};

TEST(PlatformDecode, Upstreams)
{
	for (const auto &c : upstream_cases) {
		SCOPED_TRACE(c.name);
		struct upstream upstream;
		GBytes *value = bytes_of(c.value);
		const char *reason =
			upstream_read(c.instance, value, &upstream);

		EXPECT_EQ(reason == nullptr, c.accepted)
			<< (reason ? reason : "");
		if (!reason) {
			EXPECT_STREQ(upstream.instance.text, c.instance);
			EXPECT_STREQ(upstream.service.text, "rolls");
			EXPECT_STREQ(upstream.domain.text, "a");
			EXPECT_EQ(upstream.addr.port, 8080);
			EXPECT_EQ(upstream.slots, 3u);
			EXPECT_EQ(upstream.draining, c.draining);
			EXPECT_EQ(upstream.warming, c.warming);
			EXPECT_EQ(upstream.started_unix_ms, c.started_unix_ms);
		}
		g_bytes_unref(value);
	}
	struct upstream upstream;

	EXPECT_NE(upstream_read("i-1", NULL, &upstream), nullptr);
}

/* A backend server with more slots than a document may give is not lost. */
TEST(PlatformDecode, SlotsAboveTheBoundAreUsedAtIt)
{
	for (const char *slots : { "1025", "1e9", "18446744073709551617" }) {
		SCOPED_TRACE(slots);
		struct upstream upstream = {};
		GBytes *value = bytes_of(
			"{" + good_address +
			R"(,"info":{"service":"rolls","version":"v1",)" +
			R"("zone":"a","maxConcurrency":)" + slots + "}," +
			good_status + "}");

		EXPECT_EQ(upstream_read("i-1", value, &upstream), nullptr);
		EXPECT_EQ(upstream.slots, (uint32_t)DOC_SLOTS_MAX);
		g_bytes_unref(value);
	}
}

const std::string service_text =
	R"({"name":"rolls","healthPath":"/health","maxConnections":330})";

std::string config_text(const std::string &path)
{
	return R"({"version":"r7","services":[{"name":"desk",)"
	       R"("maxConnections":9},)" +
	       service_text +
	       R"(],"limits":{},"hosts":[{"host":"H.example","paths":[)" +
	       path + "]}]}";
}

struct config_case {
	const char *name;
	std::string text;
	bool accepted;
	bool idempotent;
	bool rejects; /* all requests of the route */
	uint32_t targets;
	uint64_t weight_sum;
};

const std::string path_head = R"({"name":"r-1","prefix":"/a/",)";
const std::string path_tail =
	R"("timeout":"1200ms","targetLatency":"600ms","priority":2,"maxAttempts":2)";

const struct config_case config_cases[] = {
	{ "safe",
	  config_text(path_head + R"("routeType":"safe",)" + path_tail +
		      R"(,"service":"rolls"})"),
	  true, true, false, 1, 1 },
	{ "unsafe",
	  config_text(path_head + R"("routeType":"unsafe",)" + path_tail +
		      R"(,"service":"rolls"})"),
	  true, false, false, 1, 1 },
	{ "an unknown route type is not retried",
	  config_text(path_head + R"("routeType":"odd",)" + path_tail +
		      R"(,"service":"rolls"})"),
	  true, false, false, 1, 1 },
	{ "split",
	  config_text(path_head + R"("routeType":"safe",)" + path_tail +
		      R"(,"trafficSplit":[{"service":"rolls","weight":90},)" +
		      R"({"service":"desk","weight":10}]})"),
	  true, true, false, 2, 100 },
	{ "no service",
	  config_text(path_head + R"("routeType":"safe",)" + path_tail + "}"),
	  true, true, true, 1, 1 },
	{ "a split without weight",
	  config_text(path_head + R"("routeType":"safe",)" + path_tail +
		      R"(,"trafficSplit":[{"service":"rolls","weight":0}]})"),
	  true, false, true, 1, 1 },
	{ "a prefix that does not end with a slash",
	  config_text(R"({"prefix":"/a","routeType":"safe",)" + path_tail +
		      R"(,"service":"rolls"})"),
	  true, false, true, 1, 1 },
	{ "no timeout",
	  config_text(path_head +
		      R"("routeType":"safe","priority":1,"maxAttempts":2,)" +
		      R"("service":"rolls"})"),
	  true, false, true, 1, 1 },
	{ "no route type",
	  config_text(path_head + path_tail + R"(,"service":"rolls"})"), true,
	  false, true, 1, 1 },
	{ "a version without r", R"({"version":"7","services":[],"hosts":[]})",
	  false, false, false, 0, 0 },
	{ "no hosts", R"({"version":"r7","services":[]})", false, false, false,
	  0, 0 },
	{ "the only service has no connections",
	  R"({"version":"r7","services":[{"name":"rolls"}],"hosts":[)"
	  R"({"host":"h.example","paths":[)" +
		  path_head + R"("routeType":"safe",)" + path_tail +
		  R"(,"service":"rolls"}]}]})",
	  true, true, true, 1, 1 },
	{ "not JSON", "{", false, false, false, 0, 0 },
};

TEST(PlatformDecode, Configurations)
{
	for (const auto &c : config_cases) {
		SCOPED_TRACE(c.name);
		GBytes *value = bytes_of(c.text);
		const char *reason = nullptr;
		struct operator_config *config =
			operator_config_read(value, &reason);

		EXPECT_EQ(config != nullptr, c.accepted)
			<< (reason ? reason : "");
		EXPECT_EQ(reason == nullptr, c.accepted);
		if (config) {
			const struct operator_route *route = &g_array_index(
				config->routes, struct operator_route, 0);

			EXPECT_EQ(config->version, 7u);
			EXPECT_EQ(route->route.idempotent, c.idempotent);
			ASSERT_EQ(route->route.target_count, c.targets);
			EXPECT_EQ(route->route.targets[0].kind == TARGET_REJECT,
				  c.rejects);
			EXPECT_EQ(route->route.weight_sum, c.weight_sum);
			EXPECT_EQ(table_route_rejects(&route->route),
				  c.rejects);
			if (!c.rejects) {
				EXPECT_EQ(route->route.budget_ms, 1200u);
				EXPECT_EQ(route->route.objective_ms, 600u);
			}
		}
		operator_config_free(config);
		g_bytes_unref(value);
	}
}

struct group_case {
	const char *name;
	/* Each host and the services that its routes lead to. */
	std::vector<std::pair<std::string, std::vector<std::string>>> hosts;
	/* Expected groups of the services a, b, c and d. */
	std::vector<std::string> groups;
};

const struct group_case group_cases[] = {
	{ "no host", {}, { "a", "b", "c", "d" } },
	{ "one host with two services",
	  { { "x", { "b", "d" } } },
	  { "a", "b", "c", "b" } },
	{ "another host with the same services changes no group",
	  { { "0", { "d" } }, { "x", { "d", "b" } } },
	  { "a", "b", "c", "b" } },
	{ "a service of two hosts merges their groups",
	  { { "x", { "c", "d" } }, { "y", { "b", "c" } } },
	  { "a", "b", "b", "b" } },
	{ "three hosts whose groups merge in another order",
	  { { "x", { "d", "c" } },
	    { "y", { "c", "a" } },
	    { "z", { "b", "d" } } },
	  { "a", "a", "a", "a" } },
	{ "a service that is not configured merges no groups",
	  { { "x", { "a", "?" } }, { "y", { "b", "?" } } },
	  { "a", "b", "c", "d" } },
};

std::string group_text(const struct group_case &c)
{
	std::string services;
	std::string hosts;

	for (const char *name : { "a", "b", "c", "d" })
		services += std::string(services.empty() ? "" : ",") +
			    "{\"name\":\"" + name + "\",\"maxConnections\":9}";
	for (const auto &host : c.hosts) {
		std::string paths;

		for (const auto &service : host.second)
			paths += std::string(paths.empty() ? "" : ",") +
				 "{\"prefix\":\"/" + service +
				 "/\",\"routeType\":\"safe\"," + path_tail +
				 ",\"service\":\"" +
				 (service == "?" ? "none" : service) + "\"}";
		hosts += std::string(hosts.empty() ? "" : ",") +
			 "{\"host\":\"" + host.first + "\",\"paths\":[" +
			 paths + "]}";
	}
	return "{\"version\":\"r1\",\"services\":[" + services +
	       "],\"hosts\":[" + hosts + "]}";
}

TEST(PlatformDecode, ServicesOfAHostShareAHomeGroup)
{
	for (const auto &c : group_cases) {
		SCOPED_TRACE(c.name);
		GBytes *value = bytes_of(group_text(c));
		const char *reason = nullptr;
		struct operator_config *config =
			operator_config_read(value, &reason);

		ASSERT_NE(config, nullptr) << reason;
		for (size_t i = 0; i < c.groups.size(); i++)
			EXPECT_EQ(c.groups[i],
				  g_array_index(config->services,
						struct operator_service, i)
					  .home_group.text);
		operator_config_free(config);
		g_bytes_unref(value);
	}
}

const std::string odd_middle = R"("routeType":"safe",)";

/* A path of a configuration beside a sound one, "/b/". */
struct odd_path_case {
	const char *name;
	std::string path;
	bool found; /* at /a/1 */
	bool rejects; /* all its requests */
	uint32_t budget_ms;
	std::vector<uint64_t> weights;
};

std::string split_path(const std::string &first, const std::string &second)
{
	return path_head + odd_middle + path_tail +
	       R"(,"trafficSplit":[{"service":"rolls","weight":)" + first +
	       R"(},{"service":"desk","weight":)" + second + "}]}";
}

std::string timed_path(const std::string &timeout)
{
	return path_head + odd_middle + R"("timeout":")" + timeout +
	       R"(","targetLatency":"23h","priority":2,"maxAttempts":2,)" +
	       R"("service":"rolls"})";
}

const struct odd_path_case odd_path_cases[] = {
	{ "a timeout above the bound",
	  timed_path("900s"),
	  true,
	  false,
	  600000,
	  { 1 } },
	{ "a timeout without unit", timed_path("900"), true, true, 1, { 1 } },
	{ "attempts and priority above the bounds",
	  path_head + odd_middle + R"("timeout":"1200ms","priority":100000,)" +
		  R"("maxAttempts":2147483647,"service":"rolls"})",
	  true,
	  false,
	  1200,
	  { 1 } },
	{ "weights above the bound",
	  split_path("144115188075855872", "36028797018963968"),
	  true,
	  false,
	  1200,
	  { UINT64_C(1) << 45, UINT64_C(1) << 43 } },
	{ "a small weight beside one above the bound",
	  split_path("144115188075855872", "1"),
	  true,
	  false,
	  1200,
	  { UINT64_C(1) << 45, 1 } },
	{ "a weight of 0 beside one above the bound",
	  split_path("144115188075855872", "0"),
	  true,
	  false,
	  1200,
	  { UINT64_C(1) << 45, 0 } },
	{ "weights within the bound",
	  split_path("9000000000", "1"),
	  true,
	  false,
	  1200,
	  { 9000000000, 1 } },
	{ "a negative weight", split_path("-1", "1"), true, true, 1, { 1 } },
	{ "a prefix with a space",
	  R"({"prefix":"/a b/",)" + odd_middle + path_tail +
		  R"(,"service":"rolls"})",
	  false,
	  false,
	  0,
	  {} },
	{ "a prefix with a NUL",
	  R"({"prefix":"/a\u0000/",)" + odd_middle + path_tail +
		  R"(,"service":"rolls"})",
	  false,
	  false,
	  0,
	  {} },
	{ "a long prefix",
	  R"({"prefix":"/)" + std::string(300, 'a') + R"(/",)" + odd_middle +
		  path_tail + R"(,"service":"rolls"})",
	  false,
	  false,
	  0,
	  {} },
	{ "the prefix of the other path",
	  R"({"prefix":"/b/",)" + odd_middle + path_tail +
		  R"(,"service":"desk"})",
	  false,
	  false,
	  0,
	  {} },
	{ "no object", "7", false, false, 0, {} },
};

/* The routing table that the product reads, or NULL. */
struct routing_table *table_of(const struct operator_config *config)
{
	char *text = documents_routes(config);
	GError *error = nullptr;
	struct routing_table *table =
		routing_table_parse(ROUTING_KEY, text, strlen(text), 1, &error);

	EXPECT_NE(table, nullptr) << (error ? error->message : "");
	g_clear_error(&error);
	g_free(text);
	return table;
}

/*
 * Guards against one odd route that makes the whole configuration unread, at
 * the adapter or in the routing table that the product reads.
 */
TEST(PlatformDecode, OddPathLeavesTheOthersInForce)
{
	for (const auto &c : odd_path_cases) {
		SCOPED_TRACE(c.name);
		GBytes *value = bytes_of(config_text(
			R"({"prefix":"/b/",)" + odd_middle + path_tail +
			R"(,"service":"rolls"},)" + c.path));
		const char *reason = nullptr;
		struct operator_config *config =
			operator_config_read(value, &reason);

		ASSERT_NE(config, nullptr) << reason;
		struct routing_table *table = table_of(config);

		ASSERT_NE(table, nullptr);
		const struct table_route *sound =
			routing_table_find(table, "h.example", "/b/1");
		const struct table_route *odd =
			routing_table_find(table, "h.example", "/a/1");

		ASSERT_NE(sound, nullptr);
		EXPECT_STREQ(sound->targets[0].service.text, "rolls");
		EXPECT_EQ(odd != nullptr, c.found);
		if (odd) {
			EXPECT_EQ(odd->targets[0].kind == TARGET_REJECT,
				  c.rejects);
			EXPECT_EQ(odd->budget_ms, c.budget_ms);
			ASSERT_EQ(odd->target_count, c.weights.size());
			for (size_t i = 0; i < c.weights.size(); i++)
				EXPECT_EQ(odd->targets[i].weight, c.weights[i]);
		}
		routing_table_unref(table);
		operator_config_free(config);
		g_bytes_unref(value);
	}
}

/* A host listed twice, or in two spellings, has the routes of both. */
TEST(PlatformDecode, HostListedTwice)
{
	std::string path = odd_middle + path_tail + R"(,"service":"rolls"})";
	GBytes *value = bytes_of(
		R"({"version":"r7","services":[)" + service_text +
		R"(],"hosts":[{"host":"h.example","paths":[{"prefix":"/a/",)" +
		path + R"(]},{"host":"i.example","paths":[{"prefix":"/a/",)" +
		path + R"(]},{"host":"H.example","paths":[{"prefix":"/b/",)" +
		path + "]}]}");
	const char *reason = nullptr;
	struct operator_config *config = operator_config_read(value, &reason);

	ASSERT_NE(config, nullptr) << reason;
	struct routing_table *table = table_of(config);

	ASSERT_NE(table, nullptr);
	for (const char *route : { "/a/1", "/b/1" })
		EXPECT_NE(routing_table_find(table, "h.example", route),
			  nullptr);
	EXPECT_NE(routing_table_find(table, "i.example", "/a/1"), nullptr);
	EXPECT_EQ(routing_table_find(table, "i.example", "/b/1"), nullptr);
	routing_table_unref(table);
	operator_config_free(config);
	g_bytes_unref(value);
}

/* A service with an odd member beside the sound one, "rolls". */
struct odd_service_case {
	const char *name;
	std::string service;
	bool used;
};

const struct odd_service_case odd_service_cases[] = {
	{ "more connections than the bound",
	  R"({"name":"desk","maxConnections":10000000})", true },
	{ "connections with a fraction of zero",
	  R"({"name":"desk","maxConnections":9.0})", true },
	{ "connections with an exponent",
	  R"({"name":"desk","maxConnections":9e0})", true },
	{ "half a connection", R"({"name":"desk","maxConnections":0.5})",
	  false },
	{ "a health path that is none",
	  R"({"name":"desk","maxConnections":9,"healthPath":"health"})", true },
	{ "no connections", R"({"name":"desk"})", false },
	{ "no valid name", R"({"name":"a b","maxConnections":9})", false },
	{ "no object", "[]", false },
	{ "the name of another one", R"({"name":"rolls","maxConnections":9})",
	  false },
	{ "the key of the routing table",
	  R"({"name":".routes","maxConnections":9})", false },
};

/* Guards against one odd service that makes the configuration unread. */
TEST(PlatformDecode, OddServiceLeavesTheOthersInForce)
{
	for (const auto &c : odd_service_cases) {
		SCOPED_TRACE(c.name);
		GBytes *value =
			bytes_of(R"({"version":"r7","services":[)" + c.service +
				 "," + service_text + R"(],"hosts":[]})");
		const char *reason = nullptr;
		struct operator_config *config =
			operator_config_read(value, &reason);
		GArray *none =
			g_array_new(FALSE, FALSE, sizeof(struct upstream));

		ASSERT_NE(config, nullptr) << reason;
		EXPECT_EQ(config->services->len, c.used ? 2u : 1u);
		for (guint i = 0; i < config->services->len; i++) {
			const struct operator_service *service = &g_array_index(
				config->services, struct operator_service, i);
			char *text = documents_service(service, none, 70, 0);
			struct service_doc *doc = service_doc_parse(
				"s", text, strlen(text), 1, nullptr);

			EXPECT_NE(doc, nullptr) << text;
			service_doc_unref(doc);
			g_free(text);
		}
		g_array_unref(none);
		operator_config_free(config);
		g_bytes_unref(value);
	}
}

struct page_case {
	const char *name;
	const char *text;
	bool accepted;
	uint32_t items;
	uint32_t removed;
	bool has_more;
	uint64_t revision;
};

const struct page_case page_cases[] = {
	{ "a range",
	  R"({"items":[{"key":"k","value":"YQ==","rev":3,"createdRev":3,)"
	  R"("lease":0}],"hasMore":true,"storeRevision":9})",
	  true, 1, 0, true, 9 },
	{ "a watch",
	  R"({"events":[{"key":"k","value":"YQ==","rev":3},)"
	  R"({"key":"l","rev":4,"removed":true}],"storeRevision":4})",
	  true, 2, 1, false, 4 },
	{ "nothing new", R"({"events":[],"storeRevision":4})", true, 0, 0,
	  false, 4 },
	{ "revisions with a fraction of zero",
	  R"({"items":[{"key":"k","value":"YQ==","rev":3.0}],)"
	  R"("hasMore":false,"storeRevision":9e0})",
	  true, 1, 0, false, 9 },
	{ "a revision with a fraction", R"({"events":[],"storeRevision":4.5})",
	  false, 0, 0, false, 0 },
	{ "an entry without a key is ignored",
	  R"({"events":[{"rev":3},{"key":"k","rev":3}],"storeRevision":4})",
	  true, 1, 0, false, 4 },
	{ "no revision", R"({"events":[]})", false, 0, 0, false, 0 },
	{ "neither list", R"({"storeRevision":4})", false, 0, 0, false, 0 },
	{ "not JSON", "busy", false, 0, 0, false, 0 },
};

TEST(PlatformDecode, StorePages)
{
	for (const auto &c : page_cases) {
		SCOPED_TRACE(c.name);
		struct store_page page = {};
		uint32_t removed = 0;

		ASSERT_EQ(store_page_read(c.text, strlen(c.text), &page),
			  c.accepted);
		if (!c.accepted)
			continue;
		EXPECT_EQ(page.items->len, c.items);
		EXPECT_EQ(page.has_more, c.has_more);
		EXPECT_EQ(page.revision, c.revision);
		for (guint i = 0; i < page.items->len; i++)
			removed +=
				g_array_index(page.items, struct store_item, i)
					.removed;
		EXPECT_EQ(removed, c.removed);
		store_page_clear(&page);
	}
}

TEST(PlatformDecode, EntriesAsJson)
{
	struct entries_reply reply = {};
	char *json;

	reply.entry_count = 2;
	addr_parse("10.1.0.1:80", &reply.entries[0].caller);
	addr_parse("10.1.0.2:80", &reply.entries[1].caller);
	json = directory_entries_json(&reply, 1000);
	EXPECT_STREQ(json, "{\"addresses\":[\"10.1.0.1:80\",\"10.1.0.2:80\"],"
			   "\"ttl\":\"1000ms\"}");
	g_free(json);
}

} // namespace
