#ifndef COMMAND_SCHEDULE_H
#define COMMAND_SCHEDULE_H

/**
 * DOC: grant of slots to waiting requests
 */

#include "core/state.h"

/**
 * schedule_run() - refuse waiting requests that are too late, then grant slots
 *	until none is free or no request waits
 * @state: routing state
 * @service: the service
 * @now: current time
 * @out: receives EVENT_GRANT, EVENT_REFUSE and a lease request
 */
void schedule_run(struct state *state, struct service *service,
		  struct instant now, struct event_list *out);

/**
 * schedule_release() - free the slot of a running request
 * @state: routing state
 * @index: its ticket
 */
void schedule_release(struct state *state, uint32_t index);

#endif
