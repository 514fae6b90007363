#ifndef COMMAND_TICK_H
#define COMMAND_TICK_H

/**
 * DOC: what happens as time goes on
 */

#include "core/state.h"

/**
 * tick() - let time pass
 * @state: the state
 * @now: the time
 * @out: gets whatever comes due
 */
void tick(struct state *state, struct instant now, struct event_list *out);

#endif
