#include "duty/connections.h"

#include <errno.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Idle connections to all backend servers together, so that a large fleet of
 * them does not use up the file descriptors of an instance.
 */
#define IDLE_TOTAL_MAX 512
/*
 * Limit of sockets that were shut down and that libcurl has not closed yet; no
 * further connection is kept beyond it. libcurl looks for them once a second at
 * most, and some connections prove unfit to keep only after libcurl was told to
 * keep them.
 */
#define SHUT_DOWN_MAX 64
#define DISCARD_BYTES 4096
#define DISCARD_READS_MAX 16

/**
 * struct connections - connections to all backend servers
 * @backends: struct backend_connections by address
 * @by_fd: struct kept_connection by socket; libcurl has not closed it
 * @idle: the idle ones, the one used last at the end
 * @idle_fds: array of struct curl_waitfd, in the order of @idle when listed
 * @shut_down: connections that were dropped and not closed yet
 * @keep_max: idle connections kept to each backend server
 * @last_id: id of the connection added last
 * @lock: protects @counters
 * @counters: read by the dispatch duty
 */
struct connections {
	GHashTable *backends;
	GHashTable *by_fd;
	GPtrArray *idle;
	GArray *idle_fds;
	uint32_t shut_down;
	uint32_t keep_max;
	uint64_t last_id;
	pthread_mutex_t lock;
	struct connection_counters counters;
};

static void remove_idle(struct connections *connections, guint index);
static void drop_idle(struct connections *connections, guint index,
		      enum connection_drop cause);
static void count_drop(struct connections *connections,
		       enum connection_drop cause);
static bool drop_oldest(struct connections *connections,
			const struct backend_connections *backend);
static void shut_down(struct connections *connections,
		      struct kept_connection *connection);
static bool has_served(const struct kept_connection *connection,
		       uint64_t request_id);
static uint64_t socket_received_bytes(int32_t fd);
static gboolean backend_unused(gpointer key, gpointer value, gpointer data);

struct connections *connections_new(uint32_t keep_max)
{
	struct connections *connections = g_new0(struct connections, 1);

	connections->backends = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	connections->by_fd = g_hash_table_new(NULL, NULL);
	connections->idle = g_ptr_array_new();
	connections->idle_fds =
		g_array_new(FALSE, FALSE, sizeof(struct curl_waitfd));
	connections->keep_max = keep_max;
	if (pthread_mutex_init(&connections->lock, NULL) != 0)
		g_error("exchange: cannot create a lock");
	return connections;
}

void connections_free(struct connections *connections)
{
	if (!connections)
		return;
	g_assert(g_hash_table_size(connections->by_fd) == 0);
	g_hash_table_unref(connections->by_fd);
	g_ptr_array_unref(connections->idle);
	g_array_unref(connections->idle_fds);
	g_hash_table_unref(connections->backends);
	pthread_mutex_destroy(&connections->lock);
	g_free(connections);
}

struct backend_connections *
connections_get_backend(struct connections *connections, struct net_addr addr)
{
	uint64_t key = addr_key(addr);
	struct backend_connections *backend =
		g_hash_table_lookup(connections->backends, &key);
	uint64_t *copy;

	if (backend)
		return backend;
	backend = g_new0(struct backend_connections, 1);
	copy = g_new(uint64_t, 1);
	*copy = key;
	g_hash_table_insert(connections->backends, copy, backend);
	return backend;
}

bool connections_begin(struct connections *connections,
		       struct backend_connections *backend,
		       uint32_t connections_max)
{
	uint32_t limit = MAX(connections_max, 1);

	if (backend->active >= limit)
		return false;
	while (backend->active + backend->idle >= limit) {
		if (!drop_oldest(connections, backend))
			return false;
	}
	backend->active++;
	return true;
}

void connections_end(struct backend_connections *backend)
{
	g_assert(backend->active > 0);
	backend->active--;
}

void connections_drop_other_starts(struct connections *connections,
				   struct backend_connections *backend,
				   const struct name *instance)
{
	const struct kept_connection *connection;
	guint i = connections->idle->len;

	while (backend->idle > 0 && i-- > 0) {
		connection = g_ptr_array_index(connections->idle, i);
		if (connection->backend == backend &&
		    !name_equal(&connection->instance, instance))
			drop_idle(connections, i, CONNECTION_DROP_START);
	}
}

struct kept_connection *connections_take(struct connections *connections,
					 struct backend_connections *backend,
					 uint64_t request_id, uint64_t now_us)
{
	struct kept_connection *connection;
	guint i = connections->idle->len;

	while (backend->idle > 0 && i-- > 0) {
		connection = g_ptr_array_index(connections->idle, i);
		if (connection->backend != backend ||
		    has_served(connection, request_id))
			continue;
		if (now_us >= connection->idle_until_us) {
			drop_idle(connections, i, CONNECTION_DROP_IDLE);
			continue;
		}
		if (!connection_is_quiet(connection)) {
			drop_idle(connections, i, CONNECTION_DROP_CLOSED);
			continue;
		}
		remove_idle(connections, i);
		connection->in_use = true;
		backend->active++;
		return connection;
	}
	return NULL;
}

uint64_t connections_next_id(struct connections *connections)
{
	return ++connections->last_id;
}

struct kept_connection *connections_add(struct connections *connections,
					struct backend_connections *backend,
					const struct name *instance,
					uint64_t id, int32_t fd)
{
	struct kept_connection *connection = g_new0(struct kept_connection, 1);

	connection->id = id;
	connection->fd = fd;
	connection->backend = backend;
	connection->instance = *instance;
	connection->failures = backend->failures;
	connection->in_use = true;
	g_hash_table_insert(connections->by_fd, GINT_TO_POINTER(fd),
			    connection);
	return connection;
}

void connections_on_close(struct connections *connections, int32_t fd)
{
	struct kept_connection *connection =
		g_hash_table_lookup(connections->by_fd, GINT_TO_POINTER(fd));
	guint index;

	if (!connection) {
		close(fd);
		return;
	}
	connection->ended_bytes = socket_received_bytes(fd);
	g_hash_table_remove(connections->by_fd, GINT_TO_POINTER(fd));
	if (g_ptr_array_find(connections->idle, connection, &index))
		drop_idle(connections, index, CONNECTION_DROP_CLOSED);
	close(fd);
	if (connection->shut_down)
		connections->shut_down--;
	connection->fd = -1;
	if (!connection->in_use)
		g_free(connection);
}

bool connections_may_keep(const struct connections *connections)
{
	return connections->shut_down < SHUT_DOWN_MAX;
}

void connections_release(struct connections *connections,
			 struct kept_connection *connection,
			 const struct keep_decision *decision)
{
	connection->in_use = false;
	if (connection->fd < 0) {
		/* Closed although it may be kept: see connections_may_keep(). */
		count_drop(connections, decision->idle_until_us > 0 ?
						CONNECTION_DROP_LIMIT :
						decision->cause);
		g_free(connection);
		return;
	}
	if (decision->idle_until_us == 0) {
		count_drop(connections, decision->cause);
		shut_down(connections, connection);
		return;
	}
	if (connection->backend->idle >= connections->keep_max)
		drop_oldest(connections, connection->backend);
	if (connections->idle->len >= IDLE_TOTAL_MAX)
		drop_idle(connections, 0, CONNECTION_DROP_LIMIT);
	connection->idle_until_us = decision->idle_until_us;
	connection->backend->idle++;
	g_ptr_array_add(connections->idle, connection);
}

void connections_backend_failed(struct connections *connections,
				struct backend_connections *backend)
{
	const struct kept_connection *connection;
	guint i = connections->idle->len;

	backend->failures++;
	while (backend->idle > 0 && i-- > 0) {
		connection = g_ptr_array_index(connections->idle, i);
		if (connection->backend == backend)
			drop_idle(connections, i, CONNECTION_DROP_FAILURE);
	}
}

bool connection_is_quiet(const struct kept_connection *connection)
{
	char byte;

	return connection->fd >= 0 &&
	       recv(connection->fd, &byte, sizeof(byte),
		    MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       errno == EAGAIN;
}

uint64_t connection_received_bytes(const struct kept_connection *connection)
{
	if (connection->fd < 0)
		return connection->ended_bytes;
	return socket_received_bytes(connection->fd);
}

uint64_t connections_drop_expired(struct connections *connections,
				  uint64_t now_us)
{
	const struct kept_connection *connection;
	uint64_t next_us = UINT64_MAX;
	guint i = connections->idle->len;

	while (i-- > 0) {
		connection = g_ptr_array_index(connections->idle, i);
		if (now_us >= connection->idle_until_us)
			drop_idle(connections, i, CONNECTION_DROP_IDLE);
		else
			next_us = MIN(next_us, connection->idle_until_us);
	}
	return next_us;
}

struct curl_waitfd *connections_list_idle(struct connections *connections,
					  uint32_t *count)
{
	const struct kept_connection *connection;
	struct curl_waitfd wait = { .events = CURL_WAIT_POLLIN };
	guint i;

	g_array_set_size(connections->idle_fds, 0);
	for (i = 0; i < connections->idle->len; i++) {
		connection = g_ptr_array_index(connections->idle, i);
		wait.fd = connection->fd;
		g_array_append_val(connections->idle_fds, wait);
	}
	*count = connections->idle_fds->len;
	return (struct curl_waitfd *)(void *)connections->idle_fds->data;
}

void connections_drop_readable(struct connections *connections)
{
	const GArray *idle_fds = connections->idle_fds;
	guint i = idle_fds->len;

	while (i-- > 0) {
		if (g_array_index(idle_fds, struct curl_waitfd, i).revents != 0)
			drop_idle(connections, i, CONNECTION_DROP_CLOSED);
	}
	g_array_set_size(connections->idle_fds, 0);
}

void connections_count_opened(struct connections *connections)
{
	pthread_mutex_lock(&connections->lock);
	connections->counters.opened++;
	pthread_mutex_unlock(&connections->lock);
}

void connections_use(struct connections *connections,
		     struct kept_connection *connection, uint64_t request_id)
{
	g_assert(connection->uses < KEEP_USES_MAX);
	if (connection->uses > 0) {
		pthread_mutex_lock(&connections->lock);
		connections->counters.reused++;
		pthread_mutex_unlock(&connections->lock);
	}
	connection->received_bytes = connection_received_bytes(connection);
	connection->request_ids[connection->uses++] = request_id;
}

void connections_counters(struct connections *connections,
			  struct connection_counters *out)
{
	pthread_mutex_lock(&connections->lock);
	*out = connections->counters;
	pthread_mutex_unlock(&connections->lock);
}

void connections_remove_unused(struct connections *connections)
{
	g_hash_table_foreach_remove(connections->backends, backend_unused,
				    NULL);
}

/* Keeps the order, which is that of the latest use. */
static void remove_idle(struct connections *connections, guint index)
{
	struct kept_connection *connection =
		g_ptr_array_remove_index(connections->idle, index);

	connection->idle_until_us = 0;
	connection->backend->idle--;
}

static void drop_idle(struct connections *connections, guint index,
		      enum connection_drop cause)
{
	struct kept_connection *connection =
		g_ptr_array_index(connections->idle, index);

	remove_idle(connections, index);
	count_drop(connections, cause);
	shut_down(connections, connection);
}

static void count_drop(struct connections *connections,
		       enum connection_drop cause)
{
	g_assert(cause < CONNECTION_DROP_COUNT);
	pthread_mutex_lock(&connections->lock);
	connections->counters.dropped[cause]++;
	pthread_mutex_unlock(&connections->lock);
}

/* Return: false if the backend server has no idle connection. */
static bool drop_oldest(struct connections *connections,
			const struct backend_connections *backend)
{
	const struct kept_connection *connection;
	guint i;

	for (i = 0; i < connections->idle->len; i++) {
		connection = g_ptr_array_index(connections->idle, i);
		if (connection->backend != backend)
			continue;
		drop_idle(connections, i, CONNECTION_DROP_LIMIT);
		return true;
	}
	return false;
}

/*
 * The socket stays libcurl's, which closes it once it finds it at its end.
 * Bytes left to read would hide the end.
 */
static void shut_down(struct connections *connections,
		      struct kept_connection *connection)
{
	char discarded[DISCARD_BYTES];
	uint32_t i;

	connection->shut_down = true;
	connections->shut_down++;
	if (shutdown(connection->fd, SHUT_RDWR) != 0)
		g_debug("exchange: a kept connection has ended already");
	for (i = 0; i < DISCARD_READS_MAX; i++) {
		if (recv(connection->fd, discarded, sizeof(discarded),
			 MSG_DONTWAIT) <= 0)
			return;
	}
}

static bool has_served(const struct kept_connection *connection,
		       uint64_t request_id)
{
	uint32_t i;

	for (i = 0; i < connection->uses; i++) {
		if (connection->request_ids[i] == request_id)
			return true;
	}
	return false;
}

static uint64_t socket_received_bytes(int32_t fd)
{
	struct tcp_info info = { 0 };
	socklen_t info_bytes = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &info_bytes) != 0)
		return UINT64_MAX;
	return info.tcpi_bytes_received;
}

static gboolean backend_unused(gpointer key, gpointer value, gpointer data)
{
	const struct backend_connections *backend = value;

	(void)key;
	(void)data;
	return backend->active == 0 && backend->idle == 0;
}
