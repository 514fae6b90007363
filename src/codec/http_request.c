#include "codec/http_request.h"

#include "codec/http_credential.h"

#include <string.h>
#include <strings.h>

#define CALLER_HASH_SEED 0
/* A caller's deadline that is further away is reduced to this. */
#define CALLER_DEADLINE_MAX_US (86400 * US_PER_S)

/**
 * struct control_fields - fields that the proxy evaluates itself
 *
 * Of each field the last value, NULL if there is none, and the number of
 * occurrences: Host, Content-Length, Transfer-Encoding, the configured deadline
 * field and Expect.
 */
struct control_fields {
	const char *host;
	const char *length;
	const char *coding;
	const char *deadline;
	const char *expect;
	uint32_t host_count;
	uint32_t length_count;
	uint32_t coding_count;
	uint32_t deadline_count;
	uint32_t expect_count;
};

static bool method_parse(const char *text, enum request_method *out);
static bool path_valid(const char *path);
static bool is_dot_segment(const char *segment, size_t length);
static bool decode_path(const char *path, GString *out);
static bool query_valid(const char *query);
static bool fields_valid(const struct http_request_head *head);
static void collect_control_fields(const struct http_request_head *head,
				   const struct header_names *names,
				   struct control_fields *controls);
static bool plan_body(const struct control_fields *controls,
		      uint64_t body_max_bytes, struct http_body_plan *plan,
		      enum refusal_cause *cause);
static bool host_parse(const char *value, struct host_name *out);
static bool deadline_parse(const struct control_fields *controls,
			   struct instant now, const struct settings *settings,
			   uint64_t *out);
static void copy_end_to_end_fields(const struct http_request_head *head,
				   const struct header_names *names,
				   struct request *request);
static bool listed_in_connection(const struct http_request_head *head,
				 const char *name);

bool http_request_read(const struct http_request_head *head,
		       const struct settings *settings, struct instant now,
		       struct request *request, struct request_facts *facts,
		       struct http_body_plan *plan, enum refusal_cause *cause)
{
	struct control_fields controls;

	*cause = REFUSAL_BAD_REQUEST;
	memset(facts, 0, sizeof(*facts));
	if (!method_parse(head->method, &facts->method) ||
	    strcmp(head->version, "1.1") != 0 || !path_valid(head->path) ||
	    !query_valid(head->query) || !fields_valid(head))
		return false;
	collect_control_fields(head, &settings->headers, &controls);
	if (controls.host_count != 1 ||
	    !host_parse(controls.host, &facts->host))
		return false;
	if (!deadline_parse(&controls, now, settings, &facts->deadline_us))
		return false;
	if (!plan_body(&controls, settings->body_max_bytes, plan, cause))
		return false;
	request->path = g_strdup(head->path);
	facts->path = request->path;
	http_credential_read(head, &facts->credential);
	facts->caller_hash = hash_bytes(
		head->caller_ip, strlen(head->caller_ip), CALLER_HASH_SEED);
	request->method = facts->method;
	request->target =
		head->query ? g_strconcat(head->path, "?", head->query, NULL) :
			      g_strdup(head->path);
	copy_end_to_end_fields(head, &settings->headers, request);
	return true;
}

bool http_entries_read(const char *query, const char *caller_ip,
		       struct query *out)
{
	char **pairs = g_strsplit(query ? query : "", "&", -1);
	bool valid = true;
	char *value;
	struct name *name;
	uint32_t i;

	memset(out, 0, sizeof(*out));
	out->kind = QUERY_ENTRIES;
	out->caller_hash =
		hash_bytes(caller_ip, strlen(caller_ip), CALLER_HASH_SEED);
	for (i = 0; valid && pairs[i]; i++) {
		value = strchr(pairs[i], '=');
		name = NULL;
		if (g_str_has_prefix(pairs[i], "service="))
			name = &out->service;
		else if (g_str_has_prefix(pairs[i], "failure_domain="))
			name = &out->caller_domain;
		valid = name && name->text[0] == '\0' &&
			name_set(name, value + 1);
	}
	g_strfreev(pairs);
	return valid && out->service.text[0] != '\0';
}

const char *http_method_text(enum request_method method)
{
	switch (method) {
	case METHOD_GET:
		return "GET";
	case METHOD_HEAD:
		return "HEAD";
	case METHOD_OPTIONS:
		return "OPTIONS";
	case METHOD_POST:
		return "POST";
	case METHOD_PUT:
		return "PUT";
	case METHOD_PATCH:
		return "PATCH";
	case METHOD_DELETE:
		return "DELETE";
	case METHOD_COUNT:
		break;
	}
	g_assert_not_reached();
}

static bool method_parse(const char *text, enum request_method *out)
{
	uint32_t i;

	for (i = 0; i < METHOD_COUNT; i++) {
		if (strcmp(text, http_method_text((enum request_method)i)) ==
		    0) {
			*out = (enum request_method)i;
			return true;
		}
	}
	return false;
}

/*
 * Refuses dot segments: a path with them could be routed as one resource here
 * and served as another by the backend server, and so be taken for idempotent.
 */
static bool path_valid(const char *path)
{
	GString *decoded;
	const char *segment;
	size_t length;
	bool valid;

	if (path[0] != '/')
		return false;
	decoded = g_string_new(NULL);
	valid = decode_path(path, decoded);
	for (segment = decoded->str; valid && *segment != '\0';
	     segment += length) {
		segment += strspn(segment, "/\\");
		length = strcspn(segment, "/\\");
		valid = !is_dot_segment(segment, length);
	}
	g_string_free(decoded, TRUE);
	return valid;
}

static bool is_dot_segment(const char *segment, size_t length)
{
	if (length == 1)
		return segment[0] == '.';
	return length == 2 && segment[0] == '.' && segment[1] == '.';
}

static bool decode_path(const char *path, GString *out)
{
	int32_t high;
	int32_t low;

	for (; *path != '\0'; path++) {
		if (!path_char_received(*path))
			return false;
		if (*path != '%') {
			g_string_append_c(out, *path);
			continue;
		}
		high = g_ascii_xdigit_value(path[1]);
		low = high < 0 ? -1 : g_ascii_xdigit_value(path[2]);
		if (low < 0 || high * 16 + low < ' ')
			return false;
		g_string_append_c(out, (char)(high * 16 + low));
		path += 2;
	}
	return true;
}

static bool query_valid(const char *query)
{
	if (!query)
		return true;
	for (; *query != '\0'; query++) {
		if (*query <= ' ' || *query > '~' || *query == '#')
			return false;
	}
	return true;
}

static bool fields_valid(const struct http_request_head *head)
{
	uint32_t i;

	if (head->field_count > REQUEST_HEADERS_MAX)
		return false;
	for (i = 0; i < head->field_count; i++) {
		if (!http_token_valid(head->fields[i].name) ||
		    !http_value_valid(head->fields[i].value))
			return false;
	}
	return true;
}

static void collect_control_fields(const struct http_request_head *head,
				   const struct header_names *names,
				   struct control_fields *controls)
{
	const char *deadline = names->time_left_ms[0] != '\0' ?
				       names->time_left_ms :
				       HTTP_DEADLINE_FIELD;
	const struct {
		const char *name;
		const char **value;
		uint32_t *count;
	} known[] = {
		{ "Host", &controls->host, &controls->host_count },
		{ "Content-Length", &controls->length,
		  &controls->length_count },
		{ "Transfer-Encoding", &controls->coding,
		  &controls->coding_count },
		{ deadline, &controls->deadline, &controls->deadline_count },
		{ "Expect", &controls->expect, &controls->expect_count },
	};
	uint32_t i;
	uint32_t k;

	memset(controls, 0, sizeof(*controls));
	for (i = 0; i < head->field_count; i++) {
		for (k = 0; k < G_N_ELEMENTS(known); k++) {
			if (strcasecmp(head->fields[i].name, known[k].name) !=
			    0)
				continue;
			*known[k].value = head->fields[i].value;
			(*known[k].count)++;
		}
	}
}

static bool plan_body(const struct control_fields *controls,
		      uint64_t body_max_bytes, struct http_body_plan *plan,
		      enum refusal_cause *cause)
{
	memset(plan, 0, sizeof(*plan));
	if (controls->length_count > 1 || controls->coding_count > 1 ||
	    controls->expect_count > 1)
		return false;
	if (controls->length_count == 1 && controls->coding_count == 1)
		return false;
	if (controls->expect_count == 1) {
		if (strcasecmp(controls->expect, "100-continue") != 0)
			return false;
		plan->expects_continue = true;
	}
	if (controls->coding_count == 1) {
		plan->chunked = true;
		return strcasecmp(controls->coding, "chunked") == 0;
	}
	if (controls->length_count == 0)
		return true;
	if (!http_number_parse(controls->length, INT64_MAX,
			       &plan->length_bytes))
		return false;
	if (plan->length_bytes > body_max_bytes) {
		*cause = REFUSAL_TOO_LARGE;
		return false;
	}
	return true;
}

static bool host_parse(const char *value, struct host_name *out)
{
	size_t length = strcspn(value, ":");
	uint64_t port;

	if (value[length] == ':' &&
	    !http_number_parse(value + length + 1, UINT16_MAX, &port))
		return false;
	return host_set(out, value, length);
}

static bool deadline_parse(const struct control_fields *controls,
			   struct instant now, const struct settings *settings,
			   uint64_t *out)
{
	uint64_t number_ms;
	uint64_t left_us = 0;

	*out = DEADLINE_NONE_US;
	if (controls->deadline_count == 0)
		return true;
	if (controls->deadline_count > 1 ||
	    !http_number_parse(controls->deadline, UINT64_MAX / US_PER_MS,
			       &number_ms))
		return false;
	if (settings->headers.time_left_ms[0] != '\0')
		left_us = number_ms * US_PER_MS;
	else if (number_ms > now.unix_ms)
		left_us = (number_ms - now.unix_ms) * US_PER_MS;
	/* Leaves time to deliver the answer to the caller. */
	left_us -= MIN(left_us, settings->answer_margin_ms * US_PER_MS);
	*out = now.mono_us + MIN(left_us, CALLER_DEADLINE_MAX_US);
	return true;
}

static void copy_end_to_end_fields(const struct http_request_head *head,
				   const struct header_names *names,
				   struct request *request)
{
	const struct http_field *field;
	struct header *copy;
	uint32_t i;

	for (i = 0; i < head->field_count; i++) {
		field = &head->fields[i];
		if (http_field_reserved(names, field->name) ||
		    listed_in_connection(head, field->name))
			continue;
		if (strcasecmp(field->name, names->request_id) == 0)
			g_strlcpy(request->id, field->value,
				  sizeof(request->id));
		copy = &request->headers[request->header_count++];
		copy->name = g_strdup(field->name);
		copy->value = g_strdup(field->value);
	}
}

static bool listed_in_connection(const struct http_request_head *head,
				 const char *name)
{
	uint32_t i;

	/* Host belongs to the message, even if a Connection field names it. */
	if (strcasecmp(name, "Host") == 0)
		return false;
	for (i = 0; i < head->field_count; i++) {
		if (strcasecmp(head->fields[i].name, "Connection") == 0 &&
		    http_list_has(head->fields[i].value, name))
			return true;
	}
	return false;
}
