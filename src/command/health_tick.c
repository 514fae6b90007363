#include "command/health.h"

#include "command/health_change.h"
#include "command/health_evidence.h"
#include "query/floor.h"
#include "query/health.h"

#define TICK_US (50 * US_PER_MS)

/* Another home that ejects first has been heard of by then. */
#define FIRST_HOME_US (600 * US_PER_MS)

/* Time for a new home set or document to reach all homes. */
#define BASIS_SETTLES_US (3 * US_PER_S)

/* A suspicion that nothing confirms ends after this. */
#define SUSPECTED_US (1500 * US_PER_MS)
#define SUSPECTED_MAX_US (6 * US_PER_S)
#define CLEARING_REQUESTS 10

#define PROBE_MINORITY_PART 3

#define COLD_MAX_US (60 * US_PER_S)

static void settle_basis(struct service *service, struct instant now);
static void tick_backend(struct health_change *change);
static void tick_drain(struct health_change *change);
static void tick_pause(struct health_change *change);
static void tick_cold(struct health_change *change);
static void tick_suspicion(struct health_change *change);
static bool probe_suspects(const struct health_change *change);
static bool suspicion_over(const struct health_change *change);
static void tick_cover(struct health_change *change);
static void tick_step(struct health_change *change);
static void act_on_verdict(struct health_change *change);
static void act_on_sickness(struct health_change *change);
static void act_on_cut_path(struct health_change *change);
static bool may_begin(const struct health_change *change);
static bool local_floor_left(const struct health_change *change);
static void return_least_sick(struct health_change *change);
static void open_ramps(struct health_change *change);
static struct backend *least_sick(struct service *service, struct instant now);

void health_tick(struct state *state, struct service *service,
		 struct instant now, struct event_list *out)
{
	struct health_change change = {
		.state = state, .service = service, .now = now, .out = out
	};
	uint32_t i;

	if (service->backend_count == 0)
		return;
	evidence_drop_after_stall(service, now);
	if (now.mono_us < service->backends[0].health.evaluated_us + TICK_US)
		return;
	settle_basis(service, now);
	evidence_count_overdue(state, service, now);
	for (i = 0; i < service->backend_count; i++) {
		change.backend = &service->backends[i];
		tick_backend(&change);
	}
	return_least_sick(&change);
	open_ramps(&change);
}

/*
 * The budget is split by home set and document. Homes that still hold an older
 * one split it in another way, so nothing new begins until all have this one.
 */
static void settle_basis(struct service *service, struct instant now)
{
	uint64_t basis = service->doc->version;
	uint32_t i;

	for (i = 0; i < service->home_count; i++)
		basis = hash_pair(service->homes[i].peer,
				  service->homes[i].peer, basis);
	if (basis == service->eject_inputs_hash)
		return;
	service->eject_inputs_hash = basis;
	service->eject_after_us = now.mono_us + BASIS_SETTLES_US;
}

static void tick_backend(struct health_change *change)
{
	struct health *health = &change->backend->health;

	health->evaluated_us = change->now.mono_us;
	if (change->now.mono_us >= health->charge_ends_us)
		health->charge_ends_us = 0;
	tick_drain(change);
	tick_pause(change);
	tick_cold(change);
	change->verdict = health_verdict(change->state, change->service,
					 change->backend, change->now);
	tick_suspicion(change);
	tick_cover(change);
	tick_step(change);
	if (change->state->policy.ejecting)
		act_on_verdict(change);
}

static void tick_drain(struct health_change *change)
{
	struct health *health = &change->backend->health;
	bool draining = backend_draining(change->backend, change->now);

	if (draining == health->drain_audited)
		return;
	health->drain_audited = draining;
	if (draining)
		health_audit(change, AUDIT_DRAIN_BEGUN, CAUSE_PEER);
	else
		health_audit(change, AUDIT_DRAIN_ENDED, CAUSE_NONE);
}

static void tick_pause(struct health_change *change)
{
	struct health *health = &change->backend->health;
	bool pausing = backend_paused(change->backend, change->now);

	if (pausing == health->pause_audited)
		return;
	health->pause_audited = pausing;
	change->state->probes_dirty = true;
	health_audit(change, pausing ? AUDIT_PAUSE_BEGUN : AUDIT_PAUSE_ENDED,
		     CAUSE_RETRY_AFTER);
}

/* A cold start ramps once; a report that stays is not believed for ever. */
static void tick_cold(struct health_change *change)
{
	struct health *health = &change->backend->health;
	bool told = change->backend->cold;
	uint32_t i;

	for (i = 0; i < HOMES_MAX && !told; i++)
		told = health->views[i].cold &&
		       view_fresh(&health->views[i], change->now);
	if (!told) {
		health->cold_until_us = 0;
		return;
	}
	if (health->cold_until_us == 0)
		health->cold_until_us = change->now.mono_us + COLD_MAX_US;
	if (health->state == HEALTH_IN_SERVICE &&
	    change->now.mono_us < health->cold_until_us && !health->cold_start)
		health_start_ramp(change, CAUSE_COLD_START);
}

static void tick_suspicion(struct health_change *change)
{
	struct health *health = &change->backend->health;

	if (change->verdict.kind != VERDICT_HEALTHY) {
		if (health->suspected_since_us == 0)
			health_restart_sampling(change);
	} else if (suspicion_over(change)) {
		health->suspected_since_us = 0;

		health->suspected = false;
	}
	if (!change->verdict.threshold_exceeded)
		health->threshold_exceeded_since_us = 0;
	else if (health->threshold_exceeded_since_us == 0)
		health->threshold_exceeded_since_us = change->now.mono_us;
	if (probe_suspects(change))
		health->suspected = true;
	if (!verdict_unhealthy(change->verdict.kind))
		health->unhealthy_since_us = 0;
	else if (health->unhealthy_since_us == 0)
		health->unhealthy_since_us = change->now.mono_us;
}

/* Work that is well ends a suspicion soon, want of work ends it late. */
static bool suspicion_over(const struct health_change *change)
{
	uint64_t since_us = change->backend->health.suspected_since_us;

	if (change->now.mono_us >= since_us + SUSPECTED_MAX_US)
		return true;
	return change->now.mono_us >= since_us + SUSPECTED_US &&
	       tally_total(&change->verdict.tally) >= CLEARING_REQUESTS;
}

/*
 * A probe counts only where work says nothing, and only against a few backend
 * servers; against many it is more likely the probe that misleads.
 */
static bool probe_suspects(const struct health_change *change)
{
	const struct service *service = change->service;
	struct tally own = tally_own(change->backend, change->now);
	uint32_t bad = 0;
	uint32_t i;

	if (change->now.mono_us >= change->backend->health.probe_bad_until_us)
		return false;
	if (own.ok_requests > 0)
		return false;
	for (i = 0; i < service->backend_count; i++)
		bad += change->now.mono_us <
		       service->backends[i].health.probe_bad_until_us;
	return bad * PROBE_MINORITY_PART <= service->backend_count;
}

/* An ejection lasts only while some home's part of the budget pays for it. */
static void tick_cover(struct health_change *change)
{
	struct health *health = &change->backend->health;

	if (!health->out)
		return;
	if (health->charged) {
		if (floor_charged_by_earlier_home(change->service,
						  change->backend, change->now))
			health_release_charge(health, change->now);
		return;
	}
	if (floor_charged_elsewhere(change->backend, change->now))
		return;
	if (floor_may_charge(change->service, change->backend, change->now))
		health->charged = true;
	else
		health_readmit(change, CAUSE_FLOOR);
}

static void tick_step(struct health_change *change)
{
	struct health *health = &change->backend->health;

	if (change->now.mono_us < health->next_step_us)
		return;
	switch (health->state) {
	case HEALTH_IN_SERVICE:
		break;
	case HEALTH_EJECTED:
	case HEALTH_AVOIDED:
		health_start_trickle(change);
		break;
	case HEALTH_TRICKLE:
		health_start_ramp(change, CAUSE_TRICKLE_OK);
		break;
	case HEALTH_RAMP:
		if (health->cold_start &&
		    change->now.mono_us < health->cold_until_us)
			break;
		health_advance_ramp(change);
		break;
	}
}

static void act_on_verdict(struct health_change *change)
{
	switch (change->verdict.kind) {
	case VERDICT_HEALTHY:
	case VERDICT_SUSPECTED:
		break;
	case VERDICT_PATH_FAILED:
		act_on_cut_path(change);
		break;
	case VERDICT_FAILING:
	case VERDICT_SLOW:
		act_on_sickness(change);
		break;
	}
}

static void act_on_sickness(struct health_change *change)
{
	const struct health *health = &change->backend->health;
	enum audit_cause cause = change->verdict.kind == VERDICT_SLOW ?
					 CAUSE_SLOWNESS :
					 CAUSE_FAILURES;

	if (health->out)
		cause = CAUSE_RELAPSE;
	if (health->state == HEALTH_EJECTED || health->state == HEALTH_TRICKLE)
		return;
	if (backend_draining(change->backend, change->now))
		return;
	if (health->charged) {
		health_eject(change, cause, true);
		return;
	}
	if (floor_charged_elsewhere(change->backend, change->now)) {
		health_eject(change, CAUSE_PEER_EVIDENCE, false);
		return;
	}
	if (!may_begin(change)) {
		change->backend->health.suspected = true;
		return;
	}
	if (floor_may_charge(change->service, change->backend, change->now))
		health_eject(change, cause, true);
	else
		health_withhold_ejection(change);
}

/*
 * Two homes that see the same would both pay for the same ejection; one goes
 * first, the others only when it does not.
 */
static bool may_begin(const struct health_change *change)
{
	const struct service *service = change->service;

	if (change->now.mono_us < service->eject_after_us)
		return false;
	if (floor_preferred_home(service, change->backend, change->now) ==
	    service->self_home)
		return true;
	return change->now.mono_us >=
	       change->backend->health.unhealthy_since_us + FIRST_HOME_US;
}

static void act_on_cut_path(struct health_change *change)
{
	const struct health *health = &change->backend->health;
	struct tally own = tally_own(change->backend, change->now);

	if (health->state == HEALTH_AVOIDED || health->state == HEALTH_TRICKLE)
		return;
	if (own.ok_requests == 0 || local_floor_left(change))
		health_avoid(change);
	else
		change->backend->health.suspected = true;
}

/* Paths that still carry some work are kept when too few others are left. */
static bool local_floor_left(const struct health_change *change)
{
	const struct service *service = change->service;
	const struct backend *backend;
	uint32_t slots = 0;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[i];
		if (backend == change->backend || backend->health.out ||
		    backend->health.path_failed ||
		    backend_draining(backend, change->now))
			continue;
		slots += backend->capacity_slots;
	}
	return slots >= service_doc_floor_slots(service->doc);
}

/* Capacity went for another reason: the least sick ejected ones come back. */
static void return_least_sick(struct health_change *change)
{
	while (floor_excess_slots(change->service, change->now) > 0) {
		change->backend = least_sick(change->service, change->now);
		if (!change->backend)
			return;
		change->verdict = health_verdict(change->state, change->service,
						 change->backend, change->now);
		health_readmit(change, CAUSE_FLOOR);
	}
}

static struct backend *least_sick(struct service *service, struct instant now)
{
	struct backend *least = NULL;
	struct backend *backend;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[i];
		if (!backend->health.charged || backend_draining(backend, now))
			continue;
		if (!least || backend->health.unhealthy_permille <
				      least->health.unhealthy_permille)
			least = backend;
	}
	return least;
}

/* First ramps and cold starts don't hold back what the floor needs. */
static void open_ramps(struct health_change *change)
{
	uint32_t floor = service_doc_floor_slots(change->service->doc);
	struct health *health;
	uint32_t i;

	for (i = 0; i < change->service->backend_count; i++) {
		change->backend = &change->service->backends[i];
		health = &change->backend->health;
		if (health->state != HEALTH_RAMP || !health->cold_start)
			continue;
		if (service_in_service_slots(change->service, change->now) >=
		    floor)
			return;
		health->cold_until_us = change->now.mono_us;
		change->verdict = (struct verdict){ 0 };
		health_readmit(change, CAUSE_FLOOR);
	}
}
