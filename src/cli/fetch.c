#include "cli/fetch.h"

#include <curl/curl.h>

#define CONNECT_TIMEOUT_MS 2000L

static bool set_options(CURL *curl, const char *url, uint32_t timeout_ms,
			GString *body);
static size_t append_body(char *data, size_t size, size_t count, void *user);
static bool check_result(CURL *curl, CURLcode code, const char *url,
			 const GString *body, GError **error);

GQuark fetch_error_quark(void)
{
	return g_quark_from_static_string("fetch-error");
}

GString *fetch(struct net_addr addr, const char *target, uint32_t timeout_ms,
	       GError **error)
{
	GString *body = g_string_new(NULL);
	char addr_text[ADDR_TEXT_BYTES];
	char *url = g_strdup_printf("http://%s%s", addr_format(addr, addr_text),
				    target);
	CURL *curl = curl_easy_init();
	bool ok = false;

	if (curl && set_options(curl, url, timeout_ms, body))
		ok = check_result(curl, curl_easy_perform(curl), url, body,
				  error);
	else
		g_set_error(error, FETCH_ERROR, FETCH_ERROR_LIBRARY,
			    "%s: cannot initialize the HTTP client", url);
	curl_easy_cleanup(curl);
	g_free(url);
	if (ok)
		return body;
	g_string_free(body, TRUE);
	return NULL;
}

static bool set_options(CURL *curl, const char *url, uint32_t timeout_ms,
			GString *body)
{
	return !curl_easy_setopt(curl, CURLOPT_URL, url) &&
	       !curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http") &&
	       /* No proxy, whatever the environment variables say. */
	       !curl_easy_setopt(curl, CURLOPT_PROXY, "") &&
	       !curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L) &&
	       !curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
				 CONNECT_TIMEOUT_MS) &&
	       !curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms) &&
	       !curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body) &&
	       !curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
}

static size_t append_body(char *data, size_t size, size_t count, void *user)
{
	GString *body = user;
	size_t bytes = size * count;

	if (bytes > FETCH_MAX_BYTES - body->len)
		return 0;
	g_string_append_len(body, data, (gssize)bytes);
	return bytes;
}

static bool check_result(CURL *curl, CURLcode code, const char *url,
			 const GString *body, GError **error)
{
	long status = 0;

	if (code == CURLE_WRITE_ERROR) {
		g_set_error(error, FETCH_ERROR, FETCH_ERROR_TOO_LARGE,
			    "%s: answer is larger than %u bytes; ask for one "
			    "service",
			    url, FETCH_MAX_BYTES);
		return false;
	}
	if (code != CURLE_OK) {
		g_set_error(error, FETCH_ERROR, FETCH_ERROR_UNREACHABLE,
			    "%s: %s; see that the instance runs and that this "
			    "is its address",
			    url, curl_easy_strerror(code));
		return false;
	}
	code = curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	if (code == CURLE_OK && status == 200)
		return true;
	g_set_error(error, FETCH_ERROR, FETCH_ERROR_STATUS,
		    "%s: status %ld, %.200s; see that the service exists and "
		    "ask again",
		    url, status, body->str);
	return false;
}
