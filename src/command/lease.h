#ifndef COMMAND_LEASE_H
#define COMMAND_LEASE_H

/**
 * DOC: slots lent between homes
 *
 * Each side makes its own deadline from the lease's span: the borrower counts
 * from when it asked, the lender from when it gave, so that the borrower's
 * always comes first. After a pause both find theirs past.
 */

#include "core/state.h"

/**
 * lease_request() - wish for slots of another home, at a bounded rate
 * @state: the state
 * @service: a service with waiting requests
 * @now: the time
 * @out: gets a datagram
 */
void lease_request(struct state *state, struct service *service,
		   struct instant now, struct event_list *out);

/**
 * lease_handle_message() - take in a wish, a grant or a return
 * @state: the state
 * @message: a checked PEER_LEASE_* message
 * @now: the time
 * @out: gets datagrams and grants
 */
void lease_handle_message(struct state *state,
			  const struct peer_message *message,
			  struct instant now, struct event_list *out);

/**
 * lease_tick() - drop expired leases and return unused slots
 * @state: the state
 * @service: the service
 * @now: the time
 * @out: gets datagrams and grants
 */
void lease_tick(struct state *state, struct service *service,
		struct instant now, struct event_list *out);

#endif
