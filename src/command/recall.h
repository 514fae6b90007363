#ifndef COMMAND_RECALL_H
#define COMMAND_RECALL_H

/**
 * DOC: recall of granted requests that have not been sent
 *
 * A granted request may wait for a connection or for processor time before it
 * is sent. A drain or pause that becomes known meanwhile applies to it too.
 */

#include "core/state.h"

/**
 * recall_unsent() - recall grants to draining or paused backend servers
 * @state: routing state
 * @service: service of the grants
 * @now: current time
 * @out: receives EVENT_RECALL, once for each grant; it has no effect on a
 *	request that has been sent already
 */
void recall_unsent(struct state *state, const struct service *service,
		   struct instant now, struct event_list *out);

#endif
