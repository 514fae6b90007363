#ifndef QUERY_READY_H
#define QUERY_READY_H

/**
 * DOC: readiness of this instance for callers
 */

#include "core/state.h"

/**
 * ready_answer() - report whether this instance is ready to accept requests
 * @state: read only
 * @now: current time
 * @out: filled in; owns nothing
 */
void ready_answer(const struct state *state, struct instant now,
		  struct ready_reply *out);

#endif
