#ifndef QUERY_ANSWER_H
#define QUERY_ANSWER_H

/**
 * DOC: dispatch of queries to the functions that answer them
 */

#include "core/state.h"

/**
 * query_answer() - answer a query from the routing state
 * @state: read only
 * @query: the query
 * @now: current time
 * @reply: filled in; to be cleared with query_reply_clear()
 */
void query_answer(const struct state *state, const struct query *query,
		  struct instant now, struct query_reply *reply);

#endif
