#ifndef CORE_ROUTING_H
#define CORE_ROUTING_H

/**
 * DOC: routing table
 *
 * A document besides the service documents that maps hosts and paths to
 * services. It is accepted or refused as a whole and is immutable, so that a
 * request sees a single version of it. Shared by reference count.
 */

#include <glib.h>

#include "core/customer.h"

/* Key of the table among the documents; not a valid name of a service. */
#define ROUTING_KEY ".routes"
#define ROUTING_HOSTS_MAX 65536
#define ROUTING_HOST_ROUTES_MAX 65536
#define ROUTING_TARGETS_MAX 65536
#define ROUTING_BUDGET_MAX_MS 600000
#define ROUTING_PRIORITY_MAX 100
#define ROUTING_TRIES_MAX 16
/* The sum of ROUTING_TARGETS_MAX weights has 64 bits. */
#define ROUTING_WEIGHT_MAX (UINT64_C(1) << 46)

/**
 * enum target_kind - what happens to the requests of a target
 * @TARGET_SERVICE: a service gets them
 * @TARGET_REJECT: they are refused without being executed, as the platform has
 *	configured for them what cannot be used; no other service may get them
 */
enum target_kind { TARGET_SERVICE, TARGET_REJECT };

/**
 * struct route_target - what a route does with a part of its requests
 * @kind: what happens to them
 * @service: with TARGET_SERVICE, name of the service
 * @weight: share of the requests, relative to the weight_sum of the route
 */
struct route_target {
	enum target_kind kind;
	struct name service;
	uint64_t weight;
};

/**
 * struct table_route - one route of one host
 * @path_prefix: prefix of the paths it matches, owned; begins with a slash, and
 *	ends with one unless the route rejects all its requests
 * @idempotent: requests may be executed more than once
 * @budget_ms: time limit of a request
 * @objective_ms: latency objective; answers within this time have the most
 *	value
 * @priority: 0 is served first
 * @tries_max: limit of backend servers to which one request may be sent
 * @is_public: requests need no key even if the table has customers
 * @targets: what happens to the requests, owned
 * @target_count: number of entries of @targets, at least 1
 * @weight_sum: sum of the weights of @targets
 * @typical_us_index: index of the route in route_typical_us of struct service;
 *	the same in all versions of the table
 */
struct table_route {
	char *path_prefix;
	bool idempotent;
	uint32_t budget_ms;
	uint32_t objective_ms;
	uint32_t priority;
	uint32_t tries_max;
	bool is_public;
	struct route_target *targets;
	uint32_t target_count;
	uint64_t weight_sum;
	uint32_t typical_us_index;
};

/**
 * struct table_host - routes of one host
 * @routes: path prefix to struct table_route, owned
 * @unended_bytes: lengths of prefixes that do not end with a slash, owned; NULL
 *	for none
 * @services: array of struct name, owned; all services that the routes name
 */
struct table_host {
	GHashTable *routes;
	GHashTable *unended_bytes;
	GArray *services;
};

/**
 * struct routing_table - one version of the routing table
 * @refs: reference count, atomic
 * @version: version assigned by the platform
 * @hash: hash of @text
 * @text: document as published, owned; sent to peers
 * @text_bytes: length of @text
 * @hosts: host name in lower case to struct table_host, both owned
 * @rejecting_routes: number of routes with a target that rejects requests
 * @left_out: number of items of the configuration that have no effect, as they
 *	cannot be used and no requests can be told to belong to them
 * @customers: customers whose keys requests need, owned; NULL if requests need
 *	no key
 */
struct routing_table {
	gint refs;
	uint64_t version;
	uint64_t hash;
	char *text;
	uint32_t text_bytes;
	GHashTable *hosts;
	uint32_t rejecting_routes;
	uint32_t left_out;
	struct customer_table *customers;
};

/**
 * routing_table_new() - create a table without routes
 * @text: document as published
 * @text_bytes: length of @text
 * @version: version assigned by the platform
 *
 * Return: a table with one reference.
 */
struct routing_table *routing_table_new(const char *text, size_t text_bytes,
					uint64_t version);

/**
 * routing_table_add_host() - add a host
 * @table: table to add to
 * @host: host name in lower case
 *
 * Return: the new host without routes, owned by the table; NULL if the table
 * has the host already.
 */
struct table_host *routing_table_add_host(struct routing_table *table,
					  const char *host);

/**
 * routing_table_add_route() - add a route
 * @table: table to add to
 * @host: host of @table to add to
 * @route: route to add; the host takes ownership on success only
 *
 * Return: false if the host has a route with the same prefix.
 */
bool routing_table_add_route(struct routing_table *table,
			     struct table_host *host,
			     struct table_route *route);

/**
 * routing_table_find() - find the route of a request
 * @table: table to search
 * @host: Host without port, in lower case
 * @path: path without query
 *
 * Return: the route with the longest prefix that matches @path, or NULL.
 */
const struct table_route *routing_table_find(const struct routing_table *table,
					     const char *host,
					     const char *path);

/**
 * table_route_rejects() - whether a route rejects requests
 * @route: route with its targets
 *
 * Return: true if any target with a weight does.
 */
bool table_route_rejects(const struct table_route *route);

/**
 * table_route_free() - free a route
 * @data: struct table_route to free, or NULL
 */
void table_route_free(gpointer data);

/**
 * routing_table_ref() - take a reference
 * @table: routing table
 *
 * Return: @table.
 */
struct routing_table *routing_table_ref(struct routing_table *table);

/**
 * routing_table_unref() - drop a reference; the last one frees the table
 * @table: routing table, or NULL
 */
void routing_table_unref(struct routing_table *table);

#endif
