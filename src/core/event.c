#include "core/event.h"

void event_list_init(struct event_list *list)
{
	list->events = g_array_new(FALSE, FALSE, sizeof(struct event));
}

void event_list_clear(struct event_list *list)
{
	guint i;

	for (i = 0; i < list->events->len; i++)
		event_clear(&g_array_index(list->events, struct event, i));
	g_array_unref(list->events);
	list->events = NULL;
}

void event_list_add(struct event_list *list, const struct event *event)
{
	g_array_append_vals(list->events, event, 1);
}

void event_clear(struct event *event)
{
	switch (event->kind) {
	case EVENT_GRANT:
		request_unref(event->grant.request);
		break;
	case EVENT_REFUSE:
		request_unref(event->refuse.request);
		break;
	case EVENT_DELIVER:
		request_unref(event->deliver.request);
		answer_held_free(event->deliver.held);
		break;
	case EVENT_RECALL:
		request_unref(event->recall.request);
		break;
	case EVENT_PEER_SEND:
		g_free(event->peer_send.message);
		break;
	case EVENT_PROBE_PLAN:
		g_array_unref(event->probe_plan.targets);
		break;
	case EVENT_CANCEL:
	case EVENT_AUDIT:
	case EVENT_TRACE:
	case EVENT_CONFIG_PULL:
	case EVENT_CONFIG_ROLE:
	case EVENT_LEFT:
		break;
	}
}
