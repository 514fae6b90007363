#include "core/member.h"

struct member *membership_find(const struct membership *membership,
			       struct net_addr peer)
{
	struct member *member;
	guint i;

	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		if (addr_equal(member->listed.peer, peer))
			return member;
	}
	return NULL;
}
