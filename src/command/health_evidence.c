#include "command/health_evidence.h"

#include <string.h>

#include "command/ticket.h"
#include "query/health_verdict.h"

/* The typical time moves by a sixteenth towards each answer. */
#define TYPICAL_STEP_PART 16

/* Running work is judged later than answers, for it may wait in this process.
 */
#define OVERDUE_FACTOR 2

/* Judgements this far apart mean that the process was paused. */
#define PAUSE_US (1500 * US_PER_MS)
/* After failed work others go first for this long, doubled with each more. */
#define CAUTION_US (500 * US_PER_MS)
#define CAUTION_DOUBLINGS_MAX 2
/*
 * Late work says little of now after this long, though it may still wait: most
 * servers hang for a moment, and without new work nothing would show that one
 * works again.
 */
#define AVOIDED_MAX_US (2 * US_PER_S)
/* Then it is tried with work that may be repeated, if there is any. */
#define TRIAL_US (8 * US_PER_S)
/* Whole answers in a row after which it is trusted again. */
#define TRUSTED_OK_REQUESTS 2
/* Work that takes this part longer than usual lags. */
#define LAG_PERMILLE 1500
#define LAG_LEAST_US (30 * US_PER_MS)

static bool lags(const struct ticket *ticket, struct instant now);
static bool overdue(const struct service *service, const struct ticket *ticket,
		    struct instant now);

void evidence_count(struct health *health, enum work_result end,
		    struct instant now)
{
	uint64_t number = now.mono_us / HEALTH_BUCKET_US;
	struct health_bucket *bucket =
		&health->buckets[number % HEALTH_BUCKETS];

	if (bucket->begins_us != number * HEALTH_BUCKET_US) {
		memset(bucket, 0, sizeof(*bucket));
		bucket->begins_us = number * HEALTH_BUCKET_US;
	}
	switch (end) {
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
							LAG_LEAST_US));
	case EVIDENCE_SHED:
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

void evidence_update_caution(struct health *health, enum work_result end,
			     uint64_t seen_us, struct instant now)
{
	uint32_t doublings;

	switch (end) {
	case WORK_NEUTRAL:
		break;
	case WORK_OK:
		/* One that fails a part of its work has good moments too. */
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
			    seen_us + AVOIDED_MAX_US);
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
		/* A refusal that says when to come back is no fault. */
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
	uint64_t step_us = *typical_us / TYPICAL_STEP_PART + 1;

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
	uint32_t left = service->running_requests;
	const struct ticket *ticket;
	struct health *health;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		service->backends[i].health.overdue_requests = 0;
		service->backends[i].health.lagging_requests = 0;
	}
	for (i = 0; i < TICKETS_MAX && left > 0; i++) {
		ticket = &state->tickets[i];
		if (ticket->service != service ||
		    ticket->state != TICKET_RUNNING)
			continue;
		left--;
		if (ticket->backend_index >= service->backend_count)
			continue;
		health = &service->backends[ticket->backend_index].health;
		if (ticket->granted_us < health->resumed_us)
			continue;
		health->overdue_requests += overdue(service, ticket, now);
		health->lagging_requests += lags(ticket, now);
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
	    now.mono_us < health->evaluated_us + PAUSE_US)
		return;
	for (i = 0; i < service->backend_count; i++) {
		health = &service->backends[i].health;
		memset(health->buckets, 0, sizeof(health->buckets));
		memset(health->views, 0, sizeof(health->views));
		health->resumed_us = now.mono_us;
		health->evaluated_us = now.mono_us;
		health->suspected_since_us = 0;

		health->threshold_exceeded_since_us = 0;
		health->unhealthy_since_us = 0;
		health->overdue_requests = 0;
		health->lagging_requests = 0;
	}
}

static bool lags(const struct ticket *ticket, struct instant now)
{
	uint64_t late_us = ticket_exceeds_typical_at_us(ticket, LAG_PERMILLE,
							LAG_LEAST_US);

	return now.mono_us > late_us && now.mono_us < late_us + AVOIDED_MAX_US;
}

static bool overdue(const struct service *service, const struct ticket *ticket,
		    struct instant now)
{
	uint64_t slow_after_us = health_slow_threshold_us(
		service->route_typical_us[ticket->route_index]);

	if (slow_after_us == UINT64_MAX || now.mono_us < ticket->granted_us)
		return false;
	return now.mono_us - ticket->granted_us >
	       slow_after_us * OVERDUE_FACTOR;
}
