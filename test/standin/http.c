#include "http.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"
#include "core/ids.h"
#include "standin.h"

#define KEEP_ALIVE_MS "60000"
#define SOCKETS_MAX 65536

/**
 * struct http_server - user data of a CivetWeb server; never freed
 * @handler: called for each request
 * @data: passed to @handler
 */
struct http_server {
	mg_request_handler handler;
	void *data;
};

static int connection_socket(struct mg_connection *conn);
static int find_socket(const struct mg_request_info *info);
static bool socket_matches(int fd, const struct mg_request_info *info);
static int handle_request(struct mg_connection *conn);

struct mg_context *http_start(const char *ports, uint32_t threads,
			      mg_request_handler handler, void *data)
{
	char count[16];
	const char *options[] = { "listening_ports",
				  ports,
				  "num_threads",
				  count,
				  "enable_keep_alive",
				  "yes",
				  "keep_alive_timeout_ms",
				  KEEP_ALIVE_MS,
				  "tcp_nodelay",
				  "1",
				  "listen_backlog",
				  "512",
				  "connection_queue",
				  "512",
				  NULL };
	const struct mg_callbacks callbacks = { .begin_request =
							handle_request };
	struct http_server *server = g_new(struct http_server, 1);

	/* Filled before mg_start(): requests may come before it returns. */
	server->handler = handler;
	server->data = data;
	g_snprintf(count, sizeof(count), "%u", threads);
	return mg_start(&callbacks, server, options);
}

int http_serve(const char *ports, uint32_t threads, mg_request_handler handler,
	       void *data)
{
	if (http_start(ports, threads, handler, data) == NULL) {
		fprintf(stderr, "standin: cannot listen on %s\n", ports);
		return EXIT_FAILURE;
	}
	wait_for_termination();
	/* Responses may be held back for minutes; exit without them. */
	_exit(EXIT_SUCCESS);
}

static int handle_request(struct mg_connection *conn)
{
	const struct http_server *server =
		mg_get_user_data(mg_get_context(conn));

	return server->handler(conn, server->data);
}

int http_respond(struct mg_connection *conn, int status, const char *headers,
		 const char *body)
{
	size_t body_bytes = strlen(body);
	GString *text = g_string_new(NULL);

	g_string_printf(text, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s\r\n",
			status, mg_get_response_code_text(conn, status),
			body_bytes, headers);
	if (strcmp(mg_get_request_info(conn)->request_method, "HEAD") != 0)
		g_string_append_len(text, body, (gssize)body_bytes);
	if (mg_write(conn, text->str, text->len) < 0)
		g_debug("peer closed before the response");
	g_string_free(text, TRUE);
	return status;
}

int http_respond_json(struct mg_connection *conn, json_object *object)
{
	int status = http_respond(
		conn, 200, "Content-Type: application/json\r\n",
		json_object_to_json_string_ext(
			object, JSON_C_TO_STRING_PLAIN |
					JSON_C_TO_STRING_NOSLASHESCAPE));

	json_object_put(object);
	return status;
}

char *http_body(struct mg_connection *conn)
{
	int64_t length_bytes = mg_get_request_info(conn)->content_length;
	char *body;
	int64_t done_bytes = 0;

	if (length_bytes < 0)
		return g_strdup("");
	if (length_bytes > HTTP_BODY_MAX_BYTES)
		return NULL;
	body = g_malloc0((size_t)length_bytes + 1);
	while (done_bytes < length_bytes) {
		int got = mg_read(conn, body + done_bytes,
				  (size_t)(length_bytes - done_bytes));

		if (got <= 0) {
			g_free(body);
			return NULL;
		}
		done_bytes += got;
	}
	return body;
}

int http_body_choice(struct mg_connection *conn, const char *const *words,
		     size_t count)
{
	char *text = http_body(conn);
	int choice = -1;
	size_t i;

	for (i = 0; text != NULL && i < count; i++) {
		if (strcmp(words[i], text) == 0)
			choice = (int)i;
	}
	g_free(text);
	return choice;
}

uint64_t http_query_uint(struct mg_connection *conn, const char *name,
			 uint64_t fallback)
{
	const char *query = mg_get_request_info(conn)->query_string;
	char text[24];
	guint64 value;

	if (query == NULL ||
	    mg_get_var(query, strlen(query), name, text, sizeof(text)) <= 0)
		return fallback;
	if (!g_ascii_string_to_unsigned(text, 10, 0, UINT64_MAX, &value, NULL))
		return fallback;
	return value;
}

bool http_wait(struct mg_connection *conn, uint64_t deadline_us)
{
	struct pollfd socket_poll = { .fd = connection_socket(conn),
				      .events = POLLRDHUP };
	uint64_t now_us = clock_now_us();

	while (now_us < deadline_us) {
		if (poll(&socket_poll, 1, clock_ms_left(deadline_us, now_us)) >
		    0)
			return false;
		now_us = clock_now_us();
	}
	return true;
}

void http_abort(struct mg_connection *conn)
{
	int fd = connection_socket(conn);

	if (fd < 0 || shutdown(fd, SHUT_RDWR) != 0)
		g_debug("connection is already closed");
}

uint64_t unix_now_us(void)
{
	return (uint64_t)g_get_real_time();
}

/*
 * CivetWeb does not expose the socket. It is found by its addresses, once for
 * each connection.
 */
static int connection_socket(struct mg_connection *conn)
{
	int fd = GPOINTER_TO_INT(mg_get_user_connection_data(conn)) - 1;

	if (fd >= 0)
		return fd;
	fd = find_socket(mg_get_request_info(conn));
	mg_set_user_connection_data(conn, GINT_TO_POINTER(fd + 1));
	return fd;
}

static int find_socket(const struct mg_request_info *info)
{
	struct rlimit limit;
	int end = SOCKETS_MAX;

	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
	    limit.rlim_cur < (rlim_t)end)
		end = (int)limit.rlim_cur;
	for (int fd = 0; fd < end; fd++) {
		if (socket_matches(fd, info))
			return fd;
	}
	return -1;
}

static bool socket_matches(int fd, const struct mg_request_info *info)
{
	struct sockaddr_in local = { 0 };
	struct sockaddr_in remote = { 0 };
	socklen_t local_bytes = sizeof(local);
	socklen_t remote_bytes = sizeof(remote);
	char ip[INET_ADDRSTRLEN];

	if (getpeername(fd, (struct sockaddr *)&remote, &remote_bytes) != 0 ||
	    remote.sin_family != AF_INET ||
	    ntohs(remote.sin_port) != info->remote_port)
		return false;
	if (getsockname(fd, (struct sockaddr *)&local, &local_bytes) != 0 ||
	    ntohs(local.sin_port) != info->server_port)
		return false;
	return inet_ntop(AF_INET, &remote.sin_addr, ip, sizeof(ip)) != NULL &&
	       strcmp(ip, info->remote_addr) == 0;
}
