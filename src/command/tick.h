#ifndef COMMAND_TICK_H
#define COMMAND_TICK_H

/**
 * DOC: periodic work on the routing state
 */

#include "core/state.h"

/**
 * tick() - do the periodic work that is due, for all services
 * @state: routing state
 * @now: current time
 * @out: receives events of any kind
 */
void tick(struct state *state, struct instant now, struct event_list *out);

#endif
