#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

/**
 * DOC: membership
 */

#include "core/peer.h"

#define MEMBERS_MAX 1024

/**
 * struct member - one other instance
 * @listed: as the platform's list last had it
 * @in_list: it is in the list now
 * @status: what is believed of it
 * @incarnation: of that belief
 * @suspect_until_us: it is dead when it does not refute by then
 * @heard_us: when it was last heard itself
 */
struct member {
	struct instance_doc listed;
	bool in_list;
	enum member_status status;
	uint32_t incarnation;
	uint64_t suspect_until_us;
	uint64_t heard_us;
};

/**
 * struct membership - this instance and the others
 * @self: own entry as settings and list give it
 * @self_listed: the list has this instance
 * @incarnation: own incarnation
 * @members: array of struct member, by peer address
 * @list_known: a list was read at least once
 */
struct membership {
	struct instance_doc self;
	bool self_listed;
	uint32_t incarnation;
	GArray *members;
	bool list_known;
};

/**
 * membership_find() - find another instance
 * @membership: the membership
 * @peer: its peer address
 *
 * Return: the member or NULL; valid until members are added or dropped.
 */
struct member *membership_find(const struct membership *membership,
			       struct net_addr peer);

#endif
