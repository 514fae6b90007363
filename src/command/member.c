#include "command/member.h"

#include <string.h>

#include "command/member_status.h"
#include "command/member_join.h"
#include "command/member_offer.h"
#include "command/member_probe.h"
#include "command/member_gossip.h"
#include "command/reader.h"
#include "query/listing.h"

/* A longer gap between two ticks counts as a pause of the process. */
#define STALL_US US_PER_S
/*
 * An instance that has received nothing from the platform or a peer for this
 * time does not name itself in answers to entries.
 */
#define CONTACT_TIMEOUT_US (10 * US_PER_S)
static struct member *join_sender(struct state *state,
				  const struct peer_message *message,
				  struct instant now, struct event_list *out);
static void start_membership(struct state *state, struct instant now);
static void restart_after_stall(struct state *state, struct instant now);
static void update_stepped_back(struct state *state, struct instant now,
				struct event_list *out);
static bool self_is_seed(const struct membership *membership);

void member_handle_message(struct state *state,
			   const struct peer_message *message,
			   struct instant now, struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct member *sender;

	if (addr_equal(message->sender, membership->self.peer))
		return;
	sender = membership_find(membership, message->sender);
	if (!sender && membership->seed_discovery &&
	    message->status == MEMBER_ALIVE)
		sender = join_sender(state, message, now, out);
	if (sender) {
		sender->last_received_us = now.mono_us;
		if (message->incarnation >= sender->incarnation)
			member_update_self_report(
				state, sender, &message->self_report, now, out);
		reader_handle_message(sender, message, now);
		member_update_status(state, sender, message->incarnation,
				     message->status, CAUSE_PEER, now, out);
		member_handle_rumours(state, message, now, out);
	}
	/*
	 * Before a list is known, offers of any sender are accepted: the sender
	 * has read a list that contains this instance.
	 */
	if (sender || !membership->list_known) {
		state->last_received_us = now.mono_us;
		member_handle_offers(state, message, now, out);
	}
	member_handle_probe(state, message, now, out);
}

void member_tick(struct state *state, struct instant now,
		 struct event_list *out)
{
	struct membership *membership = &state->membership;

	if (!membership->started)
		start_membership(state, now);
	if (now.mono_us > membership->last_tick_us + STALL_US)
		restart_after_stall(state, now);
	membership->last_tick_us = now.mono_us;
	update_stepped_back(state, now, out);
	member_announce_tick(state, now, out);
	member_announce_offers(state, now, out);
	member_pull_tick(state, now, out);
	if (membership->seed_discovery)
		member_seed_tick(state, now, out);
	member_expire_suspicions(state, now, out);
	member_probe_indirect(state, now, out);
	reader_tick(state, now, out);
	if (now.mono_us < membership->probe_due_us)
		return;
	member_end_probe_period(state, now, out);
	member_begin_probe_period(state, now, out);
}

void member_request_platform_read(struct state *state)
{
	state->membership.request_before_config = true;
}

static struct member *join_sender(struct state *state,
				  const struct peer_message *message,
				  struct instant now, struct event_list *out)
{
	const struct instance_doc instance = {
		.caller = message->caller,
		.peer = message->sender,
		.domain = message->domain,
		.self_report = message->self_report,
	};

	return member_join(state, &instance, message->incarnation,
			   message->status, now, out);
}

/*
 * The incarnation starts at the wall-clock seconds, so that a restarted
 * instance supersedes what peers know of its previous run.
 */
static void start_membership(struct state *state, struct instant now)
{
	struct membership *membership = &state->membership;

	membership->started = true;
	membership->last_tick_us = now.mono_us;
	if (membership->incarnation == 0)
		membership->incarnation = (uint32_t)(now.unix_ms / MS_PER_S);
	membership->members_digest = members_digest(state);
	state->last_received_us = now.mono_us;
	reader_start(state,
		     !membership->seed_discovery || self_is_seed(membership),
		     now);
}

static bool self_is_seed(const struct membership *membership)
{
	uint32_t i;

	for (i = 0; i < membership->seed_count; i++) {
		if (addr_equal(membership->seeds[i], membership->self.peer))
			return true;
	}
	return false;
}

/* Resets probes and suspicions: answers were missed during the pause. */
static void restart_after_stall(struct state *state, struct instant now)
{
	struct membership *membership = &state->membership;
	struct member *member;
	guint i;

	memset(&membership->probe, 0, sizeof(membership->probe));
	memset(membership->relays, 0, sizeof(membership->relays));
	state->last_received_us = now.mono_us;
	reader_restart_listening(state, now);
	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		if (member->suspect_until_us != 0)
			member->suspect_until_us =
				member_suspicion_end_us(state, now);
	}
}

static void update_stepped_back(struct state *state, struct instant now,
				struct event_list *out)
{
	struct audit_record record = {
		.cause = CAUSE_SILENCE,
		.subject = state->membership.self.peer,
	};
	bool isolated;

	if (state->platform_reachable)
		state->last_received_us = now.mono_us;
	isolated = state->membership.members->len > 0 &&
		   now.mono_us > state->last_received_us + CONTACT_TIMEOUT_US;
	if (isolated == state->stepped_back)
		return;
	state->stepped_back = isolated;
	record.kind = isolated ? AUDIT_STEPPED_BACK : AUDIT_STEPPED_IN;
	state_audit(state, &record, now, out);
}
