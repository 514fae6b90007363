#include "command/member.h"

#include <string.h>

#include "command/member_status.h"
#include "command/member_join.h"
#include "command/member_offer.h"
#include "command/member_probe.h"
#include "command/member_gossip.h"
#include "query/listing.h"
#include "query/readers.h"

#define LATE_WAKE_US US_PER_S
#define SILENCE_US (10 * US_PER_S)
/* By then peers have been found and have told what they hold. */
#define READ_AFTER_US US_PER_S

static struct member *join_sender(struct state *state,
				  const struct peer_message *message,
				  struct instant now, struct event_list *out);
static void start(struct state *state, struct instant now);
static void wake_late(struct state *state, struct instant now);
static void watch_silence(struct state *state, struct instant now,
			  struct event_list *out);
static bool is_seed(const struct membership *membership);
static void choose_role(struct state *state, struct instant now,
			struct event_list *out);
static void set_platform(struct state *state, bool reachable, bool lost);

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
		member_update_status(state, sender, message->incarnation,
				     message->status, CAUSE_PEER, now, out);
		member_handle_rumours(state, message, now, out);
	}
	/* Without a list any peer will do: it has read one that names us. */
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
		start(state, now);
	if (now.mono_us > membership->last_tick_us + LATE_WAKE_US)
		wake_late(state, now);
	membership->last_tick_us = now.mono_us;
	watch_silence(state, now, out);
	member_announce_tick(state, now, out);
	if (membership->offers_due)
		member_announce_offers(state, out);
	if (membership->seed_discovery)
		member_seed_tick(state, now, out);
	member_expire_suspicions(state, now, out);
	member_probe_indirect(state, now, out);
	choose_role(state, now, out);
	if (now.mono_us < membership->probe_due_us)
		return;
	member_end_probe_period(state, now, out);
	member_begin_probe_period(state, now, out);
}

void member_set_platform_state(struct state *state, bool reachable,
			       struct instant now)
{
	/* The answer to a read that began before the role went. */
	if (state->membership.seed_discovery &&
	    state->reader_role == READER_NONE)
		return;
	set_platform(state, reachable, !reachable);
	if (reachable)
		state->last_received_us = now.mono_us;
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

/* Wall-clock seconds let a restarted instance outrank what was believed. */
static void start(struct state *state, struct instant now)
{
	struct membership *membership = &state->membership;

	membership->started = true;
	membership->last_tick_us = now.mono_us;
	if (membership->incarnation == 0)
		membership->incarnation = (uint32_t)(now.unix_ms / MS_PER_S);
	membership->members_digest = members_digest(state);
	state->last_received_us = now.mono_us;
	/* A whole fleet that starts would read the same, each for itself. */
	if (membership->seed_discovery && !is_seed(membership))
		membership->platform_read_after_us =
			now.mono_us + READ_AFTER_US;
}

static bool is_seed(const struct membership *membership)
{
	uint32_t i;

	for (i = 0; i < membership->seed_count; i++) {
		if (addr_equal(membership->seeds[i], membership->self.peer))
			return true;
	}
	return false;
}

/* Whoever stayed silent while this process stood still is not to blame. */
static void wake_late(struct state *state, struct instant now)
{
	struct membership *membership = &state->membership;
	struct member *member;
	guint i;

	memset(&membership->probe, 0, sizeof(membership->probe));
	memset(membership->relays, 0, sizeof(membership->relays));
	state->last_received_us = now.mono_us;
	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		if (member->suspect_until_us != 0)
			member->suspect_until_us =
				member_suspicion_end_us(state, now);
	}
}

static void watch_silence(struct state *state, struct instant now,
			  struct event_list *out)
{
	struct audit_record record = {
		.cause = CAUSE_SILENCE,
		.subject = state->membership.self.peer,
	};
	bool silent;

	if (state->platform_reachable)
		state->last_received_us = now.mono_us;
	silent = state->membership.members->len > 0 &&
		 now.mono_us > state->last_received_us + SILENCE_US;
	if (silent == state->stepped_back)
		return;
	state->stepped_back = silent;
	record.kind = silent ? AUDIT_STEPPED_BACK : AUDIT_STEPPED_IN;
	state_audit(state, &record, now, out);
}

static void choose_role(struct state *state, struct instant now,
			struct event_list *out)
{
	struct event event = { .kind = EVENT_CONFIG_ROLE };
	enum reader_role role = readers_own_role(state, now);

	if (role == state->reader_role)
		return;
	state->reader_role = role;
	event.config_role.role = role;
	event_list_add(out, &event);
	/* One that does not read knows nothing of the platform. */
	if (role == READER_NONE)
		set_platform(state, false, false);
}

static void set_platform(struct state *state, bool reachable, bool lost)
{
	struct membership *membership = &state->membership;

	state->platform_reachable = reachable;
	if (membership->self.self_report.platform_lost == lost)
		return;
	membership->self.self_report.platform_lost = lost;
	if (membership->incarnation < UINT32_MAX)
		membership->incarnation++;
	member_gossip_rumour(state, membership->self.peer);
}
