#ifndef COMMAND_WITHDRAW_H
#define COMMAND_WITHDRAW_H

/**
 * DOC: a home that cannot reach its backend servers steps aside
 *
 * Another instance of its failure domain then takes its place in the home sets,
 * and callers are sent there. After a while it comes back and finds out anew.
 */

#include "core/state.h"

/**
 * withdraw_tick() - step aside, or come back when its time is over
 * @state: the state
 * @now: the time
 * @out: gets datagrams and audit records
 */
void withdraw_tick(struct state *state, struct instant now,
		   struct event_list *out);

#endif
