#ifndef QUERY_ENTRIES_H
#define QUERY_ENTRIES_H

/**
 * DOC: which instances callers of a service shall use
 */

#include "core/state.h"

/**
 * entries_answer() - the answer a caller gets
 * @state: only read
 * @query: a QUERY_ENTRIES
 * @now: the time
 * @out: filled
 */
void entries_answer(const struct state *state, const struct query *query,
		    struct instant now, struct entries_reply *out);

#endif
