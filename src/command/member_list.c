#include "command/member.h"

#include <string.h>

#include "command/member_status.h"
#include "command/member_probe.h"
#include "query/readers.h"

/*
 * A member that is no longer in the published list is kept for this time after
 * its last datagram.
 */
#define UNLISTED_KEEP_US (30 * US_PER_S)

static void list_member(struct state *state, GArray *members,
			const struct member *known,
			const struct instance_doc *listed, struct instant now,
			struct event_list *out);
static void unlist_member(struct state *state, GArray *members,
			  const struct member *known, struct instant now,
			  struct event_list *out);
static int compare_instances(const void *a, const void *b);

void member_accept_list(struct state *state, const struct instance_doc *list,
			uint32_t count, struct instant now,
			struct event_list *out)
{
	struct membership *membership = &state->membership;
	GArray *old = membership->members;
	GArray *members = g_array_new(FALSE, TRUE, sizeof(struct member));
	struct instance_doc *sorted = g_new(struct instance_doc, count + 1);
	const struct member *known;
	bool self_listed = false;
	guint i = 0;
	uint32_t j;

	if (count > 0)
		memcpy(sorted, list, count * sizeof(*list));
	qsort(sorted, count, sizeof(*sorted), compare_instances);
	for (j = 0; j < count; j++) {
		if (addr_equal(sorted[j].peer, membership->self.peer)) {
			self_listed = true;
			membership->self.status = sorted[j].status;
			continue;
		}
		if (j > 0 && addr_equal(sorted[j].peer, sorted[j - 1].peer))
			continue;
		known = NULL;
		while (i < old->len) {
			known = &g_array_index(old, struct member, i);
			if (addr_compare(known->listed.peer, sorted[j].peer) >=
			    0)
				break;
			unlist_member(state, members, known, now, out);
			known = NULL;
			i++;
		}
		if (known && !addr_equal(known->listed.peer, sorted[j].peer))
			known = NULL;
		if (known)
			i++;
		list_member(state, members, known, &sorted[j], now, out);
	}
	for (; i < old->len; i++) {
		known = &g_array_index(old, struct member, i);
		unlist_member(state, members, known, now, out);
	}
	if (self_listed != membership->self_listed || !membership->list_known)
		state->homes_dirty = true;
	membership->self_listed = self_listed;
	membership->list_known = true;
	membership->members = members;
	g_array_unref(old);
	g_free(sorted);
}

static int compare_instances(const void *a, const void *b)
{
	const struct instance_doc *x = a;
	const struct instance_doc *y = b;

	return addr_compare(x->peer, y->peer);
}

/*
 * Appends the member of an entry of the list to @members, with the status of
 * @known, which is NULL for a new member.
 */
static void list_member(struct state *state, GArray *members,
			const struct member *known,
			const struct instance_doc *listed, struct instant now,
			struct event_list *out)
{
	struct member member = { .status = MEMBER_ALIVE };
	bool newly_listed = !known || !known->in_list;
	bool was_leaving;

	if (members->len >= MEMBERS_MAX)
		return;
	if (known)
		member = *known;
	was_leaving = known && known->listed.status == INSTANCE_LEAVING;
	if (newly_listed || !addr_equal(member.listed.caller, listed->caller) ||
	    !name_equal(&member.listed.domain, &listed->domain) ||
	    member.listed.status != listed->status)
		state->homes_dirty = true;
	member.listed = *listed;
	if (known)
		member.listed.self_report = known->listed.self_report;
	member.in_list = true;
	member.reader_rank = readers_rank(listed->peer);
	g_array_append_val(members, member);
	if (!known)
		member_add_to_probe_round(state, listed->peer);
	if (listed->status == INSTANCE_LEAVING &&
	    member.status != MEMBER_LEAVING && member.status != MEMBER_DEAD)
		member_set_status(state,
				  &g_array_index(members, struct member,
						 members->len - 1),
				  MEMBER_LEAVING, CAUSE_LIST, now, out);
	else if (listed->status == INSTANCE_LIVE && was_leaving &&
		 member.status == MEMBER_LEAVING)
		/* A new process runs; the old one would announce leaving. */
		member_set_status(state,
				  &g_array_index(members, struct member,
						 members->len - 1),
				  MEMBER_ALIVE, CAUSE_LIST, now, out);
	else if (newly_listed)
		member_audit(state, &member, CAUSE_LIST, now, out);
}

/*
 * Appends a member that the list lacks to @members as long as its datagrams
 * arrive, since the list may be outdated.
 */
static void unlist_member(struct state *state, GArray *members,
			  const struct member *known, struct instant now,
			  struct event_list *out)
{
	struct member member = *known;

	if (member.in_list) {
		member.in_list = false;
		state->homes_dirty = true;
		member_audit(state, &member, CAUSE_LIST, now, out);
	}
	if (member.status == MEMBER_DEAD ||
	    now.mono_us > member.last_received_us + UNLISTED_KEEP_US)
		return;
	if (members->len < MEMBERS_MAX)
		g_array_append_val(members, member);
}
