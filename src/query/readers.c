#include "query/readers.h"

#define READER_HASH_SEED UINT64_C(0x72656164)
/*
 * Number of instances of a failure domain that try at the same time while none
 * of them can reach the platform. Without this limit all instances would call a
 * platform that is down.
 */
#define READERS_TRYING_MAX 3
/*
 * Least number of readers in the fleet: some may be isolated before the others
 * notice.
 */
#define READERS_MIN 6

static uint32_t add_domain(const struct name **domains, uint32_t count,
			   const struct name *domain);
static bool is_live(const struct member *member);
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
	uint32_t readers_before = 0;
	guint i;

	if (!membership->list_known)
		return READER_NONE;
	/* A request waits for documents that the peers may not have either. */
	if (membership->request_before_config &&
	    g_hash_table_size(state->services) == 0)
		return READER_STANDBY;
	if (now.mono_us < membership->platform_read_after_us)
		return READER_NONE;
	domain_count = add_domain(domains, 0, &membership->self.domain);
	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		if (!is_live(member))
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
			readers_before++;
	}
	if (lost_before >= READERS_TRYING_MAX ||
	    readers_before >= (READERS_MIN + domain_count - 1) / domain_count)
		return READER_NONE;
	return first ? READER_FIRST : READER_STANDBY;
}

/* Return: number of different domains so far, counted up to READERS_MIN. */
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

static bool is_live(const struct member *member)
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

/*
 * Return: rank of an instance; those with the lowest ranks read the platform.
 */
static uint64_t reader_rank(struct net_addr peer)
{
	struct net_addr none = { 0, 0 };

	return hash_pair(peer, none, READER_HASH_SEED);
}
