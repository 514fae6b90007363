#ifndef COMMAND_LEASE_H
#define COMMAND_LEASE_H

/**
 * DOC: slots lent between homes
 *
 * Borrower and lender each compute their own deadline from the duration of the
 * lease: the borrower from the time of its request, the lender from the time of
 * its grant, so that the deadline of the borrower always comes first. After a
 * pause of the process each finds its own deadline passed.
 */

#include "core/state.h"

/**
 * lease_request() - request slots from another home, at a limited rate
 * @state: routing state
 * @service: a service with waiting requests
 * @now: current time
 * @out: receives the datagram
 */
void lease_request(struct state *state, struct service *service,
		   struct instant now, struct event_list *out);

/**
 * lease_handle_message() - process a lease request, a grant or a return
 * @state: routing state
 * @message: a validated PEER_LEASE_* message
 * @now: current time
 * @out: receives datagrams and EVENT_GRANT
 */
void lease_handle_message(struct state *state,
			  const struct peer_message *message,
			  struct instant now, struct event_list *out);

/**
 * lease_tick() - drop expired leases and return unused slots
 * @state: routing state
 * @service: the service
 * @now: current time
 * @out: receives datagrams
 */
void lease_tick(struct state *state, struct service *service,
		struct instant now, struct event_list *out);

#endif
