#ifndef COMMAND_FAIR_SHARE_H
#define COMMAND_FAIR_SHARE_H

/**
 * DOC: fair queueing between customers
 *
 * In order of objectives alone, customers would be served in proportion to
 * their part of the queue, so that one which sends several times its usual
 * requests to an overloaded service would displace the others.
 *
 * Start-time fair queueing: each customer with waiting requests has a turn, a
 * virtual time. The customer with the earliest turn is granted next, and its
 * turn moves on by the inverse of its weight. A customer that begins to wait
 * has its turn no earlier than the last one granted, so that it gets no claim
 * for the time it was away. A customer that sends much more than its weight
 * gets at least a quarter of what it would get in proportion to its arrivals,
 * so that its callers are not shut out. Each list of a class has virtual time
 * of its own, as one is only served when others have nothing to grant.
 *
 * Where no customers are configured, all requests are of one flow and stay in
 * the order of the queue. Where there are, a request without one, for a public
 * route, counts for its caller, with the weight of a customer without a rate.
 */

#include "core/state.h"

/**
 * fair_share_arrived() - count a request before it is decided on
 * @state: routing state
 * @ticket: its ticket, in no queue yet
 * @now: current time
 */
void fair_share_arrived(struct state *state, const struct ticket *ticket,
			struct instant now);

/**
 * fair_share_add() - count a ticket that has been put into its queue
 * @state: routing state
 * @ticket: the ticket
 */
void fair_share_add(struct state *state, const struct ticket *ticket);

/**
 * fair_share_remove() - count a ticket that has been taken out of its queue
 * @state: routing state
 * @ticket: the ticket
 */
void fair_share_remove(struct state *state, const struct ticket *ticket);

/**
 * fair_share_charge() - move on the turn of a customer that is granted a slot
 * @state: routing state
 * @ticket: the ticket, still in its queue
 */
void fair_share_charge(struct state *state, const struct ticket *ticket);

/**
 * fair_share_next() - which ticket of a queue is granted next
 * @state: routing state
 * @queue: queue of a class
 * @first: index of the first ticket to consider, which exists
 *
 * Return: first ticket of the customer whose turn is the earliest; of customers
 * with the same turn, the ticket that is first in the queue.
 */
uint32_t fair_share_next(const struct state *state, const GArray *queue,
			 guint first);

/**
 * fair_share_ahead() - tickets of the same queue that are granted first
 * @state: routing state
 * @ticket: a ticket that is not in the queue yet
 *
 * Return: number of tickets, if no more arrive.
 */
uint32_t fair_share_ahead(const struct state *state,
			  const struct ticket *ticket);

/**
 * fair_share_exceeded() - whether a customer has too much of a queue
 * @state: routing state
 * @ticket: a ticket that is not in the queue yet
 *
 * Return: true if with @ticket its customer had more than twice its share of
 * the waiting requests by weight, and more than twice an equal share.
 */
bool fair_share_exceeded(const struct state *state,
			 const struct ticket *ticket);

/**
 * fair_share_overfilling() - which ticket leaves a full queue for another
 * @state: routing state
 * @ticket: a ticket that is not in the queue yet
 *
 * Return: the newest ticket that was not sent of the customer with the most
 * waiting requests for its weight; TICKET_NONE if that is the customer of
 * @ticket, or would be with @ticket.
 */
uint32_t fair_share_overfilling(const struct state *state,
				const struct ticket *ticket);

#endif
