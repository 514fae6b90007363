#ifndef COMMAND_FINISH_H
#define COMMAND_FINISH_H

/**
 * DOC: the end of an exchange: outcome, retry, delivery
 */

#include "core/state.h"

/**
 * finish() - take in the end of an exchange
 * @state: the state
 * @command: what ended; its held answer is taken over
 * @now: the time
 * @out: gets EVENT_DELIVER, EVENT_REFUSE or, for a retry, EVENT_GRANT
 *
 * An exchange that is over already is ignored.
 */
void finish(struct state *state, struct finish_command *command,
	    struct instant now, struct event_list *out);

/**
 * observe_answer_notice() - take in what an answer's head says before its body has ended
 * @state: the state
 * @command: which exchange
 * @now: the time
 * @out: gets an audit record and EVENT_RECALL
 */
void observe_answer_notice(struct state *state,
			   const struct observe_answer_notice_command *command,
			   struct instant now, struct event_list *out);

/**
 * cancel() - a caller is gone
 * @state: the state
 * @command: whose; the caller keeps its reference
 * @now: the time
 * @out: gets EVENT_CANCEL
 */
void cancel(struct state *state, const struct cancel_command *command,
	    struct instant now, struct event_list *out);

#endif
