#include "codec/http_client.h"

#include <inttypes.h>
#include <stdio.h>
#include <strings.h>

#include "codec/http_field.h"
#include "codec/http_request.h"

#define URL_BYTES_MAX (ADDR_TEXT_BYTES + 16)

static bool add_limit_fields(struct curl_slist **fields,
			     const struct header_names *names,
			     const struct client_limits *limits);
static bool add_name(struct curl_slist **fields, const char *field,
		     const struct name *value);
static bool set_method(CURL *easy, const struct request *request);
static bool set_body(CURL *easy, const struct request *request);
static bool add_field(struct curl_slist **fields, const char *name,
		      const char *value);
static bool add_text(struct curl_slist **fields, const char *text);

bool http_client_set_defaults(CURL *easy)
{
	return curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_PROXY, "") == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_NOPROXY, "*") == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http") ==
		       CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
				(long)CURL_HTTP_VERSION_1_1) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_IPRESOLVE,
				(long)CURL_IPRESOLVE_V4) == CURLE_OK;
}

bool http_client_set_target(CURL *easy, struct net_addr to, const char *target)
{
	char addr[ADDR_TEXT_BYTES];
	char url[URL_BYTES_MAX];

	snprintf(url, sizeof(url), "http://%s/", addr_format(to, addr));
	return curl_easy_setopt(easy, CURLOPT_URL, url) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, target) ==
		       CURLE_OK;
}

bool http_client_set_connection(CURL *easy, struct net_addr to, uint64_t id,
				struct curl_slist **connect_to)
{
	char addr[ADDR_TEXT_BYTES];
	char text[URL_BYTES_MAX + 24];

	*connect_to = NULL;
	snprintf(text, sizeof(text), "::%s", addr_format(to, addr));
	if (!add_text(connect_to, text) ||
	    curl_easy_setopt(easy, CURLOPT_CONNECT_TO, *connect_to) != CURLE_OK)
		return false;
	/* RFC 6761 reserves "invalid", so no such name is ever looked up. */
	snprintf(text, sizeof(text), "http://%016" PRIx64 ".invalid/", id);
	return curl_easy_setopt(easy, CURLOPT_URL, text) == CURLE_OK;
}

bool http_client_set_request(CURL *easy, const struct request *request,
			     const struct header_names *names,
			     const struct client_limits *limits,
			     struct curl_slist **fields)
{
	/* An empty field keeps libcurl from adding its own. */
	static const char *const suppressed[] = { "Accept", "User-Agent",
						  "Content-Type" };
	bool ok;
	uint32_t i;

	*fields = NULL;
	ok = add_text(fields, "Expect:") &&
	     add_limit_fields(fields, names, limits);
	for (i = 0; ok && i < request->header_count; i++) {
		if (limits->drop_credentials &&
		    strcasecmp(request->headers[i].name,
			       HTTP_CREDENTIAL_FIELD) == 0)
			continue;
		ok = add_field(fields, request->headers[i].name,
			       request->headers[i].value);
	}
	for (i = 0; ok && i < G_N_ELEMENTS(suppressed); i++) {
		char text[32];

		if (request_field(request, suppressed[i]))
			continue;
		snprintf(text, sizeof(text), "%s:", suppressed[i]);
		ok = add_text(fields, text);
	}
	return ok && set_method(easy, request) && set_body(easy, request) &&
	       curl_easy_setopt(easy, CURLOPT_HTTPHEADER, *fields) == CURLE_OK;
}

/*
 * Adds the time left if the settings name a field for it, otherwise the
 * deadline in the proxy's own field.
 */
static bool add_limit_fields(struct curl_slist **fields,
			     const struct header_names *names,
			     const struct client_limits *limits)
{
	bool relative = names->time_left_ms[0] != '\0';
	char number[24];

	snprintf(number, sizeof(number), "%" PRIu64,
		 relative ? limits->left_ms : limits->deadline_unix_ms);
	if (!add_field(fields,
		       relative ? names->time_left_ms : HTTP_DEADLINE_FIELD,
		       number))
		return false;
	return add_name(fields, names->instance, limits->instance) &&
	       add_name(fields, names->customer, limits->customer);
}

/* Adds nothing if the field is not configured or its value is unknown. */
static bool add_name(struct curl_slist **fields, const char *field,
		     const struct name *value)
{
	if (field[0] == '\0' || value->text[0] == '\0')
		return true;
	return add_field(fields, field, value->text);
}

static bool set_method(CURL *easy, const struct request *request)
{
	if (request->method == METHOD_HEAD)
		return curl_easy_setopt(easy, CURLOPT_NOBODY, 1L) == CURLE_OK;
	return curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST,
				http_method_text(request->method)) == CURLE_OK;
}

static bool set_body(CURL *easy, const struct request *request)
{
	gsize length = 0;
	const char *data = "";

	if (request->method == METHOD_HEAD)
		return true;
	if (request->body)
		data = g_bytes_get_data(request->body, &length);
	else if (request->method != METHOD_POST &&
		 request->method != METHOD_PUT &&
		 request->method != METHOD_PATCH)
		return true;
	return curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				(curl_off_t)length) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_POSTFIELDS, data ? data : "") ==
		       CURLE_OK;
}

static bool add_field(struct curl_slist **fields, const char *name,
		      const char *value)
{
	/* libcurl sends a field without a value if its name ends with ';'. */
	char *text = *value != '\0' ? g_strconcat(name, ": ", value, NULL) :
				      g_strconcat(name, ";", NULL);
	bool ok = add_text(fields, text);

	g_free(text);
	return ok;
}

static bool add_text(struct curl_slist **fields, const char *text)
{
	struct curl_slist *list = curl_slist_append(*fields, text);

	if (!list)
		return false;
	*fields = list;
	return true;
}
