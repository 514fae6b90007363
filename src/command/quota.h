#ifndef COMMAND_QUOTA_H
#define COMMAND_QUOTA_H

/**
 * DOC: tokens of customers with a rate limit
 *
 * The requester takes a token for each request before it is queued, and asks
 * the customer's owner when it has none. The owner, or the standby while the
 * owner does not answer, grants tokens from a bucket.
 */

#include "core/state.h"

/**
 * enum quota_result - result of taking a token for a new request
 * @QUOTA_TAKEN: the request may be sent
 * @QUOTA_ASKED: it waits; admit_with_token() is called or it is refused later
 * @QUOTA_REFUSED: it has been refused
 */
enum quota_result { QUOTA_TAKEN, QUOTA_ASKED, QUOTA_REFUSED };

/**
 * quota_take() - take a token of the customer's quota for a new request
 * @state: routing state
 * @index: its ticket, open and in no queue
 * @now: current time
 * @out: receives EVENT_REFUSE or a datagram that asks for tokens
 *
 * Return: QUOTA_TAKEN also if the request has no customer with a limit.
 */
enum quota_result quota_take(struct state *state, uint32_t index,
			     struct instant now, struct event_list *out);

/**
 * quota_give_back() - give back the token of a request that was not sent
 * @state: routing state
 * @ticket: ticket with a token
 * @now: current time
 */
void quota_give_back(struct state *state, struct ticket *ticket,
		     struct instant now);

/**
 * quota_cancel() - forget a request that waits for a token
 * @state: routing state
 * @index: its ticket
 */
void quota_cancel(struct state *state, uint32_t index);

/**
 * quota_handle_message() - answer an ask for tokens, or use granted ones
 * @state: routing state
 * @message: a validated PEER_QUOTA_* message
 * @now: current time
 * @out: receives datagrams, EVENT_GRANT and EVENT_REFUSE
 */
void quota_handle_message(struct state *state,
			  const struct peer_message *message,
			  struct instant now, struct event_list *out);

/**
 * quota_tick() - follow changes of owners, handle asks that were not answered
 * @state: routing state
 * @now: current time
 * @out: receives datagrams, EVENT_GRANT and EVENT_REFUSE
 */
void quota_tick(struct state *state, struct instant now,
		struct event_list *out);

#endif
