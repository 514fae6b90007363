#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

/**
 * DOC: HTTP helpers that the stand-ins share
 */

#include <civetweb.h>
#include <glib.h>
#include <json.h>

#include "core/units.h"

#define HTTP_BODY_MAX_BYTES INT64_C(2097152)

/**
 * http_start() - listen and answer with one handler
 * @ports: CivetWeb's list of "ip:port"
 * @threads: connections served at once
 * @handler: called for each request
 * @data: passed to @handler
 *
 * Return: the running server, or NULL.
 */
struct mg_context *http_start(const char *ports, uint32_t threads,
			      mg_request_handler handler, void *data);

/**
 * http_serve() - answer with one handler until the process is to end
 * @ports: CivetWeb's list of "ip:port"
 * @threads: connections served at once
 * @handler: called for each request
 * @data: passed to @handler
 *
 * Return: exit status, when it cannot listen; else the process ends here.
 */
int http_serve(const char *ports, uint32_t threads, mg_request_handler handler,
	       void *data);

/**
 * http_answer() - write a whole answer
 * @conn: the connection
 * @status: HTTP status
 * @headers: further header lines, each with its CRLF, or ""
 * @body: the body
 *
 * Return: @status, for the handler to return.
 */
int http_answer(struct mg_connection *conn, int status, const char *headers,
		const char *body);

/**
 * http_answer_json() - write an object as a whole answer
 * @conn: the connection
 * @object: given back to json-c
 *
 * Return: 200.
 */
int http_answer_json(struct mg_connection *conn, json_object *object);

/**
 * http_body() - read a whole request body
 * @conn: the connection
 *
 * Return: owned, NUL-terminated text, or NULL when it is too long or cut.
 */
char *http_body(struct mg_connection *conn);

/**
 * http_body_word() - read a body that is one word of a list
 * @conn: the connection
 * @words: the list
 * @count: its length
 *
 * Return: the word's place, -1 for any other body.
 */
int http_body_word(struct mg_connection *conn, const char *const *words,
		   size_t count);

/**
 * http_query_uint() - read a number from the query
 * @conn: the connection
 * @name: its name
 * @fallback: for one that is absent or malformed
 *
 * Return: the number.
 */
uint64_t http_query_uint(struct mg_connection *conn, const char *name,
			 uint64_t fallback);

/**
 * http_wait() - wait until a deadline or until the peer closes
 * @conn: the connection
 * @deadline_us: boot-time deadline
 *
 * Return: whether the peer is still there.
 */
bool http_wait(struct mg_connection *conn, uint64_t deadline_us);

/**
 * http_cut() - end a connection without a further byte
 * @conn: the connection
 */
void http_cut(struct mg_connection *conn);

/**
 * unix_now_us() - read the wall clock
 *
 * Return: microseconds since 1970.
 */
uint64_t unix_now_us(void);

#endif
