#include "query/route.h"

#include <string.h>

static enum route_result match_table(const struct state *state,
				     const struct table_route *route,
				     const struct request_facts *facts,
				     struct route_match *out);
static bool identify_customer(const struct state *state,
			      const struct request_facts *facts, bool is_public,
			      struct route_match *out);
static const struct route_target *pick_target(const struct state *state,
					      const struct table_route *route);
static uint64_t random_below(GRand *rand, uint64_t end);
static uint32_t class_of_priority(const struct service_doc *doc,
				  uint32_t priority);
static void match_document(const struct service_doc *doc,
			   const struct request_facts *facts,
			   struct route_match *out);
static struct service *find_service(const struct state *state,
				    const struct request_facts *facts);
static uint32_t find_route(const struct service_doc *doc,
			   const struct request_facts *facts);
static bool prefix_matches(const char *prefix, const char *path);

enum route_result route_find(const struct state *state,
			     const struct request_facts *facts,
			     struct route_match *out)
{
	const struct table_route *route = NULL;

	memset(out, 0, sizeof(*out));
	out->tries_max = TICKET_TRIES_MAX;
	if (state->routes)
		route = routing_table_find(state->routes, facts->host.text,
					   facts->path);
	if (route)
		return match_table(state, route, facts, out);
	out->service = find_service(state, facts);
	if (out->service) {
		if (!identify_customer(state, facts, false, out))
			return ROUTE_DENIED;
		match_document(out->service->doc, facts, out);
		return ROUTE_FOUND;
	}
	if (g_hash_table_size(state->services) == 0 ||
	    (state->settings->platform_kind == PLATFORM_STORE &&
	     !state->routes))
		return ROUTE_UNKNOWN;
	return ROUTE_NONE;
}

static enum route_result match_table(const struct state *state,
				     const struct table_route *route,
				     const struct request_facts *facts,
				     struct route_match *out)
{
	const struct route_target *target = pick_target(state, route);

	switch (target->kind) {
	case TARGET_SERVICE:
		break;
	case TARGET_REJECT:
		return ROUTE_REJECTED;
	}
	if (!identify_customer(state, facts, route->is_public, out))
		return ROUTE_DENIED;
	out->service = service_lookup(state, &target->service);
	if (!out->service)
		return ROUTE_UNKNOWN;
	out->route_index = route->typical_us_index;
	out->class_index =
		class_of_priority(out->service->doc,
				  out->customer && out->customer->has_priority ?
					  out->customer->priority :
					  route->priority);
	out->budget_ms = route->budget_ms;
	out->budget_is_limit = true;
	out->objective_ms = route->objective_ms;
	out->idempotent = route->idempotent;
	out->tries_max = MIN(route->tries_max, TICKET_TRIES_MAX);
	return ROUTE_FOUND;
}

/* Return: false if the request needs the key of a customer and has none. */
static bool identify_customer(const struct state *state,
			      const struct request_facts *facts, bool is_public,
			      struct route_match *out)
{
	const struct customer_table *customers =
		state->routes ? state->routes->customers : NULL;

	if (!customers)
		return true;
	out->drop_credentials = true;
	if (facts->credential.kind == CREDENTIAL_KEY)
		out->customer =
			customer_by_key(customers, &facts->credential.key_hash);
	out->weight_milli = customer_weight_milli(customers, out->customer);
	return is_public || out->customer;
}

/*
 * Return: target chosen at random in proportion to the weights; how many slots
 * its service has free does not matter.
 */
static const struct route_target *pick_target(const struct state *state,
					      const struct table_route *route)
{
	uint64_t offset;
	uint32_t i = 0;

	if (route->target_count == 1)
		return &route->targets[0];
	offset = random_below(state->rand, route->weight_sum);
	while (offset >= route->targets[i].weight)
		offset -= route->targets[i++].weight;
	return &route->targets[i];
}

/* Return: random number from 0 to @end - 1. */
static uint64_t random_below(GRand *rand, uint64_t end)
{
	uint64_t high = g_rand_int(rand);
	uint64_t fraction = high << 32 | g_rand_int(rand);

	return (uint64_t)((unsigned __int128)fraction * end >> 64);
}

/*
 * Return: index of the class with the smallest priority number not below
 * @priority; of the one with the greatest number when there is none.
 */
static uint32_t class_of_priority(const struct service_doc *doc,
				  uint32_t priority)
{
	uint32_t best = class_lowest_priority(doc);
	uint32_t i;

	for (i = 0; i < doc->class_count; i++) {
		if (doc->classes[i].priority >= priority &&
		    doc->classes[i].priority < doc->classes[best].priority)
			best = i;
	}
	return best;
}

static void match_document(const struct service_doc *doc,
			   const struct request_facts *facts,
			   struct route_match *out)
{
	const struct route_doc *route;

	out->route_index = find_route(doc, facts);
	if (out->route_index == DOC_ROUTES_MAX) {
		out->class_index = class_lowest_priority(doc);
		out->budget_ms = doc->default_budget_ms;
		out->idempotent = facts->method <= METHOD_OPTIONS;
	} else {
		route = &doc->routes[out->route_index];
		out->class_index = route->class_index;
		out->budget_ms = route->budget_ms;
		out->idempotent = route->idempotent;
		out->long_work = route->long_work;
	}
	if (out->customer && out->customer->has_priority)
		out->class_index =
			class_of_priority(doc, out->customer->priority);
}

uint32_t class_lowest_priority(const struct service_doc *doc)
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

	service = g_hash_table_lookup(state->by_host, facts->host.text);
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

/* A prefix ends at a path segment: "/a" matches "/a" and "/a/b", not "/ab". */
static bool prefix_matches(const char *prefix, const char *path)
{
	size_t bytes = strlen(prefix);

	if (strncmp(prefix, path, bytes) != 0)
		return false;
	if (bytes > 0 && prefix[bytes - 1] == '/')
		return true;
	return path[bytes] == '\0' || path[bytes] == '/';
}
