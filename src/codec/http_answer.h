#ifndef CODEC_HTTP_ANSWER_H
#define CODEC_HTTP_ANSWER_H

/**
 * DOC: HTTP answers: read from backend servers, written to callers
 *
 * An answer is taken for whole only when its own framing proves it, so one
 * that ends with its connection is not accepted.
 */

#include "codec/http_field.h"
#include "core/request.h"

/**
 * enum http_framing - how an answer's body is delimited
 * @FRAMING_NONE: it has no body
 * @FRAMING_LENGTH: by its length
 * @FRAMING_CHUNKED: in chunks
 * @FRAMING_UNPROVED: by the end of its connection
 */
enum http_framing {
	FRAMING_NONE,
	FRAMING_LENGTH,
	FRAMING_CHUNKED,
	FRAMING_UNPROVED,
};

/**
 * struct http_answer_reader - reads an answer's head line by line
 * @head: owned until taken; end-to-end fields only once @complete
 * @head_bytes: bytes read so far
 * @head_max_bytes: bound for them
 * @method: of the request
 * @connection: value of the Connection field, or NULL, owned
 * @has_length: a Content-Length was read
 * @chunked: the coding is chunked
 * @status_read: the status line was read
 * @complete: the head is whole
 * @framing: known once @complete
 */
struct http_answer_reader {
	struct answer_head *head;
	uint64_t head_bytes;
	uint64_t head_max_bytes;
	enum http_method method;
	char *connection;
	bool has_length;
	bool chunked;
	bool status_read;
	bool complete;
	enum http_framing framing;
};

/**
 * http_answer_reader_init() - begin to read an answer
 * @reader: the reader
 * @method: of the request
 * @head_max_bytes: largest head accepted
 */
void http_answer_reader_init(struct http_answer_reader *reader,
			     enum http_method method, uint64_t head_max_bytes);

/**
 * http_answer_reader_clear() - free what a reader holds
 * @reader: the reader
 */
void http_answer_reader_clear(struct http_answer_reader *reader);

/**
 * http_answer_line() - read one line of a head
 * @reader: the reader
 * @line: the line with its end, need not be NUL-terminated
 * @line_bytes: its length
 *
 * Interim answers (1xx) are dropped; trailers after the body are ignored.
 *
 * Return: false when the answer is not valid or above a bound.
 */
bool http_answer_line(struct http_answer_reader *reader, const char *line,
		      size_t line_bytes);

/**
 * http_answer_marked() - whether an answer has a service's marker
 * @head: the answer
 * @marker: the marker; one without a header matches nothing
 *
 * Return: whether a header field has the marker's name and value.
 */
bool http_answer_marked(const struct answer_head *head,
			const struct marker_doc *marker);

/**
 * http_answer_text() - write an answer's head for a caller
 * @head: the answer
 * @reason: reason phrase
 * @framing: how the body goes out
 * @body_bytes: with FRAMING_LENGTH
 * @close: the connection ends after this answer
 *
 * Return: owned text, ended by the empty line.
 */
GString *http_answer_text(const struct answer_head *head, const char *reason,
			  enum http_framing framing, uint64_t body_bytes,
			  bool close);

/**
 * http_json_text() - write an answer of this system's own
 * @status: HTTP status
 * @json: body
 * @outcome: goes into the outcome field
 * @retry_after_s: goes into Retry-After unless 0
 * @with_body: false for HEAD
 * @close: the connection ends after this answer
 *
 * Return: owned text of the whole answer.
 */
GString *http_json_text(uint32_t status, const char *json, enum outcome outcome,
			uint64_t retry_after_s, bool with_body, bool close);

/**
 * http_refusal_status() - status for a refusal
 * @cause: why
 *
 * Return: HTTP status.
 */
uint32_t http_refusal_status(enum refusal_cause cause);

/**
 * http_retry_after_s() - seconds until a refused request may come again
 * @refusal: the refusal
 * @now_unix_ms: wall clock
 *
 * Return: seconds, rounded up; 0 for no advice.
 */
uint64_t http_retry_after_s(const struct refusal *refusal,
			    uint64_t now_unix_ms);

#endif
