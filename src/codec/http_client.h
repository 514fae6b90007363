#ifndef CODEC_HTTP_CLIENT_H
#define CODEC_HTTP_CLIENT_H

/**
 * DOC: requests to backend servers, encoded as libcurl options
 */

#include <curl/curl.h>

#include "core/request.h"

/**
 * http_client_set_defaults() - set the options that all transfers share
 * @easy: a new or reset handle
 *
 * HTTP/1.1 only, no redirects, no proxy, no signals, nothing from the
 * environment.
 *
 * Return: whether libcurl accepted all options.
 */
bool http_client_set_defaults(CURL *easy);

/**
 * http_client_set_target() - set the server and the request target
 * @easy: handle of the transfer
 * @to: address of the server
 * @target: path and query, sent unchanged; must outlive the transfer
 *
 * Return: whether libcurl accepted the options.
 */
bool http_client_set_target(CURL *easy, struct net_addr to, const char *target);

/**
 * http_client_set_connection() - name the connection of a transfer
 * @easy: handle of the transfer, whose target is set
 * @to: address of the server
 * @id: number of the connection, unique within libcurl's handle
 * @connect_to: gets the list that must be freed after the transfer
 *
 * libcurl uses a kept connection only for the same host name, so a name made
 * from @id selects one connection. The request must have a Host field of its
 * own.
 *
 * Return: whether libcurl accepted the options.
 */
bool http_client_set_connection(CURL *easy, struct net_addr to, uint64_t id,
				struct curl_slist **connect_to);

/**
 * struct client_limits - values that the proxy adds to a forwarded request
 * @deadline_unix_ms: the caller's deadline, wall-clock time
 * @left_ms: time left until that deadline
 * @instance: name for one start of the backend server, for which the request
 *	is meant; empty if unknown; not owned
 * @customer: name of the customer, empty if none is known; not owned
 * @drop_credentials: leave out the Authorization field of the request
 */
struct client_limits {
	uint64_t deadline_unix_ms;
	uint64_t left_ms;
	const struct name *instance;
	const struct name *customer;
	bool drop_credentials;
};

/**
 * http_client_set_request() - set method, header fields and body of a request
 * @easy: handle of the transfer
 * @request: the caller's request; must outlive the transfer
 * @names: configured header field names
 * @limits: values of the fields that the proxy adds
 * @fields: gets the list of header fields, to be freed by the caller of this
 *	function after the transfer
 *
 * Return: whether libcurl accepted the options.
 */
bool http_client_set_request(CURL *easy, const struct request *request,
			     const struct header_names *names,
			     const struct client_limits *limits,
			     struct curl_slist **fields);

#endif
