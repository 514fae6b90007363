#include "query/route.h"

#include <string.h>

static struct service *find_service(const struct state *state,
				    const struct request_facts *facts);
static uint32_t find_route(const struct service_doc *doc,
			   const struct request_facts *facts);
static bool prefix_matches(const char *prefix, const char *path);

bool route_find(const struct state *state, const struct request_facts *facts,
		struct route_match *out)
{
	const struct service_doc *doc;
	const struct route_doc *route;

	out->service = find_service(state, facts);
	if (!out->service)
		return false;
	doc = out->service->doc;
	out->route_index = find_route(doc, facts);
	if (out->route_index == DOC_ROUTES_MAX) {
		out->class_index = class_lowest(doc);
		out->budget_ms = doc->default_budget_ms;
		out->idempotent = facts->method <= METHOD_OPTIONS;
		out->long_work = false;
		return true;
	}
	route = &doc->routes[out->route_index];
	out->class_index = route->class_index;
	out->budget_ms = route->budget_ms;
	out->idempotent = route->idempotent;
	out->long_work = route->long_work;
	return true;
}

uint32_t class_lowest(const struct service_doc *doc)
{
	uint32_t lowest = 0;
	uint32_t i;

	for (i = 1; i < doc->class_count; i++) {
		if (doc->classes[i].priority > doc->classes[lowest].priority)
			lowest = i;
	}
	return lowest;
}

static struct service *find_service(const struct state *state,
				    const struct request_facts *facts)
{
	struct service *service;
	struct service *best = NULL;
	GHashTableIter iter;
	gpointer value;

	service = g_hash_table_lookup(state->by_host, facts->host);
	if (service)
		return service;
	g_hash_table_iter_init(&iter, state->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		service = value;
		if (service->doc->path_prefix[0] == '\0' ||
		    !prefix_matches(service->doc->path_prefix, facts->path))
			continue;
		if (!best || strlen(service->doc->path_prefix) >
				     strlen(best->doc->path_prefix))
			best = service;
	}
	return best;
}

static uint32_t find_route(const struct service_doc *doc,
			   const struct request_facts *facts)
{
	const struct route_doc *route;
	uint32_t best = DOC_ROUTES_MAX;
	size_t best_bytes = 0;
	size_t bytes;
	uint32_t i;

	for (i = 0; i < doc->route_count; i++) {
		route = &doc->routes[i];
		if (!(route->method_mask & (UINT32_C(1) << facts->method)) ||
		    !prefix_matches(route->path_prefix, facts->path))
			continue;
		bytes = strlen(route->path_prefix);
		if (best == DOC_ROUTES_MAX || bytes > best_bytes) {
			best = i;
			best_bytes = bytes;
		}
	}
	return best;
}

/* A prefix ends at a segment: "/a" covers "/a" and "/a/b", not "/ab". */
static bool prefix_matches(const char *prefix, const char *path)
{
	size_t bytes = strlen(prefix);

	if (strncmp(prefix, path, bytes) != 0)
		return false;
	if (bytes > 0 && prefix[bytes - 1] == '/')
		return true;
	return path[bytes] == '\0' || path[bytes] == '/';
}
