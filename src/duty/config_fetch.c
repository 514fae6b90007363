#include "duty/config_fetch.h"

#include "duty/relay.h"

static void set_known_version(struct fetch_list *list, const struct name *key,
			      uint64_t version);

void fetch_list_init(struct fetch_list *list)
{
	list->pending =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list->known_versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list->running = 0;
}

void fetch_list_clear(struct fetch_list *list)
{
	g_hash_table_unref(list->pending);
	g_hash_table_unref(list->known_versions);
}

void fetch_list_add(struct fetch_list *list, const struct name *key,
		    uint64_t version, uint64_t due_us)
{
	const uint64_t *known =
		g_hash_table_lookup(list->known_versions, key->text);
	struct fetch *fetch = g_hash_table_lookup(list->pending, key->text);

	if (fetch) {
		fetch->version = version;
		return;
	}
	if (known && *known == version)
		return;
	fetch = g_new0(struct fetch, 1);
	fetch->key = *key;
	fetch->version = version;
	fetch->due_us = due_us;
	g_hash_table_insert(list->pending, g_strdup(key->text), fetch);
}

bool fetch_list_has_version(const struct fetch_list *list,
			    const struct name *key)
{
	return g_hash_table_contains(list->known_versions, key->text);
}

void fetch_list_make_all_due(struct fetch_list *list)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct fetch *)value)->due_us = 0;
}

void fetch_list_drop_held(struct fetch_list *list, const GArray *held,
			  uint64_t now_us)
{
	const struct config_offer *offer;
	const struct fetch *fetch;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fetch = value;
		if (fetch->running || fetch->due_us > now_us)
			continue;
		offer = relay_find_offer(held, &fetch->key);
		if (!offer || offer->version < fetch->version)
			continue;
		set_known_version(list, &fetch->key, fetch->version);
		g_hash_table_iter_remove(&iter);
	}
}

uint64_t fetch_list_due_us(const struct fetch_list *list)
{
	uint64_t due_us = DEADLINE_NONE_US;
	const struct fetch *fetch;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fetch = value;
		if (!fetch->running)
			due_us = MIN(due_us, fetch->due_us);
	}
	return due_us;
}

struct fetch *fetch_list_next(const struct fetch_list *list, uint64_t now_us)
{
	struct fetch *fetch;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fetch = value;
		if (!fetch->running && fetch->due_us <= now_us)
			return fetch;
	}
	return NULL;
}

void fetch_list_mark_running(struct fetch_list *list, struct fetch *fetch)
{
	fetch->running = true;
	list->running++;
}

struct fetch *fetch_list_end_run(struct fetch_list *list,
				 const struct name *key)
{
	struct fetch *fetch = g_hash_table_lookup(list->pending, key->text);

	if (!fetch || !fetch->running)
		return NULL;
	fetch->running = false;
	list->running--;
	return fetch;
}

void fetch_list_complete(struct fetch_list *list, struct fetch *fetch,
			 uint64_t version)
{
	set_known_version(list, &fetch->key, version);
	fetch_list_drop(list, fetch);
}

void fetch_list_drop(struct fetch_list *list, struct fetch *fetch)
{
	struct name key = fetch->key;

	g_hash_table_remove(list->pending, key.text);
}

static void set_known_version(struct fetch_list *list, const struct name *key,
			      uint64_t version)
{
	g_hash_table_insert(list->known_versions, g_strdup(key->text),
			    g_memdup2(&version, sizeof(version)));
}
