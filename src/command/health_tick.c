#include "command/health.h"

#include "command/health_change.h"
#include "command/health_evidence.h"
#include "query/floor.h"
#include "query/health.h"

#define EVALUATION_INTERVAL_US (50 * US_PER_MS)

/*
 * Time for which the other homes wait for the digest in which the preferred
 * home would report its ejection.
 */
#define PREFERRED_HOME_WAIT_US (600 * US_PER_MS)

/* Time for a new home set or document to reach all homes. */
#define INPUTS_SETTLE_US (3 * US_PER_S)

/*
 * An unconfirmed suspicion ends after SUSPICION_MIN_US if the evidence then has
 * CLEARING_REQUESTS requests, and after SUSPICION_MAX_US in any case.
 */
#define SUSPICION_MIN_US (1500 * US_PER_MS)
#define SUSPICION_MAX_US (6 * US_PER_S)
#define CLEARING_REQUESTS 10

/*
 * Failed probes count while at most 1 / this of the backend servers fail them.
 */
#define PROBE_MINORITY_DIVISOR 3

/* A cold start that is reported for longer than this is ignored. */
#define COLD_MAX_US (60 * US_PER_S)

static void update_eject_inputs(struct service *service, struct instant now);
static void tick_backend(struct health_change *change);
static void tick_drain(struct health_change *change);
static void tick_pause(struct health_change *change);
static void tick_cold(struct health_change *change);
static void tick_suspicion(struct health_change *change);
static bool suspected_by_probe(const struct health_change *change);
static bool suspicion_expired(const struct health_change *change);
static void tick_charge(struct health_change *change);
static void tick_state(struct health_change *change);
static void act_on_verdict(struct health_change *change);
static void act_on_unhealthy(struct health_change *change);
static void act_on_failed_path(struct health_change *change);
static bool may_begin_ejection(const struct health_change *change);
static bool floor_met_without(const struct health_change *change);
static void readmit_least_unhealthy(struct health_change *change);
static void end_ramps_for_floor(struct health_change *change);
static struct backend *least_unhealthy(struct service *service,
				       struct instant now);

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
	if (now.mono_us <
	    service->backends[0].health.evaluated_us + EVALUATION_INTERVAL_US)
		return;
	update_eject_inputs(service, now);
	evidence_count_overdue(state, service, now);
	for (i = 0; i < service->backend_count; i++) {
		change.backend = &service->backends[i];
		tick_backend(&change);
	}
	readmit_least_unhealthy(&change);
	end_ramps_for_floor(&change);
}

/*
 * The part of each home in the ejection budget depends on the home set and the
 * document. After a change of either, no ejection begins for INPUTS_SETTLE_US,
 * since homes that do not have the new ones yet split the budget differently.
 */
static void update_eject_inputs(struct service *service, struct instant now)
{
	uint64_t inputs_hash = service->doc->version;
	uint32_t i;

	for (i = 0; i < service->home_count; i++)
		inputs_hash = hash_pair(service->homes[i].peer,
					service->homes[i].peer, inputs_hash);
	if (inputs_hash == service->eject_inputs_hash)
		return;
	service->eject_inputs_hash = inputs_hash;
	service->eject_after_us = now.mono_us + INPUTS_SETTLE_US;
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
	tick_charge(change);
	tick_state(change);
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
	bool paused = backend_paused(change->backend, change->now);

	if (paused == health->pause_audited)
		return;
	health->pause_audited = paused;
	change->state->probes_dirty = true;
	health_audit(change, paused ? AUDIT_PAUSE_BEGUN : AUDIT_PAUSE_ENDED,
		     CAUSE_RETRY_AFTER);
}

/*
 * A cold start that this or another home reports begins one ramp. A report that
 * persists is ignored after COLD_MAX_US.
 */
static void tick_cold(struct health_change *change)
{
	struct health *health = &change->backend->health;
	bool reported =
		change->backend->cold ||
		any_view_claims(change->backend, VIEW_COLD, change->now);

	if (!reported) {
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
	} else if (suspicion_expired(change)) {
		health->suspected_since_us = 0;
		health->suspected = false;
	}
	if (!change->verdict.threshold_exceeded)
		health->threshold_exceeded_since_us = 0;
	else if (health->threshold_exceeded_since_us == 0)
		health->threshold_exceeded_since_us = change->now.mono_us;
	if (suspected_by_probe(change))
		health->suspected = true;
	if (!verdict_unhealthy(change->verdict.kind))
		health->unhealthy_since_us = 0;
	else if (health->unhealthy_since_us == 0)
		health->unhealthy_since_us = change->now.mono_us;
}

/*
 * Whether a suspicion ends that no evidence supports any more: early when
 * enough requests have been counted, late without requests.
 */
static bool suspicion_expired(const struct health_change *change)
{
	uint64_t since_us = change->backend->health.suspected_since_us;

	if (change->now.mono_us >= since_us + SUSPICION_MAX_US)
		return true;
	return change->now.mono_us >= since_us + SUSPICION_MIN_US &&
	       tally_total(&change->verdict.tally) >= CLEARING_REQUESTS;
}

/*
 * A failed probe counts only when no request of this home has succeeded, and
 * only while few backend servers fail theirs: when many do, the probe itself is
 * more likely to be wrong.
 */
static bool suspected_by_probe(const struct health_change *change)
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
	return bad * PROBE_MINORITY_DIVISOR <= service->backend_count;
}

/* An ejection lasts only while it is charged to the budget of some home. */
static void tick_charge(struct health_change *change)
{
	struct health *health = &change->backend->health;

	if (!health->ejected)
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

static void tick_state(struct health_change *change)
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
		act_on_failed_path(change);
		break;
	case VERDICT_FAILING:
	case VERDICT_SLOW:
		act_on_unhealthy(change);
		break;
	}
}

static void act_on_unhealthy(struct health_change *change)
{
	const struct health *health = &change->backend->health;
	enum audit_cause cause = change->verdict.kind == VERDICT_SLOW ?
					 CAUSE_SLOWNESS :
					 CAUSE_FAILURES;

	if (health->ejected)
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
	if (!may_begin_ejection(change)) {
		change->backend->health.suspected = true;
		return;
	}
	if (floor_may_charge(change->service, change->backend, change->now))
		health_eject(change, cause, true);
	else
		health_withhold_ejection(change);
}

/*
 * Homes with the same evidence would all charge the same ejection. The
 * preferred home goes first, the others only when it does not eject.
 */
static bool may_begin_ejection(const struct health_change *change)
{
	const struct service *service = change->service;

	if (change->now.mono_us < service->eject_after_us)
		return false;
	if (floor_preferred_home(service, change->backend, change->now) ==
	    service->self_home)
		return true;
	return change->now.mono_us >=
	       change->backend->health.unhealthy_since_us +
		       PREFERRED_HOME_WAIT_US;
}

static void act_on_failed_path(struct health_change *change)
{
	const struct health *health = &change->backend->health;
	struct tally own = tally_own(change->backend, change->now);

	if (health->state == HEALTH_AVOIDED || health->state == HEALTH_TRICKLE)
		return;
	if (own.ok_requests == 0 || floor_met_without(change))
		health_avoid(change);
	else
		change->backend->health.suspected = true;
}

/*
 * Whether the other backend servers that this home can reach meet the floor; if
 * not, a path that still serves some requests is kept.
 */
static bool floor_met_without(const struct health_change *change)
{
	const struct service *service = change->service;
	const struct backend *backend;
	uint32_t slots = 0;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[i];
		if (backend == change->backend || backend->health.ejected ||
		    backend->health.path_failed ||
		    backend_draining(backend, change->now))
			continue;
		slots += backend->capacity_slots;
	}
	return slots >= service_doc_floor_slots(service->doc);
}

/*
 * When capacity is lost for another reason, ejected backend servers are
 * readmitted until the floor is met, the least unhealthy first.
 */
static void readmit_least_unhealthy(struct health_change *change)
{
	while (floor_excess_slots(change->service, change->now) > 0) {
		change->backend = least_unhealthy(change->service, change->now);
		if (!change->backend)
			return;
		change->verdict = health_verdict(change->state, change->service,
						 change->backend, change->now);
		health_readmit(change, CAUSE_FLOOR);
	}
}

static struct backend *least_unhealthy(struct service *service,
				       struct instant now)
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

/*
 * Ramps of new and cold backend servers end early when the slots in service are
 * fewer than the floor.
 */
static void end_ramps_for_floor(struct health_change *change)
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
