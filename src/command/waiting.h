#ifndef COMMAND_WAITING_H
#define COMMAND_WAITING_H

/**
 * DOC: requests that wait: who goes behind, who is refused
 */

#include "core/state.h"

/**
 * waiting_prune() - defer or refuse what comes too late
 * @state: the state
 * @service: the service
 * @now: the time
 * @out: gets EVENT_REFUSE
 */
void waiting_prune(struct state *state, struct service *service,
		   struct instant now, struct event_list *out);

#endif
