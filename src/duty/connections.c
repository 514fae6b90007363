#include "duty/connections.h"

struct connections {
	GHashTable *hosts;
};

static gboolean host_unused(gpointer key, gpointer value, gpointer data);

struct connections *connections_new(void)
{
	struct connections *connections = g_new0(struct connections, 1);

	connections->hosts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, g_free);
	return connections;
}

void connections_free(struct connections *connections)
{
	if (!connections)
		return;
	g_hash_table_unref(connections->hosts);
	g_free(connections);
}

struct backend_connections *
connections_get_backend(struct connections *connections,
			struct net_addr backend)
{
	uint64_t key = addr_key(backend);
	struct backend_connections *host =
		g_hash_table_lookup(connections->hosts, &key);
	uint64_t *copy;

	if (host)
		return host;
	host = g_new0(struct backend_connections, 1);
	copy = g_new(uint64_t, 1);
	*copy = key;
	g_hash_table_insert(connections->hosts, copy, host);
	return host;
}

bool connections_begin(struct backend_connections *host,
		       uint32_t connections_max)
{
	if (host->active >= MAX(connections_max, 1))
		return false;
	host->active++;
	return true;
}

void connections_end(struct backend_connections *host)
{
	g_assert(host->active > 0);
	host->active--;
}

void connections_remove_unused(struct connections *connections)
{
	g_hash_table_foreach_remove(connections->hosts, host_unused, NULL);
}

static gboolean host_unused(gpointer key, gpointer value, gpointer data)
{
	const struct backend_connections *host = value;

	(void)key;
	(void)data;
	return host->active == 0;
}
