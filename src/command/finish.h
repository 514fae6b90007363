#ifndef COMMAND_FINISH_H
#define COMMAND_FINISH_H

/**
 * DOC: end of an exchange: outcome, retry, delivery
 */

#include "core/state.h"

/**
 * finish() - process the end of an exchange
 * @state: routing state
 * @command: exchange and evidence; ownership of its held answer is taken
 * @now: current time
 * @out: receives EVENT_DELIVER, EVENT_REFUSE or, for a retry, EVENT_GRANT
 *
 * An exchange that has already ended is ignored.
 */
void finish(struct state *state, struct finish_command *command,
	    struct instant now, struct event_list *out);

/**
 * observe_answer_notice() - process the notice in the head of an answer
 *	before its body has ended
 * @state: routing state
 * @command: exchange, and notice of the backend server
 * @now: current time
 * @out: receives audit records, EVENT_RECALL and EVENT_GRANT
 */
void observe_answer_notice(struct state *state,
			   const struct observe_answer_notice_command *command,
			   struct instant now, struct event_list *out);

/**
 * cancel() - stop the work for a caller that has disconnected
 * @state: routing state
 * @command: the request; the caller keeps its reference
 * @now: current time
 * @out: receives EVENT_CANCEL when the request runs
 */
void cancel(struct state *state, const struct cancel_command *command,
	    struct instant now, struct event_list *out);

#endif
