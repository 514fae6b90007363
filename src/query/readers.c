#include "query/readers.h"

#define READER_SEED UINT64_C(0x72656164)

static bool may_read(const struct state *state, const struct member *member);
static uint64_t reader_rank(struct net_addr peer);

bool readers_include_self(const struct state *state)
{
	const struct membership *membership = &state->membership;
	uint64_t own_rank = reader_rank(membership->self.peer);
	const struct member *member;
	uint32_t before = 0;
	guint i;

	if (!membership->list_known)
		return false;
	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		if (!may_read(state, member))
			continue;
		if (reader_rank(member->listed.peer) < own_rank)
			before++;
	}
	return before < READERS_PER_DOMAIN;
}

static bool may_read(const struct state *state, const struct member *member)
{
	if (!member->in_list)
		return false;
	if (!name_equal(&member->listed.domain, &state->membership.self.domain))
		return false;
	switch (member->status) {
	case MEMBER_ALIVE:
	case MEMBER_SUSPECT:
		return true;
	case MEMBER_DEAD:
	case MEMBER_LEAVING:
		break;
	}
	return false;
}

static uint64_t reader_rank(struct net_addr peer)
{
	struct net_addr none = { 0, 0 };

	return hash_pair(peer, none, READER_SEED);
}
