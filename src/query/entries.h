#ifndef QUERY_ENTRIES_H
#define QUERY_ENTRIES_H

/**
 * DOC: instances offered to the callers of a service
 */

#include "core/state.h"

/**
 * entries_answer() - list the instances that a caller should use
 * @state: read only
 * @query: a query of kind QUERY_ENTRIES
 * @now: current time
 * @out: filled in with at most ENTRIES_MAX instances, preferred ones first
 */
void entries_answer(const struct state *state, const struct query *query,
		    struct instant now, struct entries_reply *out);

#endif
