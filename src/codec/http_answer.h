#ifndef CODEC_HTTP_ANSWER_H
#define CODEC_HTTP_ANSWER_H

/**
 * DOC: HTTP answers: read from backend servers, written to callers
 *
 * An answer is taken for whole only when its own framing proves it; one that
 * ends with its connection is accepted only when the settings say so.
 */

#include "codec/http_field.h"
#include "core/request.h"

#define HTTP_RETRY_TEXT_BYTES 24

/**
 * enum http_framing - how an answer's body is delimited
 * @FRAMING_NONE: it has no body
 * @FRAMING_LENGTH: by its length
 * @FRAMING_CHUNKED: in chunks
 * @FRAMING_CLOSE: by the end of its connection
 */
enum http_framing {
	FRAMING_NONE,
	FRAMING_LENGTH,
	FRAMING_CHUNKED,
	FRAMING_CLOSE,
};

/**
 * struct http_answer_reader - reads an answer's head line by line
 * @head: owned until taken; end-to-end fields only once @complete
 * @settings: bounds and names of header fields, not owned
 * @head_bytes: bytes read so far
 * @method: of the request
 * @connection: value of the Connection field, or NULL, owned
 * @has_length: a Content-Length was read
 * @chunked: the coding is chunked
 * @coded: the body has a coding of its own
 * @status_read: the status line was read
 * @complete: the head is whole
 * @framing: known once @complete
 */
struct http_answer_reader {
	struct answer_head *head;
	const struct settings *settings;
	uint64_t head_bytes;
	enum request_method method;
	char *connection;
	bool has_length;
	bool chunked;
	bool coded;
	bool status_read;
	bool complete;
	enum http_framing framing;
};

/**
 * http_answer_reader_init() - begin to read an answer
 * @reader: the reader
 * @method: of the request
 * @settings: must outlive the reader
 */
void http_answer_reader_init(struct http_answer_reader *reader,
			     enum request_method method,
			     const struct settings *settings);

/**
 * http_answer_reader_clear() - free what a reader holds
 * @reader: the reader
 */
void http_answer_reader_clear(struct http_answer_reader *reader);

/**
 * http_answer_read_line() - read one line of a head
 * @reader: the reader
 * @line: the line with its end, need not be NUL-terminated
 * @line_bytes: its length
 *
 * Interim answers (1xx) are dropped; trailers after the body are ignored.
 *
 * Return: false when the answer is not valid or above a bound.
 */
bool http_answer_read_line(struct http_answer_reader *reader, const char *line,
			   size_t line_bytes);

/**
 * http_answer_retry_after_us() - time for which a refusing server wants nothing
 * @head: the answer
 *
 * Seconds are understood, with or without a fraction, and a date in an answer that
 * has a Date of its own. Anything else, and a field that stands twice, is logged and
 * has no effect; more than an hour counts as an hour.
 *
 * Return: microseconds, 0 when there is none.
 */
uint64_t http_answer_retry_after_us(const struct answer_head *head);

/**
 * http_answer_has_marker() - whether an answer has a service's marker
 * @head: the answer
 * @marker: the marker; one without a header matches nothing
 *
 * Return: whether a header field has the marker's name and value.
 */
bool http_answer_has_marker(const struct answer_head *head,
			    const struct marker_doc *marker);

/**
 * http_answer_matches_request() - whether an answer belongs to a request
 * @reader: a complete head
 * @request: the request
 *
 * The settings name the fields that tell: an echoed id, which every answer may
 * have, and a signature, which each success must have.
 *
 * Return: false when it is another request's, or nobody's.
 */
bool http_answer_matches_request(const struct http_answer_reader *reader,
				 const struct request *request);

/**
 * http_answer_head_text() - write an answer's head for a caller
 * @head: the answer
 * @framing: how the body goes out
 * @body_bytes: with FRAMING_LENGTH
 * @idle_s: how long the caller may leave the connection idle; 0 when it ends
 *	after this answer
 *
 * Return: owned text, ended by the empty line.
 */
GString *http_answer_head_text(const struct answer_head *head,
			       enum http_framing framing, uint64_t body_bytes,
			       uint32_t idle_s);

/**
 * http_json_text() - write an answer of this system's own
 * @status: HTTP status
 * @json: body
 * @outcome: goes into the outcome field
 * @retry_after: goes into Retry-After unless NULL
 * @with_body: false for HEAD
 * @idle_s: how long the caller may leave the connection idle; 0 when it ends
 *	after this answer
 *
 * Return: owned text of the whole answer.
 */
GString *http_json_text(uint32_t status, const char *json, enum outcome outcome,
			const char *retry_after, bool with_body,
			uint32_t idle_s);

/**
 * http_refusal_status() - status for a refusal
 * @settings: whether one status stands for all that did not run
 * @refusal: why
 *
 * Return: HTTP status.
 */
uint32_t http_refusal_status(const struct settings *settings,
			     const struct refusal *refusal);

/**
 * http_retry_after() - when a refused request may come again
 * @settings: whether parts of a second are written
 * @refusal: the refusal
 * @now_unix_ms: wall clock
 * @out: filled unless there is no advice
 *
 * Return: @out or NULL.
 */
const char *http_retry_after(const struct settings *settings,
			     const struct refusal *refusal,
			     uint64_t now_unix_ms,
			     char out[HTTP_RETRY_TEXT_BYTES]);

#endif
