#include "duty/platform_get.h"

#include <curl/curl.h>

#include "core/clock.h"

#define CONNECT_TIMEOUT_MS 1000
#define KEEPALIVE_INTERVAL_S 5
#define URL_BYTES (PLATFORM_TARGET_BYTES + 64)

/**
 * struct platform_client - HTTP client for the platform
 * @multi: libcurl's handle for all reads, owned
 * @reads: array of owned struct platform_read, the reads in progress
 * @body_max_bytes: longest body that is accepted
 * @answer_timeout_ms: time-out of a read, in addition to its long poll
 * @base: scheme and address of the platform's URLs
 * @own_interface: own address, as CURLOPT_INTERFACE expects it
 */
struct platform_client {
	CURLM *multi;
	GPtrArray *reads;
	uint32_t body_max_bytes;
	uint32_t answer_timeout_ms;
	char base[ADDR_TEXT_BYTES + sizeof("http://")];
	char own_interface[ADDR_TEXT_BYTES + sizeof("host!")];
};

/**
 * struct platform_read - one read in progress
 * @client: not owned
 * @curl: libcurl's handle for this read, owned
 * @get: the read
 * @text: owned, body received so far
 * @too_large: the body exceeds the client's limit
 */
struct platform_read {
	const struct platform_client *client;
	CURL *curl;
	struct platform_get get;
	GByteArray *text;
	bool too_large;
};

static void free_read(gpointer data);
static bool set_options(struct platform_read *read);
static size_t append_body(char *data, size_t size, size_t count, void *user);
static bool take_answer(struct platform_client *client,
			struct platform_answer *answer);
static void fill_answer(const struct platform_read *read, CURLcode code,
			struct platform_answer *answer);
static bool read_version(const struct platform_read *read, uint64_t *version);

struct platform_client *platform_client_new(const struct settings *settings,
					    uint32_t body_max_bytes,
					    GError **error)
{
	struct platform_client *client = g_new0(struct platform_client, 1);
	char text[ADDR_TEXT_BYTES];

	client->reads = g_ptr_array_new_with_free_func(free_read);
	client->body_max_bytes = body_max_bytes;
	client->answer_timeout_ms = settings->platform_answer_ms;
	g_snprintf(client->base, sizeof(client->base), "http://%s",
		   addr_format(settings->platform, text));
	g_snprintf(client->own_interface, sizeof(client->own_interface),
		   "host!%s", addr_ip_format(settings->peer_bind.ip, text));
	if (curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK) {
		client->multi = curl_multi_init();
		if (client->multi)
			return client;
		curl_global_cleanup();
	}
	g_set_error(error, DUTY_ERROR, DUTY_ERROR_LIBRARY,
		    "config: cannot initialize libcurl");
	g_ptr_array_unref(client->reads);
	g_free(client);
	return NULL;
}

void platform_client_free(struct platform_client *client)
{
	struct platform_read *read;
	guint i;

	if (!client)
		return;
	for (i = 0; i < client->reads->len; i++) {
		read = client->reads->pdata[i];
		curl_multi_remove_handle(client->multi, read->curl);
	}
	g_ptr_array_unref(client->reads);
	curl_multi_cleanup(client->multi);
	curl_global_cleanup();
	g_free(client);
}

bool platform_client_begin(struct platform_client *client,
			   const struct platform_get *get)
{
	struct platform_read *read = g_new0(struct platform_read, 1);

	read->client = client;
	read->get = *get;
	read->text = g_byte_array_new();
	read->curl = curl_easy_init();
	if (!read->curl || !set_options(read) ||
	    curl_multi_add_handle(client->multi, read->curl) != CURLM_OK) {
		free_read(read);
		return false;
	}
	g_ptr_array_add(client->reads, read);
	return true;
}

bool platform_client_wait(struct platform_client *client, uint64_t deadline_us,
			  struct platform_answer *answer)
{
	int running;

	if (curl_multi_perform(client->multi, &running) != CURLM_OK)
		g_warning("config: curl_multi_perform() failed");
	if (take_answer(client, answer))
		return true;
	if (curl_multi_poll(client->multi, NULL, 0,
			    clock_ms_left(deadline_us, clock_now_us()),
			    NULL) != CURLM_OK)
		g_warning("config: curl_multi_poll() failed");
	return false;
}

void platform_client_wake(struct platform_client *client)
{
	if (curl_multi_wakeup(client->multi) != CURLM_OK)
		g_warning("config: curl_multi_wakeup() failed");
}

void platform_answer_clear(struct platform_answer *answer)
{
	g_clear_error(&answer->error);
	g_clear_pointer(&answer->text, g_byte_array_unref);
}

static void free_read(gpointer data)
{
	struct platform_read *read = data;

	if (read->curl)
		curl_easy_cleanup(read->curl);
	if (read->text)
		g_byte_array_unref(read->text);
	g_free(read);
}

static bool set_options(struct platform_read *read)
{
	CURL *curl = read->curl;
	char url[URL_BYTES];
	long timeout_ms =
		(long)read->get.wait_ms + read->client->answer_timeout_ms;

	g_snprintf(url, sizeof(url), "%s%s", read->client->base,
		   read->get.target);
	return curl_easy_setopt(curl, CURLOPT_URL, url) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http") ==
		       CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_PROXY, "") == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_INTERFACE,
				read->client->own_interface) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_TCP_KEEPALIVE, 1L) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_TCP_KEEPIDLE,
				(long)KEEPALIVE_INTERVAL_S) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_TCP_KEEPINTVL,
				(long)KEEPALIVE_INTERVAL_S) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
				(long)CONNECT_TIMEOUT_MS) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms) ==
		       CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body) ==
		       CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_WRITEDATA, read) == CURLE_OK &&
	       curl_easy_setopt(curl, CURLOPT_PRIVATE, read) == CURLE_OK;
}

static size_t append_body(char *data, size_t size, size_t count, void *user)
{
	struct platform_read *read = user;
	size_t bytes = size * count;

	if (bytes > read->client->body_max_bytes - read->text->len) {
		read->too_large = true;
		return 0;
	}
	g_byte_array_append(read->text, (const guint8 *)data, (guint)bytes);
	return bytes;
}

static bool take_answer(struct platform_client *client,
			struct platform_answer *answer)
{
	struct platform_read *read;
	CURLMsg *message;
	char *private;
	int remaining;

	do {
		message = curl_multi_info_read(client->multi, &remaining);
		if (!message)
			return false;
	} while (message->msg != CURLMSG_DONE);
	if (curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
			      &private) != CURLE_OK)
		g_error("config: libcurl has no data for a finished read");
	read = (struct platform_read *)(void *)private;
	fill_answer(read, message->data.result, answer);
	curl_multi_remove_handle(client->multi, read->curl);
	g_ptr_array_remove_fast(client->reads, read);
	return true;
}

static void fill_answer(const struct platform_read *read, CURLcode code,
			struct platform_answer *answer)
{
	long status = 0;

	*answer = (struct platform_answer){ .tag = read->get.tag };
	answer->text = g_byte_array_ref(read->text);
	if (read->too_large) {
		g_set_error(&answer->error, PLATFORM_ERROR,
			    PLATFORM_ERROR_TOO_LARGE,
			    "the platform's answer is too large");
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
	answer->status = (uint32_t)status;
	answer->has_version = read->get.version_header &&
			      read_version(read, &answer->version);
}

static bool read_version(const struct platform_read *read, uint64_t *version)
{
	struct curl_header *header;

	if (curl_easy_header(read->curl, read->get.version_header, 0,
			     CURLH_HEADER, -1, &header) != CURLHE_OK)
		return false;
	return g_ascii_string_to_unsigned(header->value, 10, 1, INT64_MAX,
					  version, NULL);
}
