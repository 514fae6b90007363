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
 * struct connection_host - connections to one backend server
 * @active: exchanges in progress
 */
struct connection_host {
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
 * connections_host() - find or make the count of one backend server
 * @connections: the count
 * @backend: which
 *
 * Return: valid until connections_forget_idle() finds it unused.
 */
struct connection_host *connections_host(struct connections *connections,
					 struct net_addr backend);

/**
 * connections_begin() - count an exchange in
 * @host: its backend server
 * @connections_max: bound for it; at least one is let through
 *
 * Return: false when the bound is reached.
 */
bool connections_begin(struct connection_host *host, uint32_t connections_max);

/**
 * connections_end() - an exchange that had begun is over
 * @host: its backend server
 */
void connections_end(struct connection_host *host);

/**
 * connections_forget_idle() - drop the counts of unused backend servers
 * @connections: the count
 */
void connections_forget_idle(struct connections *connections);

#endif
