#ifndef COMMAND_WITHDRAW_H
#define COMMAND_WITHDRAW_H

/**
 * DOC: withdrawal of a home that cannot reach its backend servers
 *
 * Another instance, of the same failure domain if there is one, takes its place
 * in the home sets, and callers are sent there. After 10 s, or more if it has
 * withdrawn several times in a row, the home returns and tries its paths again.
 */

#include "core/state.h"

/**
 * withdraw_tick() - withdraw from the home sets, or return to them
 * @state: routing state
 * @now: current time
 * @out: receives peer messages and audit records
 */
void withdraw_tick(struct state *state, struct instant now,
		   struct event_list *out);

#endif
