#ifndef COMMAND_MEMBER_JOIN_H
#define COMMAND_MEMBER_JOIN_H

/**
 * DOC: membership without a published list
 *
 * Instances begin with a few seeds and learn of each other by what they hear.
 * Whoever is heard of is a member until it is found dead; the dead are still
 * tried for a while, so that a partition heals.
 */

#include "core/state.h"

/**
 * member_join() - take in an instance that was not known
 * @state: the state
 * @instance: who it is
 * @incarnation: as it or a rumour said
 * @status: the same
 * @now: the time
 * @out: gets the audit record
 *
 * Return: the member, or NULL when there is no room; other members may move.
 */
struct member *member_join(struct state *state,
			   const struct instance_doc *instance,
			   uint32_t incarnation, enum member_status status,
			   struct instant now, struct event_list *out);

/**
 * member_merge_list() - take in those of a peer's list that are not known
 * @state: the state
 * @list: the peer's members
 * @count: entries of @list
 * @now: the time
 * @out: gets audit records
 */
void member_merge_list(struct state *state, const struct instance_doc *list,
		       uint32_t count, struct instant now,
		       struct event_list *out);

/**
 * member_seed_tick() - call at the seeds, forget the long dead
 * @state: the state
 * @now: the time
 * @out: gets what is to be sent
 */
void member_seed_tick(struct state *state, struct instant now,
		      struct event_list *out);

#endif
