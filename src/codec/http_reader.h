#ifndef CODEC_HTTP_READER_H
#define CODEC_HTTP_READER_H

/**
 * DOC: HTTP requests read from a stream of bytes, by http-parser
 *
 * Bytes may come in any pieces. The reader stops at the end of each head and
 * of each message, so that bytes of the next request stay with the caller.
 */

#include "codec/http_request.h"

/**
 * enum http_reader_step - how far the bytes went
 * @HTTP_READER_MORE: all are used; the message goes on
 * @HTTP_READER_HEAD: the head is whole; feed the rest after looking at it
 * @HTTP_READER_DONE: the message is whole
 * @HTTP_READER_BAD: no request, or above a bound
 */
enum http_reader_step {
	HTTP_READER_MORE,
	HTTP_READER_HEAD,
	HTTP_READER_DONE,
	HTTP_READER_BAD,
};

struct http_reader;

/**
 * http_reader_set_head_max() - set the bound for all readers of the process
 * @head_max_bytes: largest request head
 */
void http_reader_set_head_max(uint32_t head_max_bytes);

/**
 * http_reader_new() - make a reader that expects a request's first byte
 * @body_max_bytes: largest request body
 *
 * Return: a reader to be freed with http_reader_free().
 */
struct http_reader *http_reader_new(uint64_t body_max_bytes);

/**
 * http_reader_free() - free a reader
 * @reader: the reader, or NULL
 */
void http_reader_free(struct http_reader *reader);

/**
 * http_reader_reset() - expect the next request's first byte
 * @reader: the reader
 */
void http_reader_reset(struct http_reader *reader);

/**
 * http_reader_feed() - read on
 * @reader: the reader
 * @bytes: what came
 * @length: its length
 * @used: how many of them belong to what was read
 *
 * Return: how far it went.
 */
enum http_reader_step http_reader_feed(struct http_reader *reader,
				       const char *bytes, size_t length,
				       size_t *used);

/**
 * http_reader_head() - look at the head
 * @reader: a reader past HTTP_READER_HEAD
 * @head: filled, but for the caller's address; valid until http_reader_reset()
 */
void http_reader_head(struct http_reader *reader,
		      struct http_request_head *head);

/**
 * http_reader_take_body() - take the body
 * @reader: a reader at HTTP_READER_DONE
 *
 * Return: owned bytes, NULL when there are none.
 */
GBytes *http_reader_take_body(struct http_reader *reader);

/**
 * http_reader_cause() - why HTTP_READER_BAD was said
 * @reader: the reader
 *
 * Return: the cause.
 */
enum refusal_cause http_reader_cause(const struct http_reader *reader);

#endif
