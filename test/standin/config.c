#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/clock.h"
#include "http.h"
#include "standin.h"

#define WORKER_THREADS 96
#define WATCH_MAX_MS 60000
#define HANG_MAX_US (600 * US_PER_S)

/**
 * enum config_mode - behaviour of the service
 * @MODE_UP: requests are answered
 * @MODE_REFUSE: connections are closed without a response
 * @MODE_HANG: requests are read but never answered
 * @MODE_ERROR: every response has status 500
 * @MODE_STALE: responses keep the content that was published when the mode was
 *	set
 */
enum config_mode { MODE_UP, MODE_REFUSE, MODE_HANG, MODE_ERROR, MODE_STALE };

static const char *const mode_names[] = { "up", "refuse", "hang", "error",
					  "stale" };

/**
 * struct document - one published document
 * @version: version of the document
 * @text: body of the document, owned
 */
struct document {
	uint64_t version;
	char *text;
};

/**
 * struct snapshot - published content
 * @documents: maps keys to struct document
 * @index_version: version of the index, rises with each change of a document
 * @instances: instance list, JSON array text, owned
 * @instances_version: rises with each change of the instance list
 */
struct snapshot {
	GHashTable *documents;
	uint64_t index_version;
	char *instances;
	uint64_t instances_version;
};

/**
 * struct config - the configuration service
 * @lock: guards all fields
 * @changed: signalled on every change
 * @mode: current behaviour
 * @reads: requests received; a watch counts as one
 * @live: content as last published
 * @stale: copy of @live made when MODE_STALE was set, NULL in other modes
 */
struct config {
	GMutex lock;
	GCond changed;
	enum config_mode mode;
	uint64_t reads;
	struct snapshot *live;
	struct snapshot *stale;
};

struct config_args {
	char *listen;
};

static int handle(struct mg_connection *conn, void *data);
static int handle_control(struct config *config, struct mg_connection *conn,
			  const char *path);
static int put_document(struct config *config, struct mg_connection *conn,
			const char *key);
static int put_instances(struct config *config, struct mg_connection *conn);
static int put_mode(struct config *config, struct mg_connection *conn);
static int respond_index(struct config *config, struct mg_connection *conn);
static int respond_instances(struct config *config, struct mg_connection *conn);
static int respond_document(struct config *config, struct mg_connection *conn,
			    const char *key);
static bool apply_mode(struct config *config, struct mg_connection *conn);
static bool wait_for_change(struct config *config, struct mg_connection *conn,
			    bool index);
static const struct snapshot *current_snapshot(const struct config *config);
static uint64_t current_version(const struct config *config, bool index);
static bool mode_serves(enum config_mode mode);
static struct snapshot *snapshot_new(void);
static struct snapshot *snapshot_copy(const struct snapshot *from);
static void snapshot_free(struct snapshot *snapshot);
static void document_free(gpointer data);
static error_t parse_option(int key, char *text, struct argp_state *state);

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "Listen on this address", 0 },
	{ 0 },
};

static const struct argp parser = {
	.options = options,
	.parser = parse_option,
	.doc = "Configuration service and instance list.",
};

int config_main(int argc, char **argv)
{
	struct config_args args = { .listen = "127.0.0.1:7000" };
	struct config config = { .mode = MODE_UP };

	if (argp_parse(&parser, argc, argv, 0, NULL, &args) != 0)
		return EXIT_FAILURE;
	g_mutex_init(&config.lock);
	g_cond_init(&config.changed);
	config.live = snapshot_new();
	return http_serve(args.listen, WORKER_THREADS, handle, &config);
}

static int handle(struct mg_connection *conn, void *data)
{
	struct config *config = data;
	const char *path = mg_get_request_info(conn)->local_uri;

	if (g_str_has_prefix(path, "/standin/"))
		return handle_control(config, conn, path + strlen("/standin/"));
	if (!apply_mode(config, conn))
		return 200;
	if (strcmp(path, "/config/index") == 0)
		return respond_index(config, conn);
	if (strcmp(path, "/instances") == 0)
		return respond_instances(config, conn);
	if (g_str_has_prefix(path, "/config/"))
		return respond_document(config, conn,
					path + strlen("/config/"));
	return http_respond(conn, 404, "", "");
}

static int handle_control(struct config *config, struct mg_connection *conn,
			  const char *path)
{
	json_object *reads;

	if (g_str_has_prefix(path, "config/"))
		return put_document(config, conn, path + strlen("config/"));
	if (strcmp(path, "instances") == 0)
		return put_instances(config, conn);
	if (strcmp(path, "mode") == 0)
		return put_mode(config, conn);
	if (strcmp(path, "reads") == 0) {
		reads = json_object_new_object();
		g_mutex_lock(&config->lock);
		json_object_object_add(reads, "reads",
				       json_object_new_uint64(config->reads));
		g_mutex_unlock(&config->lock);
		return http_respond_json(conn, reads);
	}
	return http_respond(conn, 404, "", "");
}

/* The query may set any version, so that tests can repeat or lower one. */
static int put_document(struct config *config, struct mg_connection *conn,
			const char *key)
{
	char *text = http_body(conn);
	struct document *old;
	struct document *document;

	if (text == NULL)
		return http_respond(conn, 400, "", "");
	document = g_new0(struct document, 1);
	document->text = text;
	g_mutex_lock(&config->lock);
	old = g_hash_table_lookup(config->live->documents, key);
	document->version = http_query_uint(conn, "version",
					    old == NULL ? 1 : old->version + 1);
	config->live->index_version = http_query_uint(
		conn, "index_version", config->live->index_version + 1);
	g_hash_table_replace(config->live->documents, g_strdup(key), document);
	g_cond_broadcast(&config->changed);
	g_mutex_unlock(&config->lock);
	return http_respond(conn, 200, "", "");
}

static int put_instances(struct config *config, struct mg_connection *conn)
{
	char *text = http_body(conn);

	if (text == NULL)
		return http_respond(conn, 400, "", "");
	g_mutex_lock(&config->lock);
	g_free(config->live->instances);
	config->live->instances = text;
	config->live->instances_version = http_query_uint(
		conn, "version", config->live->instances_version + 1);
	g_cond_broadcast(&config->changed);
	g_mutex_unlock(&config->lock);
	return http_respond(conn, 200, "", "");
}

static int put_mode(struct config *config, struct mg_connection *conn)
{
	int found =
		http_body_choice(conn, mode_names, G_N_ELEMENTS(mode_names));

	if (found < 0)
		return http_respond(conn, 400, "", "");
	g_mutex_lock(&config->lock);
	snapshot_free(config->stale);
	config->stale = found == MODE_STALE ? snapshot_copy(config->live) :
					      NULL;
	config->mode = (enum config_mode)found;
	g_cond_broadcast(&config->changed);
	g_mutex_unlock(&config->lock);
	return http_respond(conn, 200, "", "");
}

static int respond_index(struct config *config, struct mg_connection *conn)
{
	json_object *response;
	json_object *list;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	if (!wait_for_change(config, conn, true))
		return 200;
	response = json_object_new_object();
	list = json_object_new_array();
	g_mutex_lock(&config->lock);
	g_hash_table_iter_init(&iter, current_snapshot(config)->documents);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		json_object *item = json_object_new_object();
		const struct document *document = value;

		json_object_object_add(item, "key",
				       json_object_new_string(key));
		json_object_object_add(
			item, "version",
			json_object_new_uint64(document->version));
		json_object_array_add(list, item);
	}
	json_object_object_add(
		response, "version",
		json_object_new_uint64(
			current_snapshot(config)->index_version));
	json_object_object_add(response, "documents", list);
	g_mutex_unlock(&config->lock);
	return http_respond_json(conn, response);
}

static int respond_instances(struct config *config, struct mg_connection *conn)
{
	char *text;
	int status;

	if (!wait_for_change(config, conn, false))
		return 200;
	g_mutex_lock(&config->lock);
	text = g_strdup_printf("{\"version\":%" G_GUINT64_FORMAT
			       ",\"instances\":%s}",
			       current_snapshot(config)->instances_version,
			       current_snapshot(config)->instances);
	g_mutex_unlock(&config->lock);
	status = http_respond(conn, 200, "Content-Type: application/json\r\n",
			      text);
	g_free(text);
	return status;
}

static int respond_document(struct config *config, struct mg_connection *conn,
			    const char *key)
{
	const struct document *document;
	char *text = NULL;
	char header[64] = "";
	int status;

	g_mutex_lock(&config->lock);
	document =
		g_hash_table_lookup(current_snapshot(config)->documents, key);
	if (document != NULL) {
		text = g_strdup(document->text);
		g_snprintf(header, sizeof(header),
			   "Config-Version: %" G_GUINT64_FORMAT "\r\n",
			   document->version);
	}
	g_mutex_unlock(&config->lock);
	if (text == NULL)
		return http_respond(conn, 404, "", "");
	status = http_respond(conn, 200, header, text);
	g_free(text);
	return status;
}

/* Returns true if the request is to be answered by the caller. */
static bool apply_mode(struct config *config, struct mg_connection *conn)
{
	enum config_mode mode;

	g_mutex_lock(&config->lock);
	config->reads++;
	mode = config->mode;
	g_mutex_unlock(&config->lock);
	switch (mode) {
	case MODE_UP:
	case MODE_STALE:
		return true;
	case MODE_REFUSE:
		http_abort(conn);
		return false;
	case MODE_HANG:
		http_wait(conn, clock_now_us() + HANG_MAX_US);
		http_abort(conn);
		return false;
	case MODE_ERROR:
		http_respond(conn, 500, "", "");
		return false;
	}
	return false;
}

/*
 * Blocks a watch of the index or of the instance list until its version
 * changes, the mode no longer lets requests be answered or the query's
 * "wait_ms" has passed. Does not block if the version already exceeds the
 * query's "after". Returns true if the request is to be answered by the caller.
 */
static bool wait_for_change(struct config *config, struct mg_connection *conn,
			    bool index)
{
	uint64_t after = http_query_uint(conn, "after", UINT64_MAX);
	uint64_t wait_ms = http_query_uint(conn, "wait_ms", 0);
	int64_t deadline_us = g_get_monotonic_time() +
			      (int64_t)(MIN(wait_ms, WATCH_MAX_MS) * US_PER_MS);
	uint64_t version;
	bool serves;

	g_mutex_lock(&config->lock);
	version = current_version(config, index);
	while (version <= after && version == current_version(config, index) &&
	       mode_serves(config->mode)) {
		if (!g_cond_wait_until(&config->changed, &config->lock,
				       deadline_us))
			break;
	}
	serves = mode_serves(config->mode);
	g_mutex_unlock(&config->lock);
	if (!serves)
		http_abort(conn);
	return serves;
}

static bool mode_serves(enum config_mode mode)
{
	return mode == MODE_UP || mode == MODE_STALE;
}

static const struct snapshot *current_snapshot(const struct config *config)
{
	return config->stale != NULL ? config->stale : config->live;
}

static uint64_t current_version(const struct config *config, bool index)
{
	return index ? current_snapshot(config)->index_version :
		       current_snapshot(config)->instances_version;
}

static struct snapshot *snapshot_new(void)
{
	struct snapshot *snapshot = g_new0(struct snapshot, 1);

	snapshot->documents = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, document_free);
	snapshot->instances = g_strdup("[]");
	return snapshot;
}

static struct snapshot *snapshot_copy(const struct snapshot *from)
{
	struct snapshot *snapshot = snapshot_new();
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, from->documents);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct document *old = value;
		struct document *document = g_new0(struct document, 1);

		document->version = old->version;
		document->text = g_strdup(old->text);
		g_hash_table_insert(snapshot->documents, g_strdup(key),
				    document);
	}
	g_free(snapshot->instances);
	snapshot->instances = g_strdup(from->instances);
	snapshot->index_version = from->index_version;
	snapshot->instances_version = from->instances_version;
	return snapshot;
}

static void snapshot_free(struct snapshot *snapshot)
{
	if (snapshot == NULL)
		return;
	g_hash_table_destroy(snapshot->documents);
	g_free(snapshot->instances);
	g_free(snapshot);
}

static void document_free(gpointer data)
{
	struct document *document = data;

	g_free(document->text);
	g_free(document);
}

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	struct config_args *args = state->input;

	switch (key) {
	case 'l':
		args->listen = text;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}
