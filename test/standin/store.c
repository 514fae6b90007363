#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/clock.h"
#include "http.h"
#include "standin.h"

#define WORKER_THREADS 96
#define WATCH_MAX_MS 30000
#define HANG_MAX_US (600 * US_PER_S)
#define PAGE_ITEMS_DEFAULT 500

/**
 * enum store_mode - behaviour of the store
 * @STORE_UP: requests are answered
 * @STORE_REFUSE: connections are closed without a response
 * @STORE_HANG: requests are read but never answered
 * @STORE_UNAVAILABLE: every response has status 503
 * @STORE_BUSY: every response has status 429
 * @STORE_SILENT: watches are never answered, other requests are
 */
enum store_mode {
	STORE_UP,
	STORE_REFUSE,
	STORE_HANG,
	STORE_UNAVAILABLE,
	STORE_BUSY,
	STORE_SILENT,
};

static const char *const mode_names[] = { "up",		 "refuse", "hang",
					  "unavailable", "busy",   "silent" };

/**
 * struct item - one stored entry
 * @value: value in base64, owned
 * @revision: store revision of the last change
 * @created_revision: store revision of the creation
 */
struct item {
	char *value;
	uint64_t revision;
	uint64_t created_revision;
};

/**
 * struct change - one change in the history
 * @revision: store revision of the change
 * @key: key that changed, owned
 * @text: JSON object sent to watches, owned
 */
struct change {
	uint64_t revision;
	char *key;
	char *text;
};

/**
 * struct store - the key-value store
 * @lock: guards all fields
 * @changed: signalled on every change
 * @mode: current behaviour
 * @rejected_ip: address of the client that gets status 503, "" for none
 * @items: maps keys to struct item
 * @history: array of struct change
 * @revision: revision of the last change
 * @compacted_revision: changes up to this revision are no longer in @history
 * @page_items: maximum entries in a page
 * @reads: requests received
 * @era: number of restores from a copy, sent in every answer
 * @copy_items: entries of the copy, maps keys to struct item; NULL for none
 * @copy_revision: revision of the copy
 */
struct store {
	GMutex lock;
	GCond changed;
	enum store_mode mode;
	char rejected_ip[32];
	GTree *items;
	GArray *history;
	uint64_t revision;
	uint64_t compacted_revision;
	uint32_t page_items;
	uint64_t reads;
	uint64_t era;
	GTree *copy_items;
	uint64_t copy_revision;
};

/**
 * struct page - page of a range response
 * @prefix: prefix of the requested keys
 * @after: last key of the previous page, "" for the first page
 * @items: JSON array of the entries
 * @room_items: entries that still fit
 * @has_more: further entries did not fit
 */
struct page {
	const char *prefix;
	const char *after;
	json_object *items;
	uint32_t room_items;
	bool has_more;
};

struct store_args {
	char *listen;
	uint32_t page_items;
};

static int handle(struct mg_connection *conn, void *data);
static int handle_control(struct store *store, struct mg_connection *conn,
			  const char *path);
static int put_item(struct store *store, struct mg_connection *conn);
static void set_item(struct store *store, const char *key, const char *text);
static void remove_item(struct store *store, const char *key);
static void record_change(struct store *store, const char *key,
			  json_object *object);
static int put_mode(struct store *store, struct mg_connection *conn);
static int reject_client(struct store *store, struct mg_connection *conn);
static int compact_history(struct store *store, struct mg_connection *conn);
static void clear_history(struct store *store);
static int take_copy(struct store *store, struct mg_connection *conn);
static int restore_copy(struct store *store, struct mg_connection *conn);
static gboolean copy_item(gpointer key, gpointer value, gpointer data);
static int respond_in_era(const struct store *store, struct mg_connection *conn,
			  int status, json_object *object);
static int respond_range(struct store *store, struct mg_connection *conn);
static gboolean add_to_page(gpointer key, gpointer value, gpointer data);
static int respond_watch(struct store *store, struct mg_connection *conn);
static bool changed_since(const struct store *store, const char *prefix,
			  uint64_t after);
static json_object *changes_since(const struct store *store, const char *prefix,
				  uint64_t after);
static json_object *item_json(const char *key, const struct item *item);
static bool apply_mode(struct store *store, struct mg_connection *conn);
static void query_text(struct mg_connection *conn, const char *name, char *out,
		       size_t out_bytes);
static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data);
static void item_free(gpointer data);
static error_t parse_option(int key, char *text, struct argp_state *state);

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "Listen on this address", 0 },
	{ "page", 'p', "N", 0, "Maximum entries in a page", 0 },
	{ 0 },
};

static const struct argp parser = {
	.options = options,
	.parser = parse_option,
	.doc = "Key-value store with revisions and watches; only control "
	       "requests change it.",
};

int store_main(int argc, char **argv)
{
	struct store_args args = { .listen = "127.0.0.1:7000",
				   .page_items = PAGE_ITEMS_DEFAULT };
	struct store store = { .mode = STORE_UP, .revision = 1 };

	if (argp_parse(&parser, argc, argv, 0, NULL, &args) != 0)
		return EXIT_FAILURE;
	g_mutex_init(&store.lock);
	g_cond_init(&store.changed);
	store.items = g_tree_new_full(compare_keys, NULL, g_free, item_free);
	store.history = g_array_new(FALSE, FALSE, sizeof(struct change));
	store.page_items = args.page_items;
	return http_serve(args.listen, WORKER_THREADS, handle, &store);
}

static int handle(struct mg_connection *conn, void *data)
{
	struct store *store = data;
	const char *path = mg_get_request_info(conn)->local_uri;

	if (g_str_has_prefix(path, "/standin/"))
		return handle_control(store, conn, path + strlen("/standin/"));
	if (!apply_mode(store, conn))
		return 200;
	if (strcmp(path, "/kv-range") == 0)
		return respond_range(store, conn);
	if (strcmp(path, "/kv-watch") == 0)
		return respond_watch(store, conn);
	return http_respond(conn, 404, "", "");
}

static int handle_control(struct store *store, struct mg_connection *conn,
			  const char *path)
{
	json_object *reads;

	if (strcmp(path, "item") == 0)
		return put_item(store, conn);
	if (strcmp(path, "mode") == 0)
		return put_mode(store, conn);
	if (strcmp(path, "turn_away") == 0)
		return reject_client(store, conn);
	if (strcmp(path, "forget") == 0)
		return compact_history(store, conn);
	if (strcmp(path, "copy") == 0)
		return take_copy(store, conn);
	if (strcmp(path, "restore") == 0)
		return restore_copy(store, conn);
	if (strcmp(path, "reads") == 0) {
		reads = json_object_new_object();
		g_mutex_lock(&store->lock);
		json_object_object_add(reads, "reads",
				       json_object_new_uint64(store->reads));
		g_mutex_unlock(&store->lock);
		return http_respond_json(conn, reads);
	}
	return http_respond(conn, 404, "", "");
}

/* An empty body removes the entry. */
static int put_item(struct store *store, struct mg_connection *conn)
{
	char *text = http_body(conn);
	char key[256];

	query_text(conn, "key", key, sizeof(key));
	if (text == NULL || key[0] == '\0') {
		g_free(text);
		return http_respond(conn, 400, "", "");
	}
	g_mutex_lock(&store->lock);
	store->revision++;
	if (text[0] == '\0')
		remove_item(store, key);
	else
		set_item(store, key, text);
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->lock);
	g_free(text);
	return http_respond(conn, 200, "", "");
}

static void set_item(struct store *store, const char *key, const char *text)
{
	const struct item *old = g_tree_lookup(store->items, key);
	struct item *item = g_new0(struct item, 1);

	item->value = g_base64_encode((const guchar *)text, strlen(text));
	item->revision = store->revision;
	item->created_revision = old ? old->created_revision : store->revision;
	g_tree_replace(store->items, g_strdup(key), item);
	record_change(store, key, item_json(key, item));
}

static void remove_item(struct store *store, const char *key)
{
	json_object *object = json_object_new_object();

	g_tree_remove(store->items, key);
	json_object_object_add(object, "key", json_object_new_string(key));
	json_object_object_add(object, "rev",
			       json_object_new_uint64(store->revision));
	json_object_object_add(object, "removed", json_object_new_boolean(1));
	record_change(store, key, object);
}

static void record_change(struct store *store, const char *key,
			  json_object *object)
{
	struct change change = {
		.revision = store->revision,
		.key = g_strdup(key),
		.text = g_strdup(json_object_to_json_string(object)),
	};

	g_array_append_val(store->history, change);
	json_object_put(object);
}

static int put_mode(struct store *store, struct mg_connection *conn)
{
	int found =
		http_body_choice(conn, mode_names, G_N_ELEMENTS(mode_names));

	if (found < 0)
		return http_respond(conn, 400, "", "");
	g_mutex_lock(&store->lock);
	store->mode = (enum store_mode)found;
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->lock);
	return http_respond(conn, 200, "", "");
}

/* Rejects requests from the IP address in the body; an empty body ends that. */
static int reject_client(struct store *store, struct mg_connection *conn)
{
	char *text = http_body(conn);

	if (text == NULL)
		return http_respond(conn, 400, "", "");
	g_mutex_lock(&store->lock);
	g_strlcpy(store->rejected_ip, text, sizeof(store->rejected_ip));
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->lock);
	g_free(text);
	return http_respond(conn, 200, "", "");
}

/* Drops the history: a watch after an older revision gets status 410. */
static int compact_history(struct store *store, struct mg_connection *conn)
{
	g_mutex_lock(&store->lock);
	clear_history(store);
	store->revision++;
	store->compacted_revision = store->revision;
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->lock);
	return http_respond(conn, 200, "", "");
}

static void clear_history(struct store *store)
{
	struct change *change;
	guint i;

	for (i = 0; i < store->history->len; i++) {
		change = &g_array_index(store->history, struct change, i);
		g_free(change->key);
		g_free(change->text);
	}
	g_array_set_size(store->history, 0);
}

static int take_copy(struct store *store, struct mg_connection *conn)
{
	g_mutex_lock(&store->lock);
	g_clear_pointer(&store->copy_items, g_tree_unref);
	store->copy_items =
		g_tree_new_full(compare_keys, NULL, g_free, item_free);
	g_tree_foreach(store->items, copy_item, store->copy_items);
	store->copy_revision = store->revision;
	g_mutex_unlock(&store->lock);
	return http_respond(conn, 200, "", "");
}

/*
 * Comes back from the copy in a new era: the revisions since the copy are given
 * out again, and a watch after one of them gets status 410.
 */
static int restore_copy(struct store *store, struct mg_connection *conn)
{
	g_mutex_lock(&store->lock);
	if (!store->copy_items) {
		g_mutex_unlock(&store->lock);
		return http_respond(conn, 400, "", "");
	}
	g_tree_unref(store->items);
	store->items = g_steal_pointer(&store->copy_items);
	store->revision = store->copy_revision;
	store->compacted_revision = store->revision;
	store->era++;
	clear_history(store);
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->lock);
	return http_respond(conn, 200, "", "");
}

static gboolean copy_item(gpointer key, gpointer value, gpointer data)
{
	const struct item *item = value;
	struct item *copy = g_memdup2(item, sizeof(*item));

	copy->value = g_strdup(item->value);
	g_tree_replace(data, g_strdup(key), copy);
	return FALSE;
}

/* Takes over @object, NULL for an empty body. */
static int respond_in_era(const struct store *store, struct mg_connection *conn,
			  int status, json_object *object)
{
	char *headers = g_strdup_printf("Store-Era: %" G_GUINT64_FORMAT "\r\n",
					store->era);

	http_respond(conn, status, store->era > 0 ? headers : "",
		     object ? json_object_to_json_string(object) : "");
	g_free(headers);
	json_object_put(object);
	return status;
}

static int respond_range(struct store *store, struct mg_connection *conn)
{
	json_object *response = json_object_new_object();
	char prefix[256];
	char after[256];
	struct page page = { .prefix = prefix, .after = after };

	query_text(conn, "prefix", prefix, sizeof(prefix));
	query_text(conn, "after", after, sizeof(after));
	page.items = json_object_new_array();
	g_mutex_lock(&store->lock);
	page.room_items = store->page_items;
	g_tree_foreach(store->items, add_to_page, &page);
	json_object_object_add(response, "items", page.items);
	json_object_object_add(response, "hasMore",
			       json_object_new_boolean(page.has_more));
	json_object_object_add(response, "storeRevision",
			       json_object_new_uint64(store->revision));
	g_mutex_unlock(&store->lock);
	return respond_in_era(store, conn, 200, response);
}

static gboolean add_to_page(gpointer key, gpointer value, gpointer data)
{
	struct page *page = data;

	if (!g_str_has_prefix(key, page->prefix) ||
	    strcmp(key, page->after) <= 0)
		return FALSE;
	if (page->room_items == 0) {
		page->has_more = true;
		return TRUE;
	}
	page->room_items--;
	json_object_array_add(page->items, item_json(key, value));
	return FALSE;
}

/*
 * Answers with the changes after the revision "after" of the query, or waits up
 * to its "waitMs" for one; status 410 if the history does not go back so far or
 * the revision has not been given out yet.
 */
static int respond_watch(struct store *store, struct mg_connection *conn)
{
	uint64_t after = http_query_uint(conn, "after", 0);
	uint64_t wait_ms = http_query_uint(conn, "waitMs", 0);
	gint64 deadline_us = g_get_monotonic_time() +
			     (gint64)(MIN(wait_ms, WATCH_MAX_MS) * US_PER_MS);
	json_object *response = NULL;
	char prefix[256];

	query_text(conn, "prefix", prefix, sizeof(prefix));
	g_mutex_lock(&store->lock);
	while (after >= store->compacted_revision && after <= store->revision &&
	       store->mode == STORE_UP &&
	       !changed_since(store, prefix, after) &&
	       g_cond_wait_until(&store->changed, &store->lock, deadline_us))
		;
	if (store->mode == STORE_SILENT) {
		g_mutex_unlock(&store->lock);
		http_wait(conn, clock_now_us() + HANG_MAX_US);
		http_abort(conn);
		return 200;
	}
	if (after >= store->compacted_revision && after <= store->revision) {
		response = json_object_new_object();
		json_object_object_add(response, "events",
				       changes_since(store, prefix, after));
		json_object_object_add(response, "storeRevision",
				       json_object_new_uint64(store->revision));
	}
	g_mutex_unlock(&store->lock);
	return respond_in_era(store, conn, response ? 200 : 410, response);
}

static bool changed_since(const struct store *store, const char *prefix,
			  uint64_t after)
{
	const struct change *change;
	guint i;

	for (i = 0; i < store->history->len; i++) {
		change = &g_array_index(store->history, struct change, i);
		if (change->revision > after &&
		    g_str_has_prefix(change->key, prefix))
			return true;
	}
	return false;
}

static json_object *changes_since(const struct store *store, const char *prefix,
				  uint64_t after)
{
	json_object *list = json_object_new_array();
	const struct change *change;
	guint i;

	for (i = 0; i < store->history->len; i++) {
		change = &g_array_index(store->history, struct change, i);
		if (change->revision > after &&
		    g_str_has_prefix(change->key, prefix))
			json_object_array_add(list,
					      json_tokener_parse(change->text));
	}
	return list;
}

static json_object *item_json(const char *key, const struct item *item)
{
	json_object *object = json_object_new_object();

	json_object_object_add(object, "key", json_object_new_string(key));
	json_object_object_add(object, "value",
			       json_object_new_string(item->value));
	json_object_object_add(object, "rev",
			       json_object_new_uint64(item->revision));
	json_object_object_add(object, "createdRev",
			       json_object_new_uint64(item->created_revision));
	json_object_object_add(object, "lease", json_object_new_uint64(0));
	return object;
}

/* Returns true if the request is to be answered by the caller. */
static bool apply_mode(struct store *store, struct mg_connection *conn)
{
	enum store_mode mode;

	g_mutex_lock(&store->lock);
	store->reads++;
	mode = store->mode;
	if (strcmp(store->rejected_ip,
		   mg_get_request_info(conn)->remote_addr) == 0)
		mode = STORE_UNAVAILABLE;
	g_mutex_unlock(&store->lock);
	switch (mode) {
	case STORE_UP:
	case STORE_SILENT:
		return true;
	case STORE_HANG:
		http_wait(conn, clock_now_us() + HANG_MAX_US);
		http_abort(conn);
		return false;
	case STORE_UNAVAILABLE:
		http_respond(conn, 503, "", "");
		return false;
	case STORE_BUSY:
		http_respond(conn, 429, "", "");
		return false;
	case STORE_REFUSE:
		http_abort(conn);
		return false;
	}
	return false;
}

static void query_text(struct mg_connection *conn, const char *name, char *out,
		       size_t out_bytes)
{
	const char *query = mg_get_request_info(conn)->query_string;

	out[0] = '\0';
	if (query != NULL &&
	    mg_get_var(query, strlen(query), name, out, out_bytes) < 0)
		out[0] = '\0';
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static void item_free(gpointer data)
{
	struct item *item = data;

	g_free(item->value);
	g_free(item);
}

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	struct store_args *args = state->input;

	switch (key) {
	case 'l':
		args->listen = text;
		return 0;
	case 'p':
		args->page_items = (uint32_t)g_ascii_strtoull(text, NULL, 10);
		if (args->page_items == 0)
			argp_error(state, "page size must be at least 1");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}
