#include "query/idle.h"

#include "query/health.h"
#include "query/health_tally.h"

/* Time in which the homes of a backend server together give it a request. */
#define IDLE_MAX_US US_PER_S

bool backend_left_idle(const struct service *service,
		       const struct backend *backend, struct instant now)
{
	uint64_t part_us;

	if (service->self_home >= service->home_count ||
	    backend->in_other_domain || backend->own_slots == 0)
		return false;
	if (backend_avoided_locally(backend, now) ||
	    any_view_claims(backend, VIEW_AVOIDED, now))
		return false;
	part_us = IDLE_MAX_US * backend->capacity_slots / backend->own_slots;
	return now.mono_us >= backend_idle_since_us(backend) + part_us;
}

uint64_t backend_idle_since_us(const struct backend *backend)
{
	return MAX(backend->health.last_granted_us,
		   backend->health.caution_until_us);
}
