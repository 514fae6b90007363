#include "duty/exchange.h"

#include <pthread.h>

#include "core/clock.h"
#include "duty/transfer.h"

#define ORDERS_ROOM 1024
#define ORDERS_RESERVE_MIN 256
/* A cancellation, a recall and a resumption. */
#define REQUEST_RESERVED_ORDERS 3
#define SPARE_HANDLES_MAX 64
#define BACKLOG_RETRY_MS 1
#define WAIT_MAX_MS 1000
#define PAUSE_NOTICED_US (500 * US_PER_MS)
#define FORGET_EVERY_US (10 * US_PER_S)

/**
 * struct exchange_duty - the duty
 * @settings: not owned
 * @dispatch: where finish commands go
 * @orders: ring of struct exchange_op
 * @multi: libcurl's
 * @connections: counts by backend server
 * @by_key: exchanges that run, by id
 * @by_request: the same by request token
 * @waiting: array of struct grant_event that wait for a connection
 * @backlog: array of struct command that dispatch had no room for
 * @spare: handles to be used again
 * @forget_due_us: when unused counts are dropped next
 * @thread: its thread
 */
struct exchange_duty {
	const struct settings *settings;
	struct ring *dispatch;
	struct ring *orders;
	CURLM *multi;
	struct connections *connections;
	GHashTable *by_key;
	GHashTable *by_request;
	GArray *waiting;
	GArray *backlog;
	GPtrArray *spare;
	uint64_t forget_due_us;
	pthread_t thread;
};

static void *run(void *data);
static bool step(struct exchange_duty *duty);
static bool take_orders(struct exchange_duty *duty);
static void take_grant(struct exchange_duty *duty, struct grant_event *grant);
static void take_cancel(struct exchange_duty *duty,
			const struct cancel_event *cancel);
static void drop_waiting(struct exchange_duty *duty, uint64_t key,
			 enum evidence_kind kind);
static void take_resume(struct exchange_duty *duty, struct request *request);
static bool begin(struct exchange_duty *duty, const struct grant_event *grant);
static CURL *take_handle(struct exchange_duty *duty);
static void give_handle(struct exchange_duty *duty, CURL *easy);
static void start_waiting(struct exchange_duty *duty);
static void finish_unsent(struct exchange_duty *duty, struct grant_event *grant,
			  enum evidence_kind kind);
static void collect_done(struct exchange_duty *duty);
static void end(struct exchange *exchange, CURLcode code);
static void free_exchange(struct exchange *exchange);
static void send_finish(struct exchange_duty *duty,
			const struct finish_command *finish);
static void send_in_order(struct exchange_duty *duty,
			  const struct command *command);
static void flush_backlog(struct exchange_duty *duty);
static void note_pause(struct exchange_duty *duty);
static int32_t wait_ms(const struct exchange_duty *duty);
static void stop_all(struct exchange_duty *duty);
static void order_clear(struct exchange_op *order);
static uint64_t key_of(struct exchange_id id);

struct exchange_duty *exchange_start(const struct settings *settings,
				     struct ring *dispatch, GError **error)
{
	struct exchange_duty *duty;
	uint32_t reserve =
		MAX(ORDERS_RESERVE_MIN,
		    REQUEST_RESERVED_ORDERS * settings->requests_max);

	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
		g_set_error_literal(error, DUTY_ERROR, DUTY_ERROR_LIBRARY,
				    "exchange: libcurl does not start");
		return NULL;
	}
	duty = g_new0(struct exchange_duty, 1);
	duty->settings = settings;
	duty->dispatch = dispatch;
	duty->orders = ring_new(sizeof(struct exchange_op),
				ORDERS_ROOM + reserve, reserve);
	duty->connections = connections_new();
	duty->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	duty->by_request = g_hash_table_new(NULL, NULL);
	duty->waiting = g_array_new(FALSE, FALSE, sizeof(struct grant_event));
	duty->backlog = g_array_new(FALSE, FALSE, sizeof(struct command));
	duty->spare = g_ptr_array_new();
	duty->multi = curl_multi_init();
	if (!duty->multi)
		g_error("exchange: out of memory");
	if (pthread_create(&duty->thread, NULL, run, duty) != 0) {
		g_set_error_literal(error, DUTY_ERROR, DUTY_ERROR_THREAD,
				    "exchange: no thread");
		ring_close(duty->orders);
		stop_all(duty);
		return NULL;
	}
	return duty;
}

void exchange_stop(struct exchange_duty *duty)
{
	if (!duty)
		return;
	ring_close(duty->orders);
	if (curl_multi_wakeup(duty->multi) != CURLM_OK)
		g_warning("exchange: cannot wake its thread");
	pthread_join(duty->thread, NULL);
	stop_all(duty);
}

enum ring_result exchange_send(struct exchange_duty *duty,
			       const struct exchange_op *order)
{
	enum ring_result result = RING_OK;

	switch (order->kind) {
	case EXCHANGE_OP_GRANT:
		result = ring_push(duty->orders, order);
		break;
	case EXCHANGE_OP_CANCEL:
	case EXCHANGE_OP_RESUME:
		result = ring_push_reserved(duty->orders, order);
		break;
	}
	if (result == RING_OK && curl_multi_wakeup(duty->multi) != CURLM_OK)
		g_warning("exchange: cannot wake its thread");
	return result;
}

static void *run(void *data)
{
	struct exchange_duty *duty = data;
	uint64_t until_us;
	int32_t timeout_ms;

	for (;;) {
		until_us = clock_now_us() + PAUSE_NOTICED_US;
		if (!step(duty))
			break;
		timeout_ms = wait_ms(duty);
		until_us += (uint64_t)timeout_ms * US_PER_MS;
		if (curl_multi_poll(duty->multi, NULL, 0, timeout_ms, NULL) !=
		    CURLM_OK)
			g_warning("exchange: cannot wait for its sockets");
		if (clock_now_us() > until_us)
			note_pause(duty);
	}
	return NULL;
}

/* Return: false once the duty shall end. */
static bool step(struct exchange_duty *duty)
{
	int running;
	uint64_t now_us;

	if (!take_orders(duty))
		return false;
	if (curl_multi_perform(duty->multi, &running) != CURLM_OK)
		g_warning("exchange: libcurl fails");
	collect_done(duty);
	start_waiting(duty);
	flush_backlog(duty);
	now_us = clock_now_us();
	if (now_us < duty->forget_due_us)
		return true;
	connections_remove_unused(duty->connections);
	duty->forget_due_us = now_us + FORGET_EVERY_US;
	return true;
}

/* Return: false once the ring is closed. */
static bool take_orders(struct exchange_duty *duty)
{
	struct exchange_op order;
	enum ring_result result;

	while ((result = ring_pop(duty->orders, &order, 0)) == RING_OK) {
		switch (order.kind) {
		case EXCHANGE_OP_GRANT:
			take_grant(duty, &order.grant);
			break;
		case EXCHANGE_OP_CANCEL:
			take_cancel(duty, &order.cancel);
			break;
		case EXCHANGE_OP_RESUME:
			take_resume(duty, order.resume);
			break;
		}
	}
	return result != RING_CLOSED;
}

static void take_grant(struct exchange_duty *duty, struct grant_event *grant)
{
	if (!begin(duty, grant))
		g_array_append_vals(duty->waiting, grant, 1);
}

static void take_cancel(struct exchange_duty *duty,
			const struct cancel_event *cancel)
{
	uint64_t key = key_of(cancel->exchange);
	struct exchange *exchange = g_hash_table_lookup(duty->by_key, &key);

	switch (cancel->cause) {
	case CANCEL_CALLER_GONE:
		if (exchange) {
			exchange->stop = STOP_CALLER_GONE;
			end(exchange, CURLE_ABORTED_BY_CALLBACK);
			break;
		}
		drop_waiting(duty, key, EVIDENCE_CANCELLED);
		break;
	case CANCEL_TRY_TIMEOUT:
	case CANCEL_STOPPING:
		/* An answer that the caller has begun to get goes on. */
		if (exchange && !exchange->streaming) {
			exchange->stop = cancel->cause == CANCEL_TRY_TIMEOUT ?
						 STOP_TRY_TIMEOUT :
						 STOP_SHUTDOWN;
			end(exchange, CURLE_ABORTED_BY_CALLBACK);
		} else if (!exchange) {
			drop_waiting(duty, key, EVIDENCE_LATE);
		}
		break;
	case CANCEL_RECALLED:
		if (exchange && !exchange->sent) {
			exchange->stop = STOP_EXPIRED;
			end(exchange, CURLE_ABORTED_BY_CALLBACK);
		} else if (!exchange) {
			drop_waiting(duty, key, EVIDENCE_LATE);
		}
		break;
	}
}

/* Ends an exchange that still waits for a connection. */
static void drop_waiting(struct exchange_duty *duty, uint64_t key,
			 enum evidence_kind kind)
{
	struct grant_event grant;
	guint i;

	for (i = 0; i < duty->waiting->len; i++) {
		grant = g_array_index(duty->waiting, struct grant_event, i);
		if (key_of(grant.exchange) != key)
			continue;
		g_array_remove_index(duty->waiting, i);
		finish_unsent(duty, &grant, kind);
		return;
	}
}

static void take_resume(struct exchange_duty *duty, struct request *request)
{
	struct exchange *exchange =
		g_hash_table_lookup(duty->by_request, request);
	CURLcode code = CURLE_OK;

	/* May call on_body() at once. */
	if (exchange)
		code = curl_easy_pause(exchange->easy, CURLPAUSE_CONT);
	if (code != CURLE_OK)
		end(exchange, code);
	request_unref(request);
}

/*
 * Begins an exchange or finishes it at once.
 *
 * Return: false when it must wait for a connection.
 */
static bool begin(struct exchange_duty *duty, const struct grant_event *grant)
{
	struct grant_event late = *grant;
	struct backend_connections *host;
	struct exchange *exchange;

	if (transfer_expired(grant, clock_now_us())) {
		finish_unsent(duty, &late, transfer_unsent_evidence(grant));
		return true;
	}
	host = connections_get_backend(duty->connections, grant->backend);
	if (!connections_begin(host, grant->connections_max))
		return false;
	exchange = g_new0(struct exchange, 1);
	exchange->duty = duty;
	exchange->settings = duty->settings;
	exchange->grant = *grant;
	exchange->key = key_of(grant->exchange);
	exchange->host = host;
	exchange->held = g_byte_array_new();
	exchange->easy = take_handle(duty);
	http_answer_reader_init(&exchange->reader, grant->request->method,
				duty->settings);
	g_hash_table_insert(duty->by_key, &exchange->key, exchange);
	g_hash_table_insert(duty->by_request, grant->request, exchange);
	if (!transfer_prepare(exchange) ||
	    curl_multi_add_handle(duty->multi, exchange->easy) != CURLM_OK) {
		g_warning("exchange: libcurl refuses a request");
		exchange->stop = STOP_EXPIRED;
		end(exchange, CURLE_ABORTED_BY_CALLBACK);
	}
	return true;
}

static CURL *take_handle(struct exchange_duty *duty)
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

static void give_handle(struct exchange_duty *duty, CURL *easy)
{
	if (duty->spare->len >= SPARE_HANDLES_MAX) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	g_ptr_array_add(duty->spare, easy);
}

/* Begins exchanges that waited for a connection, ends those that are late. */
static void start_waiting(struct exchange_duty *duty)
{
	struct grant_event grant;
	guint i = 0;

	while (i < duty->waiting->len) {
		grant = g_array_index(duty->waiting, struct grant_event, i);
		if (begin(duty, &grant))
			g_array_remove_index(duty->waiting, i);
		else
			i++;
	}
}

/* Ends an exchange of which no byte was sent; takes the grant over. */
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
	int left;

	while ((message = curl_multi_info_read(duty->multi, &left))) {
		if (message->msg != CURLMSG_DONE)
			continue;
		code = message->data.result;
		if (curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				      &private) != CURLE_OK)
			g_error("exchange: libcurl lost a handle");
		exchange = (struct exchange *)(void *)private;
		end(exchange, code);
	}
}

/* Ends an exchange: last part to the caller, evidence to the decisions. */
static void end(struct exchange *exchange, CURLcode code)
{
	struct exchange_duty *duty = exchange->duty;
	uint64_t now_us = clock_now_us();
	struct finish_command finish = {
		.exchange = exchange->grant.exchange,
		.backend = exchange->grant.backend,
		.evidence = {
			.kind = transfer_classify(exchange, code),
			.request_sent = exchange->sent,
			.notice = exchange->notice,
			.status = exchange->status,
		},
	};

	if (exchange->sent) {
		finish.evidence.service_us = now_us - exchange->sent_us;
		finish.evidence.sent_us = exchange->sent_us;
	}
	/* Removing an unfinished transfer closes its connection. */
	curl_multi_remove_handle(duty->multi, exchange->easy);
	finish.held = transfer_deliver(exchange, &finish.evidence);
	finish.evidence.head_given = exchange->streaming;
	send_finish(duty, &finish);
	free_exchange(exchange);
}

static void free_exchange(struct exchange *exchange)
{
	struct exchange_duty *duty = exchange->duty;

	g_hash_table_remove(duty->by_key, &exchange->key);
	g_hash_table_remove(duty->by_request, exchange->grant.request);
	connections_end(exchange->host);
	give_handle(duty, exchange->easy);
	curl_slist_free_all(exchange->fields);
	http_answer_reader_clear(&exchange->reader);
	if (exchange->held)
		g_byte_array_unref(exchange->held);
	request_unref(exchange->grant.request);
	g_free(exchange);
}

static void send_finish(struct exchange_duty *duty,
			const struct finish_command *finish)
{
	struct command command = { .kind = COMMAND_FINISH };

	command.finish = *finish;
	send_in_order(duty, &command);
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

	send_in_order(exchange->duty, &command);
}

static void send_in_order(struct exchange_duty *duty,
			  const struct command *command)
{
	g_array_append_vals(duty->backlog, command, 1);
	flush_backlog(duty);
}

/* Keeps the order of commands and never loses one. */
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

static void note_pause(struct exchange_duty *duty)
{
	GHashTableIter iter;
	gpointer exchange;

	g_hash_table_iter_init(&iter, duty->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &exchange))
		((struct exchange *)exchange)->process_paused = true;
}

/* Longest wait; libcurl shortens it to its own deadlines. */
static int32_t wait_ms(const struct exchange_duty *duty)
{
	uint64_t now_us = clock_now_us();
	int32_t shortest_ms = WAIT_MAX_MS;
	const struct grant_event *grant;
	int32_t left_ms;
	guint i;

	if (duty->backlog->len > 0)
		return BACKLOG_RETRY_MS;
	for (i = 0; i < duty->waiting->len; i++) {
		grant = &g_array_index(duty->waiting, struct grant_event, i);
		left_ms = clock_ms_left(
			MIN(grant->deadline_us, grant->send_before_us), now_us);
		shortest_ms = MIN(shortest_ms, left_ms);
	}
	return shortest_ms;
}

/* Ends what still runs and frees the duty; its thread has ended. */
static void stop_all(struct exchange_duty *duty)
{
	struct exchange_op order;
	struct grant_event grant;
	GHashTableIter iter;
	gpointer exchange;
	guint i;

	while (ring_pop(duty->orders, &order, 0) == RING_OK)
		order_clear(&order);
	g_hash_table_iter_init(&iter, duty->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &exchange)) {
		((struct exchange *)exchange)->stop = STOP_CALLER_GONE;
		end(exchange, CURLE_ABORTED_BY_CALLBACK);
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
	/* Closes the kept connections, which the count still has. */
	curl_multi_cleanup(duty->multi);
	g_ptr_array_unref(duty->spare);
	g_array_unref(duty->backlog);
	g_array_unref(duty->waiting);
	g_hash_table_unref(duty->by_request);
	g_hash_table_unref(duty->by_key);
	connections_free(duty->connections);
	ring_free(duty->orders);
	curl_global_cleanup();
	g_free(duty);
}

static void order_clear(struct exchange_op *order)
{
	switch (order->kind) {
	case EXCHANGE_OP_GRANT:
		request_unref(order->grant.request);
		break;
	case EXCHANGE_OP_RESUME:
		request_unref(order->resume);
		break;
	case EXCHANGE_OP_CANCEL:
		break;
	}
}

static uint64_t key_of(struct exchange_id id)
{
	return (uint64_t)id.index << 32 | id.generation;
}
