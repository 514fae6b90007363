#include "query/floor.h"

#include "query/health.h"
#include "query/health_tally.h"

static bool is_capacity(const struct backend *backend, struct instant now);
static uint32_t capacity_slots(const struct service *service,
			       struct instant now);
static uint32_t largest_backend_slots(const struct service *service);
static bool charge_counts(const struct health *health, struct instant now);

uint32_t floor_budget_slots(const struct service *service, struct instant now)
{
	uint32_t capacity = capacity_slots(service, now);
	uint32_t floor = service_doc_floor_slots(service->doc);

	return capacity > floor ? capacity - floor : 0;
}

uint32_t floor_home_budget_slots(const struct service *service, uint32_t home,
				 struct instant now)
{
	uint32_t unit = largest_backend_slots(service);
	uint32_t units;

	if (unit == 0 || home >= service->home_count)
		return 0;
	units = floor_budget_slots(service, now) / unit;
	return (units / service->home_count +
		(home < units % service->home_count)) *
	       unit;
}

uint32_t floor_charged_slots(const struct service *service, struct instant now)
{
	const struct backend *backend;
	uint32_t slots = 0;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[i];
		if (charge_counts(&backend->health, now) &&
		    is_capacity(backend, now))
			slots += backend->capacity_slots;
	}
	return slots;
}

bool floor_may_charge(const struct service *service,
		      const struct backend *backend, struct instant now)
{
	uint32_t home_budget =
		floor_home_budget_slots(service, service->self_home, now);
	uint32_t floor = service_doc_floor_slots(service->doc);
	uint32_t charged = floor_charged_slots(service, now);
	uint32_t in_service = service_in_service_slots(service, now);

	if (charge_counts(&backend->health, now))
		return charged <= home_budget;
	if (!is_capacity(backend, now))
		return true;
	if (charged + backend->capacity_slots > home_budget)
		return false;
	if (backend_in_service(backend, now))
		in_service -= backend->capacity_slots;
	return in_service >= floor;
}

uint32_t floor_excess_slots(const struct service *service, struct instant now)
{
	uint32_t home_budget =
		floor_home_budget_slots(service, service->self_home, now);
	uint32_t budget = floor_budget_slots(service, now);
	const struct backend *backend;
	uint32_t all = 0;
	uint32_t own = 0;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[i];
		if (!is_capacity(backend, now))
			continue;
		if (backend->health.charged)
			own += backend->capacity_slots;
		if (backend->health.charged ||
		    floor_charged_elsewhere(backend, now))
			all += backend->capacity_slots;
	}
	own = own > home_budget ? own - home_budget : 0;
	all = all > budget ? all - budget : 0;
	return MAX(own, all);
}

bool floor_charged_elsewhere(const struct backend *backend, struct instant now)
{
	return any_view_claims(backend, VIEW_CHARGED, now);
}

bool floor_charged_by_earlier_home(const struct service *service,
				   const struct backend *backend,
				   struct instant now)
{
	const struct health_view *view;
	uint32_t home;
	uint32_t i;

	for (i = 0; i < HOMES_MAX; i++) {
		view = &backend->health.views[i];
		if (!view->charged || !view_fresh(view, now))
			continue;
		for (home = 0; home < service->home_count; home++) {
			if (home == service->self_home)
				break;
			if (addr_equal(service->homes[home].peer, view->home))
				return true;
		}
	}
	return false;
}

uint32_t floor_preferred_home(const struct service *service,
			      const struct backend *backend, struct instant now)
{
	uint32_t best = HOMES_MAX;
	uint64_t best_hash = 0;
	uint64_t hash;
	uint32_t i;

	for (i = 0; i < service->home_count; i++) {
		if (floor_home_budget_slots(service, i, now) <
		    backend->capacity_slots)
			continue;
		hash = hash_pair(backend->addr, service->homes[i].peer, 0);
		if (best != HOMES_MAX && hash <= best_hash)
			continue;
		best = i;
		best_hash = hash;
	}
	return best;
}

/* Backend servers that drain or start cold are not part of the capacity. */
static bool is_capacity(const struct backend *backend, struct instant now)
{
	return !backend_draining(backend, now) && !backend_cold(backend, now);
}

static uint32_t capacity_slots(const struct service *service,
			       struct instant now)
{
	uint32_t slots = 0;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		if (is_capacity(&service->backends[i], now))
			slots += service->backends[i].capacity_slots;
	}
	return slots;
}

static uint32_t largest_backend_slots(const struct service *service)
{
	uint32_t unit = 0;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++)
		unit = MAX(unit, service->backends[i].capacity_slots);
	return unit;
}

/* Whether a charge of this home counts against its part of the budget. */
static bool charge_counts(const struct health *health, struct instant now)
{
	return health->charged || now.mono_us < health->charge_ends_us;
}
