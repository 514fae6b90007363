#include "duty/connections.h"

struct connections {
	GHashTable *backends;
};

static gboolean backend_unused(gpointer key, gpointer value, gpointer data);

struct connections *connections_new(void)
{
	struct connections *connections = g_new0(struct connections, 1);

	connections->backends = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	return connections;
}

void connections_free(struct connections *connections)
{
	if (!connections)
		return;
	g_hash_table_unref(connections->backends);
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

bool connections_begin(struct backend_connections *backend,
		       uint32_t connections_max)
{
	if (backend->active >= MAX(connections_max, 1))
		return false;
	backend->active++;
	return true;
}

void connections_end(struct backend_connections *backend)
{
	g_assert(backend->active > 0);
	backend->active--;
}

void connections_remove_unused(struct connections *connections)
{
	g_hash_table_foreach_remove(connections->backends, backend_unused,
				    NULL);
}

static gboolean backend_unused(gpointer key, gpointer value, gpointer data)
{
	const struct backend_connections *backend = value;

	(void)key;
	(void)data;
	return backend->active == 0;
}
