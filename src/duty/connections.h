#ifndef DUTY_CONNECTIONS_H
#define DUTY_CONNECTIONS_H

/**
 * DOC: open connections to each backend server
 *
 * Counts the connections to each backend server and knows those that may be
 * kept. An exchange has one connection at a time, so the connections in use are
 * the exchanges in progress; idle ones count as well. libcurl owns the sockets.
 * An idle connection is dropped by shutting its socket down; libcurl closes the
 * socket when it next looks for a connection, at most once a second. Only the
 * exchange duty's thread uses the table.
 */

#include <curl/curl.h>
#include <glib.h>

#include "core/ids.h"
#include "core/metrics.h"
#include "query/keep.h"

/**
 * struct backend_connections - connections to one backend server
 * @active: exchanges in progress, one connection each
 * @idle: kept connections that no exchange uses
 * @failures: ended exchanges after which every connection open at that
 *	time must not be kept
 */
struct backend_connections {
	uint32_t active;
	uint32_t idle;
	uint64_t failures;
};

/**
 * struct kept_connection - connection that is kept or may be kept
 * @id: names it to libcurl, see http_client_set_connection()
 * @fd: its socket, owned by libcurl; -1 once closed
 * @backend: count of its backend server, valid while it is in use or idle
 * @instance: start of the backend server that it was opened to
 * @failures: @backend's failures when it was opened
 * @request_ids: hashes of the ids of the requests sent on it
 * @uses: used entries of @request_ids
 * @received_bytes: bytes received on it before the exchange in progress
 * @ended_bytes: bytes received on it until it was closed, with @fd -1
 * @idle_until_us: time until which it is kept; 0 unless it is idle
 * @shut_down: it was dropped and its socket is not closed yet
 * @in_use: an exchange uses it and must call connections_release()
 */
struct kept_connection {
	uint64_t id;
	int32_t fd;
	struct backend_connections *backend;
	struct name instance;
	uint64_t failures;
	uint64_t request_ids[KEEP_USES_MAX];
	uint32_t uses;
	uint64_t received_bytes;
	uint64_t ended_bytes;
	uint64_t idle_until_us;
	bool shut_down;
	bool in_use;
};

struct connections;

/**
 * connections_new() - make an empty table
 * @keep_max: idle connections kept to each backend server
 *
 * Return: to be freed with connections_free().
 */
struct connections *connections_new(uint32_t keep_max);

/**
 * connections_free() - free a table
 * @connections: the table, or NULL; libcurl has closed all its sockets
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
 * @connections: the table
 * @backend: count of the backend server
 * @connections_max: limit; 0 counts as 1
 *
 * Drops an idle connection if that makes room.
 *
 * Return: false when the limit is reached; nothing is counted then.
 */
bool connections_begin(struct connections *connections,
		       struct backend_connections *backend,
		       uint32_t connections_max);

/**
 * connections_end() - remove a connection that connections_begin() or
 *	connections_take() counted
 * @backend: count of the backend server
 */
void connections_end(struct backend_connections *backend);

/**
 * connections_drop_other_starts() - drop idle connections to another start
 * @connections: the table
 * @backend: count of the backend server
 * @instance: the start that requests are sent to now
 */
void connections_drop_other_starts(struct connections *connections,
				   struct backend_connections *backend,
				   const struct name *instance);

/**
 * connections_take() - take an idle connection for an exchange
 * @connections: the table
 * @backend: count of the backend server
 * @request_id: hash of the request's id
 * @now_us: current time
 *
 * The connection used last is taken. One that has served a request with the
 * same id is not: a late answer to that one could not be told apart.
 *
 * Return: the connection, counted as active, or NULL.
 */
struct kept_connection *connections_take(struct connections *connections,
					 struct backend_connections *backend,
					 uint64_t request_id, uint64_t now_us);

/**
 * connections_next_id() - id for a connection to be opened
 * @connections: the table
 *
 * Return: an id that no connection has had.
 */
uint64_t connections_next_id(struct connections *connections);

/**
 * connections_add() - add a connection that an exchange opens
 * @connections: the table
 * @backend: count of the backend server, which counts the exchange
 * @instance: start of the backend server
 * @id: from connections_next_id()
 * @fd: its socket
 *
 * Return: the connection, in use; to be ended with connections_release().
 */
struct kept_connection *connections_add(struct connections *connections,
					struct backend_connections *backend,
					const struct name *instance,
					uint64_t id, int32_t fd);

/**
 * connections_on_close() - close a socket for libcurl
 * @connections: the table
 * @fd: socket of a connection that was added
 */
void connections_on_close(struct connections *connections, int32_t fd);

/**
 * connections_may_keep() - whether libcurl may be asked to keep a connection
 * @connections: the table
 *
 * Return: false while many sockets are shut down that libcurl has not closed.
 */
bool connections_may_keep(const struct connections *connections);

/**
 * connections_release() - end the use of a connection
 * @connections: the table
 * @connection: a connection in use; it may be freed
 * @decision: whether to keep it; ignored if libcurl has closed it
 */
void connections_release(struct connections *connections,
			 struct kept_connection *connection,
			 const struct keep_decision *decision);

/**
 * connections_backend_failed() - keep no connection to a backend server that is
 *	open now
 * @connections: the table
 * @backend: count of the backend server
 */
void connections_backend_failed(struct connections *connections,
				struct backend_connections *backend);

/**
 * connection_is_quiet() - whether a connection is open and has no bytes to read
 * @connection: the connection
 *
 * Return: false if it is closed or bytes have arrived.
 */
bool connection_is_quiet(const struct kept_connection *connection);

/**
 * connection_received_bytes() - bytes received on a connection
 * @connection: the connection, open or closed
 *
 * Return: all bytes since it was opened, read or not; UINT64_MAX if unknown.
 */
uint64_t connection_received_bytes(const struct kept_connection *connection);

/**
 * connections_drop_expired() - drop connections whose idle time has ended
 * @connections: the table
 * @now_us: current time
 *
 * Return: time at which the next one ends, UINT64_MAX if none is idle.
 */
uint64_t connections_drop_expired(struct connections *connections,
				  uint64_t now_us);

/**
 * connections_list_idle() - sockets to wait for
 * @connections: the table
 * @count: gets their number
 *
 * Return: array owned by @connections, valid until the next call, for
 * connections_drop_readable().
 */
struct curl_waitfd *connections_list_idle(struct connections *connections,
					  uint32_t *count);

/**
 * connections_drop_readable() - drop idle connections on which something came
 * @connections: the table
 *
 * Looks at the array of the latest connections_list_idle(); no connection must
 * have been taken, dropped or released since.
 */
void connections_drop_readable(struct connections *connections);

/**
 * connections_count_opened() - count a connection that is opened
 * @connections: the table
 */
void connections_count_opened(struct connections *connections);

/**
 * connections_use() - note that a request is sent on a connection now
 * @connections: the table
 * @connection: a connection in use
 * @request_id: hash of the request's id
 */
void connections_use(struct connections *connections,
		     struct kept_connection *connection, uint64_t request_id);

/**
 * connections_counters() - read the counters; any thread
 * @connections: the table
 * @out: filled
 */
void connections_counters(struct connections *connections,
			  struct connection_counters *out);

/**
 * connections_remove_unused() - free the counts of backend servers without
 *	connections
 * @connections: the table
 */
void connections_remove_unused(struct connections *connections);

#endif
