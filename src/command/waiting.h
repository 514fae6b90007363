#ifndef COMMAND_WAITING_H
#define COMMAND_WAITING_H

/**
 * DOC: waiting requests that can no longer be served in time
 */

#include "core/state.h"

/**
 * waiting_prune() - defer or refuse waiting requests that are too late
 * @state: routing state
 * @service: the service
 * @now: current time
 * @out: receives EVENT_REFUSE and audit records
 */
void waiting_prune(struct state *state, struct service *service,
		   struct instant now, struct event_list *out);

#endif
