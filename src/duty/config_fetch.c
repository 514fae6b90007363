#include "duty/config_fetch.h"

static void set_seen(struct fetch_list *list, const struct name *key,
		     uint64_t version);
static const struct config_offer *find_offer(const GArray *held,
					     const struct name *key);

void fetch_list_init(struct fetch_list *list)
{
	list->wanted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list->running = 0;
}

void fetch_list_clear(struct fetch_list *list)
{
	g_hash_table_unref(list->wanted);
	g_hash_table_unref(list->seen);
}

void fetch_list_add(struct fetch_list *list, const struct name *key,
		    uint64_t version, uint64_t due_us)
{
	const uint64_t *seen = g_hash_table_lookup(list->seen, key->text);
	struct fetch *fetch = g_hash_table_lookup(list->wanted, key->text);

	if (fetch) {
		fetch->version = version;
		return;
	}
	if (seen && *seen == version)
		return;
	fetch = g_new0(struct fetch, 1);
	fetch->key = *key;
	fetch->version = version;
	fetch->due_us = due_us;
	g_hash_table_insert(list->wanted, g_strdup(key->text), fetch);
}

bool fetch_list_has_version(const struct fetch_list *list,
			    const struct name *key)
{
	return g_hash_table_contains(list->seen, key->text);
}

void fetch_list_make_all_due(struct fetch_list *list)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->wanted);
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

	g_hash_table_iter_init(&iter, list->wanted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fetch = value;
		if (fetch->running || fetch->due_us > now_us)
			continue;
		offer = find_offer(held, &fetch->key);
		if (!offer || offer->version < fetch->version)
			continue;
		set_seen(list, &fetch->key, fetch->version);
		g_hash_table_iter_remove(&iter);
	}
}

uint64_t fetch_list_due_us(const struct fetch_list *list)
{
	uint64_t due_us = DEADLINE_NONE_US;
	const struct fetch *fetch;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->wanted);
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

	g_hash_table_iter_init(&iter, list->wanted);
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
	struct fetch *fetch = g_hash_table_lookup(list->wanted, key->text);

	if (!fetch || !fetch->running)
		return NULL;
	fetch->running = false;
	list->running--;
	return fetch;
}

void fetch_list_complete(struct fetch_list *list, struct fetch *fetch,
			 uint64_t version)
{
	set_seen(list, &fetch->key, version);
	fetch_list_drop(list, fetch);
}

void fetch_list_drop(struct fetch_list *list, struct fetch *fetch)
{
	struct name key = fetch->key;

	g_hash_table_remove(list->wanted, key.text);
}

static void set_seen(struct fetch_list *list, const struct name *key,
		     uint64_t version)
{
	g_hash_table_insert(list->seen, g_strdup(key->text),
			    g_memdup2(&version, sizeof(version)));
}

static const struct config_offer *find_offer(const GArray *held,
					     const struct name *key)
{
	const struct config_offer *offer;
	guint i;

	for (i = 0; i < held->len; i++) {
		offer = &g_array_index(held, struct config_offer, i);
		if (name_equal(&offer->key, key))
			return offer;
	}
	return NULL;
}
