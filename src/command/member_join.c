#include "command/member_join.h"

#include "command/member_status.h"
#include "command/member_probe.h"
#include "command/member_gossip.h"
#include "query/listing.h"
#include "query/readers.h"

/*
 * Interval of the pings to the seeds while no live member is known: in a fleet
 * that starts, the first pings are lost.
 */
#define SEED_ALONE_INTERVAL_US (200 * US_PER_MS)
/*
 * Interval of the pings to the seeds while other members are known: an unknown
 * seed may be the only link to another part of the fleet.
 */
#define SEED_INTERVAL_US (2 * US_PER_S)

static bool ping_seeds(struct state *state, struct event_list *out);
static void drop_expired_dead(struct state *state, struct instant now);

struct member *member_join(struct state *state,
			   const struct instance_doc *instance,
			   uint32_t incarnation, enum member_status status,
			   struct instant now, struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct member member = {
		.listed = *instance,
		.in_list = true,
		.status = status,
		.incarnation = incarnation,
		.last_received_us = now.mono_us,
		.reader_rank = readers_rank(instance->peer),
	};

	if (membership->members->len >= MEMBERS_MAX ||
	    addr_equal(instance->peer, membership->self.peer))
		return NULL;
	member.listed.status = INSTANCE_LIVE;
	if (status == MEMBER_SUSPECT)
		member.suspect_until_us = member_suspicion_end_us(state, now);
	g_array_append_val(membership->members, member);
	state->homes_dirty = true;
	member_add_to_probe_round(state, instance->peer);
	member_gossip_rumour(state, instance->peer);
	member_audit(state, &member, CAUSE_PEER, now, out);
	membership->members_digest = members_digest(state);
	return &g_array_index(membership->members, struct member,
			      membership->members->len - 1);
}

void member_merge_list(struct state *state, const struct instance_doc *list,
		       uint32_t count, struct instant now,
		       struct event_list *out)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (list[i].status != INSTANCE_LIVE ||
		    membership_find(&state->membership, list[i].peer))
			continue;
		member_join(state, &list[i], 0, MEMBER_ALIVE, now, out);
	}
}

void member_seed_tick(struct state *state, struct instant now,
		      struct event_list *out)
{
	struct membership *membership = &state->membership;
	bool alone;

	if (now.mono_us < membership->seed_due_us)
		return;
	alone = ping_seeds(state, out);
	drop_expired_dead(state, now);
	membership->seed_due_us =
		now.mono_us +
		(alone ? SEED_ALONE_INTERVAL_US : SEED_INTERVAL_US);
}

/*
 * Pings the seeds that are unknown or held dead.
 *
 * Return: whether no member other than dead ones is known.
 */
static bool ping_seeds(struct state *state, struct event_list *out)
{
	const struct membership *membership = &state->membership;
	const struct member *member;
	bool alone = true;
	uint32_t i;
	guint j;

	for (i = 0; i < membership->seed_count; i++) {
		if (addr_equal(membership->seeds[i], membership->self.peer))
			continue;
		member = membership_find(membership, membership->seeds[i]);
		if (!member || member->status == MEMBER_DEAD)
			member_ping(state, membership->seeds[i], out);
	}
	for (j = 0; j < membership->members->len && alone; j++) {
		member = &g_array_index(membership->members, struct member, j);
		alone = member->status == MEMBER_DEAD;
	}
	return alone;
}

static void drop_expired_dead(struct state *state, struct instant now)
{
	GArray *members = state->membership.members;
	const struct member *member;
	guint i = 0;

	while (i < members->len) {
		member = &g_array_index(members, struct member, i);
		if (member->status == MEMBER_DEAD &&
		    now.mono_us >= member->dead_expires_us)
			g_array_remove_index(members, i);
		else
			i++;
	}
}
