#ifndef COMMAND_WAITING_H
#define COMMAND_WAITING_H

/**
 * DOC: requests that wait: who goes behind, who is refused
 */

#include "core/state.h"

/**
 * waiting_tick() - look after all that waits for a service
 * @state: the state
 * @service: the service
 * @now: the time
 * @out: gets EVENT_REFUSE
 */
void waiting_tick(struct state *state, struct service *service,
		  struct instant now, struct event_list *out);

/**
 * waiting_sort() - put behind, or refuse, what cannot meet its objective
 * @state: the state
 * @service: the service
 * @now: the time
 * @out: gets EVENT_REFUSE
 */
void waiting_sort(struct state *state, struct service *service,
		  struct instant now, struct event_list *out);

/**
 * waiting_expire() - refuse those at the head of a queue that cannot end in time
 * @state: the state
 * @queue: one of a service's queues
 * @now: the time
 * @out: gets EVENT_REFUSE
 */
void waiting_expire(struct state *state, GArray *queue, struct instant now,
		    struct event_list *out);

#endif
