#ifndef DUTY_CONNECTIONS_H
#define DUTY_CONNECTIONS_H

/**
 * DOC: count of open connections to each backend server
 *
 * Each exchange opens a connection of its own, so the number of connections is
 * the number of exchanges in progress. Only the exchange duty's thread uses
 * the counts.
 */

#include <glib.h>

#include "core/ids.h"

/**
 * struct backend_connections - connections to one backend server
 * @active: exchanges in progress, one connection each
 */
struct backend_connections {
	uint32_t active;
};

struct connections;

/**
 * connections_new() - make an empty table of counts
 *
 * Return: to be freed with connections_free().
 */
struct connections *connections_new(void);

/**
 * connections_free() - free a table of counts
 * @connections: the table, or NULL
 */
void connections_free(struct connections *connections);

/**
 * connections_get_backend() - find or create the count of one backend server
 * @connections: the table
 * @addr: address of the backend server
 *
 * Return: the count, owned by @connections and valid until
 * connections_remove_unused() finds it unused.
 */
struct backend_connections *
connections_get_backend(struct connections *connections, struct net_addr addr);

/**
 * connections_begin() - count a new connection unless the limit is reached
 * @backend: count of the backend server
 * @connections_max: limit; 0 counts as 1
 *
 * Return: false when the limit is reached; nothing is counted then.
 */
bool connections_begin(struct backend_connections *backend,
		       uint32_t connections_max);

/**
 * connections_end() - remove a connection that connections_begin() counted
 * @backend: count of the backend server
 */
void connections_end(struct backend_connections *backend);

/**
 * connections_remove_unused() - free the counts of backend servers without
 *	connections
 * @connections: the table
 */
void connections_remove_unused(struct connections *connections);

#endif
