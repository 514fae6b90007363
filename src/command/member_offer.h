#ifndef COMMAND_MEMBER_OFFER_H
#define COMMAND_MEMBER_OFFER_H

/**
 * DOC: choice of the offered documents to pull, and of the peer to pull from
 */

#include "core/state.h"

/**
 * member_handle_offers() - process the offers that a datagram carries
 * @state: routing state
 * @message: the datagram
 * @now: current time
 * @out: receives pulls and audit records
 */
void member_handle_offers(struct state *state,
			  const struct peer_message *message,
			  struct instant now, struct event_list *out);

/**
 * member_pull_tick() - pull from other peers what was not sent in time
 * @state: routing state
 * @now: current time
 * @out: receives pulls
 */
void member_pull_tick(struct state *state, struct instant now,
		      struct event_list *out);

#endif
