#ifndef COMMAND_PATIENCE_H
#define COMMAND_PATIENCE_H

/**
 * DOC: work that hangs is tried elsewhere
 */

#include "core/state.h"

/**
 * patience_tick() - stop exchanges that take much longer than usual
 * @state: the state
 * @now: the time
 * @out: gets EVENT_CANCEL
 *
 * Only work that may be repeated, while there is time for another try and a
 * retry to spend, and never during a planned stop.
 */
void patience_tick(struct state *state, struct instant now,
		   struct event_list *out);

#endif
