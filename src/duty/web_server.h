#ifndef DUTY_WEB_SERVER_H
#define DUTY_WEB_SERVER_H

/**
 * DOC: a CivetWeb server that can be stopped by a deadline
 */

#include <civetweb.h>

#include "core/error.h"
#include "core/ids.h"

struct web_server;

/**
 * struct web_server_options - what a server listens on and how
 * @name: name in error messages
 * @listen: comma-separated listen addresses
 * @wake: one of the addresses in @listen
 * @threads: number of worker threads, as text
 * @request_timeout_ms: time limit for reading a request, as text
 * @callbacks: copied
 * @data: passed to the callbacks as user data
 */
struct web_server_options {
	const char *name;
	const char *listen;
	struct net_addr wake;
	const char *threads;
	const char *request_timeout_ms;
	const struct mg_callbacks *callbacks;
	void *data;
};

/**
 * web_server_start() - start a server and its threads
 * @options: not needed after the call
 * @error: DUTY_ERROR on failure
 *
 * Return: the server, to be ended with web_server_stop(), or NULL.
 */
struct web_server *web_server_start(const struct web_server_options *options,
				    GError **error);

/**
 * web_server_stop() - stop a server and free it
 * @server: the server
 * @deadline_us: boot time until which to wait for its threads, which read what
 *	clients send
 *
 * Return: false when threads still run. The server, and what its callbacks use,
 * must then not be freed before the process ends.
 */
bool web_server_stop(struct web_server *server, uint64_t deadline_us);

#endif
