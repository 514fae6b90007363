#include "duty/connections.h"

struct connections {
	GHashTable *hosts;
	GHashTable *by_fd;
	GHashTable *by_port;
};

static uint64_t host_key(struct net_addr backend);
static uint64_t port_key(struct net_addr backend, uint16_t own_port);
static uint64_t *key_new(uint64_t key);
static gboolean host_unused(gpointer key, gpointer value, gpointer data);

struct connections *connections_new(void)
{
	struct connections *connections = g_new0(struct connections, 1);

	connections->hosts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, g_free);
	connections->by_fd = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	connections->by_port = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	return connections;
}

void connections_free(struct connections *connections)
{
	if (!connections)
		return;
	g_hash_table_unref(connections->by_port);
	g_hash_table_unref(connections->by_fd);
	g_hash_table_unref(connections->hosts);
	g_free(connections);
}

struct connection_host *connections_host(struct connections *connections,
					 struct net_addr backend)
{
	uint64_t key = host_key(backend);
	struct connection_host *host =
		g_hash_table_lookup(connections->hosts, &key);

	if (host)
		return host;
	host = g_new0(struct connection_host, 1);
	host->backend = backend;
	g_hash_table_insert(connections->hosts, key_new(key), host);
	return host;
}

enum connection_choice connections_begin(struct connection_host *host,
					 uint32_t connections_max,
					 bool idempotent, uint64_t now_us)
{
	enum connection_choice choice = CONNECTION_KEPT;
	bool fresh = !idempotent ||
		     connections_age_max_s(host, now_us, UINT64_MAX) == 0;

	if (host->active >= MAX(connections_max, 1))
		return CONNECTION_NONE;
	if (fresh && host->open + host->starting < connections_max)
		choice = CONNECTION_FRESH;
	host->active++;
	host->starting++;
	return choice;
}

void connections_end(struct connection_host *host)
{
	g_assert(host->active > 0);
	host->active--;
}

void connections_settled(struct connections *connections)
{
	GHashTableIter iter;
	gpointer host;

	g_hash_table_iter_init(&iter, connections->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &host))
		((struct connection_host *)host)->starting = 0;
}

void connections_opened(struct connections *connections,
			struct connection_host *host, int32_t fd)
{
	struct connection *connection = g_new0(struct connection, 1);

	connection->fd = fd;
	connection->host = host;
	host->open++;
	g_hash_table_insert(connections->by_fd, GINT_TO_POINTER(fd),
			    connection);
}

void connections_connected(struct connections *connections, int32_t fd,
			   uint16_t own_port)
{
	struct connection *connection =
		g_hash_table_lookup(connections->by_fd, GINT_TO_POINTER(fd));
	uint64_t key;

	if (!connection)
		return;
	connection->own_port = own_port;
	key = port_key(connection->host->backend, own_port);
	g_hash_table_insert(connections->by_port, key_new(key), connection);
}

struct connection *connections_find(struct connections *connections,
				    const struct connection_host *host,
				    uint16_t own_port)
{
	uint64_t key = port_key(host->backend, own_port);

	return g_hash_table_lookup(connections->by_port, &key);
}

void connections_closed(struct connections *connections, int32_t fd)
{
	struct connection *connection =
		g_hash_table_lookup(connections->by_fd, GINT_TO_POINTER(fd));
	uint64_t key;

	if (!connection)
		return;
	connection->host->open--;
	key = port_key(connection->host->backend, connection->own_port);
	if (g_hash_table_lookup(connections->by_port, &key) == connection)
		g_hash_table_remove(connections->by_port, &key);
	g_hash_table_remove(connections->by_fd, GINT_TO_POINTER(fd));
}

void connections_suspect(struct connection_host *host, uint64_t now_us)
{
	host->suspect_before_us = now_us;
}

uint64_t connections_age_max_s(const struct connection_host *host,
			       uint64_t now_us, uint64_t any_age_s)
{
	uint64_t age_s;

	if (host->suspect_before_us == 0)
		return any_age_s;
	age_s = (now_us - host->suspect_before_us) / US_PER_S;
	return MIN(age_s, any_age_s);
}

void connections_forget_idle(struct connections *connections)
{
	g_hash_table_foreach_remove(connections->hosts, host_unused, NULL);
}

static uint64_t host_key(struct net_addr backend)
{
	return (uint64_t)backend.ip << 16 | backend.port;
}

static uint64_t port_key(struct net_addr backend, uint16_t own_port)
{
	return (uint64_t)own_port << 48 | host_key(backend);
}

static uint64_t *key_new(uint64_t key)
{
	uint64_t *copy = g_new(uint64_t, 1);

	*copy = key;
	return copy;
}

static gboolean host_unused(gpointer key, gpointer value, gpointer data)
{
	const struct connection_host *host = value;

	(void)key;
	(void)data;
	return host->open == 0 && host->active == 0;
}
