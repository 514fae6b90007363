#include "duty/dispatch.h"

#include "command/apply.h"
#include "core/clock.h"
#include "core/report.h"
#include "query/answer.h"

#include <pthread.h>

#define TICK_EVERY_US (50 * US_PER_MS)
/* A longer wait in the ring is logged, so often at most. */
#define WAIT_LOGGED_US (500 * US_PER_MS)
#define WAIT_LOG_EVERY_US (1 * US_PER_S)

/**
 * struct dispatch_duty - the duty
 * @ring: ring of struct message
 * @links: other duties
 * @state: owned by its thread alone
 * @wait_us: how long messages waited in the ring
 * @wait_log_due_us: no wait is logged before this
 * @thread: its thread
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
static void take_message(struct dispatch_duty *duty, struct message *message);
static void note_wait(struct dispatch_duty *duty, uint64_t pushed_us);
static void apply(struct dispatch_duty *duty, struct command *command);
static void answer(struct dispatch_duty *duty, struct query *query);
static void record_start(struct dispatch_duty *duty);
static void carry_out(struct dispatch_duty *duty, struct event_list *list);
static void hand_over(struct dispatch_duty *duty, struct event *event);
static void hand_exchange(struct dispatch_duty *duty, struct event *event);
static void recall(struct dispatch_duty *duty, struct event *event);
static void refuse(struct event *event);
static void deliver(struct event *event);
static void check_handed(enum ring_result result, const char *duty_name,
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
			    "dispatch: cannot make its thread");
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

	record_start(duty);
	for (;;) {
		result = ring_pop(duty->ring, &message, tick_due_us);
		if (result == RING_CLOSED)
			return NULL;
		if (result == RING_OK)
			take_message(duty, &message);
		if (clock_now_us() < tick_due_us)
			continue;
		apply(duty, &tick);
		tick_due_us = clock_now_us() + TICK_EVERY_US;
	}
}

static void take_message(struct dispatch_duty *duty, struct message *message)
{
	note_wait(duty, message->pushed_us);
	switch (message->kind) {
	case MESSAGE_COMMAND:
		apply(duty, &message->command);
		break;
	case MESSAGE_QUERY:
		answer(duty, &message->query);
		break;
	}
}

static void note_wait(struct dispatch_duty *duty, uint64_t pushed_us)
{
	uint64_t now_us = clock_now_us();
	uint64_t wait_us = now_us - pushed_us;

	histogram_add(&duty->wait_us, wait_us);
	if (wait_us < WAIT_LOGGED_US || now_us < duty->wait_log_due_us)
		return;
	duty->wait_log_due_us = now_us + WAIT_LOG_EVERY_US;
	g_message("dispatch: a message waited %" G_GUINT64_FORMAT
		  " ms in its ring, %u wait behind it",
		  wait_us / US_PER_MS, ring_length(duty->ring));
}

static void apply(struct dispatch_duty *duty, struct command *command)
{
	struct event_list list;

	event_list_init(&list);
	command_apply(duty->state, command, clock_now(), &list);
	carry_out(duty, &list);
}

static void answer(struct dispatch_duty *duty, struct query *query)
{
	struct query_reply reply;

	query_answer(duty->state, query, clock_now(), &reply);
	if (query->kind == QUERY_METRICS) {
		reply.metrics->dispatch_ring_refused = ring_refused(duty->ring);
		reply.metrics->dispatch_wait_us = duty->wait_us;
	}
	/* The port has room for the one reply; an asker that gave up frees it. */
	if (ring_push(query->reply->ring, &reply) != RING_OK)
		query_reply_clear(&reply);
	reply_channel_unref(query->reply);
}

static void record_start(struct dispatch_duty *duty)
{
	struct audit_record record = {
		.kind = AUDIT_STARTED,
		.subject = duty->state->membership.self.peer,
	};
	struct event_list list;

	event_list_init(&list);
	state_audit(duty->state, &record, clock_now(), &list);
	carry_out(duty, &list);
}

static void carry_out(struct dispatch_duty *duty, struct event_list *list)
{
	guint i;

	for (i = 0; i < list->events->len; i++)
		hand_over(duty, &g_array_index(list->events, struct event, i));
	/* What the events own has gone to the duties or is freed. */
	g_array_unref(list->events);
}

static void hand_over(struct dispatch_duty *duty, struct event *event)
{
	const struct dispatch_links *links = &duty->links;
	struct instant now;

	switch (event->kind) {
	case EVENT_GRANT:
	case EVENT_CANCEL:
		hand_exchange(duty, event);
		break;
	case EVENT_RECALL:
		recall(duty, event);
		break;
	case EVENT_REFUSE:
		refuse(event);
		break;
	case EVENT_DELIVER:
		deliver(event);
		break;
	case EVENT_AUDIT:
		check_handed(audit_send(links->audit, &event->audit), "audit",
			     event);
		break;
	case EVENT_TRACE:
		/* The duty itself says how many it had no room for. */
		if (audit_send_trace(links->audit, &event->trace) != RING_OK)
			g_debug("dispatch: a trace record was dropped");
		break;
	case EVENT_PEER_SEND:
		check_handed(peer_send_send(links->peer_send,
					    &event->peer_send),
			     "peer_send", event);
		break;
	case EVENT_CONFIG_PULL:
		check_handed(peer_pull_send(links->peer_pull,
					    &event->config_pull),
			     "peer_pull", event);
		break;
	case EVENT_CONFIG_ROLE:
		check_handed(config_send(links->config, &event->config_role),
			     "config", event);
		break;
	case EVENT_PROBE_PLAN:
		check_handed(probe_send(links->probe, &event->probe_plan),
			     "probe", event);
		break;
	case EVENT_LEFT:
		now = clock_now();
		check_handed(ring_push(links->left, &now), "left", event);
		break;
	}
}

/* A grant that cannot be handed on has not run: as good as shed. */
static void hand_exchange(struct dispatch_duty *duty, struct event *event)
{
	struct exchange_op order = { .kind = EXCHANGE_OP_CANCEL };
	struct command command = { .kind = COMMAND_FINISH };

	if (event->kind == EVENT_GRANT) {
		g_atomic_int_set(&event->grant.request->recalled, 0);
		order.kind = EXCHANGE_OP_GRANT;
		order.grant = event->grant;
	} else {
		order.cancel = event->cancel;
	}
	if (exchange_send(duty->links.exchange, &order) == RING_OK)
		return;
	g_warning("dispatch: exchange ring refused an order");
	if (event->kind != EVENT_GRANT)
		return;
	command.finish.exchange = event->grant.exchange;
	command.finish.backend = event->grant.backend;
	command.finish.evidence.kind = EVIDENCE_SHED;
	event_clear(event);
	apply(duty, &command);
}

/* The send point looks at the flag; the order is for what waits before it. */
static void recall(struct dispatch_duty *duty, struct event *event)
{
	struct exchange_op order = {
		.kind = EXCHANGE_OP_CANCEL,
		.cancel = { .exchange = event->recall.exchange,
			    .cause = CANCEL_RECALLED },
	};

	g_atomic_int_set(&event->recall.request->recalled, 1);
	if (exchange_send(duty->links.exchange, &order) != RING_OK)
		g_warning("dispatch: exchange ring refused a recall");
	event_clear(event);
}

static void refuse(struct event *event)
{
	struct answer_part part = {
		.kind = PART_REFUSED,
		.refusal = event->refuse.refusal,
	};

	/* Only an answer that has begun could fill the ring. */
	if (ring_push_reserved(event->refuse.request->answer, &part) ==
	    RING_FULL)
		g_warning("dispatch: a refusal found no room");
	event_clear(event);
}

static void deliver(struct event *event)
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
			g_debug("dispatch: nobody waits for an answer");
		else
			g_warning("dispatch: a held answer found no room");
		answer_part_clear(&parts[i]);
	}
	held->head = NULL;
	held->body = NULL;
	event_clear(event);
}

/* Nothing that may be refused here is lost for good: it is sent again. */
static void check_handed(enum ring_result result, const char *duty_name,
			 struct event *event)
{
	if (result == RING_OK)
		return;
	g_warning("dispatch: %s ring refused an event", duty_name);
	event_clear(event);
}
