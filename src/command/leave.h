#ifndef COMMAND_LEAVE_H
#define COMMAND_LEAVE_H

/**
 * DOC: planned stop of this instance
 */

#include "core/state.h"

/**
 * leave() - begin a planned stop, or hurry one
 * @state: the state
 * @command: the wish
 * @now: the time
 * @out: gets datagrams and an audit record
 */
void leave(struct state *state, const struct leave_command *command,
	   struct instant now, struct event_list *out);

/**
 * leave_extend_accept() - keep accepting for a while after a request
 * @state: the state
 * @now: the time
 *
 * Peers that the announcement did not reach go on naming this instance.
 */
void leave_extend_accept(struct state *state, struct instant now);

/**
 * leave_admits() - whether a request may be begun in a planned stop
 * @state: the state
 * @ticket: the request, new or waiting
 * @now: the time
 *
 * Return: false when its work may still run at the end of the stop; true without
 * a planned stop.
 */
bool leave_admits(const struct state *state, const struct ticket *ticket,
		  struct instant now);

/**
 * leave_tick() - end the planned stop when nothing is in progress
 * @state: the state
 * @now: the time
 * @out: gets EVENT_LEFT once
 */
void leave_tick(struct state *state, struct instant now,
		struct event_list *out);

#endif
