#include "command/finish.h"

#include "command/cross.h"
#include "command/health.h"
#include "command/leave.h"
#include "command/load_report.h"
#include "command/quota.h"
#include "command/recall.h"
#include "command/retry.h"
#include "command/schedule.h"
#include "command/shedding.h"
#include "command/ticket.h"
#include "command/trace.h"
#include "query/health.h"
#include "query/shed_window.h"

/* The mean service time changes by 1 / 8 of the difference to a new value. */
#define MEAN_DIVISOR 8

static uint32_t find_running(const struct state *state,
			     struct exchange_id exchange);
static void update_statistics(struct service *service,
			      const struct ticket *ticket,
			      const struct evidence *evidence,
			      struct instant now);
static void settle_request(struct state *state, uint32_t index,
			   struct finish_command *command, struct instant now,
			   struct event_list *out);
static void requeue_unsent(struct state *state, uint32_t index,
			   const struct evidence *evidence, struct instant now,
			   struct event_list *out);
static void deliver_held(struct state *state, uint32_t index,
			 struct finish_command *command, struct instant now,
			 struct event_list *out);
static bool may_retry(const struct state *state, const struct ticket *ticket,
		      const struct evidence *evidence, struct instant now);
static bool untried_backend_left(const struct ticket *ticket,
				 struct instant now);
static bool spend_retry(const struct state *state, struct ticket *ticket,
			struct instant now);
static void retry(struct state *state, uint32_t index, struct net_addr backend,
		  const struct evidence *evidence, struct instant now);
static enum outcome outcome_so_far(const struct ticket *ticket,
				   const struct evidence *evidence);
static enum refusal_cause refusal_cause_of(enum evidence_kind kind);
static void count_outcome(struct ticket *ticket, enum outcome outcome);

void finish(struct state *state, struct finish_command *command,
	    struct instant now, struct event_list *out)
{
	uint32_t index = find_running(state, command->exchange);
	struct service *service;
	struct backend *backend;
	struct ticket *ticket;

	if (index == TICKET_NONE)
		return;
	ticket = &state->tickets[index];
	service = ticket->service;
	backend = &service->backends[ticket->backend_index];
	update_statistics(service, ticket, &command->evidence, now);
	health_observe_exchange(state, service, backend, ticket,
				&command->evidence, now, out);
	shedding_observe(state, service, &command->evidence, now);
	load_report_observe(state, service, backend, &command->evidence, now);
	if (shedding_enabled(state) && evidence_overloaded(&command->evidence))
		ticket->shed = true;
	if (command->evidence.request_sent)
		ticket->has_token = false;
	schedule_release(state, index);
	settle_request(state, index, command, now, out);
	if (backend_notice_given(&command->evidence.notice))
		recall_unsent(state, service, now, out);
	schedule_run(state, service, now, out);
}

void observe_answer_notice(struct state *state,
			   const struct observe_answer_notice_command *command,
			   struct instant now, struct event_list *out)
{
	uint32_t index = find_running(state, command->exchange);
	const struct ticket *ticket;
	struct service *service;

	if (index == TICKET_NONE)
		return;
	ticket = &state->tickets[index];
	service = ticket->service;
	health_observe_notice(state, service,
			      &service->backends[ticket->backend_index],
			      &command->notice, now, out);
	recall_unsent(state, service, now, out);
	schedule_run(state, service, now, out);
}

void cancel(struct state *state, const struct cancel_command *command,
	    struct instant now, struct event_list *out)
{
	struct event event = { .kind = EVENT_CANCEL };
	struct ticket *ticket;
	gpointer value;
	uint32_t index;

	if (!g_hash_table_lookup_extended(state->ticket_by_request,
					  command->request, NULL, &value))
		return;
	index = GPOINTER_TO_UINT(value);
	ticket = &state->tickets[index];
	ticket->cancelled = true;
	if (ticket->state == TICKET_ASKING)
		quota_cancel(state, index);
	if (ticket->state == TICKET_QUEUED)
		ticket_dequeue(state, index);
	if (ticket->state != TICKET_RUNNING) {
		count_outcome(ticket, ticket->outcome);
		ticket_free(state, index, now);
		return;
	}
	event.cancel.exchange.index = index;
	event.cancel.exchange.generation = ticket->generation;
	event_list_add(out, &event);
}

/* Return: ticket of the exchange, TICKET_NONE when the exchange has ended. */
static uint32_t find_running(const struct state *state,
			     struct exchange_id exchange)
{
	uint32_t index = ticket_find(state, exchange);

	if (index == TICKET_NONE ||
	    state->tickets[index].state != TICKET_RUNNING)
		return TICKET_NONE;
	return index;
}

static void update_statistics(struct service *service,
			      const struct ticket *ticket,
			      const struct evidence *evidence,
			      struct instant now)
{
	struct class_counters *counters =
		&service->counters.classes[ticket->class_index];
	uint64_t slot_us = now.mono_us - ticket->granted_us;
	int64_t difference_us;

	histogram_add(&counters->slot_us, slot_us);
	cross_observe(service, evidence, slot_us);
	if (evidence->request_sent)
		histogram_add(&counters->unsent_us,
			      ticket_unsent_us(ticket, evidence));
	if (backend_sent_after_close_us(
		    &service->backends[ticket->backend_index], evidence) > 0)
		service->counters.sent_closed_requests++;
	if (evidence->kind != EVIDENCE_OK)
		return;
	if (service->mean_service_us == 0) {
		service->mean_service_us = slot_us;
		return;
	}
	difference_us = (int64_t)slot_us - (int64_t)service->mean_service_us;
	service->mean_service_us =
		(uint64_t)((int64_t)service->mean_service_us +
			   difference_us / MEAN_DIVISOR);
}

static void settle_request(struct state *state, uint32_t index,
			   struct finish_command *command, struct instant now,
			   struct event_list *out)
{
	const struct evidence *evidence = &command->evidence;
	struct ticket *ticket = &state->tickets[index];
	struct refusal refusal = { 0 };

	if (evidence->kind == EVIDENCE_OK || evidence->head_given) {
		trace_end(state, ticket, evidence, FOLLOW_ANSWER, now, out);
		count_outcome(ticket,
			      evidence->kind == EVIDENCE_OK ||
					      evidence->kind ==
						      EVIDENCE_SERVER_ERROR ?
				      OUTCOME_COMPLETE :
				      OUTCOME_UNKNOWN);
		ticket_free(state, index, now);
		return;
	}
	if (evidence->kind == EVIDENCE_LATE && !ticket->cancelled &&
	    !evidence->request_sent) {
		requeue_unsent(state, index, evidence, now, out);
		return;
	}
	if (may_retry(state, ticket, evidence, now)) {
		/* A try that was not sent costs no retry budget. */
		if (!evidence->request_sent ||
		    spend_retry(state, ticket, now)) {
			trace_end(state, ticket, evidence, FOLLOW_RETRY, now,
				  out);
			retry(state, index, command->backend, evidence, now);
			return;
		}
		ticket->service->counters.retries_denied++;
	}
	if (command->held) {
		trace_end(state, ticket, evidence, FOLLOW_ANSWER, now, out);
		deliver_held(state, index, command, now, out);
		return;
	}
	trace_end(state, ticket, evidence,
		  ticket->cancelled ? FOLLOW_NOTHING : FOLLOW_REFUSAL, now,
		  out);
	refusal.cause = refusal_cause_of(evidence->kind);
	refusal.outcome = outcome_so_far(ticket, evidence);
	if (refusal.outcome == OUTCOME_NOT_RUN)
		refusal.retry_at_unix_ms =
			retry_advice_unix_ms(state, ticket->service, now);
	ticket_refuse(state, index, refusal, now, out);
}

/*
 * Handles a try of which nothing was sent, because the process was paused, the
 * lease of the slot ended or the grant was recalled. The request waits again if
 * its deadline and a planned stop allow.
 */
static void requeue_unsent(struct state *state, uint32_t index,
			   const struct evidence *evidence, struct instant now,
			   struct event_list *out)
{
	struct ticket *ticket = &state->tickets[index];
	bool admitted = !state->left && leave_admits(state, ticket, now);
	bool in_time = admitted && now.mono_us < ticket->deadline_us;
	struct refusal refusal = {
		.cause = admitted ? REFUSAL_DEADLINE : REFUSAL_LEAVING,
		.outcome = ticket->outcome,
	};

	trace_end(state, ticket, evidence,
		  in_time ? FOLLOW_CHOOSE_AGAIN : FOLLOW_REFUSAL, now, out);
	retry_release(ticket);
	if (in_time)
		ticket_enqueue(state, index, now);
	else
		ticket_refuse(state, index, refusal, now, out);
}

/* Delivers the server error of the backend server to the caller unchanged. */
static void deliver_held(struct state *state, uint32_t index,
			 struct finish_command *command, struct instant now,
			 struct event_list *out)
{
	struct ticket *ticket = &state->tickets[index];
	struct event event = {
		.kind = EVENT_DELIVER,
		.deliver = { .request = request_ref(ticket->request),
			     .held = command->held },
	};

	command->held = NULL;
	event_list_add(out, &event);
	count_outcome(ticket, OUTCOME_COMPLETE);
	ticket_free(state, index, now);
}

static bool may_retry(const struct state *state, const struct ticket *ticket,
		      const struct evidence *evidence, struct instant now)
{
	if (ticket->cancelled || evidence->kind == EVIDENCE_CANCELLED ||
	    evidence->kind == EVIDENCE_LATE)
		return false;
	if (!ticket->idempotent && !evidence_not_run(evidence))
		return false;
	/* A try that reached no backend server does not count as sent. */
	if (ticket->sends + evidence->request_sent >= ticket->tries_max ||
	    ticket->tried_count + 1 >= TICKET_TRIES_MAX)
		return false;
	if (ticket->shed && !untried_backend_left(ticket, now))
		return false;
	/* It starts work as well, which may outlast a planned stop. */
	if (!leave_admits(state, ticket, now))
		return false;
	return now.mono_us + ticket_typical_us(ticket) < ticket->deadline_us;
}

/*
 * Without another backend server, a request that was shed would wait until its
 * deadline. Its caller gets the refusal at once.
 */
static bool untried_backend_left(const struct ticket *ticket,
				 struct instant now)
{
	const struct service *service = ticket->service;
	const struct backend *backend;
	uint32_t left = service->backend_count;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[i];
		if (i == ticket->backend_index ||
		    backend_draining(backend, now)) {
			left--;
			continue;
		}
		for (j = 0; j < ticket->tried_count; j++) {
			if (addr_equal(ticket->tried[j], backend->addr))
				break;
		}
		left -= j < ticket->tried_count;
	}
	return left > 0;
}

static bool spend_retry(const struct state *state, struct ticket *ticket,
			struct instant now)
{
	if (shed_window_active(ticket->service, now))
		return false;
	if (!ticket->retry_reserved && !retry_reserve(state, ticket, now))
		return false;
	ticket->retry_reserved = false;
	ticket->service->counters.retries++;
	return true;
}

static void retry(struct state *state, uint32_t index, struct net_addr backend,
		  const struct evidence *evidence, struct instant now)
{
	struct ticket *ticket = &state->tickets[index];

	ticket->outcome = outcome_so_far(ticket, evidence);
	/* The backend server itself has not failed and may be chosen again. */
	if (evidence->kind == EVIDENCE_STALE)
		ticket->connection_stale = true;
	else
		ticket->tried[ticket->tried_count++] = backend;
	ticket->sends += evidence->request_sent;
	ticket_enqueue(state, index, now);
}

/* Return: OUTCOME_NOT_RUN only when it is certain that no try has run. */
static enum outcome outcome_so_far(const struct ticket *ticket,
				   const struct evidence *evidence)
{
	if (evidence_not_run(evidence))
		return ticket->outcome;
	return OUTCOME_UNKNOWN;
}

static enum refusal_cause refusal_cause_of(enum evidence_kind kind)
{
	switch (kind) {
	case EVIDENCE_SHED:
		return REFUSAL_SHED;
	case EVIDENCE_CONNECT:
		return REFUSAL_CONNECT;
	case EVIDENCE_TIMEOUT:
		return REFUSAL_BACKEND_TIMEOUT;
	case EVIDENCE_BAD_ANSWER:
		return REFUSAL_BAD_ANSWER;
	case EVIDENCE_CANCELLED:
		return REFUSAL_CALLER_GONE;
	case EVIDENCE_LATE:
		return REFUSAL_DEADLINE;
	case EVIDENCE_OK:
	case EVIDENCE_SERVER_ERROR:
	case EVIDENCE_STALE:
	case EVIDENCE_RESET:
	case EVIDENCE_TRUNCATED:
		return REFUSAL_BACKEND_BROKEN;
	}
	return REFUSAL_BACKEND_BROKEN;
}

static void count_outcome(struct ticket *ticket, enum outcome outcome)
{
	struct class_counters *counters =
		&ticket->service->counters.classes[ticket->class_index];

	counters->outcome_requests[outcome]++;
}
