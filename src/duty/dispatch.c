#include "duty/dispatch.h"

#include "command/apply.h"
#include "core/clock.h"
#include "core/report.h"
#include "query/answer.h"

#include <pthread.h>

#define TICK_INTERVAL_US (50 * US_PER_MS)
/* Shortest wait in the ring that is logged, at most once per interval. */
#define LOGGED_WAIT_MIN_US (500 * US_PER_MS)
#define WAIT_LOG_INTERVAL_US (1 * US_PER_S)

/**
 * struct dispatch_duty - state of the dispatch duty
 * @ring: ring of struct message, not owned
 * @links: duties that carry out the events
 * @state: routing state, used by @thread alone
 * @wait_us: histogram of the time that messages waited in @ring
 * @wait_log_due_us: no wait is logged before this time
 * @thread: applies the messages
 */
struct dispatch_duty {
	struct ring *ring;
	struct dispatch_links links;
	struct state *state;
	struct histogram wait_us;
	uint64_t wait_log_due_us;
	pthread_t thread;
};

static void *dispatch_thread(void *data);
static void handle_message(struct dispatch_duty *duty, struct message *message);
static void record_wait(struct dispatch_duty *duty, uint64_t pushed_us);
static void apply_command(struct dispatch_duty *duty, struct command *command);
static void answer_query(struct dispatch_duty *duty, struct query *query);
static void audit_own_start(struct dispatch_duty *duty);
static void send_events(struct dispatch_duty *duty, struct event_list *list);
static void send_event(struct dispatch_duty *duty, struct event *event);
static void send_to_exchange(struct dispatch_duty *duty, struct event *event);
static void recall_grant(struct dispatch_duty *duty, struct event *event);
static void refuse_request(struct event *event);
static void deliver_answer(struct event *event);
static void check_sent(enum ring_result result, const char *duty_name,
		       struct event *event);

struct dispatch_duty *dispatch_start(const struct settings *settings,
				     struct ring *ring,
				     const struct dispatch_links *links,
				     GError **error)
{
	struct dispatch_duty *duty = g_new0(struct dispatch_duty, 1);

	duty->ring = ring;
	duty->links = *links;
	duty->state = state_new(settings);
	if (pthread_create(&duty->thread, NULL, dispatch_thread, duty) != 0) {
		g_set_error(error, DUTY_ERROR, DUTY_ERROR_THREAD,
			    "dispatch: cannot create its thread");
		state_free(duty->state);
		g_free(duty);
		return NULL;
	}
	return duty;
}

void dispatch_stop(struct dispatch_duty *duty)
{
	if (!duty)
		return;
	ring_close(duty->ring);
	pthread_join(duty->thread, NULL);
	state_free(duty->state);
	g_free(duty);
}

static void *dispatch_thread(void *data)
{
	struct dispatch_duty *duty = data;
	struct command tick = { .kind = COMMAND_TICK };
	uint64_t tick_due_us = clock_now_us();
	enum ring_result result;
	struct message message;

	audit_own_start(duty);
	for (;;) {
		result = ring_pop(duty->ring, &message, tick_due_us);
		if (result == RING_CLOSED)
			return NULL;
		if (result == RING_OK)
			handle_message(duty, &message);
		if (clock_now_us() < tick_due_us)
			continue;
		apply_command(duty, &tick);
		tick_due_us = clock_now_us() + TICK_INTERVAL_US;
	}
}

static void handle_message(struct dispatch_duty *duty, struct message *message)
{
	record_wait(duty, message->pushed_us);
	switch (message->kind) {
	case MESSAGE_COMMAND:
		apply_command(duty, &message->command);
		break;
	case MESSAGE_QUERY:
		answer_query(duty, &message->query);
		break;
	}
}

static void record_wait(struct dispatch_duty *duty, uint64_t pushed_us)
{
	uint64_t now_us = clock_now_us();
	uint64_t wait_us = now_us - pushed_us;

	histogram_add(&duty->wait_us, wait_us);
	if (wait_us < LOGGED_WAIT_MIN_US || now_us < duty->wait_log_due_us)
		return;
	duty->wait_log_due_us = now_us + WAIT_LOG_INTERVAL_US;
	g_message("dispatch: a message waited %" G_GUINT64_FORMAT
		  " ms in its ring, %u wait behind it",
		  wait_us / US_PER_MS, ring_length(duty->ring));
}

static void apply_command(struct dispatch_duty *duty, struct command *command)
{
	struct event_list list;

	event_list_init(&list);
	command_apply(duty->state, command, clock_now(), &list);
	send_events(duty, &list);
}

static void answer_query(struct dispatch_duty *duty, struct query *query)
{
	struct query_reply reply;

	query_answer(duty->state, query, clock_now(), &reply);
	if (query->kind == QUERY_METRICS) {
		reply.metrics->dispatch_ring_refused = ring_refused(duty->ring);
		reply.metrics->dispatch_wait_us = duty->wait_us;
		exchange_counters(duty->links.exchange,
				  &reply.metrics->connections);
	}
	/* The ring holds one reply; it is closed if its reader is gone. */
	if (ring_push(query->reply->ring, &reply) != RING_OK)
		query_reply_clear(&reply);
	reply_channel_unref(query->reply);
}

static void audit_own_start(struct dispatch_duty *duty)
{
	struct audit_record record = {
		.kind = AUDIT_STARTED,
		.subject = duty->state->membership.self.peer,
	};
	struct event_list list;

	event_list_init(&list);
	state_audit(duty->state, &record, clock_now(), &list);
	send_events(duty, &list);
}

static void send_events(struct dispatch_duty *duty, struct event_list *list)
{
	guint i;

	for (i = 0; i < list->events->len; i++)
		send_event(duty, &g_array_index(list->events, struct event, i));
	/* What the events owned was passed to the duties or freed. */
	g_array_unref(list->events);
}

static void send_event(struct dispatch_duty *duty, struct event *event)
{
	const struct dispatch_links *links = &duty->links;

	switch (event->kind) {
	case EVENT_GRANT:
	case EVENT_CANCEL:
		send_to_exchange(duty, event);
		break;
	case EVENT_RECALL:
		recall_grant(duty, event);
		break;
	case EVENT_REFUSE:
		refuse_request(event);
		break;
	case EVENT_DELIVER:
		deliver_answer(event);
		break;
	case EVENT_AUDIT:
		check_sent(audit_send(links->audit, &event->audit), "audit",
			   event);
		break;
	case EVENT_TRACE:
		/* The audit duty counts and reports dropped trace records. */
		if (audit_send_trace(links->audit, &event->trace) != RING_OK)
			g_debug("dispatch: a trace record was dropped");
		break;
	case EVENT_PEER_SEND:
		check_sent(peer_send_send(links->peer_send, &event->peer_send),
			   "peer_send", event);
		break;
	case EVENT_CONFIG_PULL:
		check_sent(peer_pull_send(links->peer_pull,
					  &event->config_pull),
			   "peer_pull", event);
		break;
	case EVENT_CONFIG_ROLE:
		check_sent(config_send(links->config, &event->config_role),
			   "config", event);
		break;
	case EVENT_PROBE_PLAN:
		check_sent(probe_send(links->probe, &event->probe_plan),
			   "probe", event);
		break;
	case EVENT_LEFT:
		check_sent(ring_push(links->left, &event->left), "left", event);
		break;
	}
}

/*
 * The request of a grant that the exchange ring refuses has not been executed.
 * The exchange is finished as shed, so that the request may be retried.
 */
static void send_to_exchange(struct dispatch_duty *duty, struct event *event)
{
	struct exchange_op op = { .kind = EXCHANGE_OP_CANCEL };
	struct command command = { .kind = COMMAND_FINISH };

	if (event->kind == EVENT_GRANT) {
		g_atomic_int_set(&event->grant.request->recalled, 0);
		op.kind = EXCHANGE_OP_GRANT;
		op.grant = event->grant;
	} else {
		op.cancel = event->cancel;
	}
	if (exchange_send(duty->links.exchange, &op) == RING_OK)
		return;
	g_warning("dispatch: exchange ring refused an operation");
	if (event->kind != EVENT_GRANT)
		return;
	command.finish.exchange = event->grant.exchange;
	command.finish.backend = event->grant.backend;
	command.finish.evidence.kind = EVIDENCE_SHED;
	event_clear(event);
	apply_command(duty, &command);
}

/*
 * The recalled flag stops a request that is about to be sent; the operation
 * ends an exchange that still waits for a connection.
 */
static void recall_grant(struct dispatch_duty *duty, struct event *event)
{
	struct exchange_op op = {
		.kind = EXCHANGE_OP_CANCEL,
		.cancel = { .exchange = event->recall.exchange,
			    .cause = CANCEL_RECALLED },
	};

	g_atomic_int_set(&event->recall.request->recalled, 1);
	if (exchange_send(duty->links.exchange, &op) != RING_OK)
		g_warning("dispatch: exchange ring refused a recall");
	event_clear(event);
}

static void refuse_request(struct event *event)
{
	struct answer_part part = {
		.kind = PART_REFUSED,
		.refusal = event->refuse.refusal,
	};

	/* The ring is empty unless an answer has begun, so there is room. */
	if (ring_push_reserved(event->refuse.request->answer, &part) ==
	    RING_FULL)
		g_warning("dispatch: answer ring is full, refusal dropped");
	event_clear(event);
}

static void deliver_answer(struct event *event)
{
	struct request *request = event->deliver.request;
	struct answer_held *held = event->deliver.held;
	struct answer_part parts[3] = {
		{ .kind = PART_HEAD, .head = held->head },
		{ .kind = PART_CHUNK, .chunk = held->body },
		{ .kind = PART_END },
	};
	enum ring_result result;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(parts); i++) {
		if (parts[i].kind == PART_CHUNK && !parts[i].chunk)
			continue;
		result = ring_push_reserved(request->answer, &parts[i]);
		if (result == RING_OK)
			continue;
		if (result == RING_CLOSED)
			g_debug("dispatch: caller is gone, part dropped");
		else
			g_warning(
				"dispatch: answer ring is full, part dropped");
		answer_part_clear(&parts[i]);
	}
	held->head = NULL;
	held->body = NULL;
	event_clear(event);
}

/* Drops an event that a ring refused; its content is sent again later. */
static void check_sent(enum ring_result result, const char *duty_name,
		       struct event *event)
{
	if (result == RING_OK)
		return;
	g_warning("dispatch: %s ring refused an event", duty_name);
	event_clear(event);
}
