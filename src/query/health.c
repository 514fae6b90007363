#include "query/health.h"

#include <string.h>

#include "query/health_tally.h"

/* 1 / this of the slots of a suspected backend server stays open. */
#define SUSPECTED_SLOTS_DIVISOR 4

static uint32_t open_slots_by_state(const struct backend *backend);
static uint32_t scale_slots(uint32_t slots, uint32_t permille);
static bool views_unfavorable(const struct backend *backend,
			      struct instant now);

uint32_t backend_open_slots(const struct backend *backend, struct instant now)
{
	uint32_t open;

	if (backend_closed(backend, now))
		return 0;
	open = open_slots_by_state(backend);
	return backend->slow_start_slots > 0 ?
		       MIN(open, backend->slow_start_slots) :
		       open;
}

static uint32_t open_slots_by_state(const struct backend *backend)
{
	const struct health *health = &backend->health;

	switch (health->state) {
	case HEALTH_IN_SERVICE:
		if (health->suspected)
			return scale_slots(backend->own_slots,
					   PERMILLE_ONE /
						   SUSPECTED_SLOTS_DIVISOR);
		return backend->own_slots;
	case HEALTH_TRICKLE:
		return MIN(backend->own_slots, 1);
	case HEALTH_RAMP:
		return scale_slots(backend->own_slots, health->ramp_permille);
	case HEALTH_EJECTED:
	case HEALTH_AVOIDED:
		return 0;
	}
	return 0;
}

bool backend_draining(const struct backend *backend, struct instant now)
{
	return backend->drain_document || backend->left ||
	       now.mono_us < backend->drain_seen_until_us ||
	       any_view_claims(backend, VIEW_DRAINING, now);
}

bool backend_paused(const struct backend *backend, struct instant now)
{
	return now.mono_us < backend->pause_until_us;
}

bool backend_closed(const struct backend *backend, struct instant now)
{
	return backend_paused(backend, now) || backend_draining(backend, now);
}

uint64_t service_pause_ends_us(const struct service *service,
			       struct instant now)
{
	const struct backend *backend;
	uint64_t ends_us = DEADLINE_NONE_US;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[i];
		if (backend_draining(backend, now))
			continue;
		if (!backend_paused(backend, now))
			return 0;
		ends_us = MIN(ends_us, backend->pause_until_us);
	}
	return ends_us == DEADLINE_NONE_US ? 0 : ends_us;
}

uint64_t backend_sent_after_close_us(const struct backend *backend,
				     const struct evidence *evidence)
{
	if (!evidence->request_sent || backend->closed_us == 0 ||
	    evidence->sent_us <= backend->closed_us)
		return 0;
	return evidence->sent_us - backend->closed_us;
}

bool backend_cold(const struct backend *backend, struct instant now)
{
	const struct health *health = &backend->health;

	if (health->state == HEALTH_RAMP && health->cold_start)
		return true;
	if (now.mono_us >= health->cold_until_us)
		return false;
	return backend->cold || any_view_claims(backend, VIEW_COLD, now);
}

enum caution_level backend_caution(const struct backend *backend,
				   struct instant now)
{
	const struct health *health = &backend->health;

	if (backend_avoided_locally(backend, now))
		return CAUTION_AVOID;
	if (now.mono_us < health->trial_until_us || health->suspected ||
	    views_unfavorable(backend, now))
		return CAUTION_TRIAL;
	return CAUTION_NONE;
}

bool backend_avoided_locally(const struct backend *backend, struct instant now)
{
	return backend->health.lagging_requests > 0 ||
	       now.mono_us < backend->health.caution_until_us;
}

bool backend_unreachable(const struct backend *backend, struct instant now)
{
	return backend->health.connect_failed &&
	       now.mono_us < backend->health.trial_until_us;
}

bool backend_path_failed(const struct backend *backend, struct instant now)
{
	const struct health_view *view;
	uint32_t i;

	if (backend->health.path_failed)
		return true;
	if (!backend_unreachable(backend, now))
		return false;
	for (i = 0; i < HOMES_MAX; i++) {
		view = &backend->health.views[i];
		if (view_fresh(view, now) && view->ok_requests > 0 &&
		    view->failed_requests == 0)
			return true;
	}
	return false;
}

bool backend_idempotent_only(const struct backend *backend)
{
	return backend->health.state == HEALTH_TRICKLE;
}

bool backend_in_service(const struct backend *backend, struct instant now)
{
	return !backend->health.ejected && !backend_closed(backend, now) &&
	       !backend_cold(backend, now) &&
	       !any_view_claims(backend, VIEW_EJECTED, now);
}

uint32_t service_in_service_slots(const struct service *service,
				  struct instant now)
{
	const struct backend *backend;
	uint32_t slots = 0;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[i];
		if (backend_in_service(backend, now))
			slots += backend->capacity_slots;
	}
	return slots;
}

bool service_self_isolated(const struct service *service, struct instant now)
{
	const struct backend *first_failed = NULL;
	const struct backend *backend;
	bool several_failed_domains = false;
	bool several_domains = false;
	uint32_t considered = 0;
	uint32_t path_failures = 0;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[i];
		if (!name_equal(&backend->domain, &service->backends[0].domain))
			several_domains = true;
		if (backend->health.ejected || backend_draining(backend, now))
			continue;
		considered++;
		if (!backend_path_failed(backend, now))
			continue;
		path_failures++;
		if (!first_failed)
			first_failed = backend;
		if (!name_equal(&backend->domain, &first_failed->domain))
			several_failed_domains = true;
	}
	return path_failures * 2 > considered &&
	       (several_failed_domains || !several_domains);
}

struct health_bucket health_window(const struct backend *backend,
				   struct instant now)
{
	const struct health_bucket *bucket;
	struct health_bucket sum = { .slow_requests =
					     backend->health.overdue_requests };
	uint32_t i;

	for (i = 0; i < HEALTH_BUCKETS; i++) {
		bucket = &backend->health.buckets[i];
		if (bucket->begins_us + HEALTH_BUCKETS * HEALTH_BUCKET_US <=
		    now.mono_us)
			continue;
		sum.ok_requests += bucket->ok_requests;
		sum.failed_requests += bucket->failed_requests;
		sum.slow_requests += bucket->slow_requests;
	}
	return sum;
}

/* Return: part of @slots, rounded down, but not to 0 if @slots is not 0. */
static uint32_t scale_slots(uint32_t slots, uint32_t permille)
{
	uint32_t open = slots * permille / PERMILLE_ONE;

	return open > 0 ? open : MIN(slots, 1);
}

/*
 * True if another home avoids the backend server, or if most requests in fresh
 * views failed or were slow.
 */
static bool views_unfavorable(const struct backend *backend, struct instant now)
{
	const struct health_view *view;
	uint32_t good = 0;
	uint32_t bad = 0;
	uint32_t i;

	for (i = 0; i < HOMES_MAX; i++) {
		view = &backend->health.views[i];
		if (!view_fresh(view, now))
			continue;
		if (view->avoided)
			return true;
		good += view->ok_requests;
		bad += view->failed_requests + view->slow_requests;
	}
	return bad > good;
}
