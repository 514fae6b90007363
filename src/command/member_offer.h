#ifndef COMMAND_MEMBER_OFFER_H
#define COMMAND_MEMBER_OFFER_H

/**
 * DOC: offers of documents: which are pulled from which peer
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

#endif
