#include "command/recall.h"

#include "query/health.h"

static void recall_grant(struct ticket *ticket, uint32_t index,
			 struct event_list *out);

void recall_unsent(struct state *state, const struct service *service,
		   struct instant now, struct event_list *out)
{
	uint32_t remaining = service->running_requests;
	struct ticket *ticket;
	uint32_t i;

	for (i = 0; i < TICKETS_MAX && remaining > 0; i++) {
		ticket = &state->tickets[i];
		if (ticket->service != service ||
		    ticket->state != TICKET_RUNNING)
			continue;
		remaining--;
		if (!ticket->recalled &&
		    backend_closed(&service->backends[ticket->backend_index],
				   now))
			recall_grant(ticket, i, out);
	}
}

static void recall_grant(struct ticket *ticket, uint32_t index,
			 struct event_list *out)
{
	struct event event = {
		.kind = EVENT_RECALL,
		.recall = {
			.exchange = {
				.index = index,
				.generation = ticket->generation,
			},
			.request = request_ref(ticket->request),
		},
	};

	ticket->recalled = true;
	event_list_add(out, &event);
}
