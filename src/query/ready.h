#ifndef QUERY_READY_H
#define QUERY_READY_H

/**
 * DOC: whether callers should come to this instance
 */

#include "core/state.h"

/**
 * ready_answer() - tell whether this instance is ready
 * @state: only read
 * @out: filled
 */
void ready_answer(const struct state *state, struct ready_reply *out);

#endif
