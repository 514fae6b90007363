/* Source for a configuration service with an index of documents. */
#include "duty/config_source_http.h"

#include "duty/platform_get.h"

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define VERSION_HEADER "Config-Version"

/**
 * struct documents_source - client of a configuration service
 * @client: HTTP client, owned
 * @running: owned tag to owned struct source_request, the reads in progress
 * @next_tag: tag of the next read
 */
struct documents_source {
	struct platform_client *client;
	GHashTable *running;
	uint64_t next_tag;
};

static void set_target(const struct source_request *request,
		       struct platform_get *get);
static void convert_response(struct platform_answer *response,
			     struct source_answer *answer);

struct documents_source *documents_source_new(const struct settings *settings,
					      GError **error)
{
	struct platform_client *client =
		platform_client_new(settings, ROUTING_BYTES_MAX, error);
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

	set_target(request, &get);
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
	struct platform_answer response;

	if (!platform_client_wait(source->client, deadline_us, &response))
		return false;
	*answer = (struct source_answer){ 0 };
	request = g_hash_table_lookup(source->running, &response.tag);
	answer->request = *request;
	convert_response(&response, answer);
	g_hash_table_remove(source->running, &response.tag);
	platform_answer_clear(&response);
	return true;
}

void documents_source_wake(struct documents_source *source)
{
	platform_client_wake(source->client);
}

static void set_target(const struct source_request *request,
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

static void convert_response(struct platform_answer *response,
			     struct source_answer *answer)
{
	bool document = answer->request.kind == SOURCE_DOCUMENT;

	answer->text = g_byte_array_ref(response->text);
	answer->error = g_steal_pointer(&response->error);
	if (answer->error || (response->status == HTTP_NOT_FOUND && document))
		return;
	if (response->status != HTTP_OK) {
		g_set_error(&answer->error, PLATFORM_ERROR,
			    PLATFORM_ERROR_STATUS,
			    "the platform answered with status %u",
			    response->status);
		return;
	}
	answer->found = true;
	answer->version = response->version;
	if (document && !response->has_version)
		g_set_error(&answer->error, PLATFORM_ERROR,
			    PLATFORM_ERROR_MALFORMED,
			    "the platform's answer has no " VERSION_HEADER);
}
