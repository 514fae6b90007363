#ifndef COMMAND_MEMBER_JOIN_H
#define COMMAND_MEMBER_JOIN_H

/**
 * DOC: membership without a published list
 *
 * Instances start with a few seeds and learn of others from datagrams. Every
 * instance that is learned of is a member until it is found dead. Dead members
 * are still probed for a while, so that a partition heals.
 */

#include "core/state.h"

/**
 * member_join() - add an instance that is not a member yet
 * @state: routing state
 * @instance: addresses, failure domain and self-report of the instance
 * @incarnation: incarnation that the instance or a rumour reported
 * @status: status that the instance or a rumour reported
 * @now: current time
 * @out: receives the audit record
 *
 * Return: the member, or NULL when there is no room or it is this instance.
 * Pointers to other members become invalid.
 */
struct member *member_join(struct state *state,
			   const struct instance_doc *instance,
			   uint32_t incarnation, enum member_status status,
			   struct instant now, struct event_list *out);

/**
 * member_merge_list() - add the unknown instances of a peer's list
 * @state: routing state
 * @list: the peer's members
 * @count: entries of @list
 * @now: current time
 * @out: receives audit records
 */
void member_merge_list(struct state *state, const struct instance_doc *list,
		       uint32_t count, struct instant now,
		       struct event_list *out);

/**
 * member_seed_tick() - ping the seeds, drop members that have been dead for
 *	10 min
 * @state: routing state
 * @now: current time
 * @out: receives datagrams
 */
void member_seed_tick(struct state *state, struct instant now,
		      struct event_list *out);

#endif
