#ifndef CODEC_HTTP_READER_H
#define CODEC_HTTP_READER_H

/**
 * DOC: HTTP requests parsed from a byte stream, using http-parser
 *
 * Input may be split at any byte. The reader stops at the end of each head and
 * of each message, so that bytes of the next request are not consumed.
 */

#include "codec/http_request.h"

/**
 * enum http_reader_step - result of feeding bytes to a reader
 * @HTTP_READER_MORE: all bytes were consumed; the message is not complete
 * @HTTP_READER_HEAD: the head is complete; the remaining bytes are to be fed
 *	again
 * @HTTP_READER_DONE: the message is complete
 * @HTTP_READER_BAD: malformed request, or a bound is exceeded
 */
enum http_reader_step {
	HTTP_READER_MORE,
	HTTP_READER_HEAD,
	HTTP_READER_DONE,
	HTTP_READER_BAD,
};

struct http_reader;

/**
 * http_reader_set_head_max() - set the head size limit of all readers in the
 * process
 * @head_max_bytes: largest request head accepted
 */
void http_reader_set_head_max(uint32_t head_max_bytes);

/**
 * http_reader_new() - create a reader that expects the start of a request
 * @body_max_bytes: largest request body accepted
 *
 * Return: owned reader, to be freed with http_reader_free().
 */
struct http_reader *http_reader_new(uint64_t body_max_bytes);

/**
 * http_reader_free() - free a reader
 * @reader: the reader, or NULL
 */
void http_reader_free(struct http_reader *reader);

/**
 * http_reader_reset() - prepare a reader for the next request
 * @reader: the reader
 */
void http_reader_reset(struct http_reader *reader);

/**
 * http_reader_feed() - parse more bytes of a request
 * @reader: the reader
 * @bytes: bytes received from the caller
 * @length: number of bytes
 * @used: gets the number of bytes consumed
 *
 * Return: state of the request after these bytes.
 */
enum http_reader_step http_reader_feed(struct http_reader *reader,
				       const char *bytes, size_t length,
				       size_t *used);

/**
 * http_reader_head() - get a view of the request head
 * @reader: reader that has returned HTTP_READER_HEAD for this request
 * @head: filled, except for the caller's address; valid until
 *	http_reader_reset()
 */
void http_reader_head(struct http_reader *reader,
		      struct http_request_head *head);

/**
 * http_reader_take_body() - take the body out of the reader
 * @reader: reader that has returned HTTP_READER_DONE
 *
 * Return: owned bytes, NULL if the request has no body.
 */
GBytes *http_reader_take_body(struct http_reader *reader);

/**
 * http_reader_cause() - why a request was rejected
 * @reader: reader that has returned HTTP_READER_BAD
 *
 * Return: cause of the refusal.
 */
enum refusal_cause http_reader_cause(const struct http_reader *reader);

#endif
