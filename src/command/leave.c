#include "command/leave.h"

#include "command/member.h"
#include "query/listing.h"

/* Callers may use an answer to entries a little past its end. */
#define ENTRIES_MARGIN_US (500 * US_PER_MS)
/* The last caller may be followed by others that know no better. */
#define LATE_CALLERS_US US_PER_S

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
		state->leave_deadline_us =
			now.mono_us + state->settings->drain_max_ms * US_PER_MS;
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

void leave_note_request(struct state *state, struct instant now)
{
	uint64_t until_us =
		MIN(now.mono_us + LATE_CALLERS_US, state->leave_deadline_us);

	if (!state->leaving || state->leave_hurried)
		return;
	state->leave_accept_until_us =
		MAX(state->leave_accept_until_us, until_us);
}

void leave_tick(struct state *state, struct instant now, struct event_list *out)
{
	struct event event = { .kind = EVENT_LEFT };

	if (!state->leaving || state->left)
		return;
	if (now.mono_us < state->leave_accept_until_us)
		return;
	if (state->admitted_requests > 0 &&
	    now.mono_us < state->leave_deadline_us)
		return;
	state->left = true;
	event_list_add(out, &event);
}
