#ifndef COMMAND_RETRY_H
#define COMMAND_RETRY_H

/**
 * DOC: what retries a service may spend here
 *
 * Each request earns its service a part of a retry. The fleet's allowance comes
 * on top and is split among the homes; it lets quiet services retry as well.
 */

#include "core/state.h"

/**
 * retry_earn() - count an admitted request
 * @state: the state
 * @service: its service
 * @now: the time
 */
void retry_earn(const struct state *state, struct service *service,
		struct instant now);

/**
 * retry_reserve() - pay for a retry, also before it is known to be needed
 * @state: the state
 * @ticket: the request; ticket_free() gives back what it did not use
 * @now: the time
 *
 * Return: false when the service has none to spend or is overloaded.
 */
bool retry_reserve(const struct state *state, struct ticket *ticket,
		   struct instant now);

/**
 * retry_release() - give a reserved retry back, if there is one
 * @ticket: the request
 */
void retry_release(struct ticket *ticket);

#endif
