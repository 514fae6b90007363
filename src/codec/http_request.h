#ifndef CODEC_HTTP_REQUEST_H
#define CODEC_HTTP_REQUEST_H

/**
 * DOC: a caller's HTTP request, checked and turned into struct request
 *
 * What two HTTP readers could take for two different messages is refused, not
 * repaired.
 */

#include "codec/http_field.h"
#include "core/command.h"

/**
 * struct http_request_head - view of a request head as a server library read it
 * @method: method
 * @path: target up to the query, not decoded
 * @query: after the '?', NULL when there is none
 * @version: such as "1.1"
 * @fields: header fields
 * @field_count: entries of @fields
 * @caller_ip: text of the caller's address
 */
struct http_request_head {
	const char *method;
	const char *path;
	const char *query;
	const char *version;
	const struct http_field *fields;
	uint32_t field_count;
	const char *caller_ip;
};

/**
 * struct http_body_plan - how the request's body comes
 * @chunked: in chunks of its own framing, length unknown
 * @length_bytes: length when not @chunked
 * @expects_continue: the caller waits for "100 Continue"
 */
struct http_body_plan {
	bool chunked;
	uint64_t length_bytes;
	bool expects_continue;
};

/**
 * http_request_read() - check a request head
 * @head: the head
 * @settings: bounds and names of header fields
 * @now: the time
 * @request: gets method, target and end-to-end header fields
 * @facts: filled on success
 * @plan: filled on success
 * @cause: set on failure
 *
 * Return: whether the request is accepted.
 */
bool http_request_read(const struct http_request_head *head,
		       const struct settings *settings, struct instant now,
		       struct request *request, struct request_facts *facts,
		       struct http_body_plan *plan, enum refusal_cause *cause);

/**
 * http_entries_read() - read the query of a request for entries
 * @query: after the '?', may be NULL
 * @caller_ip: text of the caller's address
 * @out: filled on success
 *
 * Return: false when a parameter is missing, unknown, doubled or malformed.
 */
bool http_entries_read(const char *query, const char *caller_ip,
		       struct query *out);

/**
 * http_method_text() - name of a method
 * @method: the method
 *
 * Return: static text.
 */
const char *http_method_text(enum request_method method);

#endif
