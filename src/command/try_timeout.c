#include "command/try_timeout.h"

#include "command/retry.h"
#include "command/ticket.h"

/* Work that takes longer than this, of the usual time, probably hangs. */
#define PATIENCE_PERMILLE 2500
#define PATIENCE_LEAST_US (50 * US_PER_MS)

static bool hangs(const struct ticket *ticket, struct instant now);

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
		/* The retry is paid for now, so that it cannot be missing. */
		if (ticket->state != TICKET_RUNNING || !hangs(ticket, now) ||
		    !retry_reserve(state, ticket, now))
			continue;
		event.cancel.exchange.index = i;
		event.cancel.exchange.generation = ticket->generation;
		event.cancel.cause = CANCEL_TRY_TIMEOUT;
		event_list_add(out, &event);
	}
}

static bool hangs(const struct ticket *ticket, struct instant now)
{
	return ticket->idempotent && !ticket->cancelled &&
	       !ticket->retry_reserved &&
	       ticket_exceeds_typical(ticket, PATIENCE_PERMILLE,
				      PATIENCE_LEAST_US, now) &&
	       ticket->sends + 1 < ticket->tries_max &&
	       now.mono_us + ticket_typical_us(ticket) < ticket->deadline_us;
}
