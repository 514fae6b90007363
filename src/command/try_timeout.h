#ifndef COMMAND_TRY_TIMEOUT_H
#define COMMAND_TRY_TIMEOUT_H

/**
 * DOC: work that hangs is tried elsewhere
 */

#include "core/state.h"

/**
 * try_timeout_tick() - stop exchanges that take much longer than usual
 * @state: the state
 * @now: the time
 * @out: gets EVENT_CANCEL
 *
 * Only work that may be repeated, while there is time for another try and a
 * retry to spend, and never during a planned stop.
 */
void try_timeout_tick(struct state *state, struct instant now,
		      struct event_list *out);

#endif
