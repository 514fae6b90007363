#ifndef COMMAND_ADMIT_H
#define COMMAND_ADMIT_H

/**
 * DOC: admission: refusal before work
 */

#include "core/state.h"

/**
 * admit() - take a request in or refuse it at once
 * @state: the state
 * @command: the request; the caller keeps its reference
 * @now: the time
 * @out: gets EVENT_GRANT or EVENT_REFUSE, or nothing while it waits
 */
void admit(struct state *state, const struct admit_command *command,
	   struct instant now, struct event_list *out);

/**
 * overload_record_refusal() - a request was refused for want of slots
 * @state: the state
 * @service: its service
 * @now: the time
 * @out: gets an audit record when the overload begins
 */
void overload_record_refusal(struct state *state, struct service *service,
			     struct instant now, struct event_list *out);

/**
 * overload_shed() - refuse a waiting request for want of slots
 * @state: the state
 * @index: its ticket; it was sent to nobody yet
 * @now: the time
 * @out: gets EVENT_REFUSE, and an audit record when an overload begins
 */
void overload_shed(struct state *state, uint32_t index, struct instant now,
		   struct event_list *out);

/**
 * overload_tick() - end the overload of a service when it is over
 * @state: the state
 * @service: the service
 * @now: the time
 * @out: gets an audit record
 */
void overload_tick(struct state *state, struct service *service,
		   struct instant now, struct event_list *out);

#endif
