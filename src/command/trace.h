#ifndef COMMAND_TRACE_H
#define COMMAND_TRACE_H

/**
 * DOC: trace of the decisions on a request
 */

#include "core/state.h"

/**
 * trace_grant() - a request goes to a backend server
 * @state: the state
 * @ticket: the request, its slot not yet taken
 * @choice: what there was to choose from
 * @now: the time
 * @out: gets the record
 */
void trace_grant(struct state *state, const struct ticket *ticket,
		 const struct trace_choice *choice, struct instant now,
		 struct event_list *out);

/**
 * trace_end() - an exchange has ended
 * @state: the state
 * @ticket: the request
 * @evidence: what it showed
 * @follow: what comes next
 * @now: the time
 * @out: gets the record
 */
void trace_end(struct state *state, const struct ticket *ticket,
	       const struct evidence *evidence, enum trace_follow follow,
	       struct instant now, struct event_list *out);

/**
 * trace_refusal() - a request gets no backend server's answer
 * @state: the state
 * @ticket: the request, or NULL when it was not admitted
 * @request: its token
 * @refusal: what the caller is told
 * @now: the time
 * @out: gets the record
 */
void trace_refusal(struct state *state, const struct ticket *ticket,
		   const struct request *request, const struct refusal *refusal,
		   struct instant now, struct event_list *out);

#endif
