#ifndef COMMAND_APPLY_H
#define COMMAND_APPLY_H

/**
 * DOC: dispatch of commands to the functions that carry them out
 */

#include "core/state.h"

/**
 * command_apply() - carry out a command on the routing state
 * @state: routing state
 * @command: command to carry out; all that it owns is passed on or freed, also
 *	when it has no effect
 * @now: current time
 * @out: receives the events that the caller has to pass to other duties
 */
void command_apply(struct state *state, struct command *command,
		   struct instant now, struct event_list *out);

#endif
