/*
 * Compile-time limits are large enough for the largest deployment, and for what
 * the platform's pages allow in one value of its store. Guards against a
 * configuration that is refused whole for its number of hosts (review/15).
 */
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "codec/document_json.h"
#include "codec/gen/peer.h"
#include "codec/peer_rpc.h"
#include "core/member.h"
#include "core/routing.h"
#include "core/state.h"
#include "platform/documents.h"
#include "platform/operator_config.h"
}

namespace
{

/*
 * Largest deployment in docs/DEVELOPERS.md, with the servers that a release
 * adds temporarily.
 */
#define INSTANCES 660
#define BACKENDS 7700
#define ROUTES 7000
#define CUSTOMERS 41000
/* Backend servers of the largest deployed service, plus 30 %. */
#define SERVICE_BACKENDS 640
/* A digest may have to report about half of a large service's servers. */
#define REPORTED_BACKENDS (SERVICE_BACKENDS * 3 / 10)

/* Longest value of the platform's store in all deployments. */
#define VALUE_BYTES 1048576

/* Maximum length of one entry of a document. */
#define BACKEND_BYTES 240
#define ROUTE_BYTES 300
#define CUSTOMER_BYTES 170
#define KEY_BYTES 67

struct limit_case {
	const char *name;
	uint64_t limit;
	uint64_t needed;
};

const struct limit_case limit_cases[] = {
	{ "backend servers of a service", DOC_BACKENDS_MAX, SERVICE_BACKENDS },
	{ "backend servers of a service that has all", DOC_BACKENDS_MAX,
	  BACKENDS },
	{ "bytes of a service document that has all", DOC_BYTES_MAX,
	  BACKENDS *BACKEND_BYTES },
	{ "hosts in a value", ROUTING_HOSTS_MAX,
	  VALUE_BYTES / sizeof("{\"host\":\"hhh\",\"paths\":[{}]}") },
	{ "routes of a host in a value", ROUTING_HOST_ROUTES_MAX,
	  VALUE_BYTES / sizeof("{\"prefix\":\"/aaa/\"}") },
	{ "parts of a split in a value", ROUTING_TARGETS_MAX,
	  VALUE_BYTES / sizeof("{\"service\":\"s\",\"weight\":1}") },
	{ "rejecting routes of a value in the table", ROUTING_BYTES_MAX,
	  VALUE_BYTES / sizeof("{\"prefix\":\"/aaa/\"}") * ROUTE_BYTES },
	{ "keys of customers in a value", CUSTOMER_KEYS_MAX,
	  VALUE_BYTES / sizeof("\"k\"") },
	{ "bytes of a host's name", HOST_BYTES_MAX, 253 + 1 },
	{ "services and the routing table", DOCUMENTS_MAX, 350 + 1 },
	{ "documents in a pulled list, of all", WIRE_OFFER_LIST_MAX,
	  DOCUMENTS_MAX },
	{ "sum of all weights", UINT64_MAX,
	  ROUTING_WEIGHT_MAX *ROUTING_TARGETS_MAX },
	{ "bytes of a service document", DOC_BYTES_MAX,
	  SERVICE_BACKENDS *BACKEND_BYTES },
	{ "bytes of half of all servers in one document", DOC_BYTES_MAX,
	  BACKENDS / 2 * BACKEND_BYTES },
	{ "bytes of the routing table", ROUTING_BYTES_MAX,
	  ROUTES *ROUTE_BYTES + CUSTOMERS_MAX *CUSTOMER_BYTES +
		  CUSTOMER_KEYS_MAX *KEY_BYTES },
	{ "customers", CUSTOMERS_MAX, CUSTOMERS },
	{ "keys of customers", CUSTOMER_KEYS_MAX, 2 * CUSTOMERS },
	{ "routes of a host", ROUTING_HOST_ROUTES_MAX, ROUTES },
	{ "instances", MEMBERS_MAX, INSTANCES },
	{ "instances in a pulled list", WIRE_INSTANCES_MAX, INSTANCES + 1 },
	{ "documents in a pulled list", WIRE_OFFER_LIST_MAX, 350 + 1 },
	{ "backend servers in a digest", PEER_DIGEST_ENTRIES_MAX,
	  REPORTED_BACKENDS },
	{ "addresses in an answer to a caller", ENTRIES_MAX, HOMES_MAX },
	{ "bytes of a pulled document", WIRE_PACKED_MAX, ROUTING_BYTES_MAX },
	{ "bytes of a digest", PEER_DATAGRAM_BYTES_MAX,
	  PEER_DIGEST_ENTRIES_MAX * 24 + 1024 },
};

TEST(LimitsTest, CoverLargestDeployment)
{
	for (const auto &c : limit_cases) {
		SCOPED_TRACE(c.name);
		EXPECT_GE(c.limit, c.needed);
	}
}

/* Return: a configuration with @hosts hosts, services and parts of a split. */
std::string large_config(uint32_t hosts, uint32_t services, uint32_t parts)
{
	const std::string route =
		R"("routeType":"safe","timeout":"1s","priority":1,)"
		R"("maxAttempts":2,)";
	std::string names;
	std::string list;
	std::string split;

	for (uint32_t i = 0; i < services; i++)
		names += std::string(i ? "," : "") + R"({"name":"s)" +
			 std::to_string(i) + R"(","maxConnections":9})";
	for (uint32_t i = 0; i < parts; i++)
		split += std::string(i ? "," : "") +
			 R"({"service":"s0","weight":)" +
			 (i % 2 ? "1}" : "0.5}");
	for (uint32_t i = 0; i < hosts; i++)
		list += R"(,{"host":"h)" + std::to_string(i) +
			R"(","paths":[{"prefix":"/",)" + route +
			R"("service":"s0"}]})";
	return R"({"version":"r1","services":[)" + names +
	       R"(],"hosts":[{"host":"split","paths":[{"prefix":"/",)" + route +
	       R"("trafficSplit":[)" + split + "]}]}" + list + "]}";
}

struct size_case {
	const char *name;
	uint32_t hosts;
	uint32_t services;
	uint32_t parts;
	/* Of the routing table. */
	uint32_t rejecting_routes;
	uint32_t left_out;
};

const struct size_case size_cases[] = {
	{ "the largest deployment", ROUTES, 350, 2, 0, 0 },
	{ "hosts as many as a value can hold", 9000, 1, 2, 0, 0 },
	{ "parts as many as a value can hold", 1, 1, 36000, 0, 0 },
	{ "services as many as there may be documents", 1, DOCUMENTS_MAX - 1, 2,
	  0, 0 },
	{ "more services than documents", 1, DOCUMENTS_MAX + 9, 2, 0, 10 },
};

/* What is beyond a bound is lost alone, and counted. */
TEST(LimitsTest, LargeConfigurationsAreInForce)
{
	for (const auto &c : size_cases) {
		SCOPED_TRACE(c.name);
		std::string text = large_config(c.hosts, c.services, c.parts);
		GBytes *value = g_bytes_new(text.data(), text.size());
		const char *reason = nullptr;
		struct operator_config *config =
			operator_config_read(value, &reason);
		GError *error = nullptr;

		ASSERT_NE(config, nullptr) << reason;
		char *document = documents_routes(config);
		struct routing_table *table = routing_table_parse(
			ROUTING_KEY, document, strlen(document), 1, &error);

		ASSERT_NE(table, nullptr) << error->message;
		EXPECT_EQ(g_hash_table_size(table->hosts), c.hosts + 1);
		EXPECT_EQ(
			routing_table_find(table, "split", "/x")->target_count,
			c.parts);
		EXPECT_EQ(table->rejecting_routes, c.rejecting_routes);
		EXPECT_EQ(table->left_out, c.left_out);
		routing_table_unref(table);
		g_free(document);
		operator_config_free(config);
		g_bytes_unref(value);
	}
}

/* Backend servers for which there is no room are counted. */
TEST(LimitsTest, BackendServersBeyondTheBoundAreCounted)
{
	struct operator_service service = {};
	GArray *upstreams = g_array_new(FALSE, TRUE, sizeof(struct upstream));
	GError *error = nullptr;

	name_set(&service.name, "s");
	service.home_group = service.name;
	service.connections_max = 9;
	g_array_set_size(upstreams, DOC_BACKENDS_MAX + 3);
	for (guint i = 0; i < upstreams->len; i++) {
		struct upstream *upstream =
			&g_array_index(upstreams, struct upstream, i);

		upstream->service = service.name;
		name_set(&upstream->instance,
			 ("i-" + std::to_string(i)).c_str());
		name_set(&upstream->domain, "a");
		upstream->addr = { 0x0a000000 + i, 80 };
		upstream->slots = 3;
	}
	char *text = documents_service(&service, upstreams, 70, 0);
	struct service_doc *doc =
		service_doc_parse("s", text, strlen(text), 1, &error);

	ASSERT_NE(doc, nullptr) << error->message;
	EXPECT_EQ(doc->backend_count, (uint32_t)DOC_BACKENDS_MAX);
	EXPECT_EQ(doc->left_out_backends, 3u);
	service_doc_unref(doc);
	g_free(text);
	g_array_unref(upstreams);
}

} // namespace
