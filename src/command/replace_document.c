#include "command/replace_document.h"

#include <string.h>

#include "command/fair_share.h"
#include "command/health.h"
#include "command/recall.h"
#include "command/start_record.h"
#include "command/ticket.h"

#define INDEX_NONE UINT32_MAX

/**
 * struct remap - indices in the new document by those in the old one
 * @service: the service, with its new document
 * @old_doc: the old document
 * @old: backend servers of the old document, @old_count entries
 * @old_count: entries of @old
 * @backends: new backend index by old one, INDEX_NONE when it is dropped
 * @known: by new backend index, whether the old document had it
 * @classes: new class index by old one
 * @routes: new route index by old one, DOC_ROUTES_MAX when it is dropped
 */
struct remap {
	struct service *service;
	struct service_doc *old_doc;
	struct backend *old;
	uint32_t old_count;
	uint32_t *backends;
	bool *known;
	uint32_t classes[DOC_CLASSES_MAX];
	uint32_t routes[DOC_ROUTES_MAX + 1];
};

static void map_backends(const struct state *state, struct remap *remap);
static struct backend *find_backend_from(struct service *service,
					 uint32_t count, struct net_addr addr,
					 uint32_t *next);
static bool in_use(const struct state *state, const struct remap *remap,
		   uint32_t old_index);
static void carry_over_backend(struct backend *backend,
			       const struct backend *old);
static uint32_t append_retired(struct service *service,
			       const struct backend *old);
static void map_classes(struct remap *remap);
static uint32_t find_class(const struct service_doc *doc,
			   const struct name *name);
static void map_routes(struct remap *remap);
static uint32_t find_route(const struct service_doc *doc,
			   const struct route_doc *route);
static void move_tickets(struct state *state, const struct remap *remap);
static void move_queues(struct state *state, const struct remap *remap);
static void move_queue(struct state *state, GArray *from, GArray *to);
static void move_borrowed(const struct remap *remap);
static void move_lent(const struct remap *remap);
static void move_counters(const struct remap *remap);
static void move_typical(const struct remap *remap);

void service_replace_document(struct state *state, struct service *service,
			      struct service_doc *doc, struct instant now,
			      struct event_list *out)
{
	struct service *new_service = service_new(doc);
	struct remap remap = {
		.service = service,
		.old_doc = service->doc,
		.old = service->backends,
		.old_count = service->backend_count,
	};

	service->doc = service_doc_ref(doc);
	service->backends = g_steal_pointer(&new_service->backends);
	service->backend_count = new_service->backend_count;
	service_free(new_service);
	remap.backends = g_new0(uint32_t, remap.old_count + 1);
	/* Has room for the dropped backend servers that are appended. */
	remap.known =
		g_new0(bool, service->backend_count + remap.old_count + 1);
	map_backends(state, &remap);
	start_records_follow(state, service, remap.old_doc);
	map_classes(&remap);
	map_routes(&remap);
	move_tickets(state, &remap);
	move_queues(state, &remap);
	move_borrowed(&remap);
	move_lent(&remap);
	move_counters(&remap);
	move_typical(&remap);
	health_apply_document(state, service, remap.known, now, out);
	recall_unsent(state, service, now, out);
	g_free(remap.known);
	g_free(remap.backends);
	g_free(remap.old);
	service_doc_unref(remap.old_doc);
}

static void map_backends(const struct state *state, struct remap *remap)
{
	struct service *service = remap->service;
	uint32_t listed = service->backend_count;
	const struct backend *old;
	struct backend *backend;
	uint32_t next = 0;
	uint32_t i;

	for (i = 0; i < remap->old_count; i++) {
		old = &remap->old[i];
		backend = find_backend_from(service, listed, old->addr, &next);
		/* Another start at the same address is a new server. */
		if (backend && start_equal(&backend->start, &old->start)) {
			carry_over_backend(backend, old);
			remap->backends[i] =
				(uint32_t)(backend - service->backends);
		} else if (in_use(state, remap, i)) {
			remap->backends[i] = append_retired(service, old);
		} else {
			remap->backends[i] = INDEX_NONE;
			continue;
		}
		remap->known[remap->backends[i]] = true;
	}
}

/*
 * Finds a backend server by address. The search begins at @next, as successive
 * versions of a document list most backend servers in the same order.
 */
static struct backend *find_backend_from(struct service *service,
					 uint32_t count, struct net_addr addr,
					 uint32_t *next)
{
	uint32_t index;
	uint32_t i;

	for (i = 0; i < count; i++) {
		index = (*next + i) % count;
		if (!addr_equal(service->backends[index].addr, addr))
			continue;
		*next = index + 1;
		return &service->backends[index];
	}
	return NULL;
}

static bool in_use(const struct state *state, const struct remap *remap,
		   uint32_t old_index)
{
	const struct ticket *ticket;
	uint32_t i;

	for (i = 0; i < TICKETS_MAX; i++) {
		ticket = &state->tickets[i];
		if (ticket->state == TICKET_RUNNING &&
		    ticket->service == remap->service &&
		    ticket->backend_index == old_index)
			return true;
	}
	return false;
}

static void carry_over_backend(struct backend *backend,
			       const struct backend *old)
{
	struct backend listed = *backend;

	*backend = *old;
	backend->domain = listed.domain;
	backend->capacity_slots = listed.capacity_slots;
	backend->connections_max = listed.connections_max;
	backend->drain_document = listed.drain_document;
	if (start_named(&listed.start))
		backend->cold = listed.cold;
	backend->own_slots = MIN(old->own_slots, listed.capacity_slots);
	backend->own_long_slots = MIN(old->own_long_slots, backend->own_slots);
	backend->next_own_slots =
		MIN(old->next_own_slots, listed.capacity_slots);
	backend->next_own_long_slots =
		MIN(old->next_own_long_slots, backend->next_own_slots);
}

/*
 * Keeps a backend server that the new document lacks but that has running
 * requests, without slots.
 *
 * Return: its new index.
 */
static uint32_t append_retired(struct service *service,
			       const struct backend *old)
{
	uint32_t index = service->backend_count++;
	struct backend *retired;

	service->backends = g_renew(struct backend, service->backends,
				    service->backend_count);
	retired = &service->backends[index];
	*retired = *old;
	retired->capacity_slots = 0;
	retired->own_slots = 0;
	retired->own_long_slots = 0;
	retired->next_own_slots = 0;
	retired->next_own_long_slots = 0;
	retired->lent_slots = 0;
	retired->drain_document = true;
	return index;
}

static void map_classes(struct remap *remap)
{
	const struct service_doc *doc = remap->service->doc;
	uint32_t lowest = 0;
	uint32_t i;

	for (i = 1; i < doc->class_count; i++) {
		if (doc->classes[i].priority > doc->classes[lowest].priority)
			lowest = i;
	}
	for (i = 0; i < remap->old_doc->class_count; i++) {
		remap->classes[i] =
			find_class(doc, &remap->old_doc->classes[i].name);
		if (remap->classes[i] == INDEX_NONE)
			remap->classes[i] = lowest;
	}
}

static uint32_t find_class(const struct service_doc *doc,
			   const struct name *name)
{
	uint32_t i;

	for (i = 0; i < doc->class_count; i++) {
		if (name_equal(&doc->classes[i].name, name))
			return i;
	}
	return INDEX_NONE;
}

static void map_routes(struct remap *remap)
{
	const struct service_doc *old = remap->old_doc;
	uint32_t i;

	for (i = 0; i < old->route_count; i++)
		remap->routes[i] =
			find_route(remap->service->doc, &old->routes[i]);
	/* Routes of the routing table keep their index. */
	for (; i <= DOC_ROUTES_MAX; i++)
		remap->routes[i] = remap->service->doc->routed ? i :
								 DOC_ROUTES_MAX;
}

static uint32_t find_route(const struct service_doc *doc,
			   const struct route_doc *route)
{
	uint32_t i;

	for (i = 0; i < doc->route_count; i++) {
		if (doc->routes[i].method_mask == route->method_mask &&
		    strcmp(doc->routes[i].path_prefix, route->path_prefix) == 0)
			return i;
	}
	return DOC_ROUTES_MAX;
}

static void move_tickets(struct state *state, const struct remap *remap)
{
	struct ticket *ticket;
	uint32_t i;

	for (i = 0; i < TICKETS_MAX; i++) {
		ticket = &state->tickets[i];
		if (ticket->state == TICKET_FREE ||
		    ticket->service != remap->service)
			continue;
		ticket->class_index = remap->classes[ticket->class_index];
		ticket->route_index = remap->routes[ticket->route_index];
		if (ticket->state == TICKET_RUNNING)
			ticket->backend_index =
				remap->backends[ticket->backend_index];
	}
}

static void move_queues(struct state *state, const struct remap *remap)
{
	struct class_queue old[DOC_CLASSES_MAX];
	struct class_queue *queues = remap->service->queues;
	uint32_t to;
	uint32_t i;

	memcpy(old, queues, sizeof(old));
	for (i = 0; i < DOC_CLASSES_MAX; i++)
		class_queue_init(&queues[i]);
	for (i = 0; i < DOC_CLASSES_MAX; i++) {
		to = i < remap->old_doc->class_count ? remap->classes[i] : i;
		move_queue(state, old[i].short_tickets,
			   queues[to].short_tickets);
		move_queue(state, old[i].long_tickets, queues[to].long_tickets);
		move_queue(state, old[i].late_tickets, queues[to].late_tickets);
		class_queue_clear(&old[i]);
	}
}

/*
 * Merges two queues in sort order, as two old classes may become one. The
 * charges of customers start anew, which changes the turn of a customer by one
 * request at most.
 */
static void move_queue(struct state *state, GArray *from, GArray *to)
{
	const struct ticket *tickets = state->tickets;
	uint32_t index;
	guint place = 0;
	guint i;

	for (i = 0; i < from->len; i++) {
		index = g_array_index(from, uint32_t, i);
		while (place < to->len &&
		       ticket_sort_key_us(
			       state,
			       &tickets[g_array_index(to, uint32_t, place)]) <=
			       ticket_sort_key_us(state, &tickets[index]))
			place++;
		g_array_insert_val(to, place, index);
		fair_share_add(state, &tickets[index]);
	}
}

static void move_borrowed(const struct remap *remap)
{
	struct borrowed *borrowed;
	uint32_t to;
	uint32_t i;

	for (i = 0; i < BORROWED_MAX; i++) {
		borrowed = &remap->service->borrowed[i];
		if (borrowed->lender.port == 0)
			continue;
		to = remap->backends[borrowed->backend_index];
		if (to == INDEX_NONE) {
			memset(borrowed, 0, sizeof(*borrowed));
			continue;
		}
		borrowed->backend_index = to;
		/* No request starts on a server that the document lacks. */
		if (to >= remap->service->doc->backend_count)
			borrowed->expires_us = 0;
	}
}

static void move_lent(const struct remap *remap)
{
	struct lent *lent;
	uint32_t to;
	uint32_t i;

	for (i = 0; i < LENT_MAX; i++) {
		lent = &remap->service->lent[i];
		if (lent->borrower.port == 0)
			continue;
		to = remap->backends[lent->backend_index];
		if (to == INDEX_NONE ||
		    to >= remap->service->doc->backend_count) {
			memset(lent, 0, sizeof(*lent));
			continue;
		}
		lent->backend_index = to;
	}
}

static void move_counters(const struct remap *remap)
{
	struct service_counters *counters = &remap->service->counters;
	struct class_counters *old;
	uint32_t to;
	uint32_t i;

	old = g_memdup2(counters->classes, sizeof(counters->classes));
	memset(counters->classes, 0, sizeof(counters->classes));
	for (i = 0; i < remap->old_doc->class_count; i++) {
		to = find_class(remap->service->doc,
				&remap->old_doc->classes[i].name);
		if (to != INDEX_NONE)
			counters->classes[to] = old[i];
	}
	g_free(old);
}

static void move_typical(const struct remap *remap)
{
	struct service *service = remap->service;
	uint64_t *typical_us = g_new0(uint64_t, DOC_ROUTES_MAX + 1);
	uint32_t i;

	for (i = 0; i < remap->old_doc->route_count; i++) {
		if (remap->routes[i] < DOC_ROUTES_MAX)
			typical_us[remap->routes[i]] =
				service->route_typical_us[i];
	}
	typical_us[DOC_ROUTES_MAX] = service->route_typical_us[DOC_ROUTES_MAX];
	g_free(service->route_typical_us);
	service->route_typical_us = typical_us;
}
