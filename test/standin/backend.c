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
#define SIZE_MAX_BYTES UINT64_C(4194304)
#define CHUNK_BYTES 8192
#define ID_HEADER "X-Request-Id"
#define DEADLINE_HEADER "Nutmegcrank-Deadline-Unix-Ms"

/* Would be taken for the next answer by a peer that reuses the connection. */
#define FORGED_ANSWER                                   \
	"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" \
	"{\"id\":\"forged\"}"

/**
 * struct server - one backend server
 * @port: where it listens
 * @behaviour: how it behaves
 * @busy_slots: work in progress
 * @shed_requests: requests refused for want of a slot
 */
struct server {
	uint16_t port;
	struct behaviour behaviour;
	uint32_t busy_slots;
	uint64_t shed_requests;
};

/**
 * struct fleet - all backend servers of the process; @lock guards all
 * @rand: draws which requests a fault hits
 * @drain_header: header of answers that say that their server drains
 */
struct fleet {
	GMutex lock;
	GRand *rand;
	const char *drain_header;
	struct server servers[PORTS_MAX];
	uint32_t server_count;
};

/**
 * struct work - one request as it is worked on
 * @conn: its connection
 * @server: who works on it
 * @fault: what goes wrong, drawn once
 * @drain_header: header that says that the server drains, NULL when it does not
 * @retry_after_s: what a refusal says, 0 for nothing
 * @work_us: time it takes
 * @run: its place in the run log
 * @body: request body
 */
struct work {
	struct mg_connection *conn;
	struct server *server;
	struct fault fault;
	const char *drain_header;
	uint32_t retry_after_s;
	uint64_t work_us;
	uint32_t run;
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
static int handle_order(struct fleet *fleet, struct mg_connection *conn,
			const char *path);
static int put_behaviour(struct fleet *fleet, struct mg_connection *conn);
static int answer_health(struct fleet *fleet, struct mg_connection *conn,
			 struct server *server);
static int answer_load(struct fleet *fleet, struct mg_connection *conn,
		       struct server *server);
static int serve(struct fleet *fleet, struct mg_connection *conn,
		 struct server *server);
static int shed(const struct work *work);
static void append_word(const struct work *work, GString *fields);
static bool begin(struct fleet *fleet, struct work *work);
static enum run_end run(struct work *work);
static enum run_end answer(struct work *work, uint32_t status);
static enum run_end answer_part(struct work *work, bool hanging);
static enum run_end hang(struct work *work);
static GString *make_body(const struct work *work);
static GString *make_answer(const struct work *work, uint32_t status,
			    const GString *body);
static void append_chunked(GString *answer, const GString *body);
static json_object *make_headers(const struct mg_request_info *info);
static struct server *find_server(struct fleet *fleet, uint64_t port);
static bool read_ports(struct fleet *fleet, const char *text);
static bool add_server(struct fleet *fleet, uint64_t port);
static char *listen_list(const struct fleet *fleet,
			 const struct backend_args *args);
static error_t parse(int key, char *text, struct argp_state *state);
static uint32_t parse_uint(struct argp_state *state, const char *text);

static const struct argp_option options[] = {
	{ "ip", 'i', "IP", 0, "Listen on this address", 0 },
	{ "ports", 'p', "LIST", 0, "One backend server each: 9001-9020,9031",
	  0 },
	{ "admin", 'a', "PORT", 0, "Take orders here", 0 },
	{ "threads", 't', "N", 0, "Connections served at once", 0 },
	{ "seed", 's', "N", 0, "Seed of the faults' draw", 0 },
	{ "drain-header", 'd', "NAME", 0,
	  "Header of answers that say that their server drains", 0 },
	{ 0 },
};

static const struct argp parser = {
	.options = options,
	.parser = parse,
	.doc = "Backend servers, one a port, in one process.",
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
	char *listens;

	if (argp_parse(&parser, argc, argv, 0, NULL, &args) != 0)
		return EXIT_FAILURE;
	g_mutex_init(&fleet.lock);
	fleet.rand = g_rand_new_with_seed(args.seed);
	fleet.drain_header = args.drain_header;
	if (!read_ports(&fleet, args.ports)) {
		fprintf(stderr, "standin: bad list of ports %s\n", args.ports);
		return EXIT_FAILURE;
	}
	listens = listen_list(&fleet, &args);
	return http_serve(listens, args.threads, handle, &fleet);
}

static int handle(struct mg_connection *conn, void *data)
{
	struct fleet *fleet = data;
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct server *server = find_server(fleet, (uint64_t)info->server_port);

	if (g_str_has_prefix(info->local_uri, "/standin/"))
		return handle_order(fleet, conn,
				    info->local_uri + strlen("/standin/"));
	if (server == NULL)
		return http_answer(conn, 404, "", "");
	if (strcmp(info->local_uri, "/health") == 0)
		return answer_health(fleet, conn, server);
	if (strcmp(info->local_uri, "/load") == 0)
		return answer_load(fleet, conn, server);
	return serve(fleet, conn, server);
}

static int handle_order(struct fleet *fleet, struct mg_connection *conn,
			const char *path)
{
	char *text;
	int status;

	if (strcmp(path, "backend") == 0)
		return put_behaviour(fleet, conn);
	if (strcmp(path, "counts") == 0)
		return http_answer_json(conn, runlog_counts());
	if (strcmp(path, "log") != 0)
		return http_answer(conn, 404, "", "");
	text = runlog_text();
	status = http_answer(conn, 200, "", text);
	g_free(text);
	return status;
}

/* Without a port the order is for all of them. */
static int put_behaviour(struct fleet *fleet, struct mg_connection *conn)
{
	uint64_t port = http_query_uint(conn, "port", 0);
	char *text = http_body(conn);
	json_object *order = text == NULL ? NULL : json_tokener_parse(text);
	bool taken = order != NULL;

	g_free(text);
	g_mutex_lock(&fleet->lock);
	for (uint32_t i = 0; taken && i < fleet->server_count; i++) {
		struct server *server = &fleet->servers[i];

		if (port == 0 || port == server->port)
			taken = behaviour_change(&server->behaviour, order,
						 clock_now_us());
	}
	g_mutex_unlock(&fleet->lock);
	json_object_put(order);
	return http_answer(conn, taken ? 200 : 400, "", "");
}

static int answer_health(struct fleet *fleet, struct mg_connection *conn,
			 struct server *server)
{
	bool healthy;

	g_mutex_lock(&fleet->lock);
	healthy = behaviour_healthy(&server->behaviour, clock_now_us());
	g_mutex_unlock(&fleet->lock);
	return http_answer(conn, healthy ? 200 : 503, "", "");
}

static int answer_load(struct fleet *fleet, struct mg_connection *conn,
		       struct server *server)
{
	const struct behaviour *behaviour = &server->behaviour;
	json_object *load = json_object_new_object();

	g_mutex_lock(&fleet->lock);
	json_object_object_add(load, "slots",
			       json_object_new_uint64(behaviour->slots));
	json_object_object_add(load, "busy",
			       json_object_new_uint64(behaviour_load(
				       behaviour, server->busy_slots)));
	json_object_object_add(
		load, "draining",
		json_object_new_boolean(behaviour_load_draining(behaviour)));
	json_object_object_add(load, "cold",
			       json_object_new_boolean(behaviour_cold(
				       behaviour, clock_now_us())));
	g_mutex_unlock(&fleet->lock);
	return http_answer_json(conn, load);
}

static int serve(struct fleet *fleet, struct mg_connection *conn,
		 struct server *server)
{
	struct work work = { .conn = conn, .server = server };
	enum run_end end;

	work.body = http_body(conn);
	if (work.body == NULL)
		return http_answer(conn, 400, "", "");
	if (!begin(fleet, &work)) {
		g_free(work.body);
		return shed(&work);
	}
	end = run(&work);
	g_mutex_lock(&fleet->lock);
	server->busy_slots--;
	g_mutex_unlock(&fleet->lock);
	runlog_end(work.run, end);
	if (end != RUN_WHOLE)
		http_cut(conn);
	g_free(work.body);
	return 200;
}

static int shed(const struct work *work)
{
	GString *fields = g_string_new("X-Shed: 1\r\n");
	int status;

	append_word(work, fields);
	if (work->retry_after_s > 0)
		g_string_append_printf(fields, "Retry-After: %u\r\n",
				       work->retry_after_s);
	status = http_answer(work->conn, 503, fields->str, "");
	g_string_free(fields, TRUE);
	return status;
}

static void append_word(const struct work *work, GString *fields)
{
	if (work->drain_header)
		g_string_append_printf(fields, "%s: 1\r\n", work->drain_header);
}

/* Takes a slot and notes the work, or returns false when it is shed. */
static bool begin(struct fleet *fleet, struct work *work)
{
	const struct mg_request_info *info = mg_get_request_info(work->conn);
	const char *deadline = mg_get_header(work->conn, DEADLINE_HEADER);
	const char *id = mg_get_header(work->conn, ID_HEADER);
	struct server *server = work->server;
	const struct behaviour *behaviour = &server->behaviour;
	uint64_t now_us = clock_now_us();
	bool full;

	g_mutex_lock(&fleet->lock);
	if (behaviour->draining)
		work->drain_header = fleet->drain_header;
	work->retry_after_s = behaviour->retry_after_s;
	full = server->busy_slots >= behaviour->slots ||
	       (uint32_t)g_rand_int_range(fleet->rand, 0, PERMILLE_ONE) <
		       behaviour->shed_permille ||
	       (deadline != NULL && g_ascii_strtoull(deadline, NULL, 10) <
					    unix_now_us() / US_PER_MS);
	if (full) {
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
	if (full)
		runlog_shed(id, server->port, info->request_method,
			    work->retry_after_s);
	else
		work->run =
			runlog_begin(id, server->port, info->request_method);
	return !full;
}

static enum run_end run(struct work *work)
{
	if (!http_wait(work->conn, clock_now_us() + work->work_us))
		return RUN_CANCELLED;
	switch (work->fault.kind) {
	case FAULT_NONE:
		return answer(work, 200);
	case FAULT_STATUS:
		return answer(work, work->fault.status);
	case FAULT_HANG_HEAD:
		return hang(work);
	case FAULT_HANG_BODY:
		return answer_part(work, true);
	case FAULT_TRUNCATE:
		return answer_part(work, false);
	case FAULT_CLOSE:
		return RUN_BROKEN;
	case FAULT_FORGE:
		if (answer(work, 200) != RUN_WHOLE)
			return RUN_BROKEN;
		mg_write(work->conn, FORGED_ANSWER, strlen(FORGED_ANSWER));
		return RUN_WHOLE;
	case FAULT_LATE:
		http_wait(work->conn,
			  clock_now_us() + work->fault.late_ms * US_PER_MS);
		return answer(work, 200);
	}
	return RUN_BROKEN;
}

static enum run_end answer(struct work *work, uint32_t status)
{
	GString *body = make_body(work);
	GString *text = make_answer(work, status, body);
	int written = mg_write(work->conn, text->str, text->len);
	bool whole = written == (int)text->len;

	g_string_free(body, TRUE);
	g_string_free(text, TRUE);
	return whole ? RUN_WHOLE : RUN_BROKEN;
}

/* Head and half of the body, then silence or the end. */
static enum run_end answer_part(struct work *work, bool hanging)
{
	GString *body = make_body(work);
	GString *text = make_answer(work, 200, body);

	if (text->len > body->len)
		mg_write(work->conn, text->str, text->len - body->len / 2);
	g_string_free(body, TRUE);
	g_string_free(text, TRUE);
	return hanging ? hang(work) : RUN_BROKEN;
}

static enum run_end hang(struct work *work)
{
	http_wait(work->conn, clock_now_us() + HANG_MAX_US);
	return RUN_BROKEN;
}

/* Tells the asker what was asked, so that it can see its own whole answer. */
static GString *make_body(const struct work *work)
{
	const struct mg_request_info *info = mg_get_request_info(work->conn);
	const char *id = mg_get_header(work->conn, ID_HEADER);
	uint64_t fill_bytes = http_query_uint(work->conn, "fill_bytes", 0);
	json_object *object = json_object_new_object();
	GString *fill = g_string_new(NULL);
	GString *body;

	while (id != NULL && *id != '\0' &&
	       fill->len < MIN(fill_bytes, SIZE_MAX_BYTES))
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
	json_object_object_add(object, "headers", make_headers(info));
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

static GString *make_answer(const struct work *work, uint32_t status,
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
	append_word(work, text);
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

static void append_chunked(GString *answer, const GString *body)
{
	for (size_t at = 0; at < body->len; at += CHUNK_BYTES) {
		size_t bytes = MIN(body->len - at, CHUNK_BYTES);

		g_string_append_printf(answer, "%zx\r\n", bytes);
		g_string_append_len(answer, body->str + at, (gssize)bytes);
		g_string_append(answer, "\r\n");
	}
	g_string_append(answer, "0\r\n\r\n");
}

static json_object *make_headers(const struct mg_request_info *info)
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

static bool read_ports(struct fleet *fleet, const char *text)
{
	char **parts = g_strsplit(text, ",", -1);
	bool good = true;

	for (char **part = parts; good && *part != NULL; part++) {
		char **ends = g_strsplit(*part, "-", 2);
		uint64_t first = g_ascii_strtoull(ends[0], NULL, 10);
		uint64_t last = ends[1] == NULL ?
					first :
					g_ascii_strtoull(ends[1], NULL, 10);

		good = first <= last;
		for (uint64_t port = first; good && port <= last; port++)
			good = add_server(fleet, port);
		g_strfreev(ends);
	}
	g_strfreev(parts);
	return good;
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

static char *listen_list(const struct fleet *fleet,
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

static error_t parse(int key, char *text, struct argp_state *state)
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
