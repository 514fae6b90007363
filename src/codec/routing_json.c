/* Parsing of the routing table. */
#include "codec/document_json.h"

#include <string.h>

#include "codec/customer_json.h"
#include "codec/json_fields.h"
#include "codec/json_text.h"

#define TRIES_DEFAULT 2
#define TYPICAL_US_HASH_SEED UINT64_C(0x726f757465)

#define AT_TARGET(member) .offset_bytes = offsetof(struct target_parts, member)
#define AT_ROUTE(member) .offset_bytes = offsetof(struct table_route, member)
#define TABLE(list)                      \
	{                                \
		list, G_N_ELEMENTS(list) \
	}

/**
 * struct host_parts - parsed fields of a host
 * @name: host name
 */
struct host_parts {
	struct host_name name;
};

/**
 * struct target_parts - parsed fields of a target
 * @target: the target; its kind is set later
 * @reject: it rejects its requests
 */
struct target_parts {
	struct route_target target;
	bool reject;
};

static const struct json_field target_fields[] = {
	{ "service", FIELD_NAME, false, AT_TARGET(target.service) },
	{ "reject", FIELD_BOOL, false, AT_TARGET(reject) },
	{ "weight", FIELD_U64, false, AT_TARGET(target.weight),
	  .range = { 0, ROUTING_WEIGHT_MAX, 1 } },
};

static const struct json_field route_fields[] = {
	{ "path_prefix", FIELD_ROUTE_PATH, true, AT_ROUTE(path_prefix) },
	{ "idempotent", FIELD_BOOL, true, AT_ROUTE(idempotent) },
	{ "budget_ms", FIELD_U32, true, AT_ROUTE(budget_ms),
	  .range = { 1, ROUTING_BUDGET_MAX_MS, 0 } },
	{ "objective_ms", FIELD_U32, true, AT_ROUTE(objective_ms),
	  .range = { 1, ROUTING_BUDGET_MAX_MS, 0 } },
	{ "priority", FIELD_U32, false, AT_ROUTE(priority),
	  .range = { 0, ROUTING_PRIORITY_MAX, 0 } },
	{ "tries", FIELD_U32, false, AT_ROUTE(tries_max),
	  .range = { 1, ROUTING_TRIES_MAX, TRIES_DEFAULT } },
	{ "public", FIELD_BOOL, false, AT_ROUTE(is_public) },
	{ .key = "targets", .kind = FIELD_CUSTOM },
};

static const struct json_field host_fields[] = {
	{ "host", FIELD_HOST, true,
	  .offset_bytes = offsetof(struct host_parts, name) },
	{ .key = "routes", .kind = FIELD_CUSTOM },
};

static const struct json_field table_fields[] = {
	{ .key = "hosts", .kind = FIELD_CUSTOM },
	{ .key = "customers", .kind = FIELD_CUSTOM },
	{ "left_out", FIELD_U32, false,
	  .offset_bytes = offsetof(struct routing_table, left_out),
	  .range = { 0, UINT32_MAX, 0 } },
};

static bool read_hosts(const struct json_node *node,
		       struct routing_table *table, GError **error);
static bool read_host(const struct json_node *node, struct routing_table *table,
		      GError **error);
static bool read_route(const struct json_node *node,
		       struct routing_table *table, const char *name,
		       struct table_host *host, GError **error);
static bool read_targets(const struct json_node *node,
			 struct table_route *route, GError **error);
static bool read_target(const struct json_node *node, struct route_target *out,
			GError **error);
static bool rejects_all(const struct table_route *route);

struct routing_table *routing_table_parse(const char *label, const char *text,
					  size_t text_bytes, uint64_t version,
					  GError **error)
{
	const struct field_table fields = TABLE(table_fields);
	struct json_node node = { .label = label };
	struct routing_table *table;
	bool ok;

	node.value = json_text_parse(label, text, text_bytes, ROUTING_BYTES_MAX,
				     error);
	if (!node.value)
		return NULL;
	table = routing_table_new(text, text_bytes, version);
	node.path = g_string_new(NULL);
	ok = json_read_fields(&node, fields, table, error) &&
	     read_hosts(&node, table, error) &&
	     customers_read(&node, &table->customers, error);
	g_string_free(node.path, TRUE);
	json_object_put(node.value);
	if (ok)
		return table;
	routing_table_unref(table);
	return NULL;
}

static bool read_hosts(const struct json_node *node,
		       struct routing_table *table, GError **error)
{
	const struct json_list list = {
		.key = "hosts",
		.required = true,
		.max_items = ROUTING_HOSTS_MAX,
	};
	struct json_list_iter iter;

	if (!json_list_iter_init(node, &list, &iter, error))
		return false;
	while (json_list_iter_next(&iter)) {
		if (!read_host(&iter.item, table, error))
			return false;
	}
	return true;
}

static bool read_host(const struct json_node *node, struct routing_table *table,
		      GError **error)
{
	const struct field_table fields = TABLE(host_fields);
	const struct json_list list = {
		.key = "routes",
		.required = true,
		.max_items = ROUTING_HOST_ROUTES_MAX,
	};
	struct host_parts parts = { 0 };
	struct json_list_iter iter;
	struct table_host *host;

	if (!json_read_fields(node, fields, &parts, error))
		return false;
	host = routing_table_add_host(table, parts.name.text);
	if (!host)
		return json_fail(node, "host", SETTINGS_ERROR_DUPLICATE, error,
				 "duplicate host %s; keep one",
				 parts.name.text);
	if (!json_list_iter_init(node, &list, &iter, error))
		return false;
	while (json_list_iter_next(&iter)) {
		if (!read_route(&iter.item, table, parts.name.text, host,
				error))
			return false;
	}
	return true;
}

static bool read_route(const struct json_node *node,
		       struct routing_table *table, const char *name,
		       struct table_host *host, GError **error)
{
	const struct field_table fields = TABLE(route_fields);
	struct table_route *route = g_new0(struct table_route, 1);
	uint64_t hash;

	if (!json_read_fields(node, fields, route, error) ||
	    !read_targets(node, route, error)) {
		table_route_free(route);
		return false;
	}
	if (!g_str_has_suffix(route->path_prefix, "/") && !rejects_all(route)) {
		table_route_free(route);
		return json_fail(node, "path_prefix", SETTINGS_ERROR_RANGE,
				 error, "does not end with /; add one");
	}
	hash = hash_bytes(name, strlen(name), TYPICAL_US_HASH_SEED);
	hash = hash_bytes(route->path_prefix, strlen(route->path_prefix), hash);
	route->typical_us_index = (uint32_t)(hash % DOC_ROUTES_MAX);
	if (routing_table_add_route(table, host, route))
		return true;
	table_route_free(route);
	return json_fail(node, "path_prefix", SETTINGS_ERROR_DUPLICATE, error,
			 "duplicate path prefix for %s; keep one", name);
}

static bool read_targets(const struct json_node *node,
			 struct table_route *route, GError **error)
{
	const struct json_list list = {
		.key = "targets",
		.required = true,
		.min_items = 1,
		.max_items = ROUTING_TARGETS_MAX,
	};
	struct json_list_iter iter;

	if (!json_list_iter_init(node, &list, &iter, error))
		return false;
	route->targets = g_new0(struct route_target, iter.count);
	while (json_list_iter_next(&iter)) {
		if (!read_target(&iter.item, &route->targets[iter.index],
				 error))
			return false;
		route->weight_sum += route->targets[iter.index].weight;
		route->target_count = iter.index + 1;
	}
	if (route->weight_sum > 0)
		return true;
	return json_fail(node, "targets", SETTINGS_ERROR_RANGE, error,
			 "all weights are 0; give one service a weight");
}

static bool read_target(const struct json_node *node, struct route_target *out,
			GError **error)
{
	const struct field_table fields = TABLE(target_fields);
	struct target_parts parts = { 0 };

	if (!json_read_fields(node, fields, &parts, error))
		return false;
	if (parts.reject == json_has(node, "service"))
		return json_fail(node, "service", SETTINGS_ERROR_MISSING, error,
				 "neither or both of service and reject are "
				 "given; write one of them");
	*out = parts.target;
	out->kind = parts.reject ? TARGET_REJECT : TARGET_SERVICE;
	return true;
}

static bool rejects_all(const struct table_route *route)
{
	uint32_t i;

	for (i = 0; i < route->target_count; i++) {
		if (route->targets[i].kind != TARGET_REJECT)
			return false;
	}
	return true;
}
