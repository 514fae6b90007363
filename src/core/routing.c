#include "core/routing.h"

#include <string.h>

static void free_host(gpointer data);
static void add_service(struct table_host *host, const struct name *service);
static bool may_end(const struct table_host *host, const char *prefix,
		    size_t prefix_bytes);

struct routing_table *routing_table_new(const char *text, size_t text_bytes,
					uint64_t version)
{
	struct routing_table *table = g_new0(struct routing_table, 1);

	table->refs = 1;
	table->version = version;
	table->hash = hash_bytes(text, text_bytes, 0);
	table->text = g_strndup(text, text_bytes);
	table->text_bytes = (uint32_t)text_bytes;
	table->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_host);
	return table;
}

struct table_host *routing_table_add_host(struct routing_table *table,
					  const char *host)
{
	struct table_host *added;

	if (g_hash_table_contains(table->hosts, host))
		return NULL;
	added = g_new0(struct table_host, 1);
	/* No key destructor: the key is the path_prefix of the route itself. */
	added->routes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      table_route_free);
	added->services = g_array_new(FALSE, FALSE, sizeof(struct name));
	g_hash_table_insert(table->hosts, g_strdup(host), added);
	return added;
}

bool routing_table_add_route(struct routing_table *table,
			     struct table_host *host, struct table_route *route)
{
	size_t prefix_bytes = strlen(route->path_prefix);
	uint32_t i;

	if (g_hash_table_contains(host->routes, route->path_prefix))
		return false;
	g_hash_table_insert(host->routes, route->path_prefix, route);
	if (!g_str_has_suffix(route->path_prefix, "/")) {
		if (!host->unended_bytes)
			host->unended_bytes = g_hash_table_new(NULL, NULL);
		g_hash_table_add(host->unended_bytes,
				 GSIZE_TO_POINTER(prefix_bytes));
	}
	table->rejecting_routes += table_route_rejects(route);
	for (i = 0; i < route->target_count; i++) {
		switch (route->targets[i].kind) {
		case TARGET_SERVICE:
			add_service(host, &route->targets[i].service);
			break;
		case TARGET_REJECT:
			break;
		}
	}
	return true;
}

bool table_route_rejects(const struct table_route *route)
{
	uint32_t i;

	for (i = 0; i < route->target_count; i++) {
		if (route->targets[i].kind == TARGET_REJECT &&
		    route->targets[i].weight > 0)
			return true;
	}
	return false;
}

const struct table_route *routing_table_find(const struct routing_table *table,
					     const char *host, const char *path)
{
	const struct table_host *found =
		g_hash_table_lookup(table->hosts, host);
	const struct table_route *route = NULL;
	size_t bytes;
	char *prefix;

	if (!found)
		return NULL;
	prefix = g_strdup(path);
	for (bytes = strlen(prefix); !route && bytes > 0; bytes--) {
		if (!may_end(found, prefix, bytes))
			continue;
		prefix[bytes] = '\0';
		route = g_hash_table_lookup(found->routes, prefix);
	}
	g_free(prefix);
	return route;
}

void table_route_free(gpointer data)
{
	struct table_route *route = data;

	if (!route)
		return;
	g_free(route->path_prefix);
	g_free(route->targets);
	g_free(route);
}

struct routing_table *routing_table_ref(struct routing_table *table)
{
	g_atomic_int_inc(&table->refs);
	return table;
}

void routing_table_unref(struct routing_table *table)
{
	if (!table || !g_atomic_int_dec_and_test(&table->refs))
		return;
	g_hash_table_unref(table->hosts);
	customer_table_free(table->customers);
	g_free(table->text);
	g_free(table);
}

static void free_host(gpointer data)
{
	struct table_host *host = data;

	g_hash_table_unref(host->routes);
	g_clear_pointer(&host->unended_bytes, g_hash_table_unref);
	g_array_unref(host->services);
	g_free(host);
}

static void add_service(struct table_host *host, const struct name *service)
{
	guint i;

	for (i = 0; i < host->services->len; i++) {
		if (name_equal(&g_array_index(host->services, struct name, i),
			       service))
			return;
	}
	g_array_append_vals(host->services, service, 1);
}

/* Return: whether a route may have a prefix of this length. */
static bool may_end(const struct table_host *host, const char *prefix,
		    size_t prefix_bytes)
{
	if (prefix[prefix_bytes - 1] == '/')
		return true;
	return host->unended_bytes &&
	       g_hash_table_contains(host->unended_bytes,
				     GSIZE_TO_POINTER(prefix_bytes));
}
