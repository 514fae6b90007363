#ifndef COMMAND_RECALL_H
#define COMMAND_RECALL_H

/**
 * DOC: taking back what was chosen but not sent
 *
 * A choice may wait for its send, for a connection or for processor time. What is
 * learned of the backend server meanwhile counts for it too.
 */

#include "core/state.h"

/**
 * recall_unsent() - take back grants to backend servers that want no new work
 * @state: the state
 * @service: whose grants
 * @now: the time
 * @out: gets EVENT_RECALL for each, once a grant; what was sent goes on
 */
void recall_unsent(struct state *state, const struct service *service,
		   struct instant now, struct event_list *out);

#endif
