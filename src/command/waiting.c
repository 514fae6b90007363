#include "command/waiting.h"

#include "command/admit.h"
#include "command/ticket.h"
#include "query/pick.h"

static void put_behind(struct state *state, uint32_t index, struct instant now,
		       struct event_list *out);
static bool expired(const struct ticket *ticket, struct instant now);
static void expire(struct state *state, uint32_t index, struct instant now,
		   struct event_list *out);

void waiting_tick(struct state *state, struct service *service,
		  struct instant now, struct event_list *out)
{
	uint32_t i;

	if (service->waiting_requests == 0)
		return;
	waiting_sort(state, service, now, out);
	for (i = 0; i < DOC_CLASSES_MAX; i++) {
		waiting_expire(state, service->queues[i].short_tickets, now,
			       out);
		waiting_expire(state, service->queues[i].long_tickets, now,
			       out);
		waiting_expire(state, service->queues[i].late_tickets, now,
			       out);
	}
}

/*
 * Under a crest work that just misses its objective would always go first, and
 * all work would miss it. So what cannot meet it any more goes behind, and where
 * more waits than may run, it is refused: others will always come before it.
 */
void waiting_sort(struct state *state, struct service *service,
		  struct instant now, struct event_list *out)
{
	GArray *queue;
	uint32_t index;
	uint32_t i;
	guint k;

	if (state->policy.queueing == QUEUEING_FIFO)
		return;
	for (i = 0; i < DOC_CLASSES_MAX; i++) {
		queue = service->queues[i].short_tickets;
		for (k = 0; k < queue->len;) {
			index = g_array_index(queue, uint32_t, k);
			if (ticket_in_time(&state->tickets[index], now))
				k++;
			else
				put_behind(state, index, now, out);
		}
	}
}

static void put_behind(struct state *state, uint32_t index, struct instant now,
		       struct event_list *out)
{
	struct ticket *ticket = &state->tickets[index];
	struct service *service = ticket->service;

	if (expired(ticket, now)) {
		expire(state, index, now, out);
		return;
	}
	/* One that a server has worked on is not given up while there is time. */
	if (ticket->sends > 0 || !service_backlogged(service, now)) {
		ticket_defer(state, index);
		return;
	}
	overload_put_out(state, index, now, out);
}

/* Refuses from the head, where the late ones are. */
void waiting_expire(struct state *state, GArray *queue, struct instant now,
		    struct event_list *out)
{
	uint32_t index;

	while (queue->len > 0) {
		index = g_array_index(queue, uint32_t, 0);
		if (!expired(&state->tickets[index], now))
			return;
		expire(state, index, now, out);
	}
}

/* Whether the time left is no offer; what was offered before uses all of it. */
static bool expired(const struct ticket *ticket, struct instant now)
{
	uint64_t needed_us = ticket->sends > 0 ? 0 : ticket_typical_us(ticket);

	return ticket->deadline_us <= now.mono_us + needed_us;
}

static void expire(struct state *state, uint32_t index, struct instant now,
		   struct event_list *out)
{
	const struct refusal refusal = {
		.cause = REFUSAL_DEADLINE,
		.outcome = state->tickets[index].outcome,
	};

	ticket_dequeue(state, index);
	ticket_refuse(state, index, refusal, now, out);
}
