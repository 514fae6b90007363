#ifndef DUTY_CONNECTIONS_H
#define DUTY_CONNECTIONS_H

/**
 * DOC: connections to backend servers, counted
 *
 * Keeps the connections to each backend server under its bound and knows
 * which kept ones are suspect. Used by the exchange duty's thread alone.
 */

#include <glib.h>

#include "core/ids.h"

/**
 * enum connection_choice - which connection an exchange may use
 * @CONNECTION_NONE: none now, the bound is reached
 * @CONNECTION_FRESH: a new one
 * @CONNECTION_KEPT: a kept one if there is one, else a new one
 */
enum connection_choice {
	CONNECTION_NONE,
	CONNECTION_FRESH,
	CONNECTION_KEPT,
};

/**
 * struct connection_host - connections to one backend server
 * @backend: which
 * @open: open sockets, kept ones included
 * @active: exchanges that have a connection or are about to get one
 * @starting: exchanges begun since the last call of connections_settled()
 * @suspect_before_us: kept connections made before this may have gone silent
 */
struct connection_host {
	struct net_addr backend;
	uint32_t open;
	uint32_t active;
	uint32_t starting;
	uint64_t suspect_before_us;
};

/**
 * struct connection - one socket
 * @fd: the socket
 * @host: its backend server
 * @own_port: local port, 0 until it is connected
 * @read_bytes: what the answers read so far took
 */
struct connection {
	int32_t fd;
	struct connection_host *host;
	uint16_t own_port;
	uint64_t read_bytes;
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
 * connections_begin() - choose a connection for an exchange
 * @host: its backend server
 * @connections_max: bound for it
 * @idempotent: a kept connection will do, unless all are suspect
 * @now_us: the time
 *
 * Return: the choice; any but CONNECTION_NONE counts the exchange as active.
 */
enum connection_choice connections_begin(struct connection_host *host,
					 uint32_t connections_max,
					 bool idempotent, uint64_t now_us);

/**
 * connections_end() - an exchange that had begun is over
 * @host: its backend server
 */
void connections_end(struct connection_host *host);

/**
 * connections_settled() - all exchanges begun so far have their sockets
 * @connections: the count
 */
void connections_settled(struct connections *connections);

/**
 * connections_opened() - a socket was made
 * @connections: the count
 * @host: its backend server
 * @fd: the socket
 */
void connections_opened(struct connections *connections,
			struct connection_host *host, int32_t fd);

/**
 * connections_connected() - a socket is connected
 * @connections: the count
 * @fd: the socket
 * @own_port: its local port
 */
void connections_connected(struct connections *connections, int32_t fd,
			   uint16_t own_port);

/**
 * connections_find() - find a connected socket
 * @connections: the count
 * @host: its backend server
 * @own_port: its local port
 *
 * Return: the connection, valid until it is closed, or NULL.
 */
struct connection *connections_find(struct connections *connections,
				    const struct connection_host *host,
				    uint16_t own_port);

/**
 * connections_closed() - a socket is about to be closed
 * @connections: the count
 * @fd: the socket
 */
void connections_closed(struct connections *connections, int32_t fd);

/**
 * connections_suspect() - a kept connection has gone silent, so may others
 * @host: the backend server
 * @now_us: the time
 */
void connections_suspect(struct connection_host *host, uint64_t now_us);

/**
 * connections_age_max_s() - how old a kept connection may be to be used
 * @host: the backend server
 * @now_us: the time
 * @any_age_s: when none is suspect
 *
 * Return: whole seconds; 0 when only a new connection will do.
 */
uint64_t connections_age_max_s(const struct connection_host *host,
			       uint64_t now_us, uint64_t any_age_s);

/**
 * connections_forget_idle() - drop counts of backend servers without sockets
 * @connections: the count
 */
void connections_forget_idle(struct connections *connections);

#endif
