#include "query/readers.h"

#define READER_SEED UINT64_C(0x72656164)
/*
 * Instances of a failure domain that try at the same time while none of them
 * reaches the platform: it may be down, and all would call it.
 */
#define READERS_TRYING_MAX 3
/* So many in the fleet, for some may be cut off before others know it. */
#define READERS_MIN 6

static uint32_t add_domain(const struct name **domains, uint32_t count,
			   const struct name *domain);
static bool lives(const struct member *member);
static uint64_t reader_rank(struct net_addr peer);

enum reader_role readers_own_role(const struct state *state, struct instant now)
{
	const struct membership *membership = &state->membership;
	uint64_t own_rank = reader_rank(membership->self.peer);
	const struct name *domains[READERS_MIN];
	const struct member *member;
	bool first = !membership->self.self_report.platform_lost;
	uint32_t domain_count;
	uint32_t lost_before = 0;
	uint32_t before = 0;
	guint i;

	if (!membership->list_known)
		return READER_NONE;
	/* Its callers would wait for what its peers may lack as well. */
	if (membership->request_before_config &&
	    g_hash_table_size(state->services) == 0)
		return READER_STANDBY;
	if (now.mono_us < membership->platform_read_after_us)
		return READER_NONE;
	domain_count = add_domain(domains, 0, &membership->self.domain);
	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		if (!lives(member))
			continue;
		domain_count = add_domain(domains, domain_count,
					  &member->listed.domain);
		if (reader_rank(member->listed.peer) >= own_rank)
			continue;
		first &= member->listed.self_report.platform_lost;
		if (!name_equal(&member->listed.domain,
				&membership->self.domain))
			continue;
		if (member->listed.self_report.platform_lost)
			lost_before++;
		else
			before++;
	}
	if (lost_before >= READERS_TRYING_MAX ||
	    before >= (READERS_MIN + domain_count - 1) / domain_count)
		return READER_NONE;
	return first ? READER_FIRST : READER_STANDBY;
}

/* Return: how many, READERS_MIN for as many or more. */
static uint32_t add_domain(const struct name **domains, uint32_t count,
			   const struct name *domain)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (name_equal(domains[i], domain))
			return count;
	}
	if (count < READERS_MIN)
		domains[count++] = domain;
	return count;
}

static bool lives(const struct member *member)
{
	if (!member->in_list)
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
