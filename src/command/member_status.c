#include "command/member_status.h"

#include <string.h>

#include "command/member_join.h"
#include "command/member_probe.h"
#include "command/member_gossip.h"
#include "query/listing.h"

/* Shortest time in which a suspicion can be refuted, in probe periods. */
#define SUSPECT_PERIODS 4
/*
 * Time that a dead member is kept and probed. A partition that lasts longer
 * heals through the seeds alone.
 */
#define DEAD_KEEP_US (600 * US_PER_S)

static void join_from_rumour(struct state *state, const struct rumour *rumour,
			     struct instant now, struct event_list *out);
static bool status_is_newer(const struct member *member, uint32_t incarnation,
			    enum member_status status);
static uint32_t status_rank(enum member_status status);
static void refute(struct state *state, const struct rumour *rumour);

void member_expire_suspicions(struct state *state, struct instant now,
			      struct event_list *out)
{
	GArray *members = state->membership.members;
	struct member *member;
	guint i;

	for (i = 0; i < members->len; i++) {
		member = &g_array_index(members, struct member, i);
		if (member->suspect_until_us == 0)
			continue;
		if (now.mono_us <= member->suspect_until_us)
			continue;
		member_set_status(state, member, MEMBER_DEAD, CAUSE_PROBE, now,
				  out);
	}
}

void member_update_status(struct state *state, struct member *member,
			  uint32_t incarnation, enum member_status status,
			  enum audit_cause cause, struct instant now,
			  struct event_list *out)
{
	bool newer = status_is_newer(member, incarnation, status);

	if (!newer)
		return;
	member->incarnation = incarnation;
	/* Leaving in the list takes precedence over alive and suspect. */
	if (member->in_list && member->listed.status == INSTANCE_LEAVING &&
	    (status == MEMBER_ALIVE || status == MEMBER_SUSPECT))
		return;
	if (status == member->status)
		return;
	member_set_status(state, member, status, cause, now, out);
}

void member_update_self_report(struct state *state, struct member *member,
			       const struct instance_self_report *self_report,
			       struct instant now, struct event_list *out)
{
	bool withdrawn_changed = member->listed.self_report.aside !=
				 self_report->aside;

	if (instance_self_report_equal(&member->listed.self_report,
				       self_report))
		return;
	state->homes_dirty |= withdrawn_changed ||
			      member->listed.self_report.cpu_permille !=
				      self_report->cpu_permille;
	member->listed.self_report = *self_report;
	member_gossip_rumour(state, member->listed.peer);
	if (withdrawn_changed)
		member_audit(state, member, CAUSE_PATH, now, out);
}

void member_set_status(struct state *state, struct member *member,
		       enum member_status status, enum audit_cause cause,
		       struct instant now, struct event_list *out)
{
	enum member_status before = member->status;

	member->status = status;
	member->suspect_until_us = 0;
	if (status == MEMBER_DEAD)
		member->dead_expires_us = now.mono_us + DEAD_KEEP_US;
	if (state->membership.seed_discovery) {
		member->in_list = status != MEMBER_DEAD;
		state->membership.members_digest = members_digest(state);
	}
	if (status == MEMBER_SUSPECT)
		member->suspect_until_us = member_suspicion_end_us(state, now);
	if (before == MEMBER_DEAD)
		member_add_to_probe_round(state, member->listed.peer);
	if (before != MEMBER_SUSPECT || status != MEMBER_ALIVE)
		state->homes_dirty |= status != MEMBER_SUSPECT;
	member_gossip_rumour(state, member->listed.peer);
	member_audit(state, member, cause, now, out);
}

void member_audit(struct state *state, const struct member *member,
		  enum audit_cause cause, struct instant now,
		  struct event_list *out)
{
	struct audit_record record = {
		.kind = AUDIT_MEMBER,
		.cause = cause,
		.subject = member->listed.peer,
		.detail_kind = AUDIT_DETAIL_MEMBER,
		.member.status = member->status,
		.member.incarnation = member->incarnation,
		.member.aside = member->listed.self_report.aside,
	};

	state_audit(state, &record, now, out);
}

uint64_t member_suspicion_end_us(const struct state *state, struct instant now)
{
	return now.mono_us + (SUSPECT_PERIODS + member_gossip_rounds(state)) *
				     PROBE_PERIOD_US;
}

void member_handle_rumours(struct state *state,
			   const struct peer_message *message,
			   struct instant now, struct event_list *out)
{
	struct membership *membership = &state->membership;
	const struct rumour *rumour;
	struct member *member;
	bool sender_not_dead;
	uint32_t i;

	member = membership_find(membership, message->sender);
	sender_not_dead = member && member->status != MEMBER_DEAD;
	for (i = 0; i < message->rumour_count; i++) {
		rumour = &message->rumours[i];
		if (addr_equal(rumour->peer, membership->self.peer)) {
			refute(state, rumour);
			continue;
		}
		/* Rumours of a sender held dead may be outdated. */
		if (!sender_not_dead)
			continue;
		member = membership_find(membership, rumour->peer);
		if (!member) {
			join_from_rumour(state, rumour, now, out);
			continue;
		}
		if (rumour->incarnation > member->incarnation)
			member_update_self_report(
				state, member, &rumour->self_report, now, out);
		member_update_status(state, member, rumour->incarnation,
				     rumour->status, CAUSE_PEER, now, out);
	}
}

static void join_from_rumour(struct state *state, const struct rumour *rumour,
			     struct instant now, struct event_list *out)
{
	struct instance_doc instance = {
		.caller = rumour->caller,
		.peer = rumour->peer,
		.domain = rumour->domain,
		.self_report = rumour->self_report,
	};

	if (!state->membership.seed_discovery)
		return;
	switch (rumour->status) {
	case MEMBER_ALIVE:
	case MEMBER_SUSPECT:
		member_join(state, &instance, rumour->incarnation,
			    rumour->status, now, out);
		break;
	case MEMBER_LEAVING:
	case MEMBER_DEAD:
		break;
	}
}

static bool status_is_newer(const struct member *member, uint32_t incarnation,
			    enum member_status status)
{
	if (incarnation != member->incarnation)
		return incarnation > member->incarnation;
	return status_rank(status) > status_rank(member->status);
}

/*
 * Return: precedence among statuses of the same incarnation; the highest wins.
 */
static uint32_t status_rank(enum member_status status)
{
	switch (status) {
	case MEMBER_ALIVE:
		return 0;
	case MEMBER_SUSPECT:
		return 1;
	case MEMBER_LEAVING:
		return 2;
	case MEMBER_DEAD:
		return 3;
	}
	return 0;
}

/* Raises the own incarnation above that of an outdated rumour on itself. */
static void refute(struct state *state, const struct rumour *rumour)
{
	struct membership *membership = &state->membership;
	enum member_status own_status = state->leaving ? MEMBER_LEAVING :
							 MEMBER_ALIVE;

	if (rumour->incarnation < membership->incarnation)
		return;
	if (rumour->incarnation == membership->incarnation &&
	    status_rank(rumour->status) <= status_rank(own_status))
		return;
	if (rumour->incarnation == UINT32_MAX)
		return;
	membership->incarnation = rumour->incarnation + 1;
	member_gossip_rumour(state, membership->self.peer);
}
