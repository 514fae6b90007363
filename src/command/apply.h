#ifndef COMMAND_APPLY_H
#define COMMAND_APPLY_H

/**
 * DOC: the one switch over commands
 */

#include "core/state.h"

/**
 * command_apply() - carry a command out on the routing state
 * @state: the state
 * @command: taken over, whatever comes of it
 * @now: the time
 * @out: gets what is to be done
 */
void command_apply(struct state *state, struct command *command,
		   struct instant now, struct event_list *out);

#endif
