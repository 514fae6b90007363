#ifndef DUTY_CONNECTIONS_H
#define DUTY_CONNECTIONS_H

/**
 * DOC: connections to backend servers, counted
 *
 * Each exchange has a connection of its own, so the exchanges in progress are
 * the connections. Used by the exchange duty's thread alone.
 */

#include <glib.h>

#include "core/ids.h"

/**
 * struct backend_connections - connections to one backend server
 * @active: exchanges in progress
 */
struct backend_connections {
	uint32_t active;
};

struct connections;

/**
 * connections_new() - make an empty count
 *
 * Return: to be freed with connections_free().
 */
struct connections *connections_new(void);

/**
 * connections_free() - free a count
 * @connections: the count, or NULL
 */
void connections_free(struct connections *connections);

/**
 * connections_get_backend() - find or make the count of one backend server
 * @connections: the count
 * @backend: which
 *
 * Return: valid until connections_remove_unused() finds it unused.
 */
struct backend_connections *
connections_get_backend(struct connections *connections,
			struct net_addr backend);

/**
 * connections_begin() - count an exchange in
 * @host: its backend server
 * @connections_max: bound for it; at least one is let through
 *
 * Return: false when the bound is reached.
 */
bool connections_begin(struct backend_connections *host,
		       uint32_t connections_max);

/**
 * connections_end() - an exchange that had begun is over
 * @host: its backend server
 */
void connections_end(struct backend_connections *host);

/**
 * connections_remove_unused() - drop the counts of unused backend servers
 * @connections: the count
 */
void connections_remove_unused(struct connections *connections);

#endif
