#ifndef COMMAND_TRY_TIMEOUT_H
#define COMMAND_TRY_TIMEOUT_H

/**
 * DOC: time-out of a single try, after which a request is retried elsewhere
 */

#include "core/state.h"

/**
 * try_timeout_tick() - cancel exchanges that take much longer than typical
 * @state: routing state
 * @now: current time
 * @out: receives EVENT_CANCEL
 *
 * Only idempotent requests are cancelled, while the deadline leaves time for
 * another try and the retry budget covers it. Nothing is cancelled during a
 * planned stop.
 */
void try_timeout_tick(struct state *state, struct instant now,
		      struct event_list *out);

#endif
