#include "duty/exchange.h"

#include <pthread.h>
#include <string.h>

#include "core/clock.h"
#include "duty/transfer.h"

#define OPS_CAPACITY 1024
#define OPS_RESERVED_MIN 256
/* One cancellation, one recall and one resumption for each request. */
#define OPS_RESERVED_PER_REQUEST 3
/* Idle libcurl handles that are kept for reuse. */
#define SPARE_HANDLES_MAX 64
/* Interval at which commands that found the dispatch ring full are retried. */
#define BACKLOG_RETRY_MS 1
#define WAIT_MAX_MS 1000
/* An event loop pass this much longer than planned shows a paused process. */
#define PROCESS_PAUSE_MIN_US (500 * US_PER_MS)
/* More than are ever kept: which one is closed is not left to libcurl. */
#define LIBCURL_CONNECTIONS_MAX 8192L
#define REMOVE_UNUSED_INTERVAL_US (10 * US_PER_S)

/**
 * struct exchange_duty - state of the exchange duty
 * @settings: not owned
 * @dispatch: ring of struct message, not owned, gets the ends of exchanges and
 *	backend notices
 * @ops: ring of struct exchange_op, owned
 * @multi: libcurl's handle of all transfers, owned
 * @connections: counts of connections by backend server, owned
 * @by_key: running exchanges by id
 * @by_request: running exchanges by the address of their request
 * @waiting: array of struct grant_event that wait for a connection
 * @backlog: array of struct command that the dispatch ring had no room for
 * @spare: libcurl handles kept for reuse, owned
 * @remove_unused_due_us: time when unused counts are removed next
 * @idle_until_us: time when the idle time of a kept connection ends next
 * @thread: runs the transfers
 */
struct exchange_duty {
	const struct settings *settings;
	struct ring *dispatch;
	struct ring *ops;
	CURLM *multi;
	struct connections *connections;
	GHashTable *by_key;
	GHashTable *by_request;
	GArray *waiting;
	GArray *backlog;
	GPtrArray *spare;
	uint64_t remove_unused_due_us;
	uint64_t idle_until_us;
	pthread_t thread;
};

static bool set_connection_limits(const struct exchange_duty *duty);
static void *exchange_thread(void *data);
static bool run_once(struct exchange_duty *duty);
static bool handle_ops(struct exchange_duty *duty);
static void handle_grant(struct exchange_duty *duty, struct grant_event *grant);
static void handle_cancel(struct exchange_duty *duty,
			  const struct cancel_event *cancel);
static void drop_waiting(struct exchange_duty *duty, uint64_t key,
			 enum evidence_kind kind);
static void handle_resume(struct exchange_duty *duty, struct request *request);
static bool start_exchange(struct exchange_duty *duty,
			   const struct grant_event *grant);
static bool choose_connection(struct exchange *exchange,
			      const struct grant_event *grant);
static CURL *get_easy_handle(struct exchange_duty *duty);
static void release_easy_handle(struct exchange_duty *duty, CURL *easy);
static void start_waiting(struct exchange_duty *duty);
static void finish_unsent(struct exchange_duty *duty, struct grant_event *grant,
			  enum evidence_kind kind);
static void collect_done(struct exchange_duty *duty);
static void end_exchange(struct exchange *exchange, CURLcode code);
static void release_connection(struct exchange *exchange,
			       enum evidence_kind kind);
static void free_exchange(struct exchange *exchange);
static void send_finish(struct exchange_duty *duty,
			const struct finish_command *finish);
static void queue_command(struct exchange_duty *duty,
			  const struct command *command);
static void flush_backlog(struct exchange_duty *duty);
static void mark_process_paused(struct exchange_duty *duty);
static int32_t poll_timeout_ms(const struct exchange_duty *duty);
static void cancel_all_and_free(struct exchange_duty *duty);
static void op_clear(struct exchange_op *op);
static uint64_t exchange_key(struct exchange_id id);

struct exchange_duty *exchange_start(const struct settings *settings,
				     struct ring *dispatch, GError **error)
{
	struct exchange_duty *duty;
	uint32_t reserved_ops =
		MAX(OPS_RESERVED_MIN,
		    OPS_RESERVED_PER_REQUEST * settings->requests_max);

	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
		g_set_error_literal(error, DUTY_ERROR, DUTY_ERROR_LIBRARY,
				    "exchange: cannot initialize libcurl");
		return NULL;
	}
	duty = g_new0(struct exchange_duty, 1);
	duty->settings = settings;
	duty->dispatch = dispatch;
	duty->ops = ring_new(sizeof(struct exchange_op),
			     OPS_CAPACITY + reserved_ops, reserved_ops);
	duty->connections = connections_new(settings->backend_keep_max);
	duty->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	duty->by_request = g_hash_table_new(NULL, NULL);
	duty->waiting = g_array_new(FALSE, FALSE, sizeof(struct grant_event));
	duty->backlog = g_array_new(FALSE, FALSE, sizeof(struct command));
	duty->spare = g_ptr_array_new();
	duty->multi = curl_multi_init();
	if (!duty->multi)
		g_error("exchange: out of memory");
	if (!set_connection_limits(duty))
		g_error("exchange: libcurl refuses its connection limits");
	if (pthread_create(&duty->thread, NULL, exchange_thread, duty) != 0) {
		g_set_error_literal(error, DUTY_ERROR, DUTY_ERROR_THREAD,
				    "exchange: cannot create its thread");
		ring_close(duty->ops);
		cancel_all_and_free(duty);
		return NULL;
	}
	return duty;
}

/* Without kept connections the defaults of libcurl have no effect. */
static bool set_connection_limits(const struct exchange_duty *duty)
{
	return duty->settings->backend_keep_max == 0 ||
	       curl_multi_setopt(duty->multi, CURLMOPT_MAXCONNECTS,
				 LIBCURL_CONNECTIONS_MAX) == CURLM_OK;
}

void exchange_counters(const struct exchange_duty *duty,
		       struct connection_counters *out)
{
	connections_counters(duty->connections, out);
}

void exchange_stop(struct exchange_duty *duty)
{
	if (!duty)
		return;
	ring_close(duty->ops);
	if (curl_multi_wakeup(duty->multi) != CURLM_OK)
		g_warning("exchange: cannot wake its thread");
	pthread_join(duty->thread, NULL);
	cancel_all_and_free(duty);
}

enum ring_result exchange_send(struct exchange_duty *duty,
			       const struct exchange_op *op)
{
	enum ring_result result = RING_OK;

	switch (op->kind) {
	case EXCHANGE_OP_GRANT:
		result = ring_push(duty->ops, op);
		break;
	case EXCHANGE_OP_CANCEL:
	case EXCHANGE_OP_RESUME:
		result = ring_push_reserved(duty->ops, op);
		break;
	}
	if (result == RING_OK && curl_multi_wakeup(duty->multi) != CURLM_OK)
		g_warning("exchange: cannot wake its thread");
	return result;
}

static void *exchange_thread(void *data)
{
	struct exchange_duty *duty = data;
	struct curl_waitfd *idle;
	uint32_t idle_count;
	uint64_t until_us;
	int32_t timeout_ms;

	for (;;) {
		until_us = clock_now_us() + PROCESS_PAUSE_MIN_US;
		if (!run_once(duty))
			break;
		timeout_ms = poll_timeout_ms(duty);
		until_us += (uint64_t)timeout_ms * US_PER_MS;
		idle = connections_list_idle(duty->connections, &idle_count);
		if (curl_multi_poll(duty->multi, idle, idle_count, timeout_ms,
				    NULL) != CURLM_OK)
			g_warning("exchange: curl_multi_poll failed");
		connections_drop_readable(duty->connections);
		if (clock_now_us() > until_us)
			mark_process_paused(duty);
	}
	return NULL;
}

/* Return: false once the duty must stop. */
static bool run_once(struct exchange_duty *duty)
{
	int running;
	uint64_t now_us;

	if (!handle_ops(duty))
		return false;
	if (curl_multi_perform(duty->multi, &running) != CURLM_OK)
		g_warning("exchange: curl_multi_perform failed");
	collect_done(duty);
	start_waiting(duty);
	flush_backlog(duty);
	now_us = clock_now_us();
	duty->idle_until_us =
		connections_drop_expired(duty->connections, now_us);
	if (now_us < duty->remove_unused_due_us)
		return true;
	connections_remove_unused(duty->connections);
	duty->remove_unused_due_us = now_us + REMOVE_UNUSED_INTERVAL_US;
	return true;
}

/* Return: false once the ring is closed. */
static bool handle_ops(struct exchange_duty *duty)
{
	struct exchange_op op;
	enum ring_result result;

	while ((result = ring_pop(duty->ops, &op, 0)) == RING_OK) {
		switch (op.kind) {
		case EXCHANGE_OP_GRANT:
			handle_grant(duty, &op.grant);
			break;
		case EXCHANGE_OP_CANCEL:
			handle_cancel(duty, &op.cancel);
			break;
		case EXCHANGE_OP_RESUME:
			handle_resume(duty, op.resume);
			break;
		}
	}
	return result != RING_CLOSED;
}

static void handle_grant(struct exchange_duty *duty, struct grant_event *grant)
{
	if (!start_exchange(duty, grant))
		g_array_append_vals(duty->waiting, grant, 1);
}

static void handle_cancel(struct exchange_duty *duty,
			  const struct cancel_event *cancel)
{
	uint64_t key = exchange_key(cancel->exchange);
	struct exchange *exchange = g_hash_table_lookup(duty->by_key, &key);

	switch (cancel->cause) {
	case CANCEL_CALLER_GONE:
		if (exchange) {
			exchange->stop = STOP_CALLER_GONE;
			end_exchange(exchange, CURLE_ABORTED_BY_CALLBACK);
			break;
		}
		drop_waiting(duty, key, EVIDENCE_CANCELLED);
		break;
	case CANCEL_TRY_TIMEOUT:
	case CANCEL_STOPPING:
		/* An answer that the caller is receiving continues. */
		if (exchange && !exchange->streaming) {
			exchange->stop = cancel->cause == CANCEL_TRY_TIMEOUT ?
						 STOP_TRY_TIMEOUT :
						 STOP_SHUTDOWN;
			end_exchange(exchange, CURLE_ABORTED_BY_CALLBACK);
		} else if (!exchange) {
			drop_waiting(duty, key, EVIDENCE_LATE);
		}
		break;
	case CANCEL_RECALLED:
		if (exchange && !exchange->sent) {
			exchange->stop = STOP_EXPIRED;
			end_exchange(exchange, CURLE_ABORTED_BY_CALLBACK);
		} else if (!exchange) {
			drop_waiting(duty, key, EVIDENCE_LATE);
		}
		break;
	}
}

/* Finishes an exchange that still waits for a connection. */
static void drop_waiting(struct exchange_duty *duty, uint64_t key,
			 enum evidence_kind kind)
{
	struct grant_event grant;
	guint i;

	for (i = 0; i < duty->waiting->len; i++) {
		grant = g_array_index(duty->waiting, struct grant_event, i);
		if (exchange_key(grant.exchange) != key)
			continue;
		g_array_remove_index(duty->waiting, i);
		finish_unsent(duty, &grant, kind);
		return;
	}
}

static void handle_resume(struct exchange_duty *duty, struct request *request)
{
	struct exchange *exchange =
		g_hash_table_lookup(duty->by_request, request);
	CURLcode code = CURLE_OK;

	/* curl_easy_pause() may call on_body() before it returns. */
	if (exchange)
		code = curl_easy_pause(exchange->easy, CURLPAUSE_CONT);
	if (code != CURLE_OK)
		end_exchange(exchange, code);
	request_unref(request);
}

/*
 * Starts an exchange, or finishes it at once if it must not be sent any more.
 *
 * Return: false when it has to wait for a connection.
 */
static bool start_exchange(struct exchange_duty *duty,
			   const struct grant_event *grant)
{
	struct grant_event unsent = *grant;
	struct backend_connections *backend;
	struct exchange *exchange;

	if (transfer_expired(grant, clock_now_us())) {
		finish_unsent(duty, &unsent, transfer_unsent_evidence(grant));
		return true;
	}
	backend = connections_get_backend(duty->connections, grant->backend);
	exchange = g_new0(struct exchange, 1);
	exchange->duty = duty;
	exchange->connections = duty->connections;
	exchange->backend = backend;
	if (!choose_connection(exchange, grant)) {
		g_free(exchange);
		return false;
	}
	exchange->settings = duty->settings;
	exchange->grant = *grant;
	exchange->key = exchange_key(grant->exchange);
	exchange->held_body = g_byte_array_new();
	exchange->easy = get_easy_handle(duty);
	http_answer_reader_init(&exchange->reader, grant->request->method,
				duty->settings);
	g_hash_table_insert(duty->by_key, &exchange->key, exchange);
	g_hash_table_insert(duty->by_request, grant->request, exchange);
	if (!transfer_prepare(exchange) ||
	    curl_multi_add_handle(duty->multi, exchange->easy) != CURLM_OK) {
		g_warning("exchange: libcurl cannot start a request");
		exchange->stop = STOP_EXPIRED;
		end_exchange(exchange, CURLE_ABORTED_BY_CALLBACK);
	}
	return true;
}

/* Return: false when the exchange has to wait for a connection. */
static bool choose_connection(struct exchange *exchange,
			      const struct grant_event *grant)
{
	struct connections *connections = exchange->connections;
	const struct settings *settings = exchange->duty->settings;
	const struct request *request = grant->request;
	const char *id = request_field(request, settings->headers.request_id);
	const struct keep_request wanted = {
		.keep_max = settings->backend_keep_max,
		.may_repeat = grant->keep_connection,
		.id = id,
		.has_host = request_field(request, "Host") != NULL,
	};

	connections_drop_other_starts(connections, exchange->backend,
				      &grant->instance);
	exchange->keep = keep_wanted(&wanted);
	if (exchange->keep)
		exchange->request_id = hash_bytes(id, strlen(id), 0);
	if (exchange->keep && grant->use_kept)
		exchange->connection =
			connections_take(connections, exchange->backend,
					 exchange->request_id, clock_now_us());
	if (exchange->connection) {
		exchange->reused = true;
		exchange->connection_id = exchange->connection->id;
		return true;
	}
	exchange->connection_id = connections_next_id(connections);
	return connections_begin(connections, exchange->backend,
				 grant->connections_max);
}

static CURL *get_easy_handle(struct exchange_duty *duty)
{
	CURL *easy;

	if (duty->spare->len > 0)
		return g_ptr_array_remove_index_fast(duty->spare,
						     duty->spare->len - 1);
	easy = curl_easy_init();
	if (!easy)
		g_error("exchange: out of memory");
	return easy;
}

static void release_easy_handle(struct exchange_duty *duty, CURL *easy)
{
	if (duty->spare->len >= SPARE_HANDLES_MAX) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	g_ptr_array_add(duty->spare, easy);
}

/* Starts exchanges that can connect now and finishes the expired ones. */
static void start_waiting(struct exchange_duty *duty)
{
	struct grant_event grant;
	guint i = 0;

	while (i < duty->waiting->len) {
		grant = g_array_index(duty->waiting, struct grant_event, i);
		if (start_exchange(duty, &grant))
			g_array_remove_index(duty->waiting, i);
		else
			i++;
	}
}

/* Finishes an exchange of which no byte was sent; takes the grant over. */
static void finish_unsent(struct exchange_duty *duty, struct grant_event *grant,
			  enum evidence_kind kind)
{
	struct finish_command finish = {
		.exchange = grant->exchange,
		.backend = grant->backend,
		.evidence = { .kind = kind },
	};

	send_finish(duty, &finish);
	request_unref(grant->request);
}

static void collect_done(struct exchange_duty *duty)
{
	struct exchange *exchange;
	CURLMsg *message;
	CURLcode code;
	char *private;
	int remaining;

	while ((message = curl_multi_info_read(duty->multi, &remaining))) {
		if (message->msg != CURLMSG_DONE)
			continue;
		code = message->data.result;
		if (curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				      &private) != CURLE_OK)
			g_error("exchange: a handle has no private pointer");
		exchange = (struct exchange *)(void *)private;
		end_exchange(exchange, code);
	}
}

/* Sends the last part to the caller and the evidence to the dispatch duty. */
static void end_exchange(struct exchange *exchange, CURLcode code)
{
	struct exchange_duty *duty = exchange->duty;
	uint64_t now_us = clock_now_us();
	struct finish_command finish = {
		.exchange = exchange->grant.exchange,
		.backend = exchange->grant.backend,
		.evidence = {
			.request_sent = exchange->sent,
			.notice = exchange->notice,
			.load = exchange->load,
			.status = exchange->status,
		},
	};

	if (exchange->sent) {
		finish.evidence.service_us = now_us - exchange->sent_us;
		finish.evidence.sent_us = exchange->sent_us;
	}
	/* Removing an unfinished transfer closes its connection. */
	curl_multi_remove_handle(duty->multi, exchange->easy);
	finish.evidence.kind = transfer_classify(exchange, code);
	release_connection(exchange, finish.evidence.kind);
	finish.held = transfer_deliver(exchange, &finish.evidence);
	finish.evidence.head_given = exchange->streaming;
	send_finish(duty, &finish);
	free_exchange(exchange);
}

static void release_connection(struct exchange *exchange,
			       enum evidence_kind kind)
{
	struct keep_decision decision;

	if (kind == EVIDENCE_CONNECT || kind == EVIDENCE_TIMEOUT ||
	    kind == EVIDENCE_STALE)
		connections_backend_failed(exchange->connections,
					   exchange->backend);
	if (!exchange->connection)
		return;
	decision = transfer_keep_decision(exchange, kind);
	connections_release(exchange->connections, exchange->connection,
			    &decision);
	exchange->connection = NULL;
}

static void free_exchange(struct exchange *exchange)
{
	struct exchange_duty *duty = exchange->duty;

	g_hash_table_remove(duty->by_key, &exchange->key);
	g_hash_table_remove(duty->by_request, exchange->grant.request);
	connections_end(exchange->backend);
	release_easy_handle(duty, exchange->easy);
	curl_slist_free_all(exchange->fields);
	curl_slist_free_all(exchange->connect_to);
	http_answer_reader_clear(&exchange->reader);
	if (exchange->held_body)
		g_byte_array_unref(exchange->held_body);
	request_unref(exchange->grant.request);
	g_free(exchange);
}

static void send_finish(struct exchange_duty *duty,
			const struct finish_command *finish)
{
	struct command command = { .kind = COMMAND_FINISH };

	command.finish = *finish;
	queue_command(duty, &command);
}

void exchange_send_notice(struct exchange *exchange)
{
	const struct command command = {
		.kind = COMMAND_OBSERVE_ANSWER_NOTICE,
		.observe_answer_notice = {
			.exchange = exchange->grant.exchange,
			.notice = exchange->notice,
		},
	};

	queue_command(exchange->duty, &command);
}

static void queue_command(struct exchange_duty *duty,
			  const struct command *command)
{
	g_array_append_vals(duty->backlog, command, 1);
	flush_backlog(duty);
}

/* Sends the queued commands in order; those that find no room stay queued. */
static void flush_backlog(struct exchange_duty *duty)
{
	enum ring_result result = RING_OK;
	guint sent = 0;

	while (sent < duty->backlog->len && result != RING_FULL) {
		result = send_command(duty->dispatch,
				      &g_array_index(duty->backlog,
						     struct command, sent));
		if (result == RING_CLOSED)
			command_clear(&g_array_index(duty->backlog,
						     struct command, sent));
		if (result != RING_FULL)
			sent++;
	}
	if (sent > 0)
		g_array_remove_range(duty->backlog, 0, sent);
}

static void mark_process_paused(struct exchange_duty *duty)
{
	GHashTableIter iter;
	gpointer exchange;

	g_hash_table_iter_init(&iter, duty->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &exchange))
		((struct exchange *)exchange)->process_paused = true;
}

/* Upper limit of the wait; libcurl shortens it to its own time-outs. */
static int32_t poll_timeout_ms(const struct exchange_duty *duty)
{
	uint64_t now_us = clock_now_us();
	int32_t shortest_ms = WAIT_MAX_MS;
	const struct grant_event *grant;
	int32_t left_ms;
	guint i;

	if (duty->backlog->len > 0)
		return BACKLOG_RETRY_MS;
	/* An earlier wake-up would find the time not over yet. */
	if (duty->idle_until_us != UINT64_MAX)
		shortest_ms =
			MIN(shortest_ms,
			    clock_ms_left(duty->idle_until_us, now_us) + 1);
	for (i = 0; i < duty->waiting->len; i++) {
		grant = &g_array_index(duty->waiting, struct grant_event, i);
		left_ms = clock_ms_left(
			MIN(grant->deadline_us, grant->send_before_us), now_us);
		shortest_ms = MIN(shortest_ms, left_ms);
	}
	return shortest_ms;
}

/* Cancels all exchanges and frees the duty, whose thread has ended. */
static void cancel_all_and_free(struct exchange_duty *duty)
{
	struct exchange_op op;
	struct grant_event grant;
	GHashTableIter iter;
	gpointer exchange;
	guint i;

	while (ring_pop(duty->ops, &op, 0) == RING_OK)
		op_clear(&op);
	g_hash_table_iter_init(&iter, duty->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &exchange)) {
		((struct exchange *)exchange)->stop = STOP_CALLER_GONE;
		end_exchange(exchange, CURLE_ABORTED_BY_CALLBACK);
		g_hash_table_iter_init(&iter, duty->by_key);
	}
	for (i = 0; i < duty->waiting->len; i++) {
		grant = g_array_index(duty->waiting, struct grant_event, i);
		finish_unsent(duty, &grant, EVIDENCE_CANCELLED);
	}
	for (i = 0; i < duty->backlog->len; i++)
		command_clear(&g_array_index(duty->backlog, struct command, i));
	for (i = 0; i < duty->spare->len; i++)
		curl_easy_cleanup(g_ptr_array_index(duty->spare, i));
	/* Closes the connections, so their counts are freed afterwards. */
	curl_multi_cleanup(duty->multi);
	g_ptr_array_unref(duty->spare);
	g_array_unref(duty->backlog);
	g_array_unref(duty->waiting);
	g_hash_table_unref(duty->by_request);
	g_hash_table_unref(duty->by_key);
	connections_free(duty->connections);
	ring_free(duty->ops);
	curl_global_cleanup();
	g_free(duty);
}

static void op_clear(struct exchange_op *op)
{
	switch (op->kind) {
	case EXCHANGE_OP_GRANT:
		request_unref(op->grant.request);
		break;
	case EXCHANGE_OP_RESUME:
		request_unref(op->resume);
		break;
	case EXCHANGE_OP_CANCEL:
		break;
	}
}

static uint64_t exchange_key(struct exchange_id id)
{
	return (uint64_t)id.index << 32 | id.generation;
}
