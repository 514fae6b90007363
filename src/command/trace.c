#include "command/trace.h"

#include <string.h>

#include "command/ticket.h"
#include "query/health.h"

static void fill_common(const struct state *state,
			const struct request *request, struct instant now,
			struct trace_record *record);
static void fill_ticket(const struct state *state, const struct ticket *ticket,
			struct instant now, struct trace_record *record);
static void fill_refusal(const struct refusal *refusal, struct instant now,
			 struct trace_record *record);
static void emit_record(const struct state *state,
			const struct trace_record *record,
			struct event_list *out);

void trace_grant(struct state *state, const struct ticket *ticket,
		 const struct trace_choice *choice, struct instant now,
		 struct event_list *out)
{
	const struct backend *backend =
		&ticket->service->backends[ticket->backend_index];
	struct trace_record record = { .kind = TRACE_GRANTED };

	fill_ticket(state, ticket, now, &record);
	record.granted.backend = backend->addr;
	record.granted.instance = backend->start.instance;
	record.granted.own_slots = backend->own_slots;
	record.granted.in_use_slots = backend->in_use_slots;
	record.granted.borrowed = ticket->borrowed_index != TICKET_NONE;
	record.granted.waited_us = now.mono_us - ticket->queued_us;
	record.granted.choice = *choice;
	emit_record(state, &record, out);
}

void trace_end(struct state *state, const struct ticket *ticket,
	       const struct evidence *evidence, enum trace_follow follow,
	       struct instant now, struct event_list *out)
{
	const struct backend *backend =
		&ticket->service->backends[ticket->backend_index];
	struct trace_record record = { .kind = TRACE_ENDED };

	fill_ticket(state, ticket, now, &record);
	record.ended.backend = backend->addr;
	record.ended.instance = backend->start.instance;
	record.ended.kind = evidence->kind;
	record.ended.sent = evidence->request_sent;
	record.ended.status = evidence->status;
	record.ended.service_us = evidence->service_us;
	record.ended.unsent_us = ticket_unsent_us(ticket, evidence);
	record.ended.closed_us = backend_sent_after_close_us(backend, evidence);
	record.ended.follow = follow;
	emit_record(state, &record, out);
}

void trace_refusal(struct state *state, const struct ticket *ticket,
		   const struct refusal *refusal, struct instant now,
		   struct event_list *out)
{
	struct trace_record record = { .kind = TRACE_REFUSED };

	fill_ticket(state, ticket, now, &record);
	fill_refusal(refusal, now, &record);
	emit_record(state, &record, out);
}

void trace_refusal_early(struct state *state, const struct customer *customer,
			 const struct request *request,
			 const struct refusal *refusal, struct instant now,
			 struct event_list *out)
{
	struct trace_record record = { .kind = TRACE_REFUSED };

	fill_common(state, request, now, &record);
	if (customer)
		record.customer = customer->name;
	fill_refusal(refusal, now, &record);
	emit_record(state, &record, out);
}

static void fill_refusal(const struct refusal *refusal, struct instant now,
			 struct trace_record *record)
{
	record->refused.cause = refusal->cause;
	record->refused.outcome = refusal->outcome;
	if (refusal->retry_at_unix_ms > now.unix_ms)
		record->refused.retry_ms =
			(uint32_t)(refusal->retry_at_unix_ms - now.unix_ms);
}

static void fill_common(const struct state *state,
			const struct request *request, struct instant now,
			struct trace_record *record)
{
	record->unix_ms = now.unix_ms;
	g_strlcpy(record->request_id, request->id, NAME_BYTES_MAX);
	if (state->routes)
		record->routes_version = state->routes->version;
}

static void fill_ticket(const struct state *state, const struct ticket *ticket,
			struct instant now, struct trace_record *record)
{
	const struct service *service = ticket->service;

	fill_common(state, ticket->request, now, record);
	record->customer = ticket->customer;
	record->service = service->doc->service;
	record->document_version = service->doc->version;
	if (ticket->deadline_us > now.mono_us)
		record->left_us = ticket->deadline_us - now.mono_us;
	record->tries = ticket->tried_count;
	record->waiting_requests = service->waiting_requests;
	record->running_requests = service->running_requests;
}

static void emit_record(const struct state *state,
			const struct trace_record *record,
			struct event_list *out)
{
	struct event event = { .kind = EVENT_TRACE, .trace = *record };

	switch ((enum log_requests)state->settings->log_requests) {
	case LOG_REQUESTS_NONE:
		return;
	case LOG_REQUESTS_FAILED:
		if (trace_is_routine(record))
			return;
		break;
	case LOG_REQUESTS_ALL:
		break;
	}
	event_list_add(out, &event);
}
