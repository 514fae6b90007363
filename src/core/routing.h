#ifndef CORE_ROUTING_H
#define CORE_ROUTING_H

/**
 * DOC: routing table
 *
 * One document that says which service takes which requests, beside the
 * service documents. It is accepted whole and is immutable then, so a request
 * sees one version of it. Shared by reference count.
 */

#include <glib.h>

#include "core/ids.h"

/* Key of the table among the service documents; no service has such a name. */
#define ROUTING_KEY ".routes"
#define ROUTING_HOSTS_MAX 4096
#define ROUTING_HOST_ROUTES_MAX 16384
#define ROUTING_TARGETS_MAX 16

/**
 * struct route_target - one service that takes requests of a route
 * @service: its name
 * @weight: its part of the requests, of the sum over the route's targets
 */
struct route_target {
	struct name service;
	uint32_t weight;
};

/**
 * struct table_route - one route of one host
 * @path_prefix: begins and ends with a slash
 * @idempotent: may run more than once
 * @budget_ms: longest time a request is kept waiting
 * @objective_ms: an answer within this time is worth most
 * @priority: 0 goes first
 * @tries_max: backend servers to which one request may be sent
 * @targets: array of @target_count
 * @target_count: at least 1
 * @weight_sum: over @targets
 * @typical_us_index: names the route in figures kept by service; stays the same
 *	from one version of the table to the next
 */
struct table_route {
	char path_prefix[PATH_BYTES_MAX];
	bool idempotent;
	uint32_t budget_ms;
	uint32_t objective_ms;
	uint32_t priority;
	uint32_t tries_max;
	struct route_target *targets;
	uint32_t target_count;
	uint32_t weight_sum;
	uint32_t typical_us_index;
};

/**
 * struct table_host - one host
 * @routes: owned struct table_route by path prefix
 * @services: owned array of struct name, all services that its routes name
 */
struct table_host {
	GHashTable *routes;
	GArray *services;
};

/**
 * struct routing_table - one accepted table
 * @refs: reference count, atomic
 * @version: version the platform gave it
 * @hash: hash of @text
 * @text: body as published, for peers
 * @text_bytes: length of @text
 * @hosts: owned Host text in lower case to owned struct table_host
 */
struct routing_table {
	gint refs;
	uint64_t version;
	uint64_t hash;
	char *text;
	uint32_t text_bytes;
	GHashTable *hosts;
};

/**
 * routing_table_new() - make a table without routes
 * @text: body as published
 * @text_bytes: its length
 * @version: version the platform gave it
 *
 * Return: a table with one reference.
 */
struct routing_table *routing_table_new(const char *text, size_t text_bytes,
					uint64_t version);

/**
 * routing_table_add_host() - add a host
 * @table: the table
 * @host: its name in lower case
 *
 * Return: the host, empty and owned by the table; NULL when it is there.
 */
struct table_host *routing_table_add_host(struct routing_table *table,
					  const char *host);

/**
 * table_host_add_route() - add a route
 * @host: the host
 * @route: taken over on success
 *
 * Return: false when there is one of the same prefix.
 */
bool table_host_add_route(struct table_host *host, struct table_route *route);

/**
 * routing_table_find() - the route of a request
 * @table: the table
 * @host: Host without port, in lower case
 * @path: path without query
 *
 * Return: the route with the longest prefix that begins @path, or NULL.
 */
const struct table_route *routing_table_find(const struct routing_table *table,
					     const char *host,
					     const char *path);

/**
 * table_route_free() - free a route
 * @data: a struct table_route, or NULL
 */
void table_route_free(gpointer data);

/**
 * routing_table_ref() - take a reference
 * @table: the table
 *
 * Return: @table.
 */
struct routing_table *routing_table_ref(struct routing_table *table);

/**
 * routing_table_unref() - give a reference back; the last one frees
 * @table: the table, or NULL
 */
void routing_table_unref(struct routing_table *table);

#endif
