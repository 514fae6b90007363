#ifndef COMMAND_RETRY_H
#define COMMAND_RETRY_H

/**
 * DOC: retry budget of a service
 *
 * Each admitted request adds a fraction of a retry to the budget. The allowance
 * of the whole fleet is divided among the homes, and each home's share of it is
 * added over time, so that services with little traffic can retry as well.
 */

#include "core/state.h"

/**
 * retry_earn() - add the fraction of a retry that an admitted request earns
 * @state: routing state
 * @service: service of the request
 * @now: current time
 */
void retry_earn(const struct state *state, struct service *service,
		struct instant now);

/**
 * retry_reserve() - take one retry from the budget, even if it is not certain
 *	yet that it will be needed
 * @state: routing state
 * @ticket: the request; ticket_free() returns an unused retry to the budget
 * @now: current time
 *
 * Return: false when less than one retry is left in the budget, slots are short
 * or the backend servers shed most arrivals.
 */
bool retry_reserve(const struct state *state, struct ticket *ticket,
		   struct instant now);

/**
 * retry_affordable() - whether a request could be retried now
 * @state: routing state
 * @ticket: the request
 * @now: current time
 *
 * Return: true if a retry could be taken from the budget.
 */
bool retry_affordable(const struct state *state, const struct ticket *ticket,
		      struct instant now);

/**
 * retry_release() - return a reserved retry to the budget, if there is one
 * @ticket: the request
 */
void retry_release(struct ticket *ticket);

#endif
