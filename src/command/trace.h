#ifndef COMMAND_TRACE_H
#define COMMAND_TRACE_H

/**
 * DOC: trace records of the decisions on a request
 */

#include "core/state.h"

/**
 * trace_grant() - record that a request is granted a slot of a backend server
 * @state: routing state
 * @ticket: the request, whose slot is not counted as in use yet
 * @choice: the backend servers that were considered
 * @now: current time
 * @out: receives the record
 */
void trace_grant(struct state *state, const struct ticket *ticket,
		 const struct trace_choice *choice, struct instant now,
		 struct event_list *out);

/**
 * trace_end() - record the end of an exchange
 * @state: routing state
 * @ticket: the request
 * @evidence: how the exchange ended
 * @follow: what the instance does next for the request
 * @now: current time
 * @out: receives the record
 */
void trace_end(struct state *state, const struct ticket *ticket,
	       const struct evidence *evidence, enum trace_follow follow,
	       struct instant now, struct event_list *out);

/**
 * trace_refusal() - record that a request is refused
 * @state: routing state
 * @ticket: ticket of the request
 * @refusal: answer for the caller
 * @now: current time
 * @out: receives the record
 */
void trace_refusal(struct state *state, const struct ticket *ticket,
		   const struct refusal *refusal, struct instant now,
		   struct event_list *out);

/**
 * trace_refusal_early() - record that a request without a ticket is refused
 * @state: routing state
 * @customer: customer of the request, or NULL if none is known
 * @request: the request, read for its id
 * @refusal: answer for the caller
 * @now: current time
 * @out: receives the record
 */
void trace_refusal_early(struct state *state, const struct customer *customer,
			 const struct request *request,
			 const struct refusal *refusal, struct instant now,
			 struct event_list *out);

#endif
