#include "command/waiting.h"

#include "command/admit.h"
#include "command/ticket.h"
#include "query/health.h"
#include "query/pick.h"

static void refuse_paused(struct state *state, const struct service *service,
			  struct instant now, struct event_list *out);
static void refuse_unservable(struct state *state, const GArray *queue,
			      uint64_t begin_us, struct instant now,
			      struct event_list *out);
static void prune_queue(struct state *state, GArray *queue, struct instant now,
			struct event_list *out);
static bool stays_in_queue(const struct ticket *ticket, struct instant now);
static void defer_or_refuse(struct state *state, uint32_t index,
			    struct instant now, struct event_list *out);
static void expire_queue(struct state *state, GArray *queue, struct instant now,
			 struct event_list *out);
static void expire(struct state *state, uint32_t index, struct instant now,
		   struct event_list *out);

/*
 * In order of objectives alone, an overloaded service would always grant slots
 * to requests that just miss theirs, and all requests would miss. Requests that
 * can no longer meet their objective are therefore deferred behind the others.
 * In a backlog they are refused, since others would always go before them.
 */
void waiting_prune(struct state *state, struct service *service,
		   struct instant now, struct event_list *out)
{
	uint32_t i;

	if (service->waiting_requests == 0)
		return;
	refuse_paused(state, service, now, out);
	if (state->policy.queueing == QUEUEING_FIFO) {
		expire_queue(state, service->queues[0].short_tickets, now, out);
		return;
	}
	for (i = 0; i < DOC_CLASSES_MAX; i++) {
		prune_queue(state, service->queues[i].short_tickets, now, out);
		prune_queue(state, service->queues[i].long_tickets, now, out);
		expire_queue(state, service->queues[i].late_tickets, now, out);
	}
}

/*
 * Refuses requests that would miss their deadline if they waited until a
 * backend server accepts requests again.
 */
static void refuse_paused(struct state *state, const struct service *service,
			  struct instant now, struct event_list *out)
{
	uint64_t ends_us = service_pause_ends_us(service, now);
	uint32_t i;

	if (ends_us <= now.mono_us)
		return;
	for (i = 0; i < DOC_CLASSES_MAX; i++) {
		refuse_unservable(state, service->queues[i].short_tickets,
				  ends_us, now, out);
		refuse_unservable(state, service->queues[i].long_tickets,
				  ends_us, now, out);
		refuse_unservable(state, service->queues[i].late_tickets,
				  ends_us, now, out);
	}
}

static void refuse_unservable(struct state *state, const GArray *queue,
			      uint64_t begin_us, struct instant now,
			      struct event_list *out)
{
	struct refusal refusal = { .cause = REFUSAL_NO_BACKEND };
	const struct ticket *ticket;
	uint32_t index;
	guint i = 0;

	while (i < queue->len) {
		index = g_array_index(queue, uint32_t, i);
		ticket = &state->tickets[index];
		if (!ticket_misses_deadline(ticket, begin_us)) {
			i++;
			continue;
		}
		refusal.retry_at_unix_ms =
			retry_advice_unix_ms(state, ticket->service, now);
		ticket_refuse_waiting(state, index, refusal, now, out);
	}
}

static void prune_queue(struct state *state, GArray *queue, struct instant now,
			struct event_list *out)
{
	uint32_t index;
	guint i = 0;

	while (i < queue->len) {
		index = g_array_index(queue, uint32_t, i);
		if (stays_in_queue(&state->tickets[index], now))
			i++;
		else
			defer_or_refuse(state, index, now, out);
	}
}

/* A request that was shed keeps its place before the others. */
static bool stays_in_queue(const struct ticket *ticket, struct instant now)
{
	if (ticket->shed)
		return !ticket_misses_deadline(ticket, now.mono_us);
	return ticket_can_meet_objective(ticket, now);
}

static void defer_or_refuse(struct state *state, uint32_t index,
			    struct instant now, struct event_list *out)
{
	const struct ticket *ticket = &state->tickets[index];

	/* A request that was sent before waits until its deadline. */
	if (ticket_misses_deadline(ticket, now.mono_us))
		expire(state, index, now, out);
	else if (ticket->sends > 0 || !service_backlogged(ticket->service, now))
		ticket_defer(state, index);
	else
		overload_shed(state, index, now, out);
}

static void expire_queue(struct state *state, GArray *queue, struct instant now,
			 struct event_list *out)
{
	uint32_t index;
	guint i = 0;

	while (i < queue->len) {
		index = g_array_index(queue, uint32_t, i);
		if (ticket_misses_deadline(&state->tickets[index], now.mono_us))
			expire(state, index, now, out);
		else
			i++;
	}
}

static void expire(struct state *state, uint32_t index, struct instant now,
		   struct event_list *out)
{
	const struct refusal refusal = { .cause = REFUSAL_DEADLINE };

	ticket_refuse_waiting(state, index, refusal, now, out);
}
