/* Parsing of service documents. */
#include "codec/document_json.h"

#include <string.h>

#include "codec/json_error.h"
#include "codec/json_fields.h"
#include "codec/json_text.h"
#include "core/document_version.h"

#define QUEUE_MAX_REQUESTS 4096
#define PRIORITY_MAX 100
#define BUDGET_MAX_MS 600000
#define FLOOR_MAX_SLOTS ((uint64_t)DOC_BACKENDS_MAX * DOC_SLOTS_MAX)
#define SAFE_METHODS \
	(1U << METHOD_GET | 1U << METHOD_HEAD | 1U << METHOD_OPTIONS)

#define AT_DOC(member) .offset_bytes = offsetof(struct service_doc, member)
#define AT_BACKEND(member) .offset_bytes = offsetof(struct backend_doc, member)
#define AT_CLASS(member) .offset_bytes = offsetof(struct class_doc, member)
#define AT_ROUTE(member) .offset_bytes = offsetof(struct route_parts, member)
#define AT_FLOOR(member) .offset_bytes = offsetof(struct floor_parts, member)
#define TABLE(list)                      \
	{                                \
		list, G_N_ELEMENTS(list) \
	}

/**
 * struct route_parts - a parsed route before its class is resolved
 * @route: route of the document; its class index is set later
 * @class_name: name of the route's class
 */
struct route_parts {
	struct route_doc route;
	struct name class_name;
};

/**
 * struct floor_parts - a parsed healthy floor, of which one field is given
 * @slots: floor in slots
 * @percent: floor as a percentage of all slots
 */
struct floor_parts {
	uint32_t slots;
	uint32_t percent;
};

static const struct json_field shed_fields[] = {
	{ "header", FIELD_TOKEN, true, AT_DOC(shed.header) },
	{ "value", FIELD_TOKEN, true, AT_DOC(shed.value) },
	{ "any_status", FIELD_BOOL, false, AT_DOC(shed.any_status) },
};

static const struct json_field drain_fields[] = {
	{ "header", FIELD_TOKEN, true, AT_DOC(drain.header) },
	{ "value", FIELD_TOKEN, true, AT_DOC(drain.value) },
};

static const struct json_field doc_fields[] = {
	{ "service", FIELD_NAME, true, AT_DOC(service) },
	{ .key = "hosts", .kind = FIELD_CUSTOM },
	{ "path_prefix", FIELD_PATH, false, AT_DOC(path_prefix) },
	{ "routed", FIELD_BOOL, false, AT_DOC(routed) },
	{ "home_group", FIELD_NAME, false, AT_DOC(home_group) },
	{ .key = "backends", .kind = FIELD_CUSTOM },
	{ "store_era", FIELD_U64, false, AT_DOC(store_era),
	  .range = { 0, DOC_ERA_MAX, 0 } },
	{ "left_out_backends", FIELD_U32, false, AT_DOC(left_out_backends),
	  .range = { 0, UINT32_MAX, 0 } },
	{ .key = "classes", .kind = FIELD_CUSTOM },
	{ .key = "routes", .kind = FIELD_CUSTOM },
	{ .key = "healthy_floor", .kind = FIELD_CUSTOM, .required = true },
	{ "shed_marker", FIELD_OBJECT, false, .table = TABLE(shed_fields) },
	{ "drain_marker", FIELD_OBJECT, false, .table = TABLE(drain_fields) },
	{ "probe_path", FIELD_PATH, false, AT_DOC(probe_path) },
	{ "load_path", FIELD_PATH, false, AT_DOC(load_path) },
	{ "default_budget_ms", FIELD_U32, true, AT_DOC(default_budget_ms),
	  .range = { 1, BUDGET_MAX_MS, 0 } },
};

static const struct json_field backend_fields[] = {
	{ "ip", FIELD_IP, true, AT_BACKEND(addr.ip) },
	{ "port", FIELD_PORT, true, AT_BACKEND(addr.port) },
	{ "failure_domain", FIELD_NAME, true, AT_BACKEND(domain) },
	{ "slots", FIELD_U32, true, AT_BACKEND(capacity_slots),
	  .range = { 1, DOC_SLOTS_MAX, 0 } },
	{ "connections", FIELD_U32, true, AT_BACKEND(connections_max),
	  .range = { 1, DOC_CONNECTIONS_MAX, 0 } },
	{ "draining", FIELD_BOOL, false, AT_BACKEND(draining) },
	{ "warming", FIELD_BOOL, false, AT_BACKEND(warming) },
	{ "written_version", FIELD_U64, false, AT_BACKEND(written_version),
	  .range = { 0, INT64_MAX - 1, 0 } },
	{ "instance", FIELD_NAME, false, AT_BACKEND(start.instance) },
	{ "started_unix_ms", FIELD_U64, false,
	  AT_BACKEND(start.started_unix_ms),
	  .range = { 0, DOC_STARTED_MAX_UNIX_MS, 0 } },
};

static const struct json_field class_fields[] = {
	{ "name", FIELD_NAME, true, AT_CLASS(name) },
	{ "priority", FIELD_U32, true, AT_CLASS(priority),
	  .range = { 0, PRIORITY_MAX, 0 } },
	{ "queue", FIELD_U32, true, AT_CLASS(queue_max_requests),
	  .range = { 1, QUEUE_MAX_REQUESTS, 0 } },
};

/* An absent budget_ms is read as 0 and replaced by default_budget_ms. */
static const struct json_field route_fields[] = {
	{ .key = "methods", .kind = FIELD_CUSTOM },
	{ "path_prefix", FIELD_PATH, true, AT_ROUTE(route.path_prefix) },
	{ "class", FIELD_NAME, true, AT_ROUTE(class_name) },
	{ "idempotent", FIELD_BOOL, false, AT_ROUTE(route.idempotent) },
	{ "long", FIELD_BOOL, false, AT_ROUTE(route.long_work) },
	{ "budget_ms", FIELD_U32, false, AT_ROUTE(route.budget_ms),
	  .range = { 1, BUDGET_MAX_MS, 0 } },
};

static const struct json_field floor_fields[] = {
	{ "percent", FIELD_U32, false, AT_FLOOR(percent),
	  .range = { 0, 100, 0 } },
	{ "slots", FIELD_U32, false, AT_FLOOR(slots),
	  .range = { 0, FLOOR_MAX_SLOTS, 0 } },
};

static const char *const method_names[METHOD_COUNT] = {
	[METHOD_GET] = "GET",	      [METHOD_HEAD] = "HEAD",
	[METHOD_OPTIONS] = "OPTIONS", [METHOD_POST] = "POST",
	[METHOD_PUT] = "PUT",	      [METHOD_PATCH] = "PATCH",
	[METHOD_DELETE] = "DELETE",
};

static bool read_doc(const struct json_node *node, struct service_doc *doc,
		     GError **error);
static bool read_hosts(const struct json_node *node, struct service_doc *doc,
		       GError **error);
static bool read_host(const struct json_node *node, struct service_doc *doc,
		      uint32_t index, GError **error);
static bool read_classes(const struct json_node *node, struct service_doc *doc,
			 GError **error);
static bool read_class(const struct json_node *node, struct service_doc *doc,
		       uint32_t index, GError **error);
static bool read_backends(const struct json_node *node, struct service_doc *doc,
			  GError **error);
static bool read_backend(const struct json_node *node, struct service_doc *doc,
			 GHashTable *indices, GError **error);
static bool read_routes(const struct json_node *node, struct service_doc *doc,
			GError **error);
static bool read_route(const struct json_node *node, struct service_doc *doc,
		       uint32_t index, GError **error);
static bool read_methods(const struct json_node *node, struct route_doc *route,
			 GError **error);
static bool read_method(const struct json_node *node, struct route_doc *route,
			GError **error);
static bool finish_route(const struct json_node *node,
			 const struct service_doc *doc, uint32_t index,
			 struct route_parts *parts, GError **error);
static bool resolve_class(const struct json_node *node,
			  const struct service_doc *doc,
			  struct route_parts *parts, GError **error);
static bool set_idempotent(const struct json_node *node,
			   struct route_doc *route, GError **error);
static bool check_route_unique(const struct json_node *node,
			       const struct service_doc *doc, uint32_t index,
			       const struct route_doc *route, GError **error);
static bool read_floor(const struct json_node *node, struct service_doc *doc,
		       GError **error);

struct service_doc *service_doc_parse(const char *label, const char *text,
				      size_t text_bytes, uint64_t version,
				      GError **error)
{
	struct json_node node = { .label = label };
	struct service_doc *doc;
	bool ok;

	node.value =
		json_text_parse(label, text, text_bytes, DOC_BYTES_MAX, error);
	if (!node.value)
		return NULL;
	doc = g_new0(struct service_doc, 1);
	doc->refs = 1;
	doc->version = version;
	doc->text = g_strndup(text, text_bytes);
	doc->text_bytes = (uint32_t)text_bytes;
	doc->hash = hash_bytes(text, text_bytes, 0);
	node.path = g_string_new(NULL);
	ok = read_doc(&node, doc, error);
	g_string_free(node.path, TRUE);
	json_object_put(node.value);
	if (ok)
		return doc;
	service_doc_unref(doc);
	return NULL;
}

static bool read_doc(const struct json_node *node, struct service_doc *doc,
		     GError **error)
{
	const struct field_table table = TABLE(doc_fields);

	if (!json_read_fields(node, table, doc, error))
		return false;
	if (!doc->routed && !json_has(node, "hosts") &&
	    !json_has(node, "path_prefix"))
		return json_fail(node, "path_prefix", SETTINGS_ERROR_MISSING,
				 error,
				 "nothing selects the service; add "
				 "path_prefix or hosts, or set routed to "
				 "true");
	return read_hosts(node, doc, error) && read_classes(node, doc, error) &&
	       read_backends(node, doc, error) &&
	       read_routes(node, doc, error) && read_floor(node, doc, error);
}

static bool read_hosts(const struct json_node *node, struct service_doc *doc,
		       GError **error)
{
	const struct json_list list = {
		.key = "hosts",
		.min_items = 1,
		.max_items = DOC_HOSTS_MAX,
	};
	struct json_list_iter iter;

	if (!json_list_iter_init(node, &list, &iter, error))
		return false;
	while (json_list_iter_next(&iter)) {
		if (!read_host(&iter.item, doc, iter.index, error))
			return false;
	}
	return true;
}

static bool read_host(const struct json_node *node, struct service_doc *doc,
		      uint32_t index, GError **error)
{
	struct name *host = &doc->hosts[index];
	uint32_t i;

	if (!json_read_name(node, host, error))
		return false;
	/* Host names ignore case; requests carry them in lower case. */
	name_lower(host);
	for (i = 0; i < index; i++) {
		if (name_equal(&doc->hosts[i], host))
			return json_fail(node, NULL, SETTINGS_ERROR_DUPLICATE,
					 error, "duplicate host %s; keep one",
					 host->text);
	}
	doc->host_count = index + 1;
	return true;
}

static bool read_classes(const struct json_node *node, struct service_doc *doc,
			 GError **error)
{
	const struct json_list list = {
		.key = "classes",
		.required = true,
		.min_items = 1,
		.max_items = DOC_CLASSES_MAX,
	};
	struct json_list_iter iter;

	if (!json_list_iter_init(node, &list, &iter, error))
		return false;
	while (json_list_iter_next(&iter)) {
		if (!read_class(&iter.item, doc, iter.index, error))
			return false;
	}
	return true;
}

static bool read_class(const struct json_node *node, struct service_doc *doc,
		       uint32_t index, GError **error)
{
	const struct field_table table = TABLE(class_fields);
	struct class_doc *class_doc = &doc->classes[index];
	uint32_t i;

	if (!json_read_fields(node, table, class_doc, error))
		return false;
	for (i = 0; i < index; i++) {
		if (name_equal(&doc->classes[i].name, &class_doc->name))
			return json_fail(node, "name", SETTINGS_ERROR_DUPLICATE,
					 error,
					 "duplicate class %s; rename one",
					 class_doc->name.text);
	}
	doc->class_count = index + 1;
	return true;
}

static bool read_backends(const struct json_node *node, struct service_doc *doc,
			  GError **error)
{
	const struct json_list list = {
		.key = "backends",
		.required = true,
		/* A routed service may have lost all its backend servers. */
		.min_items = doc->routed ? 0 : 1,
		.max_items = DOC_BACKENDS_MAX,
	};
	struct json_list_iter iter;
	GHashTable *indices;
	bool ok = true;

	if (!json_list_iter_init(node, &list, &iter, error))
		return false;
	doc->backends = g_new0(struct backend_doc, iter.count + 1);
	indices = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					NULL);
	while (ok && json_list_iter_next(&iter))
		ok = read_backend(&iter.item, doc, indices, error);
	g_hash_table_unref(indices);
	return ok;
}

/* @indices has the addresses of the backend servers so far. */
static bool read_backend(const struct json_node *node, struct service_doc *doc,
			 GHashTable *indices, GError **error)
{
	const struct field_table table = TABLE(backend_fields);
	struct backend_doc *backend = &doc->backends[doc->backend_count];
	gpointer other;
	uint64_t key;

	if (!json_read_fields(node, table, backend, error))
		return false;
	if (backend->connections_max < backend->capacity_slots)
		return json_fail(node, "connections", SETTINGS_ERROR_RANGE,
				 error,
				 "%u connections for %u slots; write at least "
				 "one for each slot",
				 backend->connections_max,
				 backend->capacity_slots);
	key = addr_key(backend->addr);
	if (g_hash_table_lookup_extended(indices, &key, NULL, &other))
		return json_fail(node, NULL, SETTINGS_ERROR_DUPLICATE, error,
				 "same ip and port as backends[%u]; keep one",
				 GPOINTER_TO_UINT(other));
	g_hash_table_insert(indices, g_memdup2(&key, sizeof(key)),
			    GUINT_TO_POINTER(doc->backend_count));
	doc->backend_count++;
	return true;
}

static bool read_routes(const struct json_node *node, struct service_doc *doc,
			GError **error)
{
	const struct json_list list = {
		.key = "routes",
		.required = true,
		.max_items = DOC_ROUTES_MAX,
	};
	struct json_list_iter iter;

	if (!json_list_iter_init(node, &list, &iter, error))
		return false;
	doc->routes = g_new0(struct route_doc, iter.count);
	while (json_list_iter_next(&iter)) {
		if (!read_route(&iter.item, doc, iter.index, error))
			return false;
	}
	return true;
}

static bool read_route(const struct json_node *node, struct service_doc *doc,
		       uint32_t index, GError **error)
{
	const struct field_table table = TABLE(route_fields);
	struct route_parts parts = { 0 };

	if (!json_read_fields(node, table, &parts, error) ||
	    !read_methods(node, &parts.route, error) ||
	    !finish_route(node, doc, index, &parts, error))
		return false;
	doc->routes[index] = parts.route;
	doc->route_count = index + 1;
	return true;
}

static bool read_methods(const struct json_node *node, struct route_doc *route,
			 GError **error)
{
	const struct json_list list = {
		.key = "methods",
		.required = true,
		.min_items = 1,
		.max_items = METHOD_COUNT,
	};
	struct json_list_iter iter;

	if (!json_list_iter_init(node, &list, &iter, error))
		return false;
	while (json_list_iter_next(&iter)) {
		if (!read_method(&iter.item, route, error))
			return false;
	}
	return true;
}

static bool read_method(const struct json_node *node, struct route_doc *route,
			GError **error)
{
	const char *text = NULL;
	uint32_t i;

	if (json_object_is_type(node->value, json_type_string))
		text = json_object_get_string(node->value);
	for (i = 0; text && i < METHOD_COUNT; i++) {
		if (strcmp(text, method_names[i]) == 0)
			break;
	}
	if (!text || i == METHOD_COUNT)
		return json_fail(node, NULL, SETTINGS_ERROR_RANGE, error,
				 "%.16s is not a method; write GET, HEAD, "
				 "OPTIONS, POST, PUT, PATCH or DELETE",
				 text ? text : "this value");
	if (route->method_mask & 1U << i)
		return json_fail(node, NULL, SETTINGS_ERROR_DUPLICATE, error,
				 "duplicate method; keep one");
	route->method_mask |= 1U << i;
	return true;
}

static bool finish_route(const struct json_node *node,
			 const struct service_doc *doc, uint32_t index,
			 struct route_parts *parts, GError **error)
{
	struct route_doc *route = &parts->route;

	if (route->budget_ms == 0)
		route->budget_ms = doc->default_budget_ms;
	return resolve_class(node, doc, parts, error) &&
	       set_idempotent(node, route, error) &&
	       check_route_unique(node, doc, index, route, error);
}

static bool resolve_class(const struct json_node *node,
			  const struct service_doc *doc,
			  struct route_parts *parts, GError **error)
{
	uint32_t i;

	for (i = 0; i < doc->class_count; i++) {
		if (!name_equal(&doc->classes[i].name, &parts->class_name))
			continue;
		parts->route.class_index = i;
		return true;
	}
	return json_fail(node, "class", SETTINGS_ERROR_REFERENCE, error,
			 "%s is not a class; add it to classes or name another",
			 parts->class_name.text);
}

static bool set_idempotent(const struct json_node *node,
			   struct route_doc *route, GError **error)
{
	bool safe = (route->method_mask & SAFE_METHODS) != 0;
	bool unsafe = (route->method_mask & ~SAFE_METHODS) != 0;

	if (json_has(node, "idempotent"))
		return true;
	if (safe && unsafe)
		return json_fail(node, "idempotent", SETTINGS_ERROR_MISSING,
				 error,
				 "route has safe and unsafe methods; set this "
				 "to true or false, or split the route");
	route->idempotent = safe;
	return true;
}

static bool check_route_unique(const struct json_node *node,
			       const struct service_doc *doc, uint32_t index,
			       const struct route_doc *route, GError **error)
{
	const struct route_doc *other;
	uint32_t i;

	for (i = 0; i < index; i++) {
		other = &doc->routes[i];
		if (strcmp(other->path_prefix, route->path_prefix) != 0 ||
		    !(other->method_mask & route->method_mask))
			continue;
		return json_fail(node, NULL, SETTINGS_ERROR_DUPLICATE, error,
				 "same method and path_prefix as routes[%u]; "
				 "keep one",
				 i);
	}
	return true;
}

static bool read_floor(const struct json_node *node, struct service_doc *doc,
		       GError **error)
{
	const struct field_table table = TABLE(floor_fields);
	struct floor_parts parts = { 0 };
	struct json_node floor = *node;
	uint32_t total_slots = service_doc_slots(doc);

	if (!json_read_member(node, "healthy_floor", table, &parts, error))
		return false;
	json_object_object_get_ex(node->value, "healthy_floor", &floor.value);
	if (json_has(&floor, "percent") == json_has(&floor, "slots"))
		return json_fail(node, "healthy_floor", SETTINGS_ERROR_MISSING,
				 error,
				 "neither or both of percent and slots are "
				 "given; write one of them");
	if (json_has(&floor, "percent")) {
		doc->floor.kind = FLOOR_PERCENT;
		doc->floor.percent = parts.percent;
		return true;
	}
	doc->floor.kind = FLOOR_SLOTS;
	doc->floor.slots = parts.slots;
	if (parts.slots <= total_slots)
		return true;
	return json_fail(node, "healthy_floor", SETTINGS_ERROR_RANGE, error,
			 "%u slots are above all slots of the document, %u; "
			 "write fewer",
			 parts.slots, total_slots);
}
