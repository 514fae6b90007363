#ifndef COMMAND_ADMIT_H
#define COMMAND_ADMIT_H

/**
 * DOC: admission control
 *
 * Requests that cannot be served in time are refused before any work is done.
 */

#include "core/state.h"

/**
 * admit() - admit a request to the queue of its class, or refuse it
 * @state: routing state
 * @command: the request; the caller keeps its reference
 * @now: current time
 * @out: receives EVENT_GRANT or EVENT_REFUSE, neither while the request waits;
 *	also EVENT_REFUSE for a request that is shed in favour of this one,
 *	trace and audit records, and a lease request
 */
void admit(struct state *state, const struct admit_command *command,
	   struct instant now, struct event_list *out);

/**
 * admit_with_token() - queue a request whose quota allows it, or refuse it
 * @state: routing state
 * @index: its ticket, in no queue
 * @now: current time
 * @out: as for admit()
 */
void admit_with_token(struct state *state, uint32_t index, struct instant now,
		      struct event_list *out);

/**
 * overload_record_refusal() - count a refusal for lack of slots; begin an
 *	overload of the service or prolong it
 * @state: routing state
 * @service: service of the refused request
 * @now: current time
 * @out: receives an audit record when the overload begins
 */
void overload_record_refusal(struct state *state, struct service *service,
			     struct instant now, struct event_list *out);

/**
 * overload_shed() - refuse a waiting request for lack of slots
 * @state: routing state
 * @index: ticket of a request that was sent to no backend server yet
 * @now: current time
 * @out: receives EVENT_REFUSE, and an audit record when an overload begins
 */
void overload_shed(struct state *state, uint32_t index, struct instant now,
		   struct event_list *out);

/**
 * overload_tick() - end the overload of a service once no request has been
 *	refused for 1 s
 * @state: routing state
 * @service: the service
 * @now: current time
 * @out: receives an audit record when the overload ends
 */
void overload_tick(struct state *state, struct service *service,
		   struct instant now, struct event_list *out);

#endif
