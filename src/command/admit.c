#include "command/admit.h"

#include "command/cross.h"
#include "command/fair_share.h"
#include "command/leave.h"
#include "command/member.h"
#include "command/quota.h"
#include "command/retry.h"
#include "command/schedule.h"
#include "command/shedding.h"
#include "command/ticket.h"
#include "command/trace.h"
#include "query/crossing.h"
#include "query/health.h"
#include "query/pick.h"
#include "query/route.h"

/*
 * An overload ends once no request has been refused for lack of slots for this
 * time.
 */
#define OVERLOAD_QUIET_US US_PER_S
/* Longest time that a deadline named by the caller may give a request. */
#define BUDGET_MAX_US (600 * US_PER_S)
/*
 * Callers are limited to their share, and free slots of other failure domains
 * are used regardless of the cost, once a class has this part of its
 * queue_max_requests waiting.
 */
#define QUEUE_LONG_PERMILLE 500

static void refuse_without_ticket(struct state *state, struct request *request,
				  const struct customer *customer,
				  enum refusal_cause cause, struct instant now,
				  struct event_list *out);
static void ticket_fill(struct ticket *ticket, const struct route_match *match,
			const struct admit_command *command,
			struct instant now);
static void use_other_domains(struct state *state, const struct ticket *ticket,
			      struct instant now, struct event_list *out);
static bool check_admission(struct state *state, const struct ticket *ticket,
			    struct instant now, struct event_list *out,
			    enum refusal_cause *cause);
static bool queue_is_full(struct state *state, const struct ticket *ticket);
static bool shed_overfilling_customer(struct state *state,
				      const struct ticket *ticket,
				      struct instant now,
				      struct event_list *out);
static bool over_class_requests(const struct state *state,
				const struct ticket *ticket);
static bool over_caller_share(const struct state *state,
			      const struct ticket *ticket);
static bool would_be_late(const struct state *state,
			  const struct ticket *ticket, struct instant now);
static uint32_t count_ahead(const struct state *state,
			    const struct ticket *ticket);
static bool shed_lower_class(struct state *state, const struct ticket *ticket,
			     struct instant now, struct event_list *out);
static uint32_t last_unsent(const struct state *state,
			    const struct class_queue *queue);
static struct refusal make_refusal(struct state *state,
				   const struct service *service,
				   enum refusal_cause cause,
				   struct instant now);
static void refuse_new(struct state *state, uint32_t index,
		       enum refusal_cause cause, struct instant now,
		       struct event_list *out);

void admit(struct state *state, const struct admit_command *command,
	   struct instant now, struct event_list *out)
{
	struct route_match match;
	struct ticket *ticket;
	uint32_t index;

	if (state->left) {
		refuse_without_ticket(state, command->request, NULL,
				      REFUSAL_LEAVING, now, out);
		return;
	}
	leave_extend_accept(state, now);
	switch (route_find(state, &command->facts, &match)) {
	case ROUTE_FOUND:
		break;
	case ROUTE_NONE:
		refuse_without_ticket(state, command->request, NULL,
				      REFUSAL_NO_SERVICE, now, out);
		return;
	case ROUTE_REJECTED:
		refuse_without_ticket(state, command->request, NULL,
				      REFUSAL_UNUSABLE_ROUTE, now, out);
		return;
	case ROUTE_DENIED:
		refuse_without_ticket(state, command->request, NULL,
				      REFUSAL_UNKNOWN_KEY, now, out);
		return;
	case ROUTE_UNKNOWN:
		member_request_platform_read(state);
		refuse_without_ticket(state, command->request, match.customer,
				      REFUSAL_NOT_READY, now, out);
		return;
	}
	index = ticket_new(state);
	if (index == TICKET_NONE) {
		refuse_without_ticket(state, command->request, match.customer,
				      REFUSAL_QUEUE_FULL, now, out);
		return;
	}
	ticket = &state->tickets[index];
	ticket_fill(ticket, &match, command, now);
	ticket_open(state, index);
	switch (quota_take(state, index, now, out)) {
	case QUOTA_TAKEN:
		admit_with_token(state, index, now, out);
		break;
	case QUOTA_ASKED:
	case QUOTA_REFUSED:
		break;
	}
}

void admit_with_token(struct state *state, uint32_t index, struct instant now,
		      struct event_list *out)
{
	struct ticket *ticket = &state->tickets[index];
	struct service *service = ticket->service;
	enum refusal_cause cause;

	fair_share_arrived(state, ticket, now);
	use_other_domains(state, ticket, now, out);
	if (!check_admission(state, ticket, now, out, &cause)) {
		refuse_new(state, index, cause, now, out);
		return;
	}
	service->counters.classes[ticket->class_index].admitted_requests++;
	retry_earn(state, service, now);
	ticket_enqueue(state, index, now);
	schedule_run(state, service, now, out);
}

void overload_record_refusal(struct state *state, struct service *service,
			     struct instant now, struct event_list *out)
{
	struct audit_record record = {
		.kind = AUDIT_OVERLOAD_BEGUN,
		.cause = CAUSE_QUEUE,
		.detail_kind = AUDIT_DETAIL_QUEUE,
	};

	service->overload_ends_us = now.mono_us + OVERLOAD_QUIET_US;
	service->overload_refused++;
	if (service->overload)
		return;
	service->overload = true;
	service->overload_refused = 1;
	record.service = service->doc->service;
	record.queue.queue_requests = service->waiting_requests;
	record.queue.slots_in_use = service->running_requests;
	record.queue.refused_requests = 1;
	state_audit(state, &record, now, out);
}

void overload_shed(struct state *state, uint32_t index, struct instant now,
		   struct event_list *out)
{
	struct service *service = state->tickets[index].service;

	ticket_dequeue(state, index);
	service->slots_short_until_us = now.mono_us + OVERLOAD_QUIET_US;
	overload_record_refusal(state, service, now, out);
	ticket_refuse(state, index,
		      make_refusal(state, service, REFUSAL_OVERLOAD, now), now,
		      out);
}

void overload_tick(struct state *state, struct service *service,
		   struct instant now, struct event_list *out)
{
	struct audit_record record = {
		.kind = AUDIT_OVERLOAD_ENDED,
		.cause = CAUSE_QUEUE,
		.detail_kind = AUDIT_DETAIL_QUEUE,
	};

	if (!service->overload || now.mono_us < service->overload_ends_us)
		return;
	service->overload = false;
	record.service = service->doc->service;
	record.queue.queue_requests = service->waiting_requests;
	record.queue.slots_in_use = service->running_requests;
	record.queue.refused_requests = service->overload_refused;
	state_audit(state, &record, now, out);
}

static void refuse_without_ticket(struct state *state, struct request *request,
				  const struct customer *customer,
				  enum refusal_cause cause, struct instant now,
				  struct event_list *out)
{
	struct event event = {
		.kind = EVENT_REFUSE,
		.refuse = { .request = request_ref(request),
			    .refusal = make_refusal(state, NULL, cause, now) },
	};

	if (cause == REFUSAL_NO_SERVICE || cause == REFUSAL_UNKNOWN_KEY)
		event.refuse.refusal.retry_at_unix_ms = 0;
	trace_refusal_early(state, customer, request, &event.refuse.refusal,
			    now, out);
	state->refused_early[cause]++;
	event_list_add(out, &event);
}

static void ticket_fill(struct ticket *ticket, const struct route_match *match,
			const struct admit_command *command, struct instant now)
{
	uint64_t deadline_us = now.mono_us + match->budget_ms * US_PER_MS;

	if (command->facts.deadline_us != DEADLINE_NONE_US)
		deadline_us = MIN(command->facts.deadline_us,
				  match->budget_is_limit ?
					  deadline_us :
					  now.mono_us + BUDGET_MAX_US);
	ticket->service = match->service;
	ticket->class_index = match->class_index;
	ticket->route_index = match->route_index;
	ticket->idempotent = match->idempotent;
	ticket->long_work = match->long_work;
	ticket->tries_max = match->tries_max;
	ticket->caller_hash = command->facts.caller_hash;
	ticket->weight_milli = match->weight_milli;
	ticket->drop_credentials = match->drop_credentials;
	if (match->customer) {
		ticket->customer = match->customer->name;
		ticket->customer_hash = match->customer->hash;
	}
	ticket->deadline_us = deadline_us;
	ticket->objective_us =
		match->objective_ms == 0 ?
			deadline_us :
			MIN(now.mono_us + match->objective_ms * US_PER_MS,
			    deadline_us);
	ticket->outcome = OUTCOME_NOT_RUN;
	ticket->request = request_ref(command->request);
}

/*
 * Requests that wait because a crossing to another failure domain has a cost
 * must not lead to a refusal: before one that depends on the queue, free slots
 * of all domains are used.
 */
static void use_other_domains(struct state *state, const struct ticket *ticket,
			      struct instant now, struct event_list *out)
{
	struct service *service = ticket->service;
	const struct class_doc *class =
		&service->doc->classes[ticket->class_index];
	uint32_t waiting = ticket_queue(state, ticket)->len;

	if (!crossing_enabled(state) || service->waiting_requests == 0 ||
	    (waiting * PERMILLE_ONE <
		     class->queue_max_requests * QUEUE_LONG_PERMILLE &&
	     !over_class_requests(state, ticket) &&
	     !would_be_late(state, ticket, now)))
		return;
	if (cross_open(state, service, now))
		schedule_run(state, service, now, out);
}

static bool check_admission(struct state *state, const struct ticket *ticket,
			    struct instant now, struct event_list *out,
			    enum refusal_cause *cause)
{
	*cause = REFUSAL_DEADLINE;
	if (ticket->deadline_us <= now.mono_us)
		return false;
	*cause = REFUSAL_LEAVING;
	if (!leave_admits(state, ticket, now))
		return false;
	*cause = REFUSAL_NO_BACKEND;
	if (ticket->service->backend_count == 0 ||
	    ticket_misses_deadline(ticket,
				   service_pause_ends_us(ticket->service, now)))
		return false;
	/* QUEUEING_FIFO has only the limits of the HTTP front end. */
	if (state->policy.queueing == QUEUEING_FIFO)
		return true;
	*cause = REFUSAL_SHED;
	if (!shedding_admits(ticket->service, now))
		return false;
	*cause = REFUSAL_LONG_SHARE;
	if (ticket->long_work &&
	    state->long_requests > state->long_requests_max)
		return false;
	*cause = REFUSAL_CALLER_SHARE;
	if (over_caller_share(state, ticket))
		return false;
	*cause = REFUSAL_QUEUE_FULL;
	if (queue_is_full(state, ticket) &&
	    (would_be_late(state, ticket, now) ||
	     !shed_overfilling_customer(state, ticket, now, out)))
		return false;
	if (over_class_requests(state, ticket) &&
	    !shed_lower_class(state, ticket, now, out))
		return false;
	*cause = REFUSAL_OVERLOAD;
	return !would_be_late(state, ticket, now);
}

static bool queue_is_full(struct state *state, const struct ticket *ticket)
{
	const struct class_doc *class =
		&ticket->service->doc->classes[ticket->class_index];

	return ticket_queue(state, ticket)->len >= class->queue_max_requests;
}

/*
 * Makes room in a full queue that another customer than that of @ticket fills:
 * sheds that customer's newest request that was not sent.
 */
static bool shed_overfilling_customer(struct state *state,
				      const struct ticket *ticket,
				      struct instant now,
				      struct event_list *out)
{
	uint32_t victim = fair_share_overfilling(state, ticket);

	if (victim == TICKET_NONE)
		return false;
	overload_shed(state, victim, now, out);
	return true;
}

/*
 * The lower the class of a request, the fewer requests may be in progress when
 * it is admitted: with n higher classes 1 - n / (2 * (n + 1)) of requests_max.
 */
static bool over_class_requests(const struct state *state,
				const struct ticket *ticket)
{
	const struct service_doc *doc = ticket->service->doc;
	uint32_t requests_max = state->settings->requests_max;
	uint32_t own_priority = doc->classes[ticket->class_index].priority;
	uint32_t higher_classes = 0;
	uint32_t i;

	for (i = 0; i < doc->class_count; i++)
		higher_classes += doc->classes[i].priority < own_priority;
	return state->admitted_requests >
	       requests_max - requests_max * higher_classes /
				      (2 * (higher_classes + 1));
}

/*
 * A caller may have up to twice an equal share of the service's requests at
 * this instance. A known customer counts in place of the caller's address.
 */
static bool over_caller_share(const struct state *state,
			      const struct ticket *ticket)
{
	const struct service *service = ticket->service;
	uint32_t queue_max =
		service->doc->classes[ticket->class_index].queue_max_requests;
	uint32_t waiting = ticket_queue(state, ticket)->len;
	uint32_t callers = g_hash_table_size(service->callers);
	uint32_t own_requests = GPOINTER_TO_UINT(
		g_hash_table_lookup(service->callers, &ticket->caller_hash));

	if (waiting * PERMILLE_ONE < queue_max * QUEUE_LONG_PERMILLE)
		return false;
	if (ticket->customer_hash != 0)
		return fair_share_exceeded(state, ticket);
	if (callers < 2)
		return false;
	return own_requests * callers >
	       2 * (service->waiting_requests + service->running_requests);
}

/*
 * Whether a request would end too late after the expected wait: after its
 * objective while the service has a backlog, else after its deadline.
 */
static bool would_be_late(const struct state *state,
			  const struct ticket *ticket, struct instant now)
{
	const struct service *service = ticket->service;
	uint64_t wait_us = service_expected_wait_us(
		service, count_ahead(state, ticket), now);

	if (wait_us == 0)
		return false;
	return now.mono_us + wait_us + ticket_typical_us(ticket) >
	       (service_backlogged(service, now) ? ticket->objective_us :
						   ticket->deadline_us);
}

/* Number of waiting requests that are granted a slot before @ticket. */
static uint32_t count_ahead(const struct state *state,
			    const struct ticket *ticket)
{
	const struct service *service = ticket->service;
	const struct service_doc *doc = service->doc;
	uint32_t own_priority = doc->classes[ticket->class_index].priority;
	uint32_t ahead = 0;
	uint32_t i;

	for (i = 0; i < doc->class_count; i++) {
		if (doc->classes[i].priority < own_priority)
			ahead += service->queues[i].short_tickets->len;
	}
	return ahead + fair_share_ahead(state, ticket);
}

/*
 * Sheds the last waiting request of the lowest class below that of @ticket, to
 * make room for @ticket. Requests that were sent before are kept.
 *
 * Return: false when there is no such request.
 */
static bool shed_lower_class(struct state *state, const struct ticket *ticket,
			     struct instant now, struct event_list *out)
{
	struct service *service = ticket->service;
	const struct service_doc *doc = service->doc;
	uint32_t lowest_priority = doc->classes[ticket->class_index].priority;
	uint32_t victim = TICKET_NONE;
	uint32_t last;
	uint32_t i;

	for (i = 0; i < doc->class_count; i++) {
		if (doc->classes[i].priority <= lowest_priority)
			continue;
		last = last_unsent(state, &service->queues[i]);
		if (last == TICKET_NONE)
			continue;
		lowest_priority = doc->classes[i].priority;
		victim = last;
	}
	if (victim == TICKET_NONE)
		return false;
	overload_shed(state, victim, now, out);
	return true;
}

/*
 * Return: ticket of the class that would be granted last among those that were
 * sent to no backend server yet, or TICKET_NONE.
 */
static uint32_t last_unsent(const struct state *state,
			    const struct class_queue *queue)
{
	const GArray *queues[] = { queue->late_tickets, queue->long_tickets,
				   queue->short_tickets };
	uint32_t index;
	guint i;
	guint k;

	for (i = 0; i < G_N_ELEMENTS(queues); i++) {
		for (k = queues[i]->len; k > 0; k--) {
			index = g_array_index(queues[i], uint32_t, k - 1);
			if (state->tickets[index].sends == 0)
				return index;
		}
	}
	return TICKET_NONE;
}

static struct refusal make_refusal(struct state *state,
				   const struct service *service,
				   enum refusal_cause cause, struct instant now)
{
	struct refusal refusal = {
		.cause = cause,
		.outcome = OUTCOME_NOT_RUN,
		.retry_at_unix_ms = retry_advice_unix_ms(state, service, now),
	};

	return refusal;
}

static void refuse_new(struct state *state, uint32_t index,
		       enum refusal_cause cause, struct instant now,
		       struct event_list *out)
{
	struct ticket *ticket = &state->tickets[index];
	struct refusal refusal =
		make_refusal(state, ticket->service, cause, now);

	if (cause == REFUSAL_OVERLOAD || cause == REFUSAL_QUEUE_FULL)
		ticket->service->slots_short_until_us =
			now.mono_us + OVERLOAD_QUIET_US;
	if (cause != REFUSAL_DEADLINE && cause != REFUSAL_NO_BACKEND &&
	    cause != REFUSAL_LEAVING && cause != REFUSAL_SHED)
		overload_record_refusal(state, ticket->service, now, out);
	ticket_refuse(state, index, refusal, now, out);
}
