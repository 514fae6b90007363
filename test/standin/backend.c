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

/* A peer that reuses the connection would read it as the next response. */
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
 * struct fleet - all backend servers of the process
 * @lock: guards all fields
 * @rand: draws the requests that are shed and those that get a fault
 * @drain_header: name of the response header that announces draining
 * @servers: the servers
 * @server_count: used entries of @servers
 */
struct fleet {
	GMutex lock;
	GRand *rand;
	const char *drain_header;
	struct server servers[PORTS_MAX];
	uint32_t server_count;
};

/**
 * struct work - one request being processed
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
struct work {
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
static int handle_control(struct fleet *fleet, struct mg_connection *conn,
			  const char *path);
static int update_behaviour(struct fleet *fleet, struct mg_connection *conn);
static int respond_health(struct fleet *fleet, struct mg_connection *conn,
			  struct server *server);
static int respond_load(struct fleet *fleet, struct mg_connection *conn,
			struct server *server);
static int serve_request(struct fleet *fleet, struct mg_connection *conn,
			 struct server *server);
static int send_shed_response(const struct work *work);
static void append_drain_header(const struct work *work, GString *headers);
static bool admit_request(struct fleet *fleet, struct work *work);
static enum run_end process_request(struct work *work);
static enum run_end send_response(struct work *work, uint32_t status);
static enum run_end send_partial_response(struct work *work, bool keep_open);
static enum run_end hold_connection(struct work *work);
static GString *format_body(const struct work *work);
static GString *format_response(const struct work *work, uint32_t status,
				const GString *body);
static void append_chunked(GString *response, const GString *body);
static json_object *headers_json(const struct mg_request_info *info);
static struct server *find_server(struct fleet *fleet, uint64_t port);
static bool parse_ports(struct fleet *fleet, const char *text);
static bool add_server(struct fleet *fleet, uint64_t port);
static char *format_listen_ports(const struct fleet *fleet,
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
	static struct fleet fleet;
	char *listen_ports;

	if (argp_parse(&parser, argc, argv, 0, NULL, &args) != 0)
		return EXIT_FAILURE;
	g_mutex_init(&fleet.lock);
	fleet.rand = g_rand_new_with_seed(args.seed);
	fleet.drain_header = args.drain_header;
	if (!parse_ports(&fleet, args.ports)) {
		fprintf(stderr, "standin: bad list of ports %s\n", args.ports);
		return EXIT_FAILURE;
	}
	listen_ports = format_listen_ports(&fleet, &args);
	return http_serve(listen_ports, args.threads, handle, &fleet);
}

static int handle(struct mg_connection *conn, void *data)
{
	struct fleet *fleet = data;
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct server *server = find_server(fleet, (uint64_t)info->server_port);

	if (g_str_has_prefix(info->local_uri, "/standin/"))
		return handle_control(fleet, conn,
				      info->local_uri + strlen("/standin/"));
	if (server == NULL)
		return http_respond(conn, 404, "", "");
	if (strcmp(info->local_uri, "/health") == 0)
		return respond_health(fleet, conn, server);
	if (strcmp(info->local_uri, "/load") == 0)
		return respond_load(fleet, conn, server);
	return serve_request(fleet, conn, server);
}

static int handle_control(struct fleet *fleet, struct mg_connection *conn,
			  const char *path)
{
	char *text;
	int status;

	if (strcmp(path, "backend") == 0)
		return update_behaviour(fleet, conn);
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
static int update_behaviour(struct fleet *fleet, struct mg_connection *conn)
{
	uint64_t port = http_query_uint(conn, "port", 0);
	char *text = http_body(conn);
	json_object *settings = text == NULL ? NULL : json_tokener_parse(text);
	bool accepted = settings != NULL;

	g_free(text);
	g_mutex_lock(&fleet->lock);
	for (uint32_t i = 0; accepted && i < fleet->server_count; i++) {
		struct server *server = &fleet->servers[i];

		if (port == 0 || port == server->port)
			accepted = behaviour_update(&server->behaviour,
						    settings, clock_now_us());
	}
	g_mutex_unlock(&fleet->lock);
	json_object_put(settings);
	return http_respond(conn, accepted ? 200 : 400, "", "");
}

static int respond_health(struct fleet *fleet, struct mg_connection *conn,
			  struct server *server)
{
	bool healthy;

	g_mutex_lock(&fleet->lock);
	healthy = behaviour_reports_healthy(&server->behaviour, clock_now_us());
	g_mutex_unlock(&fleet->lock);
	return http_respond(conn, healthy ? 200 : 503, "", "");
}

static int respond_load(struct fleet *fleet, struct mg_connection *conn,
			struct server *server)
{
	const struct behaviour *behaviour = &server->behaviour;
	json_object *load = json_object_new_object();

	g_mutex_lock(&fleet->lock);
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
	g_mutex_unlock(&fleet->lock);
	return http_respond_json(conn, load);
}

static int serve_request(struct fleet *fleet, struct mg_connection *conn,
			 struct server *server)
{
	struct work work = { .conn = conn, .server = server };
	enum run_end end;

	work.body = http_body(conn);
	if (work.body == NULL)
		return http_respond(conn, 400, "", "");
	if (!admit_request(fleet, &work)) {
		g_free(work.body);
		return send_shed_response(&work);
	}
	end = process_request(&work);
	g_mutex_lock(&fleet->lock);
	server->busy_slots--;
	g_mutex_unlock(&fleet->lock);
	runlog_end(work.log_index, end);
	if (end != RUN_COMPLETE)
		http_abort(conn);
	g_free(work.body);
	return 200;
}

static int send_shed_response(const struct work *work)
{
	GString *headers = g_string_new("X-Shed: 1\r\n");
	int status;

	append_drain_header(work, headers);
	if (work->retry_after_s > 0)
		g_string_append_printf(headers, "Retry-After: %u\r\n",
				       work->retry_after_s);
	status = http_respond(work->conn, 503, headers->str, "");
	g_string_free(headers, TRUE);
	return status;
}

static void append_drain_header(const struct work *work, GString *headers)
{
	if (work->drain_header)
		g_string_append_printf(headers, "%s: 1\r\n",
				       work->drain_header);
}

/* Takes a slot and logs the request; returns false if it is shed. */
static bool admit_request(struct fleet *fleet, struct work *work)
{
	const struct mg_request_info *info = mg_get_request_info(work->conn);
	const char *deadline = mg_get_header(work->conn, DEADLINE_HEADER);
	const char *id = mg_get_header(work->conn, ID_HEADER);
	struct server *server = work->server;
	const struct behaviour *behaviour = &server->behaviour;
	uint64_t now_us = clock_now_us();
	bool refused;

	g_mutex_lock(&fleet->lock);
	if (behaviour->draining)
		work->drain_header = fleet->drain_header;
	work->retry_after_s = behaviour->retry_after_s;
	refused = server->busy_slots >= behaviour->slots ||
		  (uint32_t)g_rand_int_range(fleet->rand, 0, PERMILLE_ONE) <
			  behaviour->shed_permille ||
		  (deadline != NULL && g_ascii_strtoull(deadline, NULL, 10) <
					       unix_now_us() / US_PER_MS);
	if (refused) {
		server->shed_requests++;
	} else {
		server->busy_slots++;
		work->fault =
			behaviour_draw_fault(behaviour, fleet->rand, now_us);
		work->work_us =
			behaviour_work_us(behaviour,
					  http_query_uint(work->conn, "work_ms",
							  behaviour->work_ms),
					  now_us);
	}
	g_mutex_unlock(&fleet->lock);
	if (refused)
		runlog_shed(id, server->port, info->request_method,
			    work->retry_after_s);
	else
		work->log_index =
			runlog_begin(id, server->port, info->request_method);
	return !refused;
}

static enum run_end process_request(struct work *work)
{
	if (!http_wait(work->conn, clock_now_us() + work->work_us))
		return RUN_CANCELLED;
	switch (work->fault.kind) {
	case FAULT_NONE:
		return send_response(work, 200);
	case FAULT_STATUS:
		return send_response(work, work->fault.status);
	case FAULT_HANG_HEAD:
		return hold_connection(work);
	case FAULT_HANG_BODY:
		return send_partial_response(work, true);
	case FAULT_TRUNCATE:
		return send_partial_response(work, false);
	case FAULT_CLOSE:
		return RUN_INCOMPLETE;
	case FAULT_FORGE:
		if (send_response(work, 200) != RUN_COMPLETE)
			return RUN_INCOMPLETE;
		mg_write(work->conn, FORGED_RESPONSE, strlen(FORGED_RESPONSE));
		return RUN_COMPLETE;
	case FAULT_LATE:
		http_wait(work->conn,
			  clock_now_us() + work->fault.late_ms * US_PER_MS);
		return send_response(work, 200);
	}
	return RUN_INCOMPLETE;
}

static enum run_end send_response(struct work *work, uint32_t status)
{
	GString *body = format_body(work);
	GString *text = format_response(work, status, body);
	int written = mg_write(work->conn, text->str, text->len);
	bool complete = written == (int)text->len;

	g_string_free(body, TRUE);
	g_string_free(text, TRUE);
	return complete ? RUN_COMPLETE : RUN_INCOMPLETE;
}

/* Sends the header and half of the body, then nothing more. */
static enum run_end send_partial_response(struct work *work, bool keep_open)
{
	GString *body = format_body(work);
	GString *text = format_response(work, 200, body);

	if (text->len > body->len)
		mg_write(work->conn, text->str, text->len - body->len / 2);
	g_string_free(body, TRUE);
	g_string_free(text, TRUE);
	return keep_open ? hold_connection(work) : RUN_INCOMPLETE;
}

static enum run_end hold_connection(struct work *work)
{
	http_wait(work->conn, clock_now_us() + HANG_MAX_US);
	return RUN_INCOMPLETE;
}

/* Echoes the request, so that the client can check the response against it. */
static GString *format_body(const struct work *work)
{
	const struct mg_request_info *info = mg_get_request_info(work->conn);
	const char *id = mg_get_header(work->conn, ID_HEADER);
	uint64_t fill_bytes = http_query_uint(work->conn, "fill_bytes", 0);
	json_object *object = json_object_new_object();
	GString *fill = g_string_new(NULL);
	GString *body;

	while (id != NULL && *id != '\0' &&
	       fill->len < MIN(fill_bytes, FILL_MAX_BYTES))
		g_string_append(fill, id);
	json_object_object_add(object, "id",
			       json_object_new_string(id == NULL ? "" : id));
	json_object_object_add(object, "port",
			       json_object_new_int(work->server->port));
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
			       json_object_new_string(work->body));
	json_object_object_add(object, "fill",
			       json_object_new_string(fill->str));
	body = g_string_new(json_object_to_json_string_ext(
		object,
		JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(object);
	g_string_free(fill, TRUE);
	return body;
}

static GString *format_response(const struct work *work, uint32_t status,
				const GString *body)
{
	const char *id = mg_get_header(work->conn, ID_HEADER);
	GString *text = g_string_new(NULL);
	bool head = strcmp(mg_get_request_info(work->conn)->request_method,
			   "HEAD") == 0;

	g_string_printf(text,
			"HTTP/1.1 %u %s\r\n"
			"Content-Type: application/json\r\n",
			status,
			mg_get_response_code_text(work->conn, (int)status));
	append_drain_header(work, text);
	if (id != NULL)
		g_string_append_printf(text, ID_HEADER ": %s\r\n", id);
	if (http_query_uint(work->conn, "chunked", 0) != 0) {
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

static struct server *find_server(struct fleet *fleet, uint64_t port)
{
	for (uint32_t i = 0; i < fleet->server_count; i++) {
		if (fleet->servers[i].port == port)
			return &fleet->servers[i];
	}
	return NULL;
}

static bool parse_ports(struct fleet *fleet, const char *text)
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
			valid = add_server(fleet, port);
		g_strfreev(bounds);
	}
	g_strfreev(ranges);
	return valid;
}

static bool add_server(struct fleet *fleet, uint64_t port)
{
	struct server *server = &fleet->servers[fleet->server_count];

	if (port == 0 || port > UINT16_MAX || fleet->server_count == PORTS_MAX)
		return false;
	server->port = (uint16_t)port;
	behaviour_init(&server->behaviour);
	fleet->server_count++;
	return true;
}

static char *format_listen_ports(const struct fleet *fleet,
				 const struct backend_args *args)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < fleet->server_count; i++)
		g_string_append_printf(text, "%s%s:%u", i == 0 ? "" : ",",
				       args->ip, fleet->servers[i].port);
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
		argp_error(state, "bad number %s", text);
	return (uint32_t)value;
}
