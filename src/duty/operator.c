#include "duty/operator.h"

#include <stdlib.h>
#include <string.h>

#include "codec/report_text.h"
#include "core/clock.h"
#include "core/report.h"
#include "duty/web_server.h"
#include "ring/ring.h"

#define HTTP_THREADS "8"
#define REQUEST_TIMEOUT_MS "5000"
/* Threads that may wait for audit records at once; the others stay free. */
#define FOLLOWERS_MAX 4
#define FOLLOW_WAIT_MAX_MS 30000
#define FOLLOW_POLL_US (500 * US_PER_MS)
#define QUERY_TIMEOUT_US (1 * US_PER_S)
#define NUMBER_DIGITS_MAX 15

/**
 * struct operator_duty - state of the operator duty
 * @dispatch: ring of struct message to the dispatch duty, not owned
 * @closed: always empty; closed at the stop, to wake waiting threads
 * @followers: number of threads that wait for audit records; atomic
 * @server: HTTP server, which owns the threads
 */
struct operator_duty {
	struct ring *dispatch;
	struct ring *closed;
	gint followers;
	struct web_server *server;
};

/**
 * enum operator_path - path of a request; PATH_UNKNOWN is any other path
 */
enum operator_path {
	PATH_STATUS,
	PATH_AUDIT,
	PATH_METRICS,
	PATH_READY,
	PATH_LIVE,
	PATH_UNKNOWN,
};

static const char *const path_texts[] = {
	[PATH_STATUS] = "/status",   [PATH_AUDIT] = "/audit",
	[PATH_METRICS] = "/metrics", [PATH_READY] = "/ready",
	[PATH_LIVE] = "/live",
};

/**
 * struct operator_answer - HTTP answer
 * @status: HTTP status
 * @type: media type
 * @body: owned; NULL for a JSON object whose "error" is the text of @status
 */
struct operator_answer {
	int32_t status;
	const char *type;
	char *body;
};

static int begin_request(struct mg_connection *connection);
static int log_message(const struct mg_connection *connection,
		       const char *message);
static enum operator_path find_path(const char *uri);
static void answer_path(struct operator_duty *duty, enum operator_path path,
			const struct mg_request_info *info,
			struct operator_answer *out);
static void answer_status(struct operator_duty *duty,
			  const struct mg_request_info *info,
			  struct operator_answer *out);
static void answer_audit(struct operator_duty *duty,
			 const struct mg_request_info *info,
			 struct operator_answer *out);
static bool follow_audit(struct operator_duty *duty, struct query *query,
			 struct query_reply *reply, uint64_t deadline_us);
static void answer_metrics(struct operator_duty *duty,
			   struct operator_answer *out);
static void answer_ready(struct operator_duty *duty, bool live,
			 struct operator_answer *out);
static bool query_dispatch(struct operator_duty *duty, struct query *query,
			   struct query_reply *reply);
static bool parse_number(const struct mg_request_info *info, const char *key,
			 uint64_t max, uint64_t *number);
static int send_answer(struct mg_connection *connection,
		       const struct operator_answer *answer);
static const char *status_text(int32_t status);

struct operator_duty *operator_start(const struct settings *settings,
				     struct ring *dispatch, GError **error)
{
	struct operator_duty *duty = g_new0(struct operator_duty, 1);
	struct mg_callbacks callbacks = { .begin_request = begin_request,
					  .log_message = log_message };
	char listen[ADDR_TEXT_BYTES];
	struct web_server_options options = {
		.name = "operators",
		.listen = addr_format(settings->operator_listen, listen),
		.wake = settings->operator_listen,
		.threads = HTTP_THREADS,
		.request_timeout_ms = REQUEST_TIMEOUT_MS,
		.callbacks = &callbacks,
		.data = duty,
	};

	duty->dispatch = dispatch;
	duty->closed = ring_new(sizeof(uint32_t), 1, 0);
	duty->server = web_server_start(&options, error);
	if (duty->server)
		return duty;
	ring_free(duty->closed);
	g_free(duty);
	return NULL;
}

bool operator_stop(struct operator_duty *duty, uint64_t deadline_us)
{
	if (!duty)
		return true;
	/* Wakes the threads that wait for audit records. */
	ring_close(duty->closed);
	if (!web_server_stop(duty->server, deadline_us))
		return false;
	ring_free(duty->closed);
	g_free(duty);
	return true;
}

static int begin_request(struct mg_connection *connection)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	struct operator_duty *duty = info->user_data;
	struct operator_answer answer = { .status = 405 };
	int status;

	if (strcmp(info->request_method, "GET") == 0)
		answer_path(duty, find_path(info->local_uri), info, &answer);
	status = send_answer(connection, &answer);
	g_free(answer.body);
	return status;
}

static int log_message(const struct mg_connection *connection,
		       const char *message)
{
	(void)connection;
	g_warning("operators: %s", message);
	return 1;
}

static enum operator_path find_path(const char *uri)
{
	enum operator_path path;

	for (path = PATH_STATUS; path < PATH_UNKNOWN; path++) {
		if (uri && strcmp(uri, path_texts[path]) == 0)
			return path;
	}
	return PATH_UNKNOWN;
}

static void answer_path(struct operator_duty *duty, enum operator_path path,
			const struct mg_request_info *info,
			struct operator_answer *out)
{
	switch (path) {
	case PATH_STATUS:
		answer_status(duty, info, out);
		break;
	case PATH_AUDIT:
		answer_audit(duty, info, out);
		break;
	case PATH_METRICS:
		answer_metrics(duty, out);
		break;
	case PATH_READY:
		answer_ready(duty, false, out);
		break;
	case PATH_LIVE:
		answer_ready(duty, true, out);
		break;
	case PATH_UNKNOWN:
		out->status = 404;
		break;
	}
}

static void answer_status(struct operator_duty *duty,
			  const struct mg_request_info *info,
			  struct operator_answer *out)
{
	struct query query = { .kind = QUERY_STATUS };
	struct query_reply reply;
	char service[NAME_BYTES_MAX] = "";
	const char *text = info->query_string ? info->query_string : "";
	int found = mg_get_var(text, strlen(text), "service", service,
			       sizeof(service));

	out->status = 400;
	if (found == -2 || (found >= 0 && !name_set(&query.service, service)))
		return;
	out->status = 503;
	if (!query_dispatch(duty, &query, &reply))
		return;
	out->status = 404;
	if (found < 0 || reply.status->service_count > 0) {
		out->status = 200;
		out->type = "application/json";
		out->body = status_to_json(reply.status);
	}
	query_reply_clear(&reply);
}

static void answer_audit(struct operator_duty *duty,
			 const struct mg_request_info *info,
			 struct operator_answer *out)
{
	struct query query = { .kind = QUERY_AUDIT };
	struct query_reply reply;
	uint64_t wait_ms = 0;
	uint64_t deadline_us;
	bool answered;

	out->status = 400;
	if (!parse_number(info, "since", UINT64_MAX, &query.since_sequence) ||
	    !parse_number(info, "wait_ms", FOLLOW_WAIT_MAX_MS, &wait_ms))
		return;
	out->status = 503;
	deadline_us = clock_now_us() + wait_ms * US_PER_MS;
	if (wait_ms == 0)
		answered = query_dispatch(duty, &query, &reply);
	else
		answered = follow_audit(duty, &query, &reply, deadline_us);
	if (!answered)
		return;
	out->status = 200;
	out->type = "application/x-ndjson";
	out->body = audit_to_json(reply.records);
	query_reply_clear(&reply);
}

/* Repeats the query until it has records, @deadline_us, or operator_stop(). */
static bool follow_audit(struct operator_duty *duty, struct query *query,
			 struct query_reply *reply, uint64_t deadline_us)
{
	bool answered = false;
	uint32_t unused;
	uint64_t poll_at_us;

	if (g_atomic_int_add(&duty->followers, 1) >= FOLLOWERS_MAX) {
		g_atomic_int_add(&duty->followers, -1);
		return false;
	}
	for (;;) {
		answered = query_dispatch(duty, query, reply);
		if (!answered || reply->records->len > 0 ||
		    clock_now_us() >= deadline_us)
			break;
		poll_at_us = MIN(clock_now_us() + FOLLOW_POLL_US, deadline_us);
		if (ring_pop(duty->closed, &unused, poll_at_us) == RING_CLOSED)
			break;
		query_reply_clear(reply);
	}
	g_atomic_int_add(&duty->followers, -1);
	return answered;
}

static void answer_metrics(struct operator_duty *duty,
			   struct operator_answer *out)
{
	struct query query = { .kind = QUERY_METRICS };
	struct query_reply reply;

	out->status = 503;
	if (!query_dispatch(duty, &query, &reply))
		return;
	out->status = 200;
	out->type = "text/plain; version=0.0.4; charset=utf-8";
	out->body = metrics_to_text(reply.metrics);
	query_reply_clear(&reply);
}

/*
 * The instance is live if the dispatch duty replies, and ready if callers may
 * also send requests to it.
 */
static void answer_ready(struct operator_duty *duty, bool live,
			 struct operator_answer *out)
{
	struct query query = { .kind = QUERY_READY };
	struct query_reply reply;

	out->status = 503;
	if (!query_dispatch(duty, &query, &reply))
		return;
	if (live || reply.ready.ready)
		out->status = 200;
	out->type = "application/json";
	out->body = ready_to_json(&reply.ready);
	query_reply_clear(&reply);
}

static bool query_dispatch(struct operator_duty *duty, struct query *query,
			   struct query_reply *reply)
{
	uint64_t deadline_us = clock_now_us() + QUERY_TIMEOUT_US;

	return run_query(duty->dispatch, query, reply, deadline_us) == RING_OK;
}

/*
 * Reads a query parameter; an absent one leaves @number unchanged.
 *
 * Return: false if its value is not a decimal number from 0 to @max.
 */
static bool parse_number(const struct mg_request_info *info, const char *key,
			 uint64_t max, uint64_t *number)
{
	const char *query = info->query_string ? info->query_string : "";
	char text[NUMBER_DIGITS_MAX + 1];
	int found = mg_get_var(query, strlen(query), key, text, sizeof(text));

	if (found == -1)
		return true;
	if (found < 0)
		return false;
	return g_ascii_string_to_unsigned(text, 10, 0, max, number, NULL) != 0;
}

static int send_answer(struct mg_connection *connection,
		       const struct operator_answer *answer)
{
	const char *type = answer->body ? answer->type : "application/json";
	char *body = answer->body ?
			     g_strdup(answer->body) :
			     g_strdup_printf("{\"error\":\"%s\"}",
					     status_text(answer->status));
	size_t body_bytes = strlen(body);
	int sent;

	sent = mg_printf(connection,
			 "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
			 "Content-Length: %zu\r\nCache-Control: no-store\r\n"
			 "Connection: close\r\n\r\n",
			 answer->status, status_text(answer->status), type,
			 body_bytes);
	if (sent > 0)
		sent = mg_write(connection, body, body_bytes);
	g_free(body);
	/*
	 * Non-zero tells civetweb that the request was handled; 499 stands for
	 * a client that may have closed the connection.
	 */
	return sent < 0 ? 499 : answer->status;
}

static const char *status_text(int32_t status)
{
	switch (status) {
	case 200:
		return "ok";
	case 400:
		return "bad_request";
	case 404:
		return "not_found";
	case 405:
		return "method_not_allowed";
	default:
		return "busy";
	}
}
