/* A configuration service with an index of documents. */
#include "duty/config_source_http.h"

#include "duty/platform_get.h"

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define VERSION_HEADER "Config-Version"

/**
 * struct documents_source - the source
 * @client: its client
 * @running: struct source_request by tag, owned both
 * @next_tag: of the next read
 */
struct documents_source {
	struct platform_client *client;
	GHashTable *running;
	uint64_t next_tag;
};

static void write_target(const struct source_request *request,
			 struct platform_get *get);
static void judge(struct platform_answer *got, struct source_answer *answer);

struct documents_source *documents_source_new(const struct settings *settings,
					      GError **error)
{
	struct platform_client *client =
		platform_client_new(settings, DOC_BYTES_MAX, error);
	struct documents_source *source;

	if (!client)
		return NULL;
	source = g_new0(struct documents_source, 1);
	source->client = client;
	source->running = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free);
	return source;
}

void documents_source_free(struct documents_source *source)
{
	if (!source)
		return;
	platform_client_free(source->client);
	g_hash_table_unref(source->running);
	g_free(source);
}

bool documents_source_begin(struct documents_source *source,
			    const struct source_request *request)
{
	struct platform_get get = { .tag = source->next_tag };

	write_target(request, &get);
	if (!platform_client_begin(source->client, &get))
		return false;
	g_hash_table_insert(source->running,
			    g_memdup2(&get.tag, sizeof(get.tag)),
			    g_memdup2(request, sizeof(*request)));
	source->next_tag++;
	return true;
}

bool documents_source_wait(struct documents_source *source,
			   uint64_t deadline_us, struct source_answer *answer)
{
	const struct source_request *request;
	struct platform_answer got;

	if (!platform_client_wait(source->client, deadline_us, &got))
		return false;
	*answer = (struct source_answer){ 0 };
	request = g_hash_table_lookup(source->running, &got.tag);
	answer->request = *request;
	judge(&got, answer);
	g_hash_table_remove(source->running, &got.tag);
	platform_answer_clear(&got);
	return true;
}

void documents_source_wake(struct documents_source *source)
{
	platform_client_wake(source->client);
}

static void write_target(const struct source_request *request,
			 struct platform_get *get)
{
	switch (request->kind) {
	case SOURCE_INDEX:
		g_snprintf(get->target, sizeof(get->target),
			   "/config/index?after=%" G_GUINT64_FORMAT
			   "&wait_ms=%" G_GUINT32_FORMAT,
			   request->watch.after, request->watch.wait_ms);
		get->wait_ms = request->watch.wait_ms;
		break;
	case SOURCE_INSTANCES:
		g_snprintf(get->target, sizeof(get->target),
			   "/instances?after=%" G_GUINT64_FORMAT
			   "&wait_ms=%" G_GUINT32_FORMAT,
			   request->watch.after, request->watch.wait_ms);
		get->wait_ms = request->watch.wait_ms;
		break;
	case SOURCE_DOCUMENT:
		g_snprintf(get->target, sizeof(get->target), "/config/%s",
			   request->key.text);
		get->version_header = VERSION_HEADER;
		break;
	}
}

static void judge(struct platform_answer *got, struct source_answer *answer)
{
	bool document = answer->request.kind == SOURCE_DOCUMENT;

	answer->text = g_byte_array_ref(got->text);
	answer->error = g_steal_pointer(&got->error);
	if (answer->error || (got->status == HTTP_NOT_FOUND && document))
		return;
	if (got->status != HTTP_OK) {
		g_set_error(&answer->error, PLATFORM_ERROR,
			    PLATFORM_ERROR_STATUS,
			    "the platform answered with status %u",
			    got->status);
		return;
	}
	answer->found = true;
	answer->version = got->version;
	if (document && !got->has_version)
		g_set_error(&answer->error, PLATFORM_ERROR,
			    PLATFORM_ERROR_MALFORMED,
			    "the platform's answer has no " VERSION_HEADER);
}
