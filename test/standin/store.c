#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/clock.h"
#include "http.h"
#include "standin.h"

#define WORKERS 96
#define WAIT_MAX_MS 30000
#define HANG_MAX_US (600 * US_PER_S)
#define PAGE_ITEMS_DEFAULT 500

/**
 * enum store_mode - how the store behaves
 * @STORE_UP: answers
 * @STORE_REFUSE: closes without an answer
 * @STORE_HANG: takes calls and stays silent
 * @STORE_UNAVAILABLE: status 503
 * @STORE_BUSY: status 429
 */
enum store_mode {
	STORE_UP,
	STORE_REFUSE,
	STORE_HANG,
	STORE_UNAVAILABLE,
	STORE_BUSY,
};

static const char *const mode_names[] = { "up", "refuse", "hang", "unavailable",
					  "busy" };

/**
 * struct item - one entry as it was written
 * @value: base64
 * @revision: of its last change
 * @created_revision: of its creation
 */
struct item {
	char *value;
	uint64_t revision;
	uint64_t created_revision;
};

/**
 * struct change - one change of the history
 * @revision: its revision
 * @key: what changed
 * @text: JSON object as watches tell it
 */
struct change {
	uint64_t revision;
	char *key;
	char *text;
};

/**
 * struct store - the store; @lock guards all
 * @changed: signalled on every change
 * @mode: how it behaves
 * @turned_away: IP number whose calls get status 503, or ""
 * @items: key to struct item
 * @history: array of struct change
 * @revision: of the last change
 * @forgotten_revision: changes up to this one are forgotten
 * @page_items: entries of one page
 * @reads: calls taken
 */
struct store {
	GMutex lock;
	GCond changed;
	enum store_mode mode;
	char turned_away[32];
	GTree *items;
	GArray *history;
	uint64_t revision;
	uint64_t forgotten_revision;
	uint32_t page_items;
	uint64_t reads;
};

/**
 * struct page - a range being written
 * @prefix: of the keys
 * @after: the last key of the page before, "" for the first page
 * @items: JSON array
 * @room: entries that still fit
 * @has_more: one did not fit
 */
struct page {
	const char *prefix;
	const char *after;
	json_object *items;
	uint32_t room;
	bool has_more;
};

struct store_args {
	char *listen;
	uint32_t page_items;
};

static int handle(struct mg_connection *conn, void *data);
static int handle_order(struct store *store, struct mg_connection *conn,
			const char *path);
static int change_item(struct store *store, struct mg_connection *conn);
static void write_item(struct store *store, const char *key, const char *text);
static void remove_item(struct store *store, const char *key);
static void note_change(struct store *store, const char *key,
			json_object *object);
static int put_mode(struct store *store, struct mg_connection *conn);
static int turn_away(struct store *store, struct mg_connection *conn);
static int forget_history(struct store *store, struct mg_connection *conn);
static int answer_range(struct store *store, struct mg_connection *conn);
static gboolean add_to_page(gpointer key, gpointer value, gpointer data);
static int answer_watch(struct store *store, struct mg_connection *conn);
static bool changed_since(const struct store *store, const char *prefix,
			  uint64_t after);
static json_object *changes_since(const struct store *store, const char *prefix,
				  uint64_t after);
static json_object *item_json(const char *key, const struct item *item);
static bool behave(struct store *store, struct mg_connection *conn);
static void query_text(struct mg_connection *conn, const char *name, char *out,
		       size_t room);
static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data);
static void item_free(gpointer data);
static error_t parse(int key, char *text, struct argp_state *state);

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "Answer here", 0 },
	{ "page", 'p', "N", 0, "Entries of one page", 0 },
	{ 0 },
};

static const struct argp parser = {
	.options = options,
	.parser = parse,
	.doc = "Key-value store with revisions and watches, read only but for "
	       "orders.",
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
	return http_serve(args.listen, WORKERS, handle, &store);
}

static int handle(struct mg_connection *conn, void *data)
{
	struct store *store = data;
	const char *path = mg_get_request_info(conn)->local_uri;

	if (g_str_has_prefix(path, "/standin/"))
		return handle_order(store, conn, path + strlen("/standin/"));
	if (!behave(store, conn))
		return 200;
	if (strcmp(path, "/kv-range") == 0)
		return answer_range(store, conn);
	if (strcmp(path, "/kv-watch") == 0)
		return answer_watch(store, conn);
	return http_answer(conn, 404, "", "");
}

static int handle_order(struct store *store, struct mg_connection *conn,
			const char *path)
{
	json_object *reads;

	if (strcmp(path, "item") == 0)
		return change_item(store, conn);
	if (strcmp(path, "mode") == 0)
		return put_mode(store, conn);
	if (strcmp(path, "turn_away") == 0)
		return turn_away(store, conn);
	if (strcmp(path, "forget") == 0)
		return forget_history(store, conn);
	if (strcmp(path, "reads") == 0) {
		reads = json_object_new_object();
		g_mutex_lock(&store->lock);
		json_object_object_add(reads, "reads",
				       json_object_new_uint64(store->reads));
		g_mutex_unlock(&store->lock);
		return http_answer_json(conn, reads);
	}
	return http_answer(conn, 404, "", "");
}

/* An empty body removes the entry. */
static int change_item(struct store *store, struct mg_connection *conn)
{
	char *text = http_body(conn);
	char key[256];

	query_text(conn, "key", key, sizeof(key));
	if (text == NULL || key[0] == '\0') {
		g_free(text);
		return http_answer(conn, 400, "", "");
	}
	g_mutex_lock(&store->lock);
	store->revision++;
	if (text[0] == '\0')
		remove_item(store, key);
	else
		write_item(store, key, text);
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->lock);
	g_free(text);
	return http_answer(conn, 200, "", "");
}

static void write_item(struct store *store, const char *key, const char *text)
{
	const struct item *before = g_tree_lookup(store->items, key);
	struct item *item = g_new0(struct item, 1);

	item->value = g_base64_encode((const guchar *)text, strlen(text));
	item->revision = store->revision;
	item->created_revision = before ? before->created_revision :
					  store->revision;
	g_tree_replace(store->items, g_strdup(key), item);
	note_change(store, key, item_json(key, item));
}

static void remove_item(struct store *store, const char *key)
{
	json_object *object = json_object_new_object();

	g_tree_remove(store->items, key);
	json_object_object_add(object, "key", json_object_new_string(key));
	json_object_object_add(object, "rev",
			       json_object_new_uint64(store->revision));
	json_object_object_add(object, "removed", json_object_new_boolean(1));
	note_change(store, key, object);
}

static void note_change(struct store *store, const char *key,
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
	int found = http_body_word(conn, mode_names, G_N_ELEMENTS(mode_names));

	if (found < 0)
		return http_answer(conn, 400, "", "");
	g_mutex_lock(&store->lock);
	store->mode = (enum store_mode)found;
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->lock);
	return http_answer(conn, 200, "", "");
}

/* One reader's calls are refused from now on; an empty body ends that. */
static int turn_away(struct store *store, struct mg_connection *conn)
{
	char *text = http_body(conn);

	if (text == NULL)
		return http_answer(conn, 400, "", "");
	g_mutex_lock(&store->lock);
	g_strlcpy(store->turned_away, text, sizeof(store->turned_away));
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->lock);
	g_free(text);
	return http_answer(conn, 200, "", "");
}

static int forget_history(struct store *store, struct mg_connection *conn)
{
	struct change *change;
	guint i;

	g_mutex_lock(&store->lock);
	for (i = 0; i < store->history->len; i++) {
		change = &g_array_index(store->history, struct change, i);
		g_free(change->key);
		g_free(change->text);
	}
	g_array_set_size(store->history, 0);
	store->revision++;
	store->forgotten_revision = store->revision;
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->lock);
	return http_answer(conn, 200, "", "");
}

static int answer_range(struct store *store, struct mg_connection *conn)
{
	json_object *answer = json_object_new_object();
	char prefix[256];
	char after[256];
	struct page page = { .prefix = prefix, .after = after };

	query_text(conn, "prefix", prefix, sizeof(prefix));
	query_text(conn, "after", after, sizeof(after));
	page.items = json_object_new_array();
	g_mutex_lock(&store->lock);
	page.room = store->page_items;
	g_tree_foreach(store->items, add_to_page, &page);
	json_object_object_add(answer, "items", page.items);
	json_object_object_add(answer, "hasMore",
			       json_object_new_boolean(page.has_more));
	json_object_object_add(answer, "storeRevision",
			       json_object_new_uint64(store->revision));
	g_mutex_unlock(&store->lock);
	return http_answer_json(conn, answer);
}

static gboolean add_to_page(gpointer key, gpointer value, gpointer data)
{
	struct page *page = data;

	if (!g_str_has_prefix(key, page->prefix) ||
	    strcmp(key, page->after) <= 0)
		return FALSE;
	if (page->room == 0) {
		page->has_more = true;
		return TRUE;
	}
	page->room--;
	json_object_array_add(page->items, item_json(key, value));
	return FALSE;
}

static int answer_watch(struct store *store, struct mg_connection *conn)
{
	uint64_t after = http_query_uint(conn, "after", 0);
	uint64_t wait_ms = http_query_uint(conn, "waitMs", 0);
	gint64 until_us = g_get_monotonic_time() +
			  (gint64)(MIN(wait_ms, WAIT_MAX_MS) * US_PER_MS);
	json_object *answer = NULL;
	char prefix[256];

	query_text(conn, "prefix", prefix, sizeof(prefix));
	g_mutex_lock(&store->lock);
	while (after >= store->forgotten_revision && store->mode == STORE_UP &&
	       !changed_since(store, prefix, after) &&
	       g_cond_wait_until(&store->changed, &store->lock, until_us))
		;
	if (after >= store->forgotten_revision) {
		answer = json_object_new_object();
		json_object_object_add(answer, "events",
				       changes_since(store, prefix, after));
		json_object_object_add(answer, "storeRevision",
				       json_object_new_uint64(store->revision));
	}
	g_mutex_unlock(&store->lock);
	return answer ? http_answer_json(conn, answer) :
			http_answer(conn, 410, "", "");
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

/* Returns whether the call is to be answered. */
static bool behave(struct store *store, struct mg_connection *conn)
{
	enum store_mode mode;

	g_mutex_lock(&store->lock);
	store->reads++;
	mode = store->mode;
	if (strcmp(store->turned_away,
		   mg_get_request_info(conn)->remote_addr) == 0)
		mode = STORE_UNAVAILABLE;
	g_mutex_unlock(&store->lock);
	switch (mode) {
	case STORE_UP:
		return true;
	case STORE_HANG:
		http_wait(conn, clock_now_us() + HANG_MAX_US);
		http_cut(conn);
		return false;
	case STORE_UNAVAILABLE:
		http_answer(conn, 503, "", "");
		return false;
	case STORE_BUSY:
		http_answer(conn, 429, "", "");
		return false;
	case STORE_REFUSE:
		http_cut(conn);
		return false;
	}
	return false;
}

static void query_text(struct mg_connection *conn, const char *name, char *out,
		       size_t room)
{
	const char *query = mg_get_request_info(conn)->query_string;

	out[0] = '\0';
	if (query != NULL &&
	    mg_get_var(query, strlen(query), name, out, room) < 0)
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

static error_t parse(int key, char *text, struct argp_state *state)
{
	struct store_args *args = state->input;

	switch (key) {
	case 'l':
		args->listen = text;
		return 0;
	case 'p':
		args->page_items = (uint32_t)g_ascii_strtoull(text, NULL, 10);
		if (args->page_items == 0)
			argp_error(state, "a page has an entry at least");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}
