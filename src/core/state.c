#include "core/state.h"

#include <string.h>

#define RETRY_BUDGET_START_PERMILLE 5000

static struct policy policy_of(enum policy_choice choice);
static void backend_init(struct backend *backend,
			 const struct backend_doc *doc);

struct state *state_new(const struct settings *settings)
{
	struct state *state = g_new0(struct state, 1);
	uint32_t i;

	state->settings = settings;
	state->policy = policy_of((enum policy_choice)settings->policy);
	state->rand = g_rand_new_with_seed(settings->random_seed);
	state->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						service_free);
	state->by_host =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	state->tickets = g_new0(struct ticket, TICKETS_MAX);
	state->free_tickets = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (i = TICKETS_MAX; i-- > 0;)
		g_array_append_val(state->free_tickets, i);
	state->ticket_by_request = g_hash_table_new(NULL, NULL);
	membership_init(&state->membership, settings);
	state->audit = g_new0(struct audit_record, AUDIT_KEPT_RECORDS);
	state->audit_next = 1;
	quotas_init(&state->quotas);
	state->long_requests_max = settings->requests_max / 2;
	return state;
}

void state_free(struct state *state)
{
	uint32_t i;

	if (!state)
		return;
	for (i = 0; i < TICKETS_MAX; i++)
		request_unref(state->tickets[i].request);
	g_free(state->tickets);
	g_array_unref(state->free_tickets);
	g_hash_table_unref(state->ticket_by_request);
	g_hash_table_unref(state->by_host);
	g_hash_table_unref(state->services);
	routing_table_unref(state->routes);
	membership_clear(&state->membership);
	quotas_clear(&state->quotas);
	g_rand_free(state->rand);
	g_free(state->audit);
	g_free(state);
}

void class_queue_init(struct class_queue *queue)
{
	queue->short_tickets = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	queue->long_tickets = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	queue->late_tickets = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	memset(queue->shares, 0, sizeof(queue->shares));
}

void class_queue_clear(struct class_queue *queue)
{
	uint32_t i;

	g_array_unref(queue->short_tickets);
	g_array_unref(queue->long_tickets);
	g_array_unref(queue->late_tickets);
	for (i = 0; i < LIST_COUNT; i++)
		g_clear_pointer(&queue->shares[i].flows, g_hash_table_unref);
}

struct service *service_new(struct service_doc *doc)
{
	struct service *service = g_new0(struct service, 1);
	uint32_t i;

	service->doc = service_doc_ref(doc);
	service->backend_count = doc->backend_count;
	service->backends = g_new0(struct backend, doc->backend_count);
	for (i = 0; i < doc->backend_count; i++)
		backend_init(&service->backends[i], &doc->backends[i]);
	for (i = 0; i < DOC_CLASSES_MAX; i++)
		class_queue_init(&service->queues[i]);
	service->callers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	service->route_typical_us = g_new0(uint64_t, DOC_ROUTES_MAX + 1);
	service->self_home = HOMES_MAX;
	service->retry_budget_permille = RETRY_BUDGET_START_PERMILLE;
	return service;
}

void service_free(gpointer data)
{
	struct service *service = data;
	uint32_t i;

	if (!service)
		return;
	for (i = 0; i < DOC_CLASSES_MAX; i++)
		class_queue_clear(&service->queues[i]);
	g_hash_table_unref(service->callers);
	g_clear_pointer(&service->start_records, g_hash_table_unref);
	g_free(service->route_typical_us);
	g_free(service->backends);
	service_doc_unref(service->doc);
	g_free(service);
}

struct service *service_lookup(const struct state *state,
			       const struct name *name)
{
	return g_hash_table_lookup(state->services, name->text);
}

struct backend *service_backend(struct service *service, struct net_addr addr)
{
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		if (addr_equal(service->backends[i].addr, addr))
			return &service->backends[i];
	}
	return NULL;
}

void state_audit(struct state *state, struct audit_record *record,
		 struct instant now, struct event_list *out)
{
	struct event event = { .kind = EVENT_AUDIT };

	record->sequence = state->audit_next++;
	record->unix_ms = now.unix_ms;
	state->audit[record->sequence % AUDIT_KEPT_RECORDS] = *record;
	event.audit = *record;
	event_list_add(out, &event);
}

static struct policy policy_of(enum policy_choice choice)
{
	struct policy policy = { .sharing = SHARING_LEASED, .ejecting = true };

	switch (choice) {
	case POLICY_LEASED:
		break;
	case POLICY_DOMAIN:
		policy.sharing = SHARING_DOMAIN;
		break;
	case POLICY_FIXED:
		policy.sharing = SHARING_FIXED;
		break;
	case POLICY_OPEN:
		policy.sharing = SHARING_NONE;
		break;
	case POLICY_BASELINE:
		policy.sharing = SHARING_NONE;
		policy.picking = PICKING_ROUND_ROBIN;
		policy.queueing = QUEUEING_FIFO;
		policy.ejecting = false;
		break;
	}
	return policy;
}

static void backend_init(struct backend *backend, const struct backend_doc *doc)
{
	backend->addr = doc->addr;
	backend->domain = doc->domain;
	backend->capacity_slots = doc->capacity_slots;
	backend->next_own_at_us = DEADLINE_NONE_US;
	backend->connections_max = doc->connections_max;
	backend->drain_document = doc->draining;
	backend->cold = doc->warming;
	backend->start = doc->start;
}
