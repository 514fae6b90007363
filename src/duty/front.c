#include "duty/front.h"

#include <arpa/inet.h>
#include <civetweb.h>
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "codec/http_answer.h"
#include "codec/http_request.h"
#include "codec/report_text.h"
#include "core/clock.h"
#include "duty/caller_watch.h"

#define OWN_PATH_PREFIX "/.nutmegcrank/"
#define ENTRIES_PATH "/.nutmegcrank/entries"
#define WORKER_STACK_BYTES (UINT64_C(256) * 1024)
#define HEAD_MAX_MS 3000
#define BODY_MAX_MS 3000
#define WRITE_MARGIN_US (3 * US_PER_S)
#define ANSWER_MARGIN_MS 500
#define ANSWER_MAX_MS 600000
#define ENTRIES_MAX_MS 500
#define RETRY_MIN_MS 500
#define RETRY_JITTER_MS 1000
#define BODY_READ_BYTES 16384
#define CHUNK_HEAD_BYTES 24
#define DESCRIPTORS_MAX 65536
/* Idle callers lose their connections when fewer workers are free than this. */
#define FREE_WORKERS_PERCENT 25

/**
 * struct front_duty - the duty
 * @settings: not owned
 * @dispatch: ring of struct message
 * @exchange: not owned
 * @watch: sees callers that go away or are slow
 * @server: CivetWeb's context
 * @connections: callers' connections that hold a worker, atomic
 */
struct front_duty {
	const struct settings *settings;
	struct ring *dispatch;
	struct exchange_duty *exchange;
	struct caller_watch *watch;
	struct mg_context *server;
	gint connections;
};

/**
 * struct call - one request while its worker serves it
 * @front: the duty
 * @conn: CivetWeb's connection
 * @info: CivetWeb's view of the head
 * @caller: the watched connection, NULL when its socket was not found
 * @head_only: the method is HEAD
 * @close: the connection ends after this answer
 * @begun: bytes of an answer have gone out
 */
struct call {
	struct front_duty *front;
	struct mg_connection *conn;
	const struct mg_request_info *info;
	struct watched_caller *caller;
	bool head_only;
	bool close;
	bool begun;
};

static struct mg_context *start_server(struct front_duty *front);
static int on_connection(const struct mg_connection *conn, void **conn_data);
static void on_connection_close(const struct mg_connection *conn);
static void on_connection_closed(const struct mg_connection *conn);
static int on_log(const struct mg_connection *conn, const char *text);
static int on_http_error(struct mg_connection *conn, int status,
			 const char *text);
static int on_request(struct mg_connection *conn);
static struct watched_caller *watched(struct front_duty *front,
				      struct mg_connection *conn);
static int32_t find_socket(const struct mg_request_info *info);
static bool same_addr(const struct sockaddr_in *addr, uint32_t ip, int port);
static void set_close(struct call *call);
static uint32_t serve_own(struct call *call);
static uint32_t serve_entries(struct call *call, const struct name *service,
			      const struct entries_reply *reply);
static uint32_t serve(struct call *call);
static bool read_head(struct call *call, struct request *request,
		      struct request_facts *facts, struct http_body_plan *plan,
		      enum refusal_cause *cause);
static bool read_body(struct call *call, const struct http_body_plan *plan,
		      struct request *request, enum refusal_cause *cause);
static bool fill_body(struct call *call, const struct http_body_plan *plan,
		      GByteArray *body, enum refusal_cause *cause);
static uint32_t admit(struct call *call, struct request *request,
		      const struct request_facts *facts);
static uint32_t answer(struct call *call, struct request *request,
		       uint64_t until_us);
static enum ring_result take_part(struct call *call, struct request *request,
				  uint64_t until_us, struct answer_part *part);
static uint32_t give_up(struct call *call, struct request *request);
static void cancel(struct call *call, struct request *request);
static uint32_t write_answer(struct call *call, struct request *request,
			     struct answer_head *head, uint64_t until_us);
static enum http_framing framing_for(const struct call *call,
				     const struct answer_head *head);
static bool write_body(struct call *call, struct request *request,
		       enum http_framing framing, GString *first,
		       uint64_t until_us);
static void append_chunk(GString *text, enum http_framing framing,
			 GBytes *chunk);
static bool write_text(struct call *call, const GString *text);
static uint32_t refuse(struct call *call, const struct refusal *refusal);
static uint32_t refuse_early(struct call *call, enum refusal_cause cause);
static uint64_t retry_at_unix_ms(uint64_t salt);

struct front_duty *front_start(const struct settings *settings,
			       struct ring *dispatch,
			       struct exchange_duty *exchange, GError **error)
{
	struct front_duty *front = g_new0(struct front_duty, 1);

	front->settings = settings;
	front->dispatch = dispatch;
	front->exchange = exchange;
	front->watch = caller_watch_start(dispatch, error);
	if (!front->watch) {
		g_free(front);
		return NULL;
	}
	if (mg_init_library(MG_FEATURES_DEFAULT) == 0 && mg_version()[0] == 0)
		g_warning("front: CivetWeb does not start");
	front->server = start_server(front);
	if (!front->server) {
		g_set_error_literal(error, DUTY_ERROR, DUTY_ERROR_LISTEN,
				    "front: cannot listen for callers");
		caller_watch_stop(front->watch);
		mg_exit_library();
		g_free(front);
		return NULL;
	}
	return front;
}

void front_stop(struct front_duty *duty)
{
	if (!duty)
		return;
	mg_stop(duty->server);
	caller_watch_stop(duty->watch);
	mg_exit_library();
	g_free(duty);
}

static struct mg_context *start_server(struct front_duty *front)
{
	const struct mg_callbacks callbacks = {
		.begin_request = on_request,
		.log_message = on_log,
		.http_error = on_http_error,
		.init_connection = on_connection,
		.connection_close = on_connection_close,
		.connection_closed = on_connection_closed,
	};
	char listen[ADDR_TEXT_BYTES];
	char threads[16];
	char head[16];
	char head_ms[16];
	char keep_ms[16];
	const char *options[] = {
		"listening_ports",
		listen,
		"num_threads",
		threads,
		"connection_queue",
		threads,
		"max_request_size",
		head,
		"request_timeout_ms",
		head_ms,
		"keep_alive_timeout_ms",
		keep_ms,
		"enable_keep_alive",
		"yes",
		"tcp_nodelay",
		"1",
		"decode_url",
		"no",
		"decode_query_string",
		"no",
		NULL,
	};
	struct mg_context *server;
	pthread_attr_t before;
	pthread_attr_t small;

	addr_format(front->settings->caller_listen, listen);
	snprintf(threads, sizeof(threads), "%u",
		 front->settings->worker_threads);
	snprintf(head, sizeof(head), "%u", front->settings->head_max_bytes);
	snprintf(head_ms, sizeof(head_ms), "%d", HEAD_MAX_MS);
	snprintf(keep_ms, sizeof(keep_ms), "%u", front->settings->idle_max_ms);
	/* CivetWeb has no setting for its workers' stacks. */
	if (pthread_getattr_default_np(&before) != 0 ||
	    pthread_attr_init(&small) != 0 ||
	    pthread_attr_setstacksize(&small, WORKER_STACK_BYTES) != 0 ||
	    pthread_setattr_default_np(&small) != 0)
		g_warning("front: cannot set the size of stacks");
	server = mg_start(&callbacks, front, options);
	if (pthread_setattr_default_np(&before) != 0)
		g_warning("front: cannot set the size of stacks back");
	pthread_attr_destroy(&small);
	pthread_attr_destroy(&before);
	return server;
}

static int on_connection(const struct mg_connection *conn, void **conn_data)
{
	struct front_duty *front = mg_get_user_data(mg_get_context(conn));

	*conn_data = NULL;
	g_atomic_int_inc(&front->connections);
	return 0;
}

static void on_connection_close(const struct mg_connection *conn)
{
	struct front_duty *front = mg_get_user_data(mg_get_context(conn));

	caller_watch_close(front->watch, mg_get_user_connection_data(conn));
	mg_set_user_connection_data(conn, NULL);
}

static void on_connection_closed(const struct mg_connection *conn)
{
	struct front_duty *front = mg_get_user_data(mg_get_context(conn));

	g_atomic_int_add(&front->connections, -1);
}

static int on_log(const struct mg_connection *conn, const char *text)
{
	(void)conn;
	g_debug("front: %s", text);
	return 1;
}

/* CivetWeb refuses a head by itself before any work. */
static int on_http_error(struct mg_connection *conn, int status,
			 const char *text)
{
	struct call call = {
		.front = mg_get_user_data(mg_get_context(conn)),
		.conn = conn,
	};

	g_debug("front: %s", text);
	set_close(&call);
	refuse_early(&call, status == 413 || status == 414 || status == 431 ?
				    REFUSAL_TOO_LARGE :
				    REFUSAL_BAD_REQUEST);
	return 0;
}

static int on_request(struct mg_connection *conn)
{
	struct front_duty *front = mg_get_user_data(mg_get_context(conn));
	struct call call = {
		.front = front,
		.conn = conn,
		.info = mg_get_request_info(conn),
		.caller = watched(front, conn),
	};
	const char *keep = mg_get_header(conn, "Connection");
	uint32_t busy = (uint32_t)g_atomic_int_get(&front->connections);
	uint32_t status;

	call.head_only = strcmp(call.info->request_method, "HEAD") == 0;
	if ((keep && http_list_has(keep, "close")) ||
	    busy * 100 > front->settings->worker_threads *
				 (100 - FREE_WORKERS_PERCENT))
		set_close(&call);
	if (g_str_has_prefix(call.info->request_uri, OWN_PATH_PREFIX))
		status = serve_own(&call);
	else
		status = serve(&call);
	caller_watch_limit(front->watch, call.caller, DEADLINE_NONE_US);
	return (int)status;
}

/* Finds a connection's socket once; later requests on it find it noted. */
static struct watched_caller *watched(struct front_duty *front,
				      struct mg_connection *conn)
{
	struct watched_caller *caller = mg_get_user_connection_data(conn);
	int32_t fd;

	if (caller)
		return caller;
	fd = find_socket(mg_get_request_info(conn));
	if (fd < 0)
		return NULL;
	caller = caller_watch_open(front->watch, fd);
	mg_set_user_connection_data(conn, caller);
	return caller;
}

/*
 * CivetWeb does not tell a connection's socket, but its two addresses are
 * known and belong to one descriptor only.
 */
static int32_t find_socket(const struct mg_request_info *info)
{
	struct sockaddr_in addr = { 0 };
	struct rlimit limit;
	uint32_t ip;
	socklen_t length;
	int32_t fd;

	if (!addr_ip_parse(info->remote_addr, &ip) ||
	    getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return -1;
	for (fd = 0; fd < DESCRIPTORS_MAX && (rlim_t)fd < limit.rlim_cur;
	     fd++) {
		length = sizeof(addr);
		if (getpeername(fd, (struct sockaddr *)&addr, &length) != 0 ||
		    !same_addr(&addr, ip, info->remote_port))
			continue;
		length = sizeof(addr);
		if (getsockname(fd, (struct sockaddr *)&addr, &length) == 0 &&
		    ntohs(addr.sin_port) == info->server_port)
			return fd;
	}
	return -1;
}

static bool same_addr(const struct sockaddr_in *addr, uint32_t ip, int port)
{
	return addr->sin_family == AF_INET &&
	       ntohl(addr->sin_addr.s_addr) == ip &&
	       ntohs(addr->sin_port) == port;
}

static void set_close(struct call *call)
{
	call->close = true;
	mg_disable_connection_keep_alive(call->conn);
}

static uint32_t serve_own(struct call *call)
{
	const struct mg_request_info *info = call->info;
	struct query query;
	struct query_reply reply;
	struct refusal refusal = { .outcome = OUTCOME_NOT_RUN };
	uint64_t now_us = clock_now_us();

	if (strcmp(info->request_method, "GET") != 0 ||
	    strcmp(info->request_uri, ENTRIES_PATH) != 0 ||
	    !http_entries_read(info->query_string, info->remote_addr, &query))
		return refuse_early(call, REFUSAL_BAD_REQUEST);
	if (ask_query(call->front->dispatch, &query, &reply,
		      now_us + ENTRIES_MAX_MS * US_PER_MS) != RING_OK) {
		refusal.cause = REFUSAL_OVERLOAD;
		refusal.retry_at_unix_ms = retry_at_unix_ms(query.caller_hash);
		return refuse(call, &refusal);
	}
	return serve_entries(call, &query.service, &reply.entries);
}

static uint32_t serve_entries(struct call *call, const struct name *service,
			      const struct entries_reply *reply)
{
	GString *text;
	char *json;

	if (!reply->known)
		return refuse_early(call, REFUSAL_NO_SERVICE);
	json = entries_to_json(service, reply);
	text = http_json_text(200, json, OUTCOME_COMPLETE, NULL, true,
			      call->close);
	if (!write_text(call, text))
		set_close(call);
	g_string_free(text, TRUE);
	g_free(json);
	return 200;
}

static uint32_t serve(struct call *call)
{
	struct request *request = request_new();
	struct request_facts facts;
	struct http_body_plan plan;
	enum refusal_cause cause;
	uint32_t status;

	if (!read_head(call, request, &facts, &plan, &cause) ||
	    !read_body(call, &plan, request, &cause)) {
		/* What is left of the body must not be read as a request. */
		set_close(call);
		status = refuse_early(call, cause);
	} else {
		status = admit(call, request, &facts);
	}
	request_unref(request);
	return status;
}

static bool read_head(struct call *call, struct request *request,
		      struct request_facts *facts, struct http_body_plan *plan,
		      enum refusal_cause *cause)
{
	const struct mg_request_info *info = call->info;
	struct http_field fields[MG_MAX_HEADERS];
	struct http_request_head head = {
		.method = info->request_method,
		.path = info->request_uri,
		.query = info->query_string,
		.version = info->http_version,
		.fields = fields,
		.field_count = (uint32_t)info->num_headers,
		.caller_ip = info->remote_addr,
	};
	int i;

	/* CivetWeb drops fields above its bound without a word. */
	*cause = REFUSAL_TOO_LARGE;
	if (info->num_headers >= MG_MAX_HEADERS)
		return false;
	for (i = 0; i < info->num_headers; i++) {
		fields[i].name = info->http_headers[i].name;
		fields[i].value = info->http_headers[i].value;
	}
	return http_request_read(&head, call->front->settings, clock_now(),
				 request, facts, plan, cause);
}

static bool read_body(struct call *call, const struct http_body_plan *plan,
		      struct request *request, enum refusal_cause *cause)
{
	GByteArray *body;
	bool whole;

	if (!plan->chunked && plan->length_bytes == 0)
		return true;
	caller_watch_limit(call->front->watch, call->caller,
			   clock_now_us() + BODY_MAX_MS * US_PER_MS);
	body = g_byte_array_new();
	whole = fill_body(call, plan, body, cause);
	caller_watch_limit(call->front->watch, call->caller, DEADLINE_NONE_US);
	if (whole)
		request->body = g_byte_array_free_to_bytes(body);
	else
		g_byte_array_unref(body);
	return whole;
}

static bool fill_body(struct call *call, const struct http_body_plan *plan,
		      GByteArray *body, enum refusal_cause *cause)
{
	static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
	uint64_t max_bytes = call->front->settings->body_max_bytes;
	guint8 bytes[BODY_READ_BYTES];
	int count = 0;

	*cause = REFUSAL_BAD_REQUEST;
	if (plan->expects_continue &&
	    mg_write(call->conn, go_on, sizeof(go_on) - 1) <= 0)
		return false;
	while (plan->chunked || body->len < plan->length_bytes) {
		count = mg_read(call->conn, bytes, sizeof(bytes));
		if (count <= 0)
			break;
		g_byte_array_append(body, bytes, (guint)count);
		if (body->len > max_bytes) {
			*cause = REFUSAL_TOO_LARGE;
			return false;
		}
	}
	return plan->chunked ? count == 0 : body->len == plan->length_bytes;
}

static uint32_t admit(struct call *call, struct request *request,
		      const struct request_facts *facts)
{
	struct front_duty *front = call->front;
	struct command command = { .kind = COMMAND_ADMIT };
	struct refusal refusal = {
		.cause = REFUSAL_OVERLOAD,
		.outcome = OUTCOME_NOT_RUN,
	};
	uint64_t until_us = clock_now_us() + ANSWER_MAX_MS * US_PER_MS;

	if (facts->deadline_us < until_us)
		until_us = facts->deadline_us;
	until_us += ANSWER_MARGIN_MS * US_PER_MS;
	command.admit.facts = *facts;
	command.admit.request = request_ref(request);
	if (send_command(front->dispatch, &command) != RING_OK) {
		command_clear(&command);
		refusal.retry_at_unix_ms = retry_at_unix_ms(facts->caller_hash);
		return refuse(call, &refusal);
	}
	caller_watch_wait(front->watch, call->caller, request);
	return answer(call, request, until_us);
}

static uint32_t answer(struct call *call, struct request *request,
		       uint64_t until_us)
{
	struct answer_part part;

	if (take_part(call, request, until_us, &part) != RING_OK)
		return give_up(call, request);
	switch (part.kind) {
	case PART_REFUSED:
		return refuse(call, &part.refusal);
	case PART_HEAD:
		return write_answer(call, request, part.head, until_us);
	case PART_CHUNK:
	case PART_END:
	case PART_BROKEN:
		break;
	}
	g_warning("front: an answer without a head");
	answer_part_clear(&part);
	return give_up(call, request);
}

static enum ring_result take_part(struct call *call, struct request *request,
				  uint64_t until_us, struct answer_part *part)
{
	struct exchange_order order = { .kind = ORDER_RESUME };
	enum ring_result result = ring_pop(request->answer, part, until_us);

	if (!g_atomic_int_compare_and_exchange(&request->answer_paused, 1, 0))
		return result;
	order.resume = request_ref(request);
	if (exchange_send(call->front->exchange, &order) != RING_OK) {
		g_warning("front: cannot resume an answer");
		request_unref(request);
	}
	return result;
}

/* No answer came, or the caller is gone; nothing is known of the work. */
static uint32_t give_up(struct call *call, struct request *request)
{
	const struct refusal refusal = {
		.cause = REFUSAL_BACKEND_TIMEOUT,
		.outcome = OUTCOME_UNKNOWN,
	};

	cancel(call, request);
	set_close(call);
	return refuse(call, &refusal);
}

static void cancel(struct call *call, struct request *request)
{
	struct command command = { .kind = COMMAND_CANCEL };

	/* The watch may have said it already. */
	if (!g_atomic_int_compare_and_exchange(&request->caller_gone, 0, 1))
		return;
	ring_close(request->answer);
	command.cancel.request = request_ref(request);
	if (send_command(call->front->dispatch, &command) != RING_OK)
		command_clear(&command);
}

static uint32_t write_answer(struct call *call, struct request *request,
			     struct answer_head *head, uint64_t until_us)
{
	enum http_framing framing = framing_for(call, head);
	const char *reason =
		mg_get_response_code_text(call->conn, (int)head->status);
	GString *text = http_answer_text(head, reason, framing,
					 head->body_bytes, call->close);
	uint32_t status = head->status;
	const struct refusal broken = {
		.cause = REFUSAL_BACKEND_BROKEN,
		.outcome = OUTCOME_UNKNOWN,
	};

	answer_head_free(head);
	if (!write_body(call, request, framing, text, until_us)) {
		cancel(call, request);
		set_close(call);
		if (!call->begun)
			status = refuse(call, &broken);
	}
	g_string_free(text, TRUE);
	return status;
}

static enum http_framing framing_for(const struct call *call,
				     const struct answer_head *head)
{
	if (head->status == 204 || head->status == 304)
		return FRAMING_NONE;
	if (head->body_bytes != UINT64_MAX)
		return FRAMING_LENGTH;
	return call->head_only ? FRAMING_NONE : FRAMING_CHUNKED;
}

/*
 * Writes parts until the last one; the head goes out with the first of them.
 *
 * Return: false when the caller did not get the whole answer.
 */
static bool write_body(struct call *call, struct request *request,
		       enum http_framing framing, GString *first,
		       uint64_t until_us)
{
	struct caller_watch *watch = call->front->watch;
	struct answer_part part;
	bool written;

	for (;;) {
		if (take_part(call, request, until_us, &part) != RING_OK)
			return false;
		switch (part.kind) {
		case PART_CHUNK:
			append_chunk(first, framing, part.chunk);
			answer_part_clear(&part);
			break;
		case PART_END:
			if (framing == FRAMING_CHUNKED)
				g_string_append(first, "0\r\n\r\n");
			caller_watch_limit(watch, call->caller,
					   clock_now_us() + WRITE_MARGIN_US);
			return write_text(call, first);
		case PART_BROKEN:
		case PART_REFUSED:
		case PART_HEAD:
			answer_part_clear(&part);
			return false;
		}
		/* The last part of a short answer is there already. */
		if (ring_length(request->answer) > 0 &&
		    first->len < BODY_READ_BYTES)
			continue;
		caller_watch_limit(watch, call->caller,
				   until_us + WRITE_MARGIN_US);
		written = write_text(call, first);
		g_string_truncate(first, 0);
		if (!written)
			return false;
	}
}

static void append_chunk(GString *text, enum http_framing framing,
			 GBytes *chunk)
{
	gsize length;
	const char *data = g_bytes_get_data(chunk, &length);

	if (length == 0)
		return;
	if (framing != FRAMING_CHUNKED) {
		g_string_append_len(text, data, (gssize)length);
		return;
	}
	g_string_append_printf(text, "%zx\r\n", length);
	g_string_append_len(text, data, (gssize)length);
	g_string_append(text, "\r\n");
}

static bool write_text(struct call *call, const GString *text)
{
	if (text->len == 0)
		return true;
	call->begun = true;
	return mg_write(call->conn, text->str, text->len) == (int)text->len;
}

static uint32_t refuse(struct call *call, const struct refusal *refusal)
{
	const struct settings *settings = call->front->settings;
	uint32_t status = http_refusal_status(settings, refusal);
	char *json = refusal_to_json(refusal);
	char retry[HTTP_RETRY_TEXT_BYTES];
	GString *text = http_json_text(
		status, json, refusal->outcome,
		http_retry_after(settings, refusal, clock_now().unix_ms, retry),
		!call->head_only, call->close);

	caller_watch_limit(call->front->watch, call->caller,
			   clock_now_us() + WRITE_MARGIN_US);
	if (!write_text(call, text))
		set_close(call);
	g_string_free(text, TRUE);
	g_free(json);
	return status;
}

static uint32_t refuse_early(struct call *call, enum refusal_cause cause)
{
	const struct refusal refusal = {
		.cause = cause,
		.outcome = OUTCOME_NOT_RUN,
	};

	return refuse(call, &refusal);
}

static uint64_t retry_at_unix_ms(uint64_t salt)
{
	struct instant now = clock_now();
	uint64_t jitter_ms =
		hash_bytes(&now, sizeof(now), salt) % RETRY_JITTER_MS;

	return now.unix_ms + RETRY_MIN_MS + jitter_ms;
}
