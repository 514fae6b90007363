#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "backend_behaviour.h"
#include "core/clock.h"
#include "http.h"
#include "runlog.h"
#include "standin.h"

#define PORTS_MAX 256
#define HANG_MAX_US (600 * US_PER_S)
#define FILL_MAX_BYTES UINT64_C(4194304)
#define CHUNK_BYTES 8192
#define ID_HEADER "X-Request-Id"
#define DEADLINE_HEADER "Nutmegcrank-Deadline-Unix-Ms"

/*
 * Unrequested response: a peer that reuses the connection would take it for the
 * response to its next request.
 */
#define FORGED_RESPONSE                                 \
	"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" \
	"{\"id\":\"forged\"}"

/**
 * struct server - one backend server
 * @port: port on which it listens
 * @behaviour: configured behaviour
 * @busy_slots: requests being processed
 * @shed_requests: requests that were shed
 */
struct server {
	uint16_t port;
	struct behaviour behaviour;
	uint32_t busy_slots;
	uint64_t shed_requests;
};

/**
 * struct server_group - all backend servers of the process
 * @lock: guards all fields
 * @rand: draws the requests that are shed and those that get a fault
 * @drain_header: name of the response header that announces draining
 * @servers: the servers
 * @server_count: used entries of @servers
 */
struct server_group {
	GMutex lock;
	GRand *rand;
	const char *drain_header;
	struct server servers[PORTS_MAX];
	uint32_t server_count;
};

/**
 * struct request - one request being processed
 * @conn: connection of the request
 * @server: server that processes it
 * @fault: fault injected into the response, drawn once
 * @drain_header: name of the response header that announces draining, NULL if
 *	the server does not drain
 * @retry_after_s: Retry-After value if the request is shed, 0 for no such
 *	header
 * @work_us: processing time
 * @log_index: index of the request's entry in the run log
 * @body: request body, owned
 */
struct request {
	struct mg_connection *conn;
	struct server *server;
	struct fault fault;
	const char *drain_header;
	uint32_t retry_after_s;
	uint64_t work_us;
	uint32_t log_index;
	char *body;
};

struct backend_args {
	const char *ip;
	const char *ports;
	uint32_t admin_port;
	uint32_t threads;
	uint32_t seed;
	const char *drain_header;
};

static int handle(struct mg_connection *conn, void *data);
static int handle_control(struct server_group *group,
			  struct mg_connection *conn, const char *path);
static int update_behaviour(struct server_group *group,
			    struct mg_connection *conn);
static int respond_health(struct server_group *group,
			  struct mg_connection *conn, struct server *server);
static int respond_load(struct server_group *group, struct mg_connection *conn,
			struct server *server);
static int serve_request(struct server_group *group, struct mg_connection *conn,
			 struct server *server);
static int send_shed_response(const struct request *request);
static void append_drain_header(const struct request *request,
				GString *headers);
static bool admit_request(struct server_group *group, struct request *request);
static enum run_end process_request(struct request *request);
static enum run_end send_response(struct request *request, uint32_t status);
static enum run_end send_partial_response(struct request *request,
					  bool keep_open);
static enum run_end hold_connection(struct request *request);
static GString *format_body(const struct request *request);
static GString *format_response(const struct request *request, uint32_t status,
				const GString *body);
static void append_chunked(GString *response, const GString *body);
static json_object *headers_json(const struct mg_request_info *info);
static struct server *find_server(struct server_group *group, uint64_t port);
static bool parse_ports(struct server_group *group, const char *text);
static bool add_server(struct server_group *group, uint64_t port);
static char *format_listen_ports(const struct server_group *group,
				 const struct backend_args *args);
static error_t parse_option(int key, char *text, struct argp_state *state);
static uint32_t parse_uint(struct argp_state *state, const char *text);

static const struct argp_option options[] = {
	{ "ip", 'i', "IP", 0, "Listen on this address", 0 },
	{ "ports", 'p', "LIST", 0,
	  "Ports, one backend server each: 9001-9020,9031", 0 },
	{ "admin", 'a', "PORT", 0, "Accept control requests here", 0 },
	{ "threads", 't', "N", 0, "Maximum concurrent connections", 0 },
	{ "seed", 's', "N", 0, "Seed for the random choice of faults", 0 },
	{ "drain-header", 'd', "NAME", 0,
	  "Response header that announces draining", 0 },
	{ 0 },
};

static const struct argp parser = {
	.options = options,
	.parser = parse_option,
	.doc = "Backend servers, one on each port, in one process.",
};

int backend_main(int argc, char **argv)
{
	struct backend_args args = {
		.ip = "127.0.0.1",
		.ports = "9001",
		.threads = 256,
		.seed = 1,
		.drain_header = "X-Draining",
	};
	static struct server_group group;
	char *listen_ports;

	if (argp_parse(&parser, argc, argv, 0, NULL, &args) != 0)
		return EXIT_FAILURE;
	g_mutex_init(&group.lock);
	group.rand = g_rand_new_with_seed(args.seed);
	group.drain_header = args.drain_header;
	if (!parse_ports(&group, args.ports)) {
		fprintf(stderr, "standin: bad list of ports %s\n", args.ports);
		return EXIT_FAILURE;
	}
	listen_ports = format_listen_ports(&group, &args);
	return http_serve(listen_ports, args.threads, handle, &group);
}

static int handle(struct mg_connection *conn, void *data)
{
	struct server_group *group = data;
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct server *server = find_server(group, (uint64_t)info->server_port);

	if (g_str_has_prefix(info->local_uri, "/standin/"))
		return handle_control(group, conn,
				      info->local_uri + strlen("/standin/"));
	if (server == NULL)
		return http_respond(conn, 404, "", "");
	if (strcmp(info->local_uri, "/health") == 0)
		return respond_health(group, conn, server);
	if (strcmp(info->local_uri, "/load") == 0)
		return respond_load(group, conn, server);
	return serve_request(group, conn, server);
}

static int handle_control(struct server_group *group,
			  struct mg_connection *conn, const char *path)
{
	char *text;
	int status;

	if (strcmp(path, "backend") == 0)
		return update_behaviour(group, conn);
	if (strcmp(path, "counts") == 0)
		return http_respond_json(conn, runlog_counts());
	if (strcmp(path, "log") != 0)
		return http_respond(conn, 404, "", "");
	text = runlog_text();
	status = http_respond(conn, 200, "", text);
	g_free(text);
	return status;
}

/* A request without a port changes all servers. */
static int update_behaviour(struct server_group *group,
			    struct mg_connection *conn)
{
	uint64_t port = http_query_uint(conn, "port", 0);
	char *text = http_body(conn);
	json_object *settings = text == NULL ? NULL : json_tokener_parse(text);
	bool accepted = settings != NULL;

	g_free(text);
	g_mutex_lock(&group->lock);
	for (uint32_t i = 0; accepted && i < group->server_count; i++) {
		struct server *server = &group->servers[i];

		if (port == 0 || port == server->port)
			accepted = behaviour_update(&server->behaviour,
						    settings, clock_now_us());
	}
	g_mutex_unlock(&group->lock);
	json_object_put(settings);
	return http_respond(conn, accepted ? 200 : 400, "", "");
}

static int respond_health(struct server_group *group,
			  struct mg_connection *conn, struct server *server)
{
	bool healthy;

	g_mutex_lock(&group->lock);
	healthy = behaviour_reports_healthy(&server->behaviour, clock_now_us());
	g_mutex_unlock(&group->lock);
	return http_respond(conn, healthy ? 200 : 503, "", "");
}

static int respond_load(struct server_group *group, struct mg_connection *conn,
			struct server *server)
{
	const struct behaviour *behaviour = &server->behaviour;
	json_object *load = json_object_new_object();

	g_mutex_lock(&group->lock);
	json_object_object_add(load, "slots",
			       json_object_new_uint64(behaviour->slots));
	json_object_object_add(load, "busy",
			       json_object_new_uint64(behaviour_reported_slots(
				       behaviour, server->busy_slots)));
	json_object_object_add(
		load, "draining",
		json_object_new_boolean(behaviour_reports_draining(behaviour)));
	json_object_object_add(load, "cold",
			       json_object_new_boolean(behaviour_is_cold(
				       behaviour, clock_now_us())));
	g_mutex_unlock(&group->lock);
	return http_respond_json(conn, load);
}

static int serve_request(struct server_group *group, struct mg_connection *conn,
			 struct server *server)
{
	struct request request = { .conn = conn, .server = server };
	enum run_end end;

	request.body = http_body(conn);
	if (request.body == NULL)
		return http_respond(conn, 400, "", "");
	if (!admit_request(group, &request)) {
		g_free(request.body);
		return send_shed_response(&request);
	}
	end = process_request(&request);
	g_mutex_lock(&group->lock);
	server->busy_slots--;
	g_mutex_unlock(&group->lock);
	runlog_end(request.log_index, end);
	if (end != RUN_COMPLETE)
		http_abort(conn);
	g_free(request.body);
	return 200;
}

static int send_shed_response(const struct request *request)
{
	GString *headers = g_string_new("X-Shed: 1\r\n");
	int status;

	append_drain_header(request, headers);
	if (request->retry_after_s > 0)
		g_string_append_printf(headers, "Retry-After: %u\r\n",
				       request->retry_after_s);
	status = http_respond(request->conn, 503, headers->str, "");
	g_string_free(headers, TRUE);
	return status;
}

static void append_drain_header(const struct request *request, GString *headers)
{
	if (request->drain_header)
		g_string_append_printf(headers, "%s: 1\r\n",
				       request->drain_header);
}

/*
 * Takes a slot and logs the request. Returns false if the request is shed: no
 * slot is free, it was drawn by shed_permille, or its deadline has passed.
 */
static bool admit_request(struct server_group *group, struct request *request)
{
	const struct mg_request_info *info = mg_get_request_info(request->conn);
	const char *deadline = mg_get_header(request->conn, DEADLINE_HEADER);
	const char *id = mg_get_header(request->conn, ID_HEADER);
	struct server *server = request->server;
	const struct behaviour *behaviour = &server->behaviour;
	uint64_t now_us = clock_now_us();
	bool refused;

	g_mutex_lock(&group->lock);
	if (behaviour->draining)
		request->drain_header = group->drain_header;
	request->retry_after_s = behaviour->retry_after_s;
	refused = server->busy_slots >= behaviour->slots ||
		  (uint32_t)g_rand_int_range(group->rand, 0, PERMILLE_ONE) <
			  behaviour->shed_permille ||
		  (deadline != NULL && g_ascii_strtoull(deadline, NULL, 10) <
					       unix_now_us() / US_PER_MS);
	if (refused) {
		server->shed_requests++;
	} else {
		server->busy_slots++;
		request->fault =
			behaviour_draw_fault(behaviour, group->rand, now_us);
		request->work_us = behaviour_work_us(
			behaviour,
			http_query_uint(request->conn, "work_ms",
					behaviour->work_ms),
			now_us);
	}
	g_mutex_unlock(&group->lock);
	if (refused)
		runlog_shed(id, server->port, info->request_method,
			    request->retry_after_s);
	else
		request->log_index =
			runlog_begin(id, server->port, info->request_method);
	return !refused;
}

static enum run_end process_request(struct request *request)
{
	if (!http_wait(request->conn, clock_now_us() + request->work_us))
		return RUN_CANCELLED;
	switch (request->fault.kind) {
	case FAULT_NONE:
		return send_response(request, 200);
	case FAULT_STATUS:
		return send_response(request, request->fault.status);
	case FAULT_HANG_HEAD:
		return hold_connection(request);
	case FAULT_HANG_BODY:
		return send_partial_response(request, true);
	case FAULT_TRUNCATE:
		return send_partial_response(request, false);
	case FAULT_CLOSE:
		return RUN_INCOMPLETE;
	case FAULT_FORGE:
		if (send_response(request, 200) != RUN_COMPLETE)
			return RUN_INCOMPLETE;
		mg_write(request->conn, FORGED_RESPONSE,
			 strlen(FORGED_RESPONSE));
		return RUN_COMPLETE;
	case FAULT_LATE:
		http_wait(request->conn,
			  clock_now_us() + request->fault.late_ms * US_PER_MS);
		return send_response(request, 200);
	}
	return RUN_INCOMPLETE;
}

static enum run_end send_response(struct request *request, uint32_t status)
{
	GString *body = format_body(request);
	GString *text = format_response(request, status, body);
	int written = mg_write(request->conn, text->str, text->len);
	bool complete = written == (int)text->len;

	g_string_free(body, TRUE);
	g_string_free(text, TRUE);
	return complete ? RUN_COMPLETE : RUN_INCOMPLETE;
}

/* Sends the header and half of the body, then nothing more. */
static enum run_end send_partial_response(struct request *request,
					  bool keep_open)
{
	GString *body = format_body(request);
	GString *text = format_response(request, 200, body);

	if (text->len > body->len)
		mg_write(request->conn, text->str, text->len - body->len / 2);
	g_string_free(body, TRUE);
	g_string_free(text, TRUE);
	return keep_open ? hold_connection(request) : RUN_INCOMPLETE;
}

static enum run_end hold_connection(struct request *request)
{
	http_wait(request->conn, clock_now_us() + HANG_MAX_US);
	return RUN_INCOMPLETE;
}

/* Echoes the request, so that the client can check the response against it. */
static GString *format_body(const struct request *request)
{
	const struct mg_request_info *info = mg_get_request_info(request->conn);
	const char *id = mg_get_header(request->conn, ID_HEADER);
	uint64_t fill_bytes = http_query_uint(request->conn, "fill_bytes", 0);
	json_object *object = json_object_new_object();
	GString *fill = g_string_new(NULL);
	GString *body;

	while (id != NULL && *id != '\0' &&
	       fill->len < MIN(fill_bytes, FILL_MAX_BYTES))
		g_string_append(fill, id);
	json_object_object_add(object, "id",
			       json_object_new_string(id == NULL ? "" : id));
	json_object_object_add(object, "port",
			       json_object_new_int(request->server->port));
	json_object_object_add(object, "method",
			       json_object_new_string(info->request_method));
	json_object_object_add(object, "path",
			       json_object_new_string(info->local_uri));
	json_object_object_add(
		object, "query",
		json_object_new_string(
			info->query_string == NULL ? "" : info->query_string));
	json_object_object_add(object, "headers", headers_json(info));
	json_object_object_add(object, "body",
			       json_object_new_string(request->body));
	json_object_object_add(object, "fill",
			       json_object_new_string(fill->str));
	body = g_string_new(json_object_to_json_string_ext(
		object,
		JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(object);
	g_string_free(fill, TRUE);
	return body;
}

static GString *format_response(const struct request *request, uint32_t status,
				const GString *body)
{
	const char *id = mg_get_header(request->conn, ID_HEADER);
	GString *text = g_string_new(NULL);
	bool head = strcmp(mg_get_request_info(request->conn)->request_method,
			   "HEAD") == 0;

	g_string_printf(text,
			"HTTP/1.1 %u %s\r\n"
			"Content-Type: application/json\r\n",
			status,
			mg_get_response_code_text(request->conn, (int)status));
	append_drain_header(request, text);
	if (id != NULL)
		g_string_append_printf(text, ID_HEADER ": %s\r\n", id);
	if (http_query_uint(request->conn, "chunked", 0) != 0) {
		g_string_append(text, "Transfer-Encoding: chunked\r\n\r\n");
		if (!head)
			append_chunked(text, body);
		return text;
	}
	g_string_append_printf(text, "Content-Length: %zu\r\n\r\n", body->len);
	if (!head)
		g_string_append_len(text, body->str, (gssize)body->len);
	return text;
}

static void append_chunked(GString *response, const GString *body)
{
	for (size_t offset = 0; offset < body->len; offset += CHUNK_BYTES) {
		size_t bytes = MIN(body->len - offset, CHUNK_BYTES);

		g_string_append_printf(response, "%zx\r\n", bytes);
		g_string_append_len(response, body->str + offset,
				    (gssize)bytes);
		g_string_append(response, "\r\n");
	}
	g_string_append(response, "0\r\n\r\n");
}

static json_object *headers_json(const struct mg_request_info *info)
{
	json_object *headers = json_object_new_object();

	for (int i = 0; i < info->num_headers; i++)
		json_object_object_add(
			headers, info->http_headers[i].name,
			json_object_new_string(info->http_headers[i].value));
	return headers;
}

static struct server *find_server(struct server_group *group, uint64_t port)
{
	for (uint32_t i = 0; i < group->server_count; i++) {
		if (group->servers[i].port == port)
			return &group->servers[i];
	}
	return NULL;
}

static bool parse_ports(struct server_group *group, const char *text)
{
	char **ranges = g_strsplit(text, ",", -1);
	bool valid = true;

	for (char **range = ranges; valid && *range != NULL; range++) {
		char **bounds = g_strsplit(*range, "-", 2);
		uint64_t first = g_ascii_strtoull(bounds[0], NULL, 10);
		uint64_t last = bounds[1] == NULL ?
					first :
					g_ascii_strtoull(bounds[1], NULL, 10);

		valid = first <= last;
		for (uint64_t port = first; valid && port <= last; port++)
			valid = add_server(group, port);
		g_strfreev(bounds);
	}
	g_strfreev(ranges);
	return valid;
}

static bool add_server(struct server_group *group, uint64_t port)
{
	struct server *server = &group->servers[group->server_count];

	if (port == 0 || port > UINT16_MAX || group->server_count == PORTS_MAX)
		return false;
	server->port = (uint16_t)port;
	behaviour_init(&server->behaviour);
	group->server_count++;
	return true;
}

static char *format_listen_ports(const struct server_group *group,
				 const struct backend_args *args)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < group->server_count; i++)
		g_string_append_printf(text, "%s%s:%u", i == 0 ? "" : ",",
				       args->ip, group->servers[i].port);
	if (args->admin_port != 0)
		g_string_append_printf(text, ",%s:%u", args->ip,
				       args->admin_port);
	return g_string_free(text, FALSE);
}

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	struct backend_args *args = state->input;

	switch (key) {
	case 'i':
		args->ip = text;
		return 0;
	case 'p':
		args->ports = text;
		return 0;
	case 'a':
		args->admin_port = parse_uint(state, text);
		return 0;
	case 't':
		args->threads = parse_uint(state, text);
		return 0;
	case 'd':
		args->drain_header = text;
		return 0;
	case 's':
		args->seed = parse_uint(state, text);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static uint32_t parse_uint(struct argp_state *state, const char *text)
{
	guint64 value = 0;

	if (!g_ascii_string_to_unsigned(text, 10, 1, UINT32_MAX, &value, NULL))
		argp_error(state, "not a number from 1 to 4294967295: %s",
			   text);
	return (uint32_t)value;
}
