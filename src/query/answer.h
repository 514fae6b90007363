#ifndef QUERY_ANSWER_H
#define QUERY_ANSWER_H

/**
 * DOC: the one switch over queries
 */

#include "core/state.h"

/**
 * query_answer() - answer a query from the routing state
 * @state: only read
 * @query: the query
 * @now: the time
 * @reply: filled; owned by the asker
 */
void query_answer(const struct state *state, const struct query *query,
		  struct instant now, struct query_reply *reply);

#endif
