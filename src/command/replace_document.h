#ifndef COMMAND_REPLACE_DOCUMENT_H
#define COMMAND_REPLACE_DOCUMENT_H

/**
 * DOC: replacement of a service's document while requests are in progress
 *
 * Tickets, queues, leases and counters are carried over by backend address,
 * class name and route. A backend server that the new document lacks is kept
 * behind the others, without slots, while it has running requests; it is
 * dropped by the first replacement after they have ended.
 */

#include "core/state.h"

/**
 * service_replace_document() - replace the document of a service
 * @state: routing state
 * @service: the service
 * @doc: its new document; the service takes a reference
 * @now: current time
 * @out: receives audit records and EVENT_RECALL
 */
void service_replace_document(struct state *state, struct service *service,
			      struct service_doc *doc, struct instant now,
			      struct event_list *out);

#endif
