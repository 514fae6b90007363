#ifndef COMMAND_MEMBER_OFFER_H
#define COMMAND_MEMBER_OFFER_H

/**
 * DOC: offers of documents: what is pulled from whom, and what is left alone
 */

#include "core/state.h"

/**
 * member_handle_offers() - take in the offers that a datagram carries
 * @state: the state
 * @message: the datagram
 * @now: the time
 * @out: gets pulls and audit records
 */
void member_handle_offers(struct state *state,
			  const struct peer_message *message,
			  struct instant now, struct event_list *out);

#endif
