#ifndef COMMAND_SCHEDULE_H
#define COMMAND_SCHEDULE_H

/**
 * DOC: slots to waiting requests
 */

#include "core/state.h"

/**
 * schedule_run() - grant slots until none is free or nothing waits
 * @state: the state
 * @service: the service
 * @now: the time
 * @out: gets EVENT_GRANT, EVENT_REFUSE and a wish for slots
 */
void schedule_run(struct state *state, struct service *service,
		  struct instant now, struct event_list *out);

/**
 * schedule_release() - take a running request's slot back
 * @state: the state
 * @index: its ticket
 */
void schedule_release(struct state *state, uint32_t index);

#endif
