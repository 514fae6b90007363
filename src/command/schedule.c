#include "command/schedule.h"

#include "command/cross.h"
#include "command/fair_share.h"
#include "command/lease.h"
#include "command/retry.h"
#include "command/ticket.h"
#include "command/trace.h"
#include "command/waiting.h"
#include "query/pick.h"

/* One grant in this many tries the lowest class first, against starvation. */
#define LOWEST_CLASS_INTERVAL 16
/*
 * The mean gap between grants changes by 1 / 8 of the difference to a new one.
 */
#define MEAN_GAP_DIVISOR 8
/*
 * Long work leaves room for the peak of short work within the current window of
 * this length and the previous one.
 */
#define SHORT_WINDOW_US (2 * US_PER_S)

static void update_short_peak(struct service *service, struct instant now);
static bool grant_next(struct state *state, struct service *service,
		       struct instant now, struct event_list *out);
static bool grant_class(struct state *state, struct service *service,
			uint32_t class_index, struct instant now,
			struct event_list *out);
static bool grant_head(struct state *state, struct service *service,
		       GArray *queue, struct instant now,
		       struct event_list *out);
static bool find_grantable(const struct state *state,
			   const struct service *service, const GArray *queue,
			   struct instant now, uint32_t *index,
			   struct pick *pick);
static void update_grant_gap(struct service *service, struct instant now);
static uint32_t class_by_priority(const struct service_doc *doc,
				  uint32_t place);
static void grant(struct state *state, uint32_t index, const struct pick *pick,
		  struct instant now, struct event_list *out);
static bool may_use_kept(const struct state *state, const struct ticket *ticket,
			 struct instant now);
static void occupy_slot(const struct state *state, struct service *service,
			struct ticket *ticket);
static uint32_t connections_share(const struct service *service,
				  const struct backend *backend);

void schedule_run(struct state *state, struct service *service,
		  struct instant now, struct event_list *out)
{
	update_short_peak(service, now);
	waiting_prune(state, service, now, out);
	cross_update(state, service, now, out);
	while (service->waiting_requests > 0 &&
	       grant_next(state, service, now, out))
		;
	if (service->waiting_requests > 0)
		lease_request(state, service, now, out);
}

void schedule_release(struct state *state, uint32_t index)
{
	struct ticket *ticket = &state->tickets[index];
	struct service *service = ticket->service;
	struct backend *backend = &service->backends[ticket->backend_index];

	service->running_requests--;
	if (ticket->long_work)
		service->running_long_requests--;
	if (ticket->borrowed_index != TICKET_NONE) {
		service->borrowed[ticket->borrowed_index].in_use_slots--;
		ticket->borrowed_index = TICKET_NONE;
		return;
	}
	cross_end(service, ticket);
	backend->in_use_slots--;
	if (ticket->on_long_slot)
		backend->in_use_long_slots--;
	ticket->on_long_slot = false;
}

static void update_short_peak(struct service *service, struct instant now)
{
	uint32_t requests =
		service->running_requests - service->running_long_requests;
	uint32_t i;

	for (i = 0; i < DOC_CLASSES_MAX; i++)
		requests += service->queues[i].short_tickets->len;
	if (now.mono_us >= service->short_window_ends_us) {
		service->short_window_ends_us = now.mono_us + SHORT_WINDOW_US;
		service->short_peak_requests[1] =
			service->short_peak_requests[0];
		service->short_peak_requests[0] = 0;
	}
	service->short_peak_requests[0] =
		MAX(service->short_peak_requests[0], requests);
}

static bool grant_next(struct state *state, struct service *service,
		       struct instant now, struct event_list *out)
{
	const struct service_doc *doc = service->doc;
	uint32_t class_index;
	uint32_t place;

	if (state->policy.queueing == QUEUEING_FIFO)
		return grant_class(state, service, 0, now, out);
	if (service->grants % LOWEST_CLASS_INTERVAL ==
	    LOWEST_CLASS_INTERVAL - 1) {
		class_index = class_by_priority(doc, doc->class_count - 1);
		if (grant_class(state, service, class_index, now, out))
			return true;
	}
	for (place = 0; place < doc->class_count; place++) {
		class_index = class_by_priority(doc, place);
		if (grant_class(state, service, class_index, now, out))
			return true;
	}
	for (place = 0; place < doc->class_count; place++) {
		class_index = class_by_priority(doc, place);
		if (grant_head(state, service,
			       service->queues[class_index].late_tickets, now,
			       out))
			return true;
	}
	return false;
}

/* Short work goes first, so that it never waits for long work of its class. */
static bool grant_class(struct state *state, struct service *service,
			uint32_t class_index, struct instant now,
			struct event_list *out)
{
	struct class_queue *queue = &service->queues[class_index];

	if (grant_head(state, service, queue->short_tickets, now, out))
		return true;
	return grant_head(state, service, queue->long_tickets, now, out);
}

static bool grant_head(struct state *state, struct service *service,
		       GArray *queue, struct instant now,
		       struct event_list *out)
{
	struct pick pick;
	uint32_t index;

	if (!find_grantable(state, service, queue, now, &index, &pick))
		return false;
	fair_share_charge(state, &state->tickets[index]);
	ticket_dequeue(state, index);
	update_grant_gap(service, now);
	grant(state, index, &pick, now, out);
	return true;
}

/*
 * Finds the request of a queue that is granted next and its slot. Requests that
 * were shed are first in the queue and cannot use the slots of the backend
 * servers that shed them; if no other is free, those behind them are not held
 * up.
 */
static bool find_grantable(const struct state *state,
			   const struct service *service, const GArray *queue,
			   struct instant now, uint32_t *index,
			   struct pick *pick)
{
	guint first = 0;

	while (first < queue->len) {
		*index = g_array_index(queue, uint32_t, first);
		if (!state->tickets[*index].shed)
			break;
		if (pick_slot(state, service, &state->tickets[*index], now,
			      pick))
			return true;
		first++;
	}
	if (first == queue->len)
		return false;
	*index = fair_share_next(state, queue, first);
	return pick_slot(state, service, &state->tickets[*index], now, pick);
}

/* Updates the mean gap between grants while other requests wait. */
static void update_grant_gap(struct service *service, struct instant now)
{
	int64_t difference_us;

	if (service->waiting_requests == 0) {
		service->backlog_grant_us = 0;
		service->backlog_grants = 0;
		return;
	}
	if (service->backlog_grant_us != 0) {
		difference_us =
			(int64_t)(now.mono_us - service->backlog_grant_us) -
			(int64_t)service->backlog_gap_us;
		if (service->backlog_grants == 1)
			service->backlog_gap_us =
				now.mono_us - service->backlog_grant_us;
		else
			service->backlog_gap_us =
				(uint64_t)((int64_t)service->backlog_gap_us +
					   difference_us / MEAN_GAP_DIVISOR);
	}
	service->backlog_grant_us = now.mono_us;
	service->backlog_grants++;
}

/* Return: index of the class at @place in order of priority, 0 being first. */
static uint32_t class_by_priority(const struct service_doc *doc, uint32_t place)
{
	uint32_t classes_before;
	uint32_t own_priority;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < doc->class_count; i++) {
		own_priority = doc->classes[i].priority;
		classes_before = 0;
		for (j = 0; j < doc->class_count; j++) {
			if (doc->classes[j].priority < own_priority ||
			    (j < i && doc->classes[j].priority == own_priority))
				classes_before++;
		}
		if (classes_before == place)
			return i;
	}
	return 0;
}

static void grant(struct state *state, uint32_t index, const struct pick *pick,
		  struct instant now, struct event_list *out)
{
	struct ticket *ticket = &state->tickets[index];
	struct service *service = ticket->service;
	struct backend *backend = &service->backends[pick->backend_index];
	struct event event = { .kind = EVENT_GRANT };
	struct grant_event *granted = &event.grant;

	ticket->state = TICKET_RUNNING;
	ticket->granted_us = now.mono_us;
	ticket->recalled = false;
	ticket->backend_index = pick->backend_index;
	ticket->borrowed_index = pick->borrowed_index;
	trace_grant(state, ticket, &pick->choice, now, out);
	occupy_slot(state, service, ticket);
	service->counters.idle_requests += pick->left_idle;
	histogram_add(&service->counters.classes[ticket->class_index].queue_us,
		      now.mono_us - ticket->queued_us);
	granted->exchange.index = index;
	granted->exchange.generation = ticket->generation;
	granted->request = request_ref(ticket->request);
	granted->backend = backend->addr;
	granted->instance = backend->start.instance;
	granted->customer = ticket->customer;
	granted->drop_credentials = ticket->drop_credentials;
	granted->deadline_us = ticket->deadline_us;
	granted->send_before_us = ticket->deadline_us;
	if (pick->borrowed_index != TICKET_NONE)
		granted->send_before_us =
			MIN(ticket->deadline_us,
			    service->borrowed[pick->borrowed_index].expires_us);
	granted->hold_server_error = ticket->idempotent;
	granted->keep_connection = ticket->idempotent;
	granted->use_kept = may_use_kept(state, ticket, now);
	granted->connections_max = connections_share(service, backend);
	granted->shed = service->doc->shed;
	granted->drain = service->doc->drain;
	event_list_add(out, &event);
}

/*
 * A kept connection may prove stale after the request was sent. Only a request
 * that may then be sent once more, and whose retry can be paid, takes that risk.
 */
static bool may_use_kept(const struct state *state, const struct ticket *ticket,
			 struct instant now)
{
	return ticket->idempotent && !ticket->connection_stale &&
	       ticket->sends + 1 < ticket->tries_max &&
	       retry_affordable(state, ticket, now);
}

static void occupy_slot(const struct state *state, struct service *service,
			struct ticket *ticket)
{
	struct backend *backend = &service->backends[ticket->backend_index];

	service->grants++;
	service->running_requests++;
	service->round_robin_next =
		(ticket->backend_index + 1) % service->backend_count;
	if (ticket->long_work)
		service->running_long_requests++;
	if (ticket->borrowed_index != TICKET_NONE) {
		service->borrowed[ticket->borrowed_index].in_use_slots++;
		return;
	}
	cross_begin(state, service, ticket);
	backend->health.last_granted_us = ticket->granted_us;
	backend->in_use_slots++;
	ticket->on_long_slot = ticket->long_work;
	if (ticket->on_long_slot)
		backend->in_use_long_slots++;
}

/*
 * The homes split the connections of a backend server equally. One more share
 * is a reserve for the instances that are no homes.
 */
static uint32_t connections_share(const struct service *service,
				  const struct backend *backend)
{
	uint32_t share = backend->connections_max /
			 MAX(service->home_count + 1, UINT32_C(1));

	return MAX(share, UINT32_C(1));
}
