#ifndef CODEC_HTTP_CLIENT_H
#define CODEC_HTTP_CLIENT_H

/**
 * DOC: requests to backend servers as libcurl wants them
 */

#include <curl/curl.h>

#include "core/request.h"

/**
 * http_client_set_defaults() - set what every transfer needs
 * @easy: a fresh or reset handle
 *
 * HTTP/1.1 only, no redirects, no proxy, no signals, nothing from the
 * environment.
 *
 * Return: whether libcurl took all of it.
 */
bool http_client_set_defaults(CURL *easy);

/**
 * http_client_set_target() - say where a transfer goes
 * @easy: the handle
 * @to: the server
 * @target: path and query, sent as they are; must outlive the transfer
 *
 * Return: whether libcurl took it.
 */
bool http_client_set_target(CURL *easy, struct net_addr to, const char *target);

/**
 * struct client_limits - what a backend server is told beside the request
 * @deadline_unix_ms: end of the caller's time
 * @left_ms: the same as what is left
 * @instance: which start of the backend server is meant, may be empty
 */
struct client_limits {
	uint64_t deadline_unix_ms;
	uint64_t left_ms;
	const struct name *instance;
};

/**
 * http_client_set_request() - encode a caller's request
 * @easy: the handle
 * @request: must outlive the transfer
 * @names: header fields that the settings name
 * @limits: told to the backend server
 * @fields: owned list, to be freed after the transfer
 *
 * Return: whether libcurl took it.
 */
bool http_client_set_request(CURL *easy, const struct request *request,
			     const struct header_names *names,
			     const struct client_limits *limits,
			     struct curl_slist **fields);

#endif
