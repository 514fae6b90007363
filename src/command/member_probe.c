#include "command/member_probe.h"

#include <string.h>

#include "command/member.h"
#include "command/member_status.h"

/* Probe periods are longer or shorter by up to this time, at random. */
#define PROBE_JITTER_US (50 * US_PER_MS)
/* Time to answer the direct probe before indirect ones are sent. */
#define PROBE_DIRECT_US (200 * US_PER_MS)
/* Number of members that are asked for an indirect probe. */
#define INDIRECT_PROBES 3
/* Time for which the answer to an indirect probe is passed on. */
#define RELAY_TTL_US (500 * US_PER_MS)
/*
 * A dead member is probed once in this many periods, more often when many are
 * dead.
 */
#define DEAD_PROBE_PERIODS 4
#define DEAD_PROBE_PERIODS_MANY 2

static bool next_target(struct state *state, struct net_addr *out);
static bool next_dead(struct state *state, struct net_addr *out);
static uint32_t dead_probe_periods(const struct membership *membership);
static void shuffle_probe_round(struct state *state);
static void send_probe(struct state *state, enum peer_message_kind kind,
		       struct net_addr to, uint64_t sequence,
		       struct net_addr target, struct event_list *out);
static void handle_ack(struct state *state, const struct peer_message *message,
		       struct instant now, struct event_list *out);
static void relay_probe(struct state *state, const struct peer_message *message,
			struct instant now, struct event_list *out);

void member_probe_indirect(struct state *state, struct instant now,
			   struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct probe *probe = &membership->probe;
	GArray *members = membership->members;
	const struct member *member;
	uint32_t asked = 0;
	uint32_t first;
	uint32_t i;

	if (probe->target.port == 0 || probe->answered)
		return;
	if (now.mono_us < probe->indirect_due_us)
		return;
	probe->indirect_due_us = DEADLINE_NONE_US;
	if (!members->len)
		return;
	first = g_rand_int_range(state->rand, 0, (gint32)members->len);
	for (i = 0; i < members->len && asked < INDIRECT_PROBES; i++) {
		member = &g_array_index(members, struct member,
					(first + i) % members->len);
		if (member->status != MEMBER_ALIVE ||
		    addr_equal(member->listed.peer, probe->target))
			continue;
		send_probe(state, PEER_PING_REQUEST, member->listed.peer,
			   probe->sequence, probe->target, out);
		asked++;
	}
}

void member_end_probe_period(struct state *state, struct instant now,
			     struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct probe probe = membership->probe;
	struct member *member;

	memset(&membership->probe, 0, sizeof(membership->probe));
	if (probe.target.port == 0 || probe.answered)
		return;
	member = membership_find(membership, probe.target);
	if (!member)
		return;
	/* The member has sent datagrams: only the path to it has failed. */
	if (member->last_received_us >= probe.sent_us)
		return;
	switch (member->status) {
	case MEMBER_ALIVE:
		member_set_status(state, member, MEMBER_SUSPECT, CAUSE_PROBE,
				  now, out);
		break;
	case MEMBER_LEAVING:
		if (member->suspect_until_us == 0)
			member->suspect_until_us =
				member_suspicion_end_us(state, now);
		break;
	case MEMBER_SUSPECT:
	case MEMBER_DEAD:
		break;
	}
}

void member_begin_probe_period(struct state *state, struct instant now,
			       struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct probe *probe = &membership->probe;
	gint32 jitter_us = g_rand_int_range(
		state->rand, -(gint32)PROBE_JITTER_US, (gint32)PROBE_JITTER_US);

	membership->probe_due_us = now.mono_us + PROBE_PERIOD_US + jitter_us;
	membership->probe_periods++;
	if (membership->probe_periods % dead_probe_periods(membership) != 0 ||
	    !next_dead(state, &probe->target)) {
		if (!next_target(state, &probe->target))
			return;
	}
	probe->sequence = ++membership->sequence;
	probe->sent_us = now.mono_us;
	probe->indirect_due_us = now.mono_us + PROBE_DIRECT_US;
	send_probe(state, PEER_PING, probe->target, probe->sequence,
		   probe->target, out);
}

void member_ping(struct state *state, struct net_addr to,
		 struct event_list *out)
{
	send_probe(state, PEER_PING, to, ++state->membership.sequence, to, out);
}

void member_add_to_probe_round(struct state *state, struct net_addr peer)
{
	struct membership *membership = &state->membership;
	GArray *order = membership->probe_order;
	uint32_t at = g_rand_int_range(state->rand,
				       (gint32)membership->probe_next,
				       (gint32)order->len + 1);
	struct net_addr moved;

	g_array_append_val(order, peer);
	moved = g_array_index(order, struct net_addr, at);
	g_array_index(order, struct net_addr, order->len - 1) = moved;
	g_array_index(order, struct net_addr, at) = peer;
}

bool member_probe_is_overdue(const struct membership *membership)
{
	const struct probe *probe = &membership->probe;
	const struct member *member;

	if (probe->target.port == 0 || probe->answered ||
	    probe->indirect_due_us != DEADLINE_NONE_US)
		return false;
	member = membership_find(membership, probe->target);
	return member && member->status != MEMBER_DEAD;
}

void member_handle_probe(struct state *state,
			 const struct peer_message *message, struct instant now,
			 struct event_list *out)
{
	switch (message->kind) {
	case PEER_PING:
		send_probe(state, PEER_ACK, message->sender,
			   message->ping.sequence, state->membership.self.peer,
			   out);
		break;
	case PEER_ACK:
		handle_ack(state, message, now, out);
		break;
	case PEER_PING_REQUEST:
		relay_probe(state, message, now, out);
		break;
	case PEER_DIGEST:
	case PEER_LEASE_REQUEST:
	case PEER_LEASE_GRANT:
	case PEER_LEASE_RETURN:
	case PEER_QUOTA_REQUEST:
	case PEER_QUOTA_GRANT:
	case PEER_LEFT_STARTS:
		break;
	}
}

static bool next_target(struct state *state, struct net_addr *out)
{
	struct membership *membership = &state->membership;
	const struct member *member;
	struct net_addr peer;
	uint32_t round;

	for (round = 0; round < 2; round++) {
		while (membership->probe_next < membership->probe_order->len) {
			peer = g_array_index(membership->probe_order,
					     struct net_addr,
					     membership->probe_next++);
			member = membership_find(membership, peer);
			if (!member || member->status == MEMBER_DEAD)
				continue;
			*out = peer;
			return true;
		}
		shuffle_probe_round(state);
	}
	return false;
}

/*
 * Finds a dead member to probe, since a partition would never heal otherwise.
 * The search begins at a random member, so that the instances together soon
 * reach all dead ones.
 */
static bool next_dead(struct state *state, struct net_addr *out)
{
	struct membership *membership = &state->membership;
	GArray *members = membership->members;
	const struct member *member;
	uint32_t index;
	uint32_t first;
	guint i;

	if (!members->len)
		return false;
	first = (uint32_t)g_rand_int_range(state->rand, 0,
					   (gint32)members->len);
	for (i = 0; i < members->len; i++) {
		index = (first + i) % members->len;
		member = &g_array_index(members, struct member, index);
		if (member->status != MEMBER_DEAD)
			continue;
		*out = member->listed.peer;
		return true;
	}
	return false;
}

/*
 * Return: interval of the probes of dead members, in probe periods. If more
 * than a quarter of the members are dead, a partition is likelier than
 * failures.
 */
static uint32_t dead_probe_periods(const struct membership *membership)
{
	const struct member *member;
	uint32_t dead = 0;
	guint i;

	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		dead += member->status == MEMBER_DEAD;
	}
	if (dead * 4 > membership->members->len)
		return DEAD_PROBE_PERIODS_MANY;
	return DEAD_PROBE_PERIODS;
}

static void shuffle_probe_round(struct state *state)
{
	struct membership *membership = &state->membership;
	GArray *order = membership->probe_order;
	const struct member *member;
	guint i;

	g_array_set_size(order, 0);
	membership->probe_next = 0;
	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		if (member->status != MEMBER_DEAD)
			member_add_to_probe_round(state, member->listed.peer);
	}
}

static void send_probe(struct state *state, enum peer_message_kind kind,
		       struct net_addr to, uint64_t sequence,
		       struct net_addr target, struct event_list *out)
{
	struct peer_message *message = g_new0(struct peer_message, 1);

	message->kind = kind;
	message->ping.sequence = sequence;
	message->ping.target = target;
	member_send(state, to, message, out);
}

static void handle_ack(struct state *state, const struct peer_message *message,
		       struct instant now, struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct probe *probe = &membership->probe;
	struct probe_relay *relay;
	uint32_t i;

	if (probe->target.port != 0 &&
	    probe->sequence == message->ping.sequence &&
	    addr_equal(probe->target, message->ping.target)) {
		probe->answered = true;
		membership->probe_answered_us = now.mono_us;
		return;
	}
	for (i = 0; i < MEMBER_RELAYS_MAX; i++) {
		relay = &membership->relays[i];
		if (relay->origin.port == 0 ||
		    relay->sequence != message->ping.sequence ||
		    !addr_equal(relay->target, message->sender))
			continue;
		if (now.mono_us <= relay->expires_us)
			send_probe(state, PEER_ACK, relay->origin,
				   relay->origin_sequence, relay->target, out);
		relay->origin.port = 0;
		return;
	}
}

static void relay_probe(struct state *state, const struct peer_message *message,
			struct instant now, struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct probe_relay *relay = NULL;
	uint32_t i;

	if (!membership_find(membership, message->ping.target))
		return;
	for (i = 0; i < MEMBER_RELAYS_MAX && !relay; i++) {
		if (membership->relays[i].origin.port == 0 ||
		    membership->relays[i].expires_us < now.mono_us)
			relay = &membership->relays[i];
	}
	if (!relay)
		return;
	relay->origin = message->sender;
	relay->origin_sequence = message->ping.sequence;
	relay->target = message->ping.target;
	relay->sequence = ++membership->sequence;
	relay->expires_us = now.mono_us + RELAY_TTL_US;
	send_probe(state, PEER_PING, relay->target, relay->sequence,
		   relay->target, out);
}
