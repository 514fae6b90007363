#ifndef QUERY_ANSWER_H
#define QUERY_ANSWER_H

/**
 * DOC: dispatches queries by kind
 */

#include "core/state.h"

/**
 * query_answer() - answer a query from the routing state
 * @state: read only
 * @query: the query
 * @now: current time
 * @reply: filled in; what it holds is owned by the caller of this function
 */
void query_answer(const struct state *state, const struct query *query,
		  struct instant now, struct query_reply *reply);

#endif
