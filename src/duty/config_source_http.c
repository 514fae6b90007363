/* The platform over HTTP, by libcurl's multi interface. */
#include "duty/config_source.h"

#include <curl/curl.h>

#include "core/clock.h"

#define CONNECT_MS 1000
#define ANSWER_MS 3000
#define KEEPALIVE_S 5
#define URL_BYTES 256
#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define VERSION_HEADER "Config-Version"

struct config_source {
	CURLM *multi;
	GPtrArray *reads;
	char base[URL_BYTES];
	char own_ip[ADDR_TEXT_BYTES + sizeof("host!")];
};

/**
 * struct source_read - one read on its way
 * @curl: its handle
 * @request: what is read
 * @text: what came of it
 * @too_large: it went above its bound
 */
struct source_read {
	CURL *curl;
	struct source_request request;
	GByteArray *text;
	bool too_large;
};

static void free_read(gpointer data);
static bool set_options(const struct config_source *source,
			struct source_read *read);
static void write_url(const struct config_source *source,
		      const struct source_request *request,
		      char out[URL_BYTES]);
static long answer_ms(const struct source_request *request);
static size_t take_bytes(char *data, size_t size, size_t count, void *user);
static bool next_answer(struct config_source *source,
			struct source_answer *answer);
static void judge(struct source_read *read, CURLcode code,
		  struct source_answer *answer);
static bool read_version(CURL *curl, uint64_t *version);

struct config_source *config_source_new(const struct settings *settings,
					GError **error)
{
	struct config_source *source = g_new0(struct config_source, 1);
	char text[ADDR_TEXT_BYTES];

	source->reads = g_ptr_array_new_with_free_func(free_read);
	g_snprintf(source->base, sizeof(source->base), "http://%s",
		   addr_format(settings->platform, text));
	g_snprintf(source->own_ip, sizeof(source->own_ip), "host!%s",
		   addr_ip_format(settings->peer_bind.ip, text));
	if (curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK) {
		source->multi = curl_multi_init();
		if (source->multi)
			return source;
		curl_global_cleanup();
	}
	g_set_error(error, DUTY_ERROR, DUTY_ERROR_LIBRARY,
		    "config: libcurl does not start");
	g_ptr_array_unref(source->reads);
	g_free(source);
	return NULL;
}

void config_source_free(struct config_source *source)
{
	struct source_read *read;
	guint i;

	if (!source)
		return;
	for (i = 0; i < source->reads->len; i++) {
		read = source->reads->pdata[i];
		curl_multi_remove_handle(source->multi, read->curl);
	}
	g_ptr_array_unref(source->reads);
	curl_multi_cleanup(source->multi);
	curl_global_cleanup();
	g_free(source);
}

bool config_source_begin(struct config_source *source,
			 const struct source_request *request)
{
	struct source_read *read = g_new0(struct source_read, 1);

	read->request = *request;
	read->text = g_byte_array_new();
	read->curl = curl_easy_init();
	if (!read->curl || !set_options(source, read) ||
	    curl_multi_add_handle(source->multi, read->curl) != CURLM_OK) {
		free_read(read);
		return false;
	}
	g_ptr_array_add(source->reads, read);
	return true;
}

bool config_source_wait(struct config_source *source, uint64_t deadline_us,
			struct source_answer *answer)
{
	int running;

	if (curl_multi_perform(source->multi, &running) != CURLM_OK)
		g_warning("config: libcurl cannot go on");
	if (next_answer(source, answer))
		return true;
	if (curl_multi_poll(source->multi, NULL, 0,
			    clock_ms_left(deadline_us, clock_now_us()),
			    NULL) != CURLM_OK)
		g_warning("config: libcurl cannot wait");
	return false;
}

void config_source_wake(struct config_source *source)
{
	if (curl_multi_wakeup(source->multi) != CURLM_OK)
		g_warning("config: libcurl cannot be woken");
}

void source_answer_clear(struct source_answer *answer)
{
	g_clear_error(&answer->error);
	g_clear_pointer(&answer->text, g_byte_array_unref);
}

static void free_read(gpointer data)
{
	struct source_read *read = data;

	if (read->curl)
		curl_easy_cleanup(read->curl);
	if (read->text)
		g_byte_array_unref(read->text);
	g_free(read);
}

static bool set_options(const struct config_source *source,
			struct source_read *read)
{
	CURL *curl = read->curl;
	char url[URL_BYTES];

	write_url(source, &read->request, url);
	return curl_easy_setopt(curl, CURLOPT_URL, url) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http") ==
		       CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_PROXY, "") == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_INTERFACE, source->own_ip) ==
		       CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_TCP_KEEPALIVE, 1L) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_TCP_KEEPIDLE,
				(long)KEEPALIVE_S) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_TCP_KEEPINTVL,
				(long)KEEPALIVE_S) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
				(long)CONNECT_MS) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
				answer_ms(&read->request)) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, take_bytes) ==
		       CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_WRITEDATA, read) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_PRIVATE, read) == CURLE_OK;
}

static void write_url(const struct config_source *source,
		      const struct source_request *request, char out[URL_BYTES])
{
	switch (request->kind) {
	case SOURCE_INDEX:
		g_snprintf(out, URL_BYTES,
			   "%s/config/index?after=%" G_GUINT64_FORMAT
			   "&wait_ms=%" G_GUINT32_FORMAT,
			   source->base, request->watch.after,
			   request->watch.wait_ms);
		break;
	case SOURCE_INSTANCES:
		g_snprintf(out, URL_BYTES,
			   "%s/instances?after=%" G_GUINT64_FORMAT
			   "&wait_ms=%" G_GUINT32_FORMAT,
			   source->base, request->watch.after,
			   request->watch.wait_ms);
		break;
	case SOURCE_DOCUMENT:
		g_snprintf(out, URL_BYTES, "%s/config/%s", source->base,
			   request->key.text);
		break;
	}
}

static long answer_ms(const struct source_request *request)
{
	switch (request->kind) {
	case SOURCE_INDEX:
	case SOURCE_INSTANCES:
		return (long)request->watch.wait_ms + ANSWER_MS;
	case SOURCE_DOCUMENT:
		break;
	}
	return ANSWER_MS;
}

static size_t take_bytes(char *data, size_t size, size_t count, void *user)
{
	struct source_read *read = user;
	size_t bytes = size * count;

	if (bytes > DOC_BYTES_MAX - read->text->len) {
		read->too_large = true;
		return 0;
	}
	g_byte_array_append(read->text, (const guint8 *)data, (guint)bytes);
	return bytes;
}

static bool next_answer(struct config_source *source,
			struct source_answer *answer)
{
	struct source_read *read;
	CURLMsg *message;
	char *private;
	int left;

	do {
		message = curl_multi_info_read(source->multi, &left);
		if (!message)
			return false;
	} while (message->msg != CURLMSG_DONE);
	if (curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
			      &private) != CURLE_OK)
		g_error("config: libcurl lost a read");
	read = (struct source_read *)(void *)private;
	judge(read, message->data.result, answer);
	curl_multi_remove_handle(source->multi, read->curl);
	g_ptr_array_remove_fast(source->reads, read);
	return true;
}

static void judge(struct source_read *read, CURLcode code,
		  struct source_answer *answer)
{
	long status = 0;

	*answer = (struct source_answer){ .request = read->request };
	answer->text = g_byte_array_ref(read->text);
	if (read->too_large) {
		g_set_error(&answer->error, PLATFORM_ERROR,
			    PLATFORM_ERROR_TOO_LARGE,
			    "the platform's answer is above its bound");
		return;
	}
	if (code != CURLE_OK ||
	    curl_easy_getinfo(read->curl, CURLINFO_RESPONSE_CODE, &status) !=
		    CURLE_OK) {
		g_set_error(&answer->error, PLATFORM_ERROR,
			    PLATFORM_ERROR_UNREACHABLE, "the platform: %s",
			    curl_easy_strerror(code));
		return;
	}
	if (status == HTTP_NOT_FOUND && read->request.kind == SOURCE_DOCUMENT)
		return;
	if (status != HTTP_OK) {
		g_set_error(&answer->error, PLATFORM_ERROR,
			    PLATFORM_ERROR_STATUS,
			    "the platform answered with status %ld", status);
		return;
	}
	answer->found = true;
	if (read->request.kind == SOURCE_DOCUMENT &&
	    !read_version(read->curl, &answer->version))
		g_set_error(&answer->error, PLATFORM_ERROR,
			    PLATFORM_ERROR_MALFORMED,
			    "the platform's answer has no " VERSION_HEADER);
}

static bool read_version(CURL *curl, uint64_t *version)
{
	struct curl_header *header;

	if (curl_easy_header(curl, VERSION_HEADER, 0, CURLH_HEADER, -1,
			     &header) != CURLHE_OK)
		return false;
	return g_ascii_string_to_unsigned(header->value, 10, 1, INT64_MAX,
					  version, NULL);
}
