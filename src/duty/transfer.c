#include "duty/transfer.h"

#include <string.h>

#include "codec/http_client.h"
#include "core/clock.h"
#include "duty/backend_socket.h"

#define CONNECT_TIMEOUT_MS 250
#define HTTP_MISDIRECTED 421
#define HTTP_UNAVAILABLE 503

static bool set_target(struct exchange *exchange);
static bool set_limits(struct exchange *exchange, uint64_t now_us);
static bool set_callbacks(struct exchange *exchange);
static bool set_close_callback(struct exchange *exchange);
static bool grant_expired(const struct grant_event *grant, uint64_t now_us);
static struct keep_answer describe_answer(const struct exchange *exchange,
					  enum evidence_kind kind);
static enum evidence_kind
classify_new_connection(const struct exchange *exchange, CURLcode code);
static enum evidence_kind classify_stopped(const struct exchange *exchange);
static enum evidence_kind classify_complete(const struct exchange *exchange);
static enum evidence_kind classify_timeout(const struct exchange *exchange);
static enum evidence_kind classify_disconnect(const struct exchange *exchange);
static void push_last_part(struct request *request, enum answer_part_kind kind);
static curl_socket_t on_open_socket(void *data, curlsocktype purpose,
				    struct curl_sockaddr *addr);
static void replace_connection(struct exchange *exchange, int32_t fd);
static int on_close_socket(void *data, curl_socket_t fd);
/* NOLINTNEXTLINE(readability-non-const-parameter): libcurl's type */
static int on_prereq(void *data, char *to_ip, char *own_ip, int to_port,
		     int own_port);
static size_t on_head(char *line, size_t size, size_t count, void *data);
static void read_notices(struct exchange *exchange);
static bool permit_keeping(struct exchange *exchange);
static void detect_shed(struct exchange *exchange);
static void detect_pause(struct exchange *exchange);
static size_t on_body(char *bytes, size_t size, size_t count, void *data);
static bool start_streaming(struct exchange *exchange);
static enum ring_result push_chunk(struct exchange *exchange, const void *bytes,
				   size_t length);

bool transfer_prepare(struct exchange *exchange)
{
	const struct grant_event *grant = &exchange->grant;
	struct instant now = clock_now();
	uint64_t left_ms =
		(uint64_t)clock_ms_left(grant->deadline_us, now.mono_us);
	const struct client_limits limits = {
		.deadline_unix_ms = now.unix_ms + left_ms,
		.left_ms = left_ms,
		.instance = &grant->instance,
		.customer = &grant->customer,
		.drop_credentials = grant->drop_credentials,
	};

	return http_client_set_defaults(exchange->easy) &&
	       set_target(exchange) &&
	       http_client_set_request(exchange->easy, grant->request,
				       &exchange->settings->headers, &limits,
				       &exchange->fields) &&
	       set_limits(exchange, now.mono_us) && set_callbacks(exchange);
}

bool transfer_expired(const struct grant_event *grant, uint64_t now_us)
{
	return grant_expired(grant, now_us) ||
	       g_atomic_int_get(&grant->request->recalled) != 0 ||
	       g_atomic_int_get(&grant->request->caller_gone) != 0;
}

enum evidence_kind transfer_unsent_evidence(const struct grant_event *grant)
{
	if (g_atomic_int_get(&grant->request->caller_gone) != 0)
		return EVIDENCE_CANCELLED;
	return EVIDENCE_LATE;
}

enum evidence_kind transfer_classify(const struct exchange *exchange,
				     CURLcode code)
{
	enum evidence_kind kind = classify_new_connection(exchange, code);
	struct keep_answer answer;

	if (!exchange->reused || !exchange->sent)
		return kind;
	switch (kind) {
	case EVIDENCE_RESET:
	case EVIDENCE_TRUNCATED:
		return exchange->reader.head_bytes == 0 ? EVIDENCE_STALE : kind;
	case EVIDENCE_BAD_ANSWER:
		return exchange->reader.complete ? kind : EVIDENCE_STALE;
	case EVIDENCE_OK:
	case EVIDENCE_SERVER_ERROR:
	case EVIDENCE_SHED:
		/* The bytes of another answer may be among those of this one. */
		answer = describe_answer(exchange, kind);
		return keep_has_extra_bytes(&answer) ? EVIDENCE_STALE : kind;
	case EVIDENCE_CONNECT:
	case EVIDENCE_TIMEOUT:
	case EVIDENCE_CANCELLED:
	case EVIDENCE_STALE:
	case EVIDENCE_LATE:
		break;
	}
	return kind;
}

struct keep_decision transfer_keep_decision(const struct exchange *exchange,
					    enum evidence_kind kind)
{
	const struct keep_answer answer = describe_answer(exchange, kind);
	struct keep_decision decision = { .cause = CONNECTION_DROP_CLOSED };

	if (exchange->stop == STOP_NOT_QUIET)
		return decision;
	decision.cause = CONNECTION_DROP_STALE;
	if (kind == EVIDENCE_STALE)
		return decision;
	return keep_decide(&answer, clock_now_us());
}

static struct keep_answer describe_answer(const struct exchange *exchange,
					  enum evidence_kind kind)
{
	const struct http_answer_reader *reader = &exchange->reader;
	const struct kept_connection *connection = exchange->connection;
	struct keep_answer answer = {
		.whole = kind == EVIDENCE_OK || kind == EVIDENCE_SERVER_ERROR ||
			 kind == EVIDENCE_SHED,
		.id_echoed = exchange->id_echoed,
		.chunked = reader->framing == FRAMING_CHUNKED,
		.has_length = reader->framing == FRAMING_LENGTH,
		.idle_max_s = http_answer_idle_max_s(reader),
		.draining = exchange->notice.draining,
		.head_bytes = reader->head_bytes,
		.body_bytes = exchange->body_bytes,
		.received_bytes = UINT64_MAX,
		.uses = connection->uses,
		.backend_failed = connection->failures !=
				  exchange->backend->failures,
	};
	uint64_t received_bytes = connection_received_bytes(connection);

	if (received_bytes != UINT64_MAX)
		answer.received_bytes =
			received_bytes - connection->received_bytes;
	return answer;
}

/* Classifies the end of an exchange as if its connection had been new. */
static enum evidence_kind
classify_new_connection(const struct exchange *exchange, CURLcode code)
{
	if (exchange->stop != STOP_NONE)
		return classify_stopped(exchange);
	switch (code) {
	case CURLE_OK:
		return classify_complete(exchange);
	case CURLE_OPERATION_TIMEDOUT:
		return classify_timeout(exchange);
	case CURLE_UNSUPPORTED_PROTOCOL:
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_BAD_CONTENT_ENCODING:
	case CURLE_WRITE_ERROR:
		return EVIDENCE_BAD_ANSWER;
	default:
		return classify_disconnect(exchange);
	}
}

struct answer_held *transfer_deliver(struct exchange *exchange,
				     const struct evidence *evidence)
{
	struct request *request = exchange->grant.request;
	struct answer_held *held;

	switch (evidence->kind) {
	case EVIDENCE_SERVER_ERROR:
		if (exchange->streaming || !exchange->grant.hold_server_error)
			break;
		held = g_new0(struct answer_held, 1);
		if (exchange->reader.framing != FRAMING_NONE)
			exchange->reader.head->body_bytes =
				exchange->body_bytes;
		held->head = g_steal_pointer(&exchange->reader.head);
		held->body = g_byte_array_free_to_bytes(exchange->held_body);
		exchange->held_body = NULL;
		return held;
	case EVIDENCE_OK:
		break;
	case EVIDENCE_SHED:
		if (exchange->streaming)
			push_last_part(request, PART_END);
		return NULL;
	case EVIDENCE_CONNECT:
	case EVIDENCE_TIMEOUT:
	case EVIDENCE_RESET:
	case EVIDENCE_TRUNCATED:
	case EVIDENCE_BAD_ANSWER:
	case EVIDENCE_CANCELLED:
	case EVIDENCE_STALE:
	case EVIDENCE_LATE:
		if (exchange->streaming)
			push_last_part(request, PART_BROKEN);
		return NULL;
	}
	if (!exchange->streaming && exchange->reader.framing != FRAMING_NONE)
		exchange->reader.head->body_bytes = exchange->body_bytes;
	if (exchange->streaming || start_streaming(exchange))
		push_last_part(request, PART_END);
	return NULL;
}

static bool set_target(struct exchange *exchange)
{
	const struct grant_event *grant = &exchange->grant;

	if (!http_client_set_target(exchange->easy, grant->backend,
				    grant->request->target))
		return false;
	return !exchange->keep ||
	       http_client_set_connection(exchange->easy, grant->backend,
					  exchange->connection_id,
					  &exchange->connect_to);
}

/*
 * Forbids the reuse of every connection; permit_keeping() permits it when the
 * answer's head allows that.
 */
static bool set_limits(struct exchange *exchange, uint64_t now_us)
{
	CURL *easy = exchange->easy;
	long left_ms = clock_ms_left(exchange->grant.deadline_us, now_us);

	exchange->connect_shortened = left_ms < CONNECT_TIMEOUT_MS;
	return curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, MAX(left_ms, 1L)) ==
		       CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
				(long)CONNECT_TIMEOUT_MS) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
				exchange->reused ? 0L : 1L) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L) == CURLE_OK;
}

static bool set_callbacks(struct exchange *exchange)
{
	CURL *easy = exchange->easy;

	return curl_easy_setopt(easy, CURLOPT_PRIVATE, exchange) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION,
				on_open_socket) == CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, exchange) ==
		       CURLE_OK &&
	       set_close_callback(exchange) &&
	       curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_prereq) ==
		       CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_PREREQDATA, exchange) ==
		       CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_head) ==
		       CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_HEADERDATA, exchange) ==
		       CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body) ==
		       CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_WRITEDATA, exchange) == CURLE_OK;
}

/* The table outlives libcurl's connections; an exchange may not. */
static bool set_close_callback(struct exchange *exchange)
{
	CURL *easy = exchange->easy;

	return !exchange->keep ||
	       (curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION,
				 on_close_socket) == CURLE_OK &&
		curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA,
				 exchange->connections) == CURLE_OK);
}

static bool grant_expired(const struct grant_event *grant, uint64_t now_us)
{
	return now_us >= grant->send_before_us || now_us >= grant->deadline_us;
}

static enum evidence_kind classify_stopped(const struct exchange *exchange)
{
	switch (exchange->stop) {
	case STOP_REPLAY:
		return EVIDENCE_RESET;
	case STOP_NOT_QUIET:
		return transfer_unsent_evidence(&exchange->grant);
	case STOP_FOREIGN_ANSWER:
		return EVIDENCE_STALE;
	case STOP_BAD_ANSWER:
		return EVIDENCE_BAD_ANSWER;
	case STOP_TRY_TIMEOUT:
		return exchange->sent ? EVIDENCE_TIMEOUT : EVIDENCE_CONNECT;
	case STOP_SHUTDOWN:
		return EVIDENCE_LATE;
	case STOP_EXPIRED:
		return transfer_unsent_evidence(&exchange->grant);
	case STOP_NONE:
	case STOP_CALLER_GONE:
		break;
	}
	return EVIDENCE_CANCELLED;
}

static enum evidence_kind classify_complete(const struct exchange *exchange)
{
	const struct http_answer_reader *reader = &exchange->reader;

	/* libcurl reports success for an answer that ends within its head. */
	if (!reader->complete)
		return EVIDENCE_RESET;
	if (reader->framing == FRAMING_LENGTH &&
	    exchange->body_bytes != exchange->length_bytes)
		return EVIDENCE_TRUNCATED;
	if (exchange->shed)
		return EVIDENCE_SHED;
	return exchange->status >= 500 ? EVIDENCE_SERVER_ERROR : EVIDENCE_OK;
}

static enum evidence_kind classify_timeout(const struct exchange *exchange)
{
	/* A pause of this process is no failure of the backend server. */
	if (exchange->process_paused)
		return EVIDENCE_LATE;
	if (exchange->sent)
		return EVIDENCE_TIMEOUT;
	return exchange->connect_shortened ? EVIDENCE_LATE : EVIDENCE_CONNECT;
}

static enum evidence_kind classify_disconnect(const struct exchange *exchange)
{
	if (!exchange->sent)
		return EVIDENCE_CONNECT;
	return exchange->reader.complete ? EVIDENCE_TRUNCATED : EVIDENCE_RESET;
}

static void push_last_part(struct request *request, enum answer_part_kind kind)
{
	struct answer_part part = { .kind = kind };

	/* The ring refuses a part only if the front duty has closed it. */
	if (ring_push_reserved(request->answer, &part) != RING_OK)
		g_debug("exchange: answer ring refused the last part");
}

static curl_socket_t on_open_socket(void *data, curlsocktype purpose,
				    struct curl_sockaddr *addr)
{
	struct exchange *exchange = data;
	int32_t fd;

	(void)purpose;
	(void)addr;
	/* libcurl is about to send the request again. */
	if (exchange->keep && exchange->sent) {
		exchange->stop = STOP_REPLAY;
		return CURL_SOCKET_BAD;
	}
	fd = backend_socket_open(exchange->settings->peer_bind.ip);
	if (fd < 0)
		return CURL_SOCKET_BAD;
	connections_count_opened(exchange->connections);
	if (exchange->keep)
		replace_connection(exchange, fd);
	return fd;
}

/*
 * Adds the socket that libcurl opens. libcurl also opens one in place of a kept
 * connection that it finds closed.
 */
static void replace_connection(struct exchange *exchange, int32_t fd)
{
	const struct keep_decision closed = {
		.cause = CONNECTION_DROP_CLOSED,
	};

	if (exchange->connection)
		connections_release(exchange->connections, exchange->connection,
				    &closed);
	exchange->reused = false;
	exchange->connection = connections_add(exchange->connections,
					       exchange->backend,
					       &exchange->grant.instance,
					       exchange->connection_id, fd);
}

static int on_close_socket(void *data, curl_socket_t fd)
{
	connections_on_close(data, fd);
	return 0;
}

/*
 * Called by libcurl on an established connection, right before the request is
 * sent. A second call means that libcurl is about to send the request again.
 */
/* NOLINTNEXTLINE(readability-non-const-parameter): libcurl's type */
static int on_prereq(void *data, char *to_ip, char *own_ip, int to_port,
		     int own_port)
{
	struct exchange *exchange = data;
	uint64_t now_us = clock_now_us();

	(void)to_ip;
	(void)own_ip;
	(void)to_port;
	(void)own_port;
	if (exchange->sent) {
		exchange->stop = STOP_REPLAY;
		return CURL_PREREQFUNC_ABORT;
	}
	if (transfer_expired(&exchange->grant, now_us)) {
		exchange->stop = STOP_EXPIRED;
		return CURL_PREREQFUNC_ABORT;
	}
	if (exchange->reused && !connection_is_quiet(exchange->connection)) {
		exchange->stop = STOP_NOT_QUIET;
		return CURL_PREREQFUNC_ABORT;
	}
	if (exchange->connection)
		connections_use(exchange->connections, exchange->connection,
				exchange->request_id);
	exchange->sent = true;
	exchange->sent_us = now_us;
	return CURL_PREREQFUNC_OK;
}

static size_t on_head(char *line, size_t size, size_t count, void *data)
{
	struct exchange *exchange = data;
	struct http_answer_reader *reader = &exchange->reader;
	bool before = reader->complete;
	bool valid = http_answer_read_line(reader, line, size * count);

	if (reader->complete && !before) {
		exchange->status = reader->head->status;
		exchange->length_bytes = reader->head->body_bytes;
		/* An answer to another request says nothing about this one. */
		valid = valid && http_answer_matches_request(
					 reader, exchange->grant.request);
	}
	if (reader->complete && !before)
		exchange->id_echoed =
			http_answer_echoes_id(reader, exchange->grant.request);
	/* Without the id, it may be the second answer to an earlier request. */
	if (exchange->reused &&
	    (!valid || (reader->complete && !exchange->id_echoed))) {
		exchange->stop = STOP_FOREIGN_ANSWER;
		return 0;
	}
	if (valid && reader->complete && !before) {
		read_notices(exchange);
		valid = permit_keeping(exchange);
	}
	if (valid)
		return size * count;
	exchange->stop = STOP_BAD_ANSWER;
	return 0;
}

/* Reads what the answer's head says of the backend server. */
static void read_notices(struct exchange *exchange)
{
	const struct http_answer_reader *reader = &exchange->reader;

	exchange->notice.draining =
		http_answer_has_marker(reader, &exchange->grant.drain);
	detect_shed(exchange);
	detect_pause(exchange);
	if (http_answer_load(reader, &exchange->load))
		exchange->load.received_us = clock_now_us();
	if (backend_notice_given(&exchange->notice))
		exchange_send_notice(exchange);
}

/* The bytes that follow may still forbid it, see transfer_keep_decision(). */
static bool permit_keeping(struct exchange *exchange)
{
	struct keep_answer answer;

	if (!exchange->keep || !connections_may_keep(exchange->connections))
		return true;
	answer = describe_answer(exchange, EVIDENCE_OK);
	if (!keep_head_allows(&answer))
		return true;
	return curl_easy_setopt(exchange->easy, CURLOPT_FORBID_REUSE, 0L) ==
	       CURLE_OK;
}

/*
 * A request may name one start of a backend server. Status 421 means that the
 * one named has ended and another answers at its address: the request did not
 * run, and later ones would not either, so it counts as shed and the backend
 * server as draining.
 */
static void detect_shed(struct exchange *exchange)
{
	const struct grant_event *grant = &exchange->grant;
	const struct http_answer_reader *reader = &exchange->reader;
	bool instance_named = exchange->settings->headers.instance[0] != '\0' &&
			      grant->instance.text[0] != '\0';

	exchange->shed = (grant->shed.any_status ?
				  exchange->status >= 400 :
				  exchange->status == HTTP_UNAVAILABLE) &&
			 http_answer_has_marker(reader, &grant->shed);
	if (exchange->status != HTTP_MISDIRECTED || !instance_named)
		return;
	exchange->shed = true;
	exchange->notice.draining = true;
}

static void detect_pause(struct exchange *exchange)
{
	uint64_t retry_after_us;

	if (exchange->status != HTTP_UNAVAILABLE)
		return;
	retry_after_us = http_answer_retry_after_us(exchange->reader.head);
	if (retry_after_us > 0)
		exchange->notice.pause_until_us =
			clock_now_us() + retry_after_us;
}

static size_t on_body(char *bytes, size_t size, size_t count, void *data)
{
	struct exchange *exchange = data;
	size_t length = size * count;
	uint64_t hold_max = exchange->settings->hold_max_bytes;
	enum ring_result result;

	if (!exchange->reader.complete) {
		exchange->stop = STOP_BAD_ANSWER;
		return 0;
	}
	if (!exchange->streaming && exchange->body_bytes + length <= hold_max) {
		g_byte_array_append(exchange->held_body, (const guint8 *)bytes,
				    (guint)length);
		exchange->body_bytes += length;
		return length;
	}
	if (!exchange->streaming && !start_streaming(exchange)) {
		exchange->stop = STOP_CALLER_GONE;
		return 0;
	}
	result = push_chunk(exchange, bytes, length);
	if (result == RING_FULL)
		return CURL_WRITEFUNC_PAUSE;
	if (result != RING_OK) {
		exchange->stop = STOP_CALLER_GONE;
		return 0;
	}
	exchange->body_bytes += length;
	return length;
}

/* Pushes the head and the held body to the answer ring, empty until then. */
static bool start_streaming(struct exchange *exchange)
{
	struct request *request = exchange->grant.request;
	struct answer_part head = { .kind = PART_HEAD };
	struct answer_part body = { .kind = PART_CHUNK };

	head.head = exchange->reader.head;
	if (ring_push(request->answer, &head) != RING_OK)
		return false;
	exchange->reader.head = NULL;
	exchange->streaming = true;
	if (exchange->held_body->len == 0)
		return true;
	body.chunk = g_byte_array_free_to_bytes(exchange->held_body);
	exchange->held_body = g_byte_array_new();
	if (ring_push(request->answer, &body) == RING_OK)
		return true;
	answer_part_clear(&body);
	return false;
}

/*
 * A full ring is tried again after answer_paused is set: the front duty may
 * have emptied it before and would then send no EXCHANGE_OP_RESUME.
 */
static enum ring_result push_chunk(struct exchange *exchange, const void *bytes,
				   size_t length)
{
	struct request *request = exchange->grant.request;
	struct answer_part part = { .kind = PART_CHUNK };
	enum ring_result result;

	part.chunk = g_bytes_new(bytes, length);
	result = ring_push(request->answer, &part);
	if (result == RING_FULL) {
		g_atomic_int_set(&request->answer_paused, 1);
		result = ring_push(request->answer, &part);
	}
	if (result != RING_OK)
		answer_part_clear(&part);
	return result;
}
