#ifndef COMMAND_START_GOSSIP_H
#define COMMAND_START_GOSSIP_H

/**
 * DOC: starts that have left, told from instance to instance
 *
 * An instance that has started since has not seen them leave. While a document
 * lists such a start, each instance that knows tells a few drawn peers, and
 * these tell others.
 */

#include "core/state.h"

/**
 * start_gossip_tick() - tell peers of listed starts that have left when due
 * @state: routing state
 * @now: current time
 * @out: receives datagrams
 */
void start_gossip_tick(struct state *state, struct instant now,
		       struct event_list *out);

/**
 * start_gossip_handle() - use no start any more that a peer has seen leave
 * @state: routing state
 * @sender: peer address of the peer, which is told where the era began if it
 *	knows less of that
 * @heard: starts that the peer does not use
 * @now: current time
 * @out: receives audit records and what follows from the withdrawn grants
 */
void start_gossip_handle(struct state *state, struct net_addr sender,
			 const struct peer_left_starts *heard,
			 struct instant now, struct event_list *out);

#endif
