#include "command/leave.h"

#include "command/member.h"
#include "command/ticket.h"
#include "query/listing.h"

/* Time for which callers may use an answer to entries after it has expired. */
#define ENTRIES_MARGIN_US (500 * US_PER_MS)
/*
 * Shortest time for which a planned stop accepts requests after the latest one,
 * since further callers may use outdated entries.
 */
#define LATE_CALLERS_US US_PER_S
/*
 * A request whose deadline is after the end of the planned stop is started only
 * if this many times its typical duration passes before the end.
 */
#define WORK_FACTOR 2

static void refuse_waiting(struct state *state, struct instant now,
			   struct event_list *out);
static void cancel_running(struct state *state, struct event_list *out);

void leave(struct state *state, const struct leave_command *command,
	   struct instant now, struct event_list *out)
{
	struct audit_record record = {
		.kind = AUDIT_LEAVING,
		.cause = CAUSE_SIGNAL,
	};

	if (!state->leaving) {
		state->leaving = true;
		state->leave_accept_until_us =
			now.mono_us +
			state->settings->entries_ttl_ms * US_PER_MS +
			ENTRIES_MARGIN_US;
		state->stop = stop_times(command->signalled_us,
					 state->settings->stop_grace_ms);
		record.subject = state->membership.self.peer;
		state_audit(state, &record, now, out);
		state->membership.members_digest = members_digest(state);
		member_announce_self(state, now, out);
	}
	if (command->hurry) {
		state->leave_hurried = true;
		state->leave_accept_until_us = now.mono_us;
	}
}

void leave_extend_accept(struct state *state, struct instant now)
{
	uint64_t until_us =
		MIN(now.mono_us + LATE_CALLERS_US, state->stop.work_ends_us);

	if (!state->leaving || state->leave_hurried)
		return;
	state->leave_accept_until_us =
		MAX(state->leave_accept_until_us, until_us);
}

/*
 * Later in a planned stop, only requests whose own deadline ends them in time
 * are started: a backend server may hang, and the caller can still use another
 * instance.
 */
bool leave_admits(const struct state *state, const struct ticket *ticket,
		  struct instant now)
{
	uint64_t work_us = WORK_FACTOR * ticket_typical_us(ticket);

	if (!state->leaving || ticket->deadline_us <= state->stop.work_ends_us)
		return true;
	if (now.mono_us >= state->stop.starts_bounded_us)
		return false;
	return now.mono_us + work_us <= state->stop.work_ends_us;
}

void leave_tick(struct state *state, struct instant now, struct event_list *out)
{
	struct event event = { .kind = EVENT_LEFT,
			       .left = { .stop = state->stop } };

	if (!state->leaving || state->left)
		return;
	refuse_waiting(state, now, out);
	if (now.mono_us < state->leave_accept_until_us)
		return;
	if (state->admitted_requests > 0 &&
	    now.mono_us < state->stop.work_ends_us)
		return;
	cancel_running(state, out);
	state->left = true;
	event_list_add(out, &event);
}

static void refuse_waiting(struct state *state, struct instant now,
			   struct event_list *out)
{
	struct refusal refusal = {
		.cause = REFUSAL_LEAVING,
		/* Another instance may serve the request. */
		.retry_at_unix_ms = retry_advice_unix_ms(state, NULL, now),
	};
	struct ticket *ticket;
	uint32_t i;

	for (i = 0; i < TICKETS_MAX && state->admitted_requests > 0; i++) {
		ticket = &state->tickets[i];
		if (ticket->state != TICKET_QUEUED ||
		    leave_admits(state, ticket, now))
			continue;
		ticket_refuse_waiting(state, i, refusal, now, out);
	}
}

/*
 * Cancels the running requests, so that their callers get an answer before the
 * process exits, even if its outcome is unknown.
 */
static void cancel_running(struct state *state, struct event_list *out)
{
	struct event event = {
		.kind = EVENT_CANCEL,
		.cancel = { .cause = CANCEL_STOPPING },
	};
	uint32_t i;

	for (i = 0; i < TICKETS_MAX && state->admitted_requests > 0; i++) {
		if (state->tickets[i].state != TICKET_RUNNING)
			continue;
		event.cancel.exchange.index = i;
		event.cancel.exchange.generation = state->tickets[i].generation;
		event_list_add(out, &event);
	}
}
