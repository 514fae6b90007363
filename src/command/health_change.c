#include "command/health_change.h"

#include <string.h>

#include "query/health.h"

/* Time from an ejection to the first trial, without jitter. */
#define BACKOFF_US (5 * US_PER_S)
#define BACKOFF_DOUBLINGS_MAX 6
#define BACKOFF_JITTER_PERMILLE 200
/*
 * Time in service after which earlier relapses no longer double the back-off.
 */
#define RELAPSES_RESET_US (120 * US_PER_S)

/* A trickle that gets no requests to try ends after this time. */
#define TRICKLE_IDLE_US (10 * US_PER_S)

/* Part of the slots that a ramp begins with, and that each step adds. */
#define RAMP_STEP_PERMILLE 250
#define RAMP_STEP_US (1 * US_PER_S)

/* Requests of other homes needed to attribute a failed trial to the path. */
#define OTHER_HOMES_REQUESTS_MIN 6

#define WITHHELD_AUDIT_INTERVAL_US (30 * US_PER_S)

/*
 * Time for which a released charge still counts against the budget. Another
 * home relies on a charge while its view of it is fresh, which is 2 s; the rest
 * is for messages in transit.
 */
#define CHARGE_LINGER_US (3500 * US_PER_MS)

static uint64_t backoff_us(struct state *state, const struct health *health);
static void reset_evidence(struct health *health, struct instant now);
static bool healthy_at_other_homes(const struct health_change *change);
static void send_digest_soon(struct health_change *change);

void health_eject(struct health_change *change, enum audit_cause cause,
		  bool charged)
{
	struct health *health = &change->backend->health;

	if (change->now.mono_us >= health->relapses_reset_us)
		health->relapses = 0;
	health->next_step_us =
		change->now.mono_us + backoff_us(change->state, health);
	health->relapses++;
	health->state = HEALTH_EJECTED;
	health->ejected = true;
	health->charged = charged;
	health->path_failed = false;
	health->cold_start = false;
	health->suspected = false;
	health->unhealthy_permille = change->verdict.unhealthy_permille;
	health->relapses_reset_us = DEADLINE_NONE_US;
	change->service->counters.ejections++;
	send_digest_soon(change);
	health_audit(change, AUDIT_EJECTED, cause);
}

void health_avoid(struct health_change *change)
{
	struct health *health = &change->backend->health;

	if (change->now.mono_us >= health->relapses_reset_us)
		health->relapses = 0;
	health->next_step_us =
		change->now.mono_us + backoff_us(change->state, health);
	health->relapses++;
	health->state = HEALTH_AVOIDED;
	health->ejected = false;
	health->path_failed = true;
	health->cold_start = false;
	health->suspected = false;
	health->relapses_reset_us = DEADLINE_NONE_US;
	health_release_charge(health, change->now);
	health_audit(change, AUDIT_PATH_AVOIDED, CAUSE_PATH);
}

void health_withhold_ejection(struct health_change *change)
{
	struct health *health = &change->backend->health;

	health->suspected = true;
	if (change->now.mono_us < health->withheld_until_us)
		return;
	health->withheld_until_us =
		change->now.mono_us + WITHHELD_AUDIT_INTERVAL_US;
	change->service->counters.ejections_withheld++;
	health_audit(change, AUDIT_EJECTION_WITHHELD, CAUSE_FLOOR);
}

void health_start_trickle(struct health_change *change)
{
	struct health *health = &change->backend->health;

	reset_evidence(health, change->now);
	health->state = HEALTH_TRICKLE;
	health->trickle_ok = 0;
	health->trickle_slow = 0;
	health->next_step_us = change->now.mono_us + TRICKLE_IDLE_US;
	health_audit(change, AUDIT_TRICKLE, CAUSE_BACKOFF_OVER);
}

void health_relapse(struct health_change *change)
{
	struct health *health = &change->backend->health;

	if (healthy_at_other_homes(change)) {
		health->path_failed = true;
		health->ejected = false;
		health_release_charge(health, change->now);
	}
	health->next_step_us =
		change->now.mono_us + backoff_us(change->state, health);
	health->relapses++;
	health->state = health->path_failed ? HEALTH_AVOIDED : HEALTH_EJECTED;
	send_digest_soon(change);
	health_audit(change,
		     health->path_failed ? AUDIT_PATH_AVOIDED : AUDIT_EJECTED,
		     CAUSE_RELAPSE);
}

void health_start_ramp(struct health_change *change, enum audit_cause cause)
{
	struct health *health = &change->backend->health;

	if (cause == CAUSE_COLD_START)
		reset_evidence(health, change->now);
	health->state = HEALTH_RAMP;
	health->path_failed = false;
	health->cold_start = cause == CAUSE_COLD_START;
	health->ramp_permille = RAMP_STEP_PERMILLE;
	health->next_step_us = change->now.mono_us + RAMP_STEP_US;
	health_audit(change, AUDIT_RAMP, cause);
}

void health_advance_ramp(struct health_change *change)
{
	struct health *health = &change->backend->health;

	health->next_step_us = change->now.mono_us + RAMP_STEP_US;
	health->ramp_permille += RAMP_STEP_PERMILLE;
	if (health->ramp_permille >= PERMILLE_ONE)
		health_readmit(change, CAUSE_RAMP_OVER);
}

void health_readmit(struct health_change *change, enum audit_cause cause)
{
	struct health *health = &change->backend->health;

	health->suspected = health->ejected && cause == CAUSE_FLOOR;
	health->state = HEALTH_IN_SERVICE;
	health->ejected = false;
	health->path_failed = false;
	health->cold_start = false;
	health->next_step_us = 0;
	health->unhealthy_since_us = 0;
	if (health->relapses > 0)
		health->relapses_reset_us =
			change->now.mono_us + RELAPSES_RESET_US;
	health_release_charge(health, change->now);
	send_digest_soon(change);
	health_audit(change, AUDIT_READMITTED, cause);
}

void health_release_charge(struct health *health, struct instant now)
{
	if (!health->charged)
		return;
	health->charged = false;
	health->charge_ends_us = now.mono_us + CHARGE_LINGER_US;
}

void health_restart_sampling(struct health_change *change)
{
	reset_evidence(&change->backend->health, change->now);
	change->backend->health.suspected_since_us = change->now.mono_us;
	send_digest_soon(change);
}

void health_audit(struct health_change *change, enum audit_kind kind,
		  enum audit_cause cause)
{
	uint64_t until_us = MAX(change->backend->health.next_step_us,
				change->backend->pause_until_us);
	struct audit_record record = {
		.kind = kind,
		.cause = cause,
		.service = change->service->doc->service,
		.subject = change->backend->addr,
		.detail_kind = AUDIT_DETAIL_EVIDENCE,
	};

	record.evidence.ok_requests = change->verdict.tally.ok_requests;
	record.evidence.failed_requests = change->verdict.tally.failed_requests;
	record.evidence.slow_requests = change->verdict.tally.slow_requests;
	record.evidence.observers = change->verdict.observers;
	record.evidence.in_service_slots =
		service_in_service_slots(change->service, change->now);
	record.evidence.floor_slots =
		service_doc_floor_slots(change->service->doc);
	if (until_us > change->now.mono_us)
		record.evidence.until_unix_ms =
			change->now.unix_ms +
			(until_us - change->now.mono_us) / US_PER_MS;
	state_audit(change->state, &record, change->now, change->out);
}

/*
 * True when no other home has the backend server ejected and most of their
 * requests to it succeed.
 */
static bool healthy_at_other_homes(const struct health_change *change)
{
	struct tally tally = tally_peers(change->backend, change->now);

	if (any_view_claims(change->backend, VIEW_EJECTED, change->now))
		return false;
	return tally_total(&tally) >= OTHER_HOMES_REQUESTS_MIN &&
	       tally.ok_requests * 2 > tally_total(&tally);
}

/*
 * Return: time until the next trial. It doubles with each relapse; jitter keeps
 * the homes from trying at the same moment.
 */
static uint64_t backoff_us(struct state *state, const struct health *health)
{
	uint32_t doublings = MIN(health->relapses, BACKOFF_DOUBLINGS_MAX);
	uint64_t span_us = BACKOFF_US << doublings;
	int32_t jitter_permille =
		g_rand_int_range(state->rand, 0, BACKOFF_JITTER_PERMILLE);

	return span_us + span_us * (uint64_t)jitter_permille / PERMILLE_ONE;
}

static void reset_evidence(struct health *health, struct instant now)
{
	memset(health->buckets, 0, sizeof(health->buckets));
	health->overdue_requests = 0;
	health->evidence_since_us = now.mono_us;
	health->suspected_since_us = 0;
	health->threshold_exceeded_since_us = 0;
	health->unhealthy_since_us = 0;
}

/* Makes the next digest due, so that the other homes learn of the change. */
static void send_digest_soon(struct health_change *change)
{
	change->service->digest_due_us =
		MIN(change->service->digest_due_us, change->now.mono_us);
}
