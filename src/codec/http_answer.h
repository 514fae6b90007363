#ifndef CODEC_HTTP_ANSWER_H
#define CODEC_HTTP_ANSWER_H

/**
 * DOC: HTTP answers, read from backend servers and written to callers
 *
 * An answer counts as complete only if its framing proves it. An answer that is
 * delimited by the end of its connection is accepted only if the settings allow
 * it.
 */

#include "codec/http_field.h"
#include "core/evidence.h"
#include "core/request.h"

#define HTTP_RETRY_TEXT_BYTES 24
/* Fields of one head that are read and not forwarded; more are ignored. */
#define HTTP_PRIVATE_FIELDS_MAX 16

/**
 * enum http_framing - how an answer's body is delimited
 * @FRAMING_NONE: no body
 * @FRAMING_LENGTH: Content-Length
 * @FRAMING_CHUNKED: chunked transfer coding
 * @FRAMING_CLOSE: end of the connection
 */
enum http_framing {
	FRAMING_NONE,
	FRAMING_LENGTH,
	FRAMING_CHUNKED,
	FRAMING_CLOSE,
};

/**
 * struct http_answer_reader - parser of an answer's head, fed line by line
 * @head: parsed head, owned, NULL once it has been taken; end-to-end fields
 *	only once @complete is set
 * @private_fields: fields that are not forwarded and may be a notice of the
 *	backend server to this proxy, owned
 * @private_field_count: used entries of @private_fields
 * @settings: bounds and names of header fields, not owned
 * @head_bytes: length of all lines so far, interim answers and trailers
 *	included
 * @method: request method
 * @connection: values of all Connection fields, joined by commas, owned; NULL
 *	if there is none
 * @keep_alive: values of all Keep-Alive fields, joined by commas, owned; NULL if
 *	there is none
 * @http_1_0: the status line says HTTP/1.0
 * @has_length: a Content-Length field was read
 * @chunked: the transfer coding is chunked
 * @content_encoded: a Content-Encoding field was read
 * @status_read: the status line was read
 * @complete: the final answer's head is complete
 * @framing: how the body is delimited; valid once @complete is set
 */
struct http_answer_reader {
	struct answer_head *head;
	struct header private_fields[HTTP_PRIVATE_FIELDS_MAX];
	uint32_t private_field_count;
	const struct settings *settings;
	uint64_t head_bytes;
	enum request_method method;
	char *connection;
	char *keep_alive;
	bool http_1_0;
	bool has_length;
	bool chunked;
	bool content_encoded;
	bool status_read;
	bool complete;
	enum http_framing framing;
};

/**
 * http_answer_reader_init() - prepare a reader for one answer
 * @reader: the reader
 * @method: request method, which decides whether the answer has a body
 * @settings: must outlive the reader
 */
void http_answer_reader_init(struct http_answer_reader *reader,
			     enum request_method method,
			     const struct settings *settings);

/**
 * http_answer_reader_clear() - free the memory that a reader owns
 * @reader: the reader
 */
void http_answer_reader_clear(struct http_answer_reader *reader);

/**
 * http_answer_read_line() - read one line of a head
 * @reader: the reader
 * @line: the line with its line end, need not be NUL-terminated
 * @line_bytes: length of @line
 *
 * Interim answers (1xx) are discarded; trailers after the body are ignored.
 *
 * Return: false if the answer is invalid or exceeds a bound.
 */
bool http_answer_read_line(struct http_answer_reader *reader, const char *line,
			   size_t line_bytes);

/**
 * http_answer_retry_after_us() - parse the Retry-After field
 * @head: head of a backend server's answer
 *
 * Accepts seconds, with or without a fraction, and a date if the answer also
 * has a Date field. Any other value, or more than one field, is logged and
 * ignored. The result is limited to one hour.
 *
 * Return: delay in microseconds, 0 if there is none.
 */
uint64_t http_answer_retry_after_us(const struct answer_head *head);

/**
 * http_answer_has_marker() - look for a service's marker in an answer
 * @reader: reader whose head is complete
 * @marker: header name and value; a marker without a header name never matches
 *
 * Return: whether a header field has the marker's name and value, both compared
 * without case.
 */
bool http_answer_has_marker(const struct http_answer_reader *reader,
			    const struct marker_doc *marker);

/**
 * http_answer_load() - parse the load report of a backend server
 * @reader: reader whose head is complete; the settings name the field
 * @out: filled on success; the time received is left 0
 *
 * Return: false if the field is not configured, absent, malformed or there
 * twice.
 */
bool http_answer_load(const struct http_answer_reader *reader,
		      struct load_notice *out);

/**
 * http_answer_matches_request() - check that an answer belongs to a request
 * @reader: reader whose head is complete
 * @request: the request that was sent
 *
 * The settings name the fields that are compared. If the request has an id, an
 * answer that echoes an id must echo the same one, and a success (2xx) must
 * echo it. If a signature field is set, a success must have it and must not
 * have a Content-Encoding.
 *
 * Return: false if the answer belongs to another request or cannot be
 * attributed to this one.
 */
bool http_answer_matches_request(const struct http_answer_reader *reader,
				 const struct request *request);

/**
 * http_answer_echoes_id() - check that an answer names its request
 * @reader: reader whose head is complete
 * @request: the request that was sent
 *
 * Return: true if the settings name the field of the request id, the request
 * has one and the answer has exactly one, with the same value.
 */
bool http_answer_echoes_id(const struct http_answer_reader *reader,
			   const struct request *request);

/**
 * http_answer_idle_max_s() - how long the connection may stay open
 * @reader: reader whose head is complete
 *
 * Return: seconds in the Keep-Alive field, the smallest if it has several;
 * UINT32_MAX if it names none; 0 if the connection must not be used again, for
 * HTTP/1.0, "Connection: close" and a time that is no number.
 */
uint32_t http_answer_idle_max_s(const struct http_answer_reader *reader);

/**
 * http_answer_head_text() - write an answer's head for a caller
 * @head: head of the backend server's answer
 * @framing: how the body is sent to the caller
 * @body_bytes: length of the body, used with FRAMING_LENGTH
 * @keep_alive_s: how long the caller may leave the connection idle; 0 if the
 *	connection is closed after this answer
 *
 * Return: owned text, including the empty line that ends the head.
 */
GString *http_answer_head_text(const struct answer_head *head,
			       enum http_framing framing, uint64_t body_bytes,
			       uint32_t keep_alive_s);

/**
 * http_json_text() - write an answer that the proxy itself generates
 * @status: HTTP status
 * @json: body
 * @outcome: value of the outcome field
 * @retry_after: value of the Retry-After field, NULL to omit it
 * @with_body: false for an answer to HEAD
 * @keep_alive_s: how long the caller may leave the connection idle; 0 if the
 *	connection is closed after this answer
 *
 * Return: owned text of the complete answer.
 */
GString *http_json_text(uint32_t status, const char *json, enum outcome outcome,
			const char *retry_after, bool with_body,
			uint32_t keep_alive_s);

/**
 * http_refusal_status() - HTTP status for a refusal
 * @settings: not_run_is_503 reserves status 503 for requests that were not
 *	executed; errors of the caller (4xx) keep their status
 * @refusal: cause and outcome of the refusal
 *
 * Return: HTTP status.
 */
uint32_t http_refusal_status(const struct settings *settings,
			     const struct refusal *refusal);

/**
 * http_retry_after() - value of the Retry-After field for a refusal
 * @settings: tell whether milliseconds are written
 * @refusal: the refusal
 * @now_unix_ms: current wall-clock time
 * @out: buffer for the value
 *
 * Return: @out, NULL if the refusal does not say when to retry.
 */
const char *http_retry_after(const struct settings *settings,
			     const struct refusal *refusal,
			     uint64_t now_unix_ms,
			     char out[HTTP_RETRY_TEXT_BYTES]);

#endif
