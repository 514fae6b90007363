#include "command/try_timeout.h"

#include "command/retry.h"
#include "command/ticket.h"

/*
 * A request probably hangs when it runs for longer than 2.5 times the typical
 * time of its route, and for at least HANG_MIN_US longer.
 */
#define HANG_PERMILLE 2500
#define HANG_MIN_US (50 * US_PER_MS)

static bool is_hung(const struct ticket *ticket, struct instant now);

void try_timeout_tick(struct state *state, struct instant now,
		      struct event_list *out)
{
	struct event event = { .kind = EVENT_CANCEL };
	struct ticket *ticket;
	uint32_t i;

	if (state->leaving)
		return;
	for (i = 0; i < TICKETS_MAX; i++) {
		ticket = &state->tickets[i];
		/* Reserved now, so that the budget covers the retry later. */
		if (ticket->state != TICKET_RUNNING || !is_hung(ticket, now) ||
		    !retry_reserve(state, ticket, now))
			continue;
		event.cancel.exchange.index = i;
		event.cancel.exchange.generation = ticket->generation;
		event.cancel.cause = CANCEL_TRY_TIMEOUT;
		event_list_add(out, &event);
	}
}

static bool is_hung(const struct ticket *ticket, struct instant now)
{
	return ticket->idempotent && !ticket->cancelled &&
	       !ticket->retry_reserved &&
	       ticket_exceeds_typical(ticket, HANG_PERMILLE, HANG_MIN_US,
				      now) &&
	       ticket->sends + 1 < ticket->tries_max &&
	       now.mono_us + ticket_typical_us(ticket) < ticket->deadline_us;
}
