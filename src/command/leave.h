#ifndef COMMAND_LEAVE_H
#define COMMAND_LEAVE_H

/**
 * DOC: planned stop of this instance
 */

#include "core/state.h"

/**
 * leave() - begin a planned stop, or shorten one that has begun
 * @state: routing state
 * @command: says whether to wait until the answers to entries that name this
 *	instance have expired
 * @now: current time
 * @out: receives datagrams and an audit record
 */
void leave(struct state *state, const struct leave_command *command,
	   struct instant now, struct event_list *out);

/**
 * leave_extend_accept() - have a planned stop go on for at least 1 s after the
 *	latest request, within its deadline
 * @state: routing state
 * @now: current time
 *
 * Peers that missed the announcement still name this instance to callers, so
 * other requests may follow.
 */
void leave_extend_accept(struct state *state, struct instant now);

/**
 * leave_admits() - whether a request may be started during a planned stop
 * @state: routing state
 * @ticket: the request, new or waiting
 * @now: current time
 *
 * Return: false when its work might outlast the planned stop; true without a
 * planned stop.
 */
bool leave_admits(const struct state *state, const struct ticket *ticket,
		  struct instant now);

/**
 * leave_tick() - refuse waiting requests that can no longer be started; end the
 *	planned stop when no request is in progress or its deadline has passed
 * @state: routing state
 * @now: current time
 * @out: receives EVENT_REFUSE, EVENT_CANCEL and, once, EVENT_LEFT
 */
void leave_tick(struct state *state, struct instant now,
		struct event_list *out);

#endif
