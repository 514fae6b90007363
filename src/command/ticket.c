#include "command/ticket.h"

#include <string.h>

#include "command/fair_share.h"
#include "command/retry.h"
#include "command/trace.h"
#include "query/health.h"

static void queue_insert(struct state *state, uint32_t index);
static void count_caller(struct service *service, uint64_t caller_hash,
			 int32_t change);

uint32_t ticket_new(struct state *state)
{
	struct ticket *ticket;
	uint32_t generation;
	uint32_t index;

	if (state->free_tickets->len == 0)
		return TICKET_NONE;
	index = g_array_index(state->free_tickets, uint32_t,
			      state->free_tickets->len - 1);
	g_array_set_size(state->free_tickets, state->free_tickets->len - 1);
	ticket = &state->tickets[index];
	generation = ticket->generation + 1;
	memset(ticket, 0, sizeof(*ticket));
	ticket->generation = generation;
	ticket->borrowed_index = TICKET_NONE;
	return index;
}

void ticket_open(struct state *state, uint32_t index)
{
	struct ticket *ticket = &state->tickets[index];

	state->admitted_requests++;
	if (ticket->long_work)
		state->long_requests++;
	count_caller(ticket->service, ticket->caller_hash, 1);
	g_hash_table_insert(state->ticket_by_request, ticket->request,
			    GUINT_TO_POINTER(index));
}

void ticket_free(struct state *state, uint32_t index)
{
	struct ticket *ticket = &state->tickets[index];

	retry_release(ticket);
	state->admitted_requests--;
	if (ticket->long_work)
		state->long_requests--;
	count_caller(ticket->service, ticket->caller_hash, -1);
	g_hash_table_remove(state->ticket_by_request, ticket->request);
	request_unref(ticket->request);
	ticket->request = NULL;
	ticket->state = TICKET_FREE;
	g_array_append_val(state->free_tickets, index);
}

uint32_t ticket_find(const struct state *state, struct exchange_id exchange)
{
	const struct ticket *ticket;

	if (exchange.index >= TICKETS_MAX)
		return TICKET_NONE;
	ticket = &state->tickets[exchange.index];
	if (ticket->state == TICKET_FREE ||
	    ticket->generation != exchange.generation)
		return TICKET_NONE;
	return exchange.index;
}

void ticket_enqueue(struct state *state, uint32_t index, struct instant now)
{
	struct ticket *ticket = &state->tickets[index];

	ticket->state = TICKET_QUEUED;
	ticket->queued_us = now.mono_us;
	ticket->late = state->policy.queueing != QUEUEING_FIFO &&
		       !ticket_can_meet_objective(ticket, now);
	queue_insert(state, index);
	ticket->service->waiting_requests++;
}

void ticket_defer(struct state *state, uint32_t index)
{
	ticket_dequeue(state, index);
	state->tickets[index].late = true;
	queue_insert(state, index);
	state->tickets[index].service->waiting_requests++;
}

void ticket_dequeue(struct state *state, uint32_t index)
{
	GArray *queue = ticket_queue(state, &state->tickets[index]);
	guint i;

	for (i = 0; i < queue->len; i++) {
		if (g_array_index(queue, uint32_t, i) != index)
			continue;
		g_array_remove_index(queue, i);
		fair_share_remove(state, &state->tickets[index]);
		state->tickets[index].service->waiting_requests--;
		return;
	}
}

void ticket_refuse(struct state *state, uint32_t index, struct refusal refusal,
		   struct instant now, struct event_list *out)
{
	struct ticket *ticket = &state->tickets[index];
	struct class_counters *counters =
		&ticket->service->counters.classes[ticket->class_index];
	struct event event = {
		.kind = EVENT_REFUSE,
		.refuse = { .request = request_ref(ticket->request),
			    .refusal = refusal },
	};

	counters->refused_requests[refusal.cause]++;
	counters->outcome_requests[refusal.outcome]++;
	trace_refusal(state, ticket, &refusal, now, out);
	event_list_add(out, &event);
	ticket_free(state, index);
}

void ticket_refuse_waiting(struct state *state, uint32_t index,
			   struct refusal refusal, struct instant now,
			   struct event_list *out)
{
	refusal.outcome = state->tickets[index].outcome;
	if (refusal.outcome != OUTCOME_NOT_RUN) {
		refusal.cause = REFUSAL_DEADLINE;
		refusal.retry_at_unix_ms = 0;
	}
	ticket_dequeue(state, index);
	ticket_refuse(state, index, refusal, now, out);
}

bool ticket_misses_deadline(const struct ticket *ticket, uint64_t begin_us)
{
	uint64_t needed_us = ticket->sends > 0 ? 0 : ticket_typical_us(ticket);

	return ticket->deadline_us <= begin_us + needed_us;
}

uint64_t ticket_unsent_us(const struct ticket *ticket,
			  const struct evidence *evidence)
{
	if (!evidence->request_sent || evidence->sent_us < ticket->granted_us)
		return 0;
	return evidence->sent_us - ticket->granted_us;
}

uint64_t ticket_typical_us(const struct ticket *ticket)
{
	return ticket->service->route_typical_us[ticket->route_index];
}

bool ticket_exceeds_typical(const struct ticket *ticket, uint32_t permille,
			    uint64_t min_excess_us, struct instant now)
{
	return now.mono_us >
	       ticket_exceeds_typical_at_us(ticket, permille, min_excess_us);
}

uint64_t ticket_exceeds_typical_at_us(const struct ticket *ticket,
				      uint32_t permille, uint64_t min_excess_us)
{
	uint64_t typical_us = ticket_typical_us(ticket);

	if (typical_us == 0)
		return DEADLINE_NONE_US;
	return ticket->granted_us + MAX(typical_us * permille / PERMILLE_ONE,
					typical_us + min_excess_us);
}

bool ticket_can_meet_objective(const struct ticket *ticket, struct instant now)
{
	return now.mono_us + ticket_typical_us(ticket) < ticket->objective_us;
}

uint64_t ticket_sort_key_us(const struct state *state,
			    const struct ticket *ticket)
{
	if (state->policy.queueing == QUEUEING_FIFO)
		return ticket->queued_us;
	return ticket->late ? ticket->deadline_us : ticket->objective_us;
}

uint64_t retry_advice_unix_ms(struct state *state,
			      const struct service *service, struct instant now)
{
	uint64_t ends_us = service ? service_pause_ends_us(service, now) : 0;
	uint32_t min_ms = state->settings->retry_min_ms;
	uint64_t wait_ms = (uint64_t)g_rand_int_range(
		state->rand, (gint32)min_ms,
		(gint32)state->settings->retry_max_ms);

	/* Retries are spread out after the pause, not all at its end. */
	if (ends_us > now.mono_us)
		wait_ms = MAX(wait_ms, (ends_us - now.mono_us) / US_PER_MS +
					       wait_ms - min_ms);
	return now.unix_ms + wait_ms;
}

GArray *ticket_queue(const struct state *state, const struct ticket *ticket)
{
	struct class_queue *queue;

	if (state->policy.queueing == QUEUEING_FIFO)
		return ticket->service->queues[0].short_tickets;
	queue = &ticket->service->queues[ticket->class_index];
	if (ticket->late)
		return queue->late_tickets;
	return ticket->long_work ? queue->long_tickets : queue->short_tickets;
}

/* Inserts by sort key; tickets with equal keys stay in order of arrival. */
static void queue_insert(struct state *state, uint32_t index)
{
	const struct ticket *ticket = &state->tickets[index];
	GArray *queue = ticket_queue(state, ticket);
	uint64_t sort_key_us = ticket_sort_key_us(state, ticket);
	guint low = 0;
	guint high = queue->len;
	guint middle;
	uint32_t other;

	while (low < high) {
		middle = (low + high) / 2;
		other = g_array_index(queue, uint32_t, middle);
		if (ticket_sort_key_us(state, &state->tickets[other]) <=
		    sort_key_us)
			low = middle + 1;
		else
			high = middle;
	}
	g_array_insert_val(queue, low, index);
	fair_share_add(state, ticket);
}

static void count_caller(struct service *service, uint64_t caller_hash,
			 int32_t change)
{
	gpointer value = g_hash_table_lookup(service->callers, &caller_hash);
	int32_t count = GPOINTER_TO_INT(value) + change;
	uint64_t *key;

	if (count <= 0) {
		g_hash_table_remove(service->callers, &caller_hash);
		return;
	}
	key = g_new(uint64_t, 1);
	*key = caller_hash;
	g_hash_table_replace(service->callers, key, GINT_TO_POINTER(count));
}
