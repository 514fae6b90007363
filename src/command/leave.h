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
 * leave_note_request() - keep accepting for a while after a request
 * @state: the state
 * @now: the time
 *
 * Peers that the announcement did not reach go on naming this instance.
 */
void leave_note_request(struct state *state, struct instant now);

/**
 * leave_tick() - end the planned stop when nothing is in progress
 * @state: the state
 * @now: the time
 * @out: gets EVENT_LEFT once
 */
void leave_tick(struct state *state, struct instant now,
		struct event_list *out);

#endif
