#include "command/health_evidence.h"

#include <string.h>

#include "command/ticket.h"
#include "query/health_verdict.h"

/* Each answer moves the typical time by 1 / this of its value, plus 1 us. */
#define TYPICAL_STEP_DIVISOR 16

/*
 * Multiple of the slow threshold after which a running or cancelled request
 * counts as slow: it may have waited in this process.
 */
#define OVERDUE_FACTOR 2

/* A longer time between two evaluations means that the process was stalled. */
#define STALL_US (1500 * US_PER_MS)
/*
 * After a failed request other backend servers are preferred for this time,
 * doubled with each further failure.
 */
#define CAUTION_US (500 * US_PER_MS)
#define CAUTION_DOUBLINGS_MAX 2
/*
 * A late request that still waits is no evidence after this time: most servers
 * hang only briefly, and without new requests nothing would show a recovery.
 */
#define LATE_EVIDENCE_MAX_US (2 * US_PER_S)
/*
 * Trial period after the caution: idempotent requests try the backend server,
 * others prefer trusted ones.
 */
#define TRIAL_US (8 * US_PER_S)
/* Consecutive successes after which a backend server is trusted again. */
#define TRUSTED_OK_REQUESTS 2
/*
 * A request lags when it runs for longer than 1.5 times the typical time of its
 * route, and for at least LAG_MIN_US longer.
 */
#define LAG_PERMILLE 1500
#define LAG_MIN_US (30 * US_PER_MS)

static bool is_lagging(const struct ticket *ticket, struct instant now);
static bool is_overdue(const struct service *service,
		       const struct ticket *ticket, struct instant now);

void evidence_count(struct health *health, enum work_result result,
		    struct instant now)
{
	uint64_t number = now.mono_us / HEALTH_BUCKET_US;
	struct health_bucket *bucket =
		&health->buckets[number % HEALTH_BUCKETS];

	if (bucket->begins_us != number * HEALTH_BUCKET_US) {
		memset(bucket, 0, sizeof(*bucket));
		bucket->begins_us = number * HEALTH_BUCKET_US;
	}
	switch (result) {
	case WORK_NEUTRAL:
		break;
	case WORK_OK:
		bucket->ok_requests++;
		break;
	case WORK_FAILED:
		bucket->failed_requests++;
		break;
	case WORK_SLOW:
		bucket->slow_requests++;
		break;
	}
}

uint64_t evidence_visible_since_us(const struct ticket *ticket,
				   const struct evidence *evidence,
				   struct instant now)
{
	switch (evidence->kind) {
	case EVIDENCE_OK:
	case EVIDENCE_TIMEOUT:
	case EVIDENCE_CANCELLED:
		return MIN(now.mono_us,
			   ticket_exceeds_typical_at_us(ticket, LAG_PERMILLE,
							LAG_MIN_US));
	case EVIDENCE_SHED:
	case EVIDENCE_STALE:
	case EVIDENCE_LATE:
	case EVIDENCE_RESET:
	case EVIDENCE_SERVER_ERROR:
	case EVIDENCE_CONNECT:
	case EVIDENCE_TRUNCATED:
	case EVIDENCE_BAD_ANSWER:
		break;
	}
	return now.mono_us;
}

void evidence_update_caution(struct health *health, enum work_result result,
			     uint64_t visible_since_us, struct instant now)
{
	uint32_t doublings;

	switch (result) {
	case WORK_NEUTRAL:
		break;
	case WORK_OK:
		/* A server that fails only some requests also has successes. */
		if (++health->consecutive_successes < TRUSTED_OK_REQUESTS)
			break;
		health->failures_since_trusted = 0;
		health->caution_until_us = 0;
		health->trial_until_us = 0;
		break;
	case WORK_FAILED:
	case WORK_SLOW:
		health->consecutive_successes = 0;
		doublings = MIN(health->failures_since_trusted,
				CAUTION_DOUBLINGS_MAX);
		health->failures_since_trusted++;
		health->caution_until_us =
			MIN(now.mono_us + (CAUTION_US << doublings),
			    visible_since_us + LATE_EVIDENCE_MAX_US);
		health->trial_until_us =
			MAX(now.mono_us, health->caution_until_us) + TRIAL_US;
		break;
	}
}

enum work_result evidence_classify(const struct service *service,
				   const struct ticket *ticket,
				   const struct evidence *evidence)
{
	uint64_t slow_after_us = health_slow_threshold_us(
		service->route_typical_us[ticket->route_index]);

	switch (evidence->kind) {
	case EVIDENCE_OK:
		if (evidence->service_us > slow_after_us)
			return WORK_SLOW;
		return WORK_OK;
	case EVIDENCE_SHED:
	case EVIDENCE_STALE:
	case EVIDENCE_LATE:
		return WORK_NEUTRAL;
	case EVIDENCE_CANCELLED:
		if (evidence->service_us / OVERDUE_FACTOR > slow_after_us)
			return WORK_SLOW;
		return WORK_NEUTRAL;
	case EVIDENCE_TIMEOUT:
		if (slow_after_us != UINT64_MAX &&
		    evidence->service_us < slow_after_us)
			return WORK_NEUTRAL;
		return WORK_FAILED;
	case EVIDENCE_SERVER_ERROR:
		/* A refusal with Retry-After is not a failure. */
		return evidence->notice.pause_until_us > 0 ? WORK_NEUTRAL :
							     WORK_FAILED;
	case EVIDENCE_RESET:
	case EVIDENCE_CONNECT:
	case EVIDENCE_TRUNCATED:
	case EVIDENCE_BAD_ANSWER:
		return WORK_FAILED;
	}
	return WORK_FAILED;
}

void evidence_update_typical(struct service *service,
			     const struct ticket *ticket, uint64_t service_us)
{
	uint64_t *typical_us = &service->route_typical_us[ticket->route_index];
	uint64_t step_us = *typical_us / TYPICAL_STEP_DIVISOR + 1;

	if (*typical_us == 0)
		*typical_us = MAX(service_us, 1);
	else if (service_us > *typical_us)
		*typical_us += step_us;
	else if (*typical_us > step_us)
		*typical_us -= step_us;
}

void evidence_count_overdue(const struct state *state, struct service *service,
			    struct instant now)
{
	uint32_t remaining = service->running_requests;
	const struct ticket *ticket;
	struct health *health;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		service->backends[i].health.overdue_requests = 0;
		service->backends[i].health.lagging_requests = 0;
	}
	for (i = 0; i < TICKETS_MAX && remaining > 0; i++) {
		ticket = &state->tickets[i];
		if (ticket->service != service ||
		    ticket->state != TICKET_RUNNING)
			continue;
		remaining--;
		if (ticket->backend_index >= service->backend_count)
			continue;
		health = &service->backends[ticket->backend_index].health;
		if (ticket->granted_us < health->evidence_since_us)
			continue;
		health->overdue_requests += is_overdue(service, ticket, now);
		health->lagging_requests += is_lagging(ticket, now);
	}
}

void evidence_drop_after_stall(struct service *service, struct instant now)
{
	struct health *health;
	uint32_t i;

	if (service->backend_count == 0)
		return;
	health = &service->backends[0].health;
	if (health->evaluated_us == 0 ||
	    now.mono_us < health->evaluated_us + STALL_US)
		return;
	for (i = 0; i < service->backend_count; i++) {
		health = &service->backends[i].health;
		memset(health->buckets, 0, sizeof(health->buckets));
		memset(health->views, 0, sizeof(health->views));
		health->evidence_since_us = now.mono_us;
		health->evaluated_us = now.mono_us;
		health->suspected_since_us = 0;
		health->threshold_exceeded_since_us = 0;
		health->unhealthy_since_us = 0;
		health->overdue_requests = 0;
		health->lagging_requests = 0;
	}
}

static bool is_lagging(const struct ticket *ticket, struct instant now)
{
	uint64_t late_us =
		ticket_exceeds_typical_at_us(ticket, LAG_PERMILLE, LAG_MIN_US);

	return now.mono_us > late_us &&
	       now.mono_us < late_us + LATE_EVIDENCE_MAX_US;
}

static bool is_overdue(const struct service *service,
		       const struct ticket *ticket, struct instant now)
{
	uint64_t slow_after_us = health_slow_threshold_us(
		service->route_typical_us[ticket->route_index]);

	if (slow_after_us == UINT64_MAX || now.mono_us < ticket->granted_us)
		return false;
	return now.mono_us - ticket->granted_us >
	       slow_after_us * OVERDUE_FACTOR;
}
