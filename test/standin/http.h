#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

/**
 * DOC: HTTP server functions shared by the stand-ins
 */

#include <civetweb.h>
#include <glib.h>
#include <json.h>

#include "core/units.h"

#define HTTP_BODY_MAX_BYTES INT64_C(2097152)

/**
 * http_start() - start an HTTP server
 * @ports: CivetWeb's list of "ip:port"
 * @threads: maximum concurrent connections
 * @handler: called for each request
 * @data: passed to @handler
 *
 * Return: the running server, or NULL if it cannot listen.
 */
struct mg_context *http_start(const char *ports, uint32_t threads,
			      mg_request_handler handler, void *data);

/**
 * http_serve() - run an HTTP server until SIGTERM or SIGINT, then exit
 * @ports: CivetWeb's list of "ip:port"
 * @threads: maximum concurrent connections
 * @handler: called for each request
 * @data: passed to @handler
 *
 * Return: exit status if the server cannot listen; does not return otherwise.
 */
int http_serve(const char *ports, uint32_t threads, mg_request_handler handler,
	       void *data);

/**
 * http_respond() - send a complete response
 * @conn: the connection
 * @status: HTTP status
 * @headers: additional header lines, each with its CRLF, or ""
 * @body: the body
 *
 * Return: @status, for the handler to return.
 */
int http_respond(struct mg_connection *conn, int status, const char *headers,
		 const char *body);

/**
 * http_respond_json() - send a JSON object as a complete response
 * @conn: the connection
 * @object: released by this function
 *
 * Return: 200.
 */
int http_respond_json(struct mg_connection *conn, json_object *object);

/**
 * http_body() - read a complete request body
 * @conn: the connection
 *
 * Return: NUL-terminated text owned by the caller, or NULL if the body is
 * longer than HTTP_BODY_MAX_BYTES or truncated.
 */
char *http_body(struct mg_connection *conn);

/**
 * http_body_choice() - read a request body that is one of a list of words
 * @conn: the connection
 * @words: the list
 * @count: number of @words
 *
 * Return: index of the word, -1 for any other body.
 */
int http_body_choice(struct mg_connection *conn, const char *const *words,
		     size_t count);

/**
 * http_query_uint() - read a number from the query
 * @conn: the connection
 * @name: name of the query parameter
 * @fallback: value if the parameter is absent or malformed
 *
 * Return: value of the parameter, or @fallback.
 */
uint64_t http_query_uint(struct mg_connection *conn, const char *name,
			 uint64_t fallback);

/**
 * http_wait() - wait until a deadline or until the peer closes
 * @conn: the connection
 * @deadline_us: boot-time deadline
 *
 * Return: false if the peer has closed the connection.
 */
bool http_wait(struct mg_connection *conn, uint64_t deadline_us);

/**
 * http_abort() - shut down a connection without sending anything more
 * @conn: the connection
 */
void http_abort(struct mg_connection *conn);

/**
 * unix_now_us() - read the wall clock
 *
 * Return: microseconds since 1970-01-01 UTC.
 */
uint64_t unix_now_us(void);

#endif
