#ifndef CODEC_HTTP_REQUEST_H
#define CODEC_HTTP_REQUEST_H

/**
 * DOC: validation of a caller's HTTP request and conversion to struct request
 *
 * A request that two HTTP parsers could interpret as different messages
 * (request smuggling) is refused, not repaired.
 */

#include "codec/http_field.h"
#include "core/command.h"

/**
 * struct http_request_head - view of a parsed request head
 * @method: request method
 * @path: request target up to the query, not decoded
 * @query: query after the '?', NULL if there is none
 * @version: HTTP version, such as "1.1"
 * @fields: header fields, not owned
 * @field_count: entries of @fields
 * @caller_ip: the caller's IP address as text
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
 * struct http_body_plan - how a caller sends a request's body
 * @chunked: with chunked transfer coding, length unknown
 * @length_bytes: length of the body if not @chunked
 * @expects_continue: the caller waits for "100 Continue"
 */
struct http_body_plan {
	bool chunked;
	uint64_t length_bytes;
	bool expects_continue;
};

/**
 * http_request_read() - check and convert a request head
 * @head: request head
 * @settings: bounds and names of header fields
 * @now: current time
 * @request: gets method, target and end-to-end header fields
 * @facts: properties for routing and admission, filled on success
 * @plan: how the caller sends the body, filled on success
 * @cause: cause of the refusal, set on failure
 *
 * Return: whether the request is accepted.
 */
bool http_request_read(const struct http_request_head *head,
		       const struct settings *settings, struct instant now,
		       struct request *request, struct request_facts *facts,
		       struct http_body_plan *plan, enum refusal_cause *cause);

/**
 * http_entries_read() - parse the query string of a request for entries
 * @query: query string after the '?', may be NULL
 * @caller_ip: the caller's IP address as text
 * @out: filled on success
 *
 * Return: false if a parameter is missing, unknown, repeated or malformed.
 */
bool http_entries_read(const char *query, const char *caller_ip,
		       struct query *out);

/**
 * http_method_text() - name of a method
 * @method: request method
 *
 * Return: static text.
 */
const char *http_method_text(enum request_method method);

#endif
