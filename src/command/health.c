#include "command/health.h"

#include <string.h>

#include "command/health_change.h"
#include "command/health_evidence.h"
#include "command/start_notice.h"
#include "query/floor.h"
#include "query/health.h"

/*
 * Duration of a drain announced in an answer when starts have no names: the
 * backend server may have restarted by then.
 */
#define DRAIN_UNNAMED_US (30 * US_PER_S)
/* Duration of a drain from a load report, renewed by the next report. */
#define DRAIN_REPORT_US (5 * US_PER_S)

/*
 * A reported cold start counts for at most this time, even if still reported.
 */
#define COLD_MAX_US (60 * US_PER_S)

/* Time for which a failed probe counts. */
#define PROBE_FAILURE_US (5 * US_PER_S)

/* Validity of another home's digest; homes send one every 500 ms. */
#define VIEW_FRESH_US (2 * US_PER_S)

/*
 * Limit of the counts in another home's digest. No home completes more requests
 * in a window, and a larger count would outweigh the evidence of all other
 * homes.
 */
#define VIEW_REQUESTS_MAX 100000

/* Successes in a trickle before a ramp, slow requests before a relapse. */
#define TRICKLE_OK_REQUESTS 5
#define TRICKLE_SLOW_REQUESTS 3

static void observe_trickle(struct health_change *change,
			    enum work_result result);
static void observe_notice(struct health_change *change,
			   const struct backend_notice *notice);
static void observe_drain_answer(struct health_change *change);
static void observe_pause(struct backend *backend, uint64_t until_us);
static void advance_slow_start(struct backend *backend,
			       const struct ticket *ticket);
static void restore_notice(struct backend *backend,
			   const struct backend_notice *notice);
static void observe_draining(struct health_change *change, uint64_t until_us,
			     enum audit_cause cause);
static void update_closed(struct backend *backend, struct instant now);
static void audit_drain(struct health_change *change);
static void observe_cold(struct health_change *change, bool cold);
static struct health_view *find_view(struct health *health,
				     struct net_addr home, struct instant now);
static void drop_view(struct backend *backend, struct net_addr home);
static uint64_t sender_domain_hash(const struct state *state,
				   struct net_addr sender);
static void observe_entry(struct health_change *change, struct net_addr sender,
			  const struct digest_entry *entry);
static void follow_ejection(struct health_change *change);

void health_observe_exchange(struct state *state, struct service *service,
			     struct backend *backend,
			     const struct ticket *ticket,
			     const struct evidence *evidence,
			     struct instant now, struct event_list *out)
{
	struct health_change change = { .state = state,
					.service = service,
					.backend = backend,
					.now = now,
					.out = out };
	enum work_result result;

	evidence_drop_after_stall(service, now);
	observe_notice(&change, &evidence->notice);
	result = evidence_classify(service, ticket, evidence);
	if (result == WORK_SLOW && backend_cold(backend, now))
		result = WORK_NEUTRAL;
	if (evidence->kind == EVIDENCE_OK && !backend_cold(backend, now))
		evidence_update_typical(service, ticket, evidence->service_us);
	if (ticket->granted_us < backend->health.evidence_since_us)
		return;
	/* A stale connection does not show that a new one can be opened. */
	if (evidence->kind == EVIDENCE_CONNECT ||
	    (evidence->request_sent && evidence->kind != EVIDENCE_STALE))
		backend->health.connect_failed = evidence->kind ==
						 EVIDENCE_CONNECT;
	evidence_update_caution(
		&backend->health, result,
		evidence_visible_since_us(ticket, evidence, now), now);
	if (result == WORK_OK) {
		backend->health.last_success_granted_us =
			MAX(backend->health.last_success_granted_us,
			    ticket->granted_us);
		advance_slow_start(backend, ticket);
	}
	evidence_count(&backend->health, result, now);
	if (backend->health.state == HEALTH_TRICKLE)
		observe_trickle(&change, result);
}

void health_observe_notice(struct state *state, struct service *service,
			   struct backend *backend,
			   const struct backend_notice *notice,
			   struct instant now, struct event_list *out)
{
	struct health_change change = { .state = state,
					.service = service,
					.backend = backend,
					.now = now,
					.out = out };

	observe_notice(&change, notice);
}

void health_observe_probe(struct state *state, struct service *service,
			  struct backend *backend,
			  const struct probe_result *result, struct instant now,
			  struct event_list *out)
{
	struct health_change change = { .state = state,
					.service = service,
					.backend = backend,
					.now = now,
					.out = out };

	if (!result->answered || !result->healthy)
		backend->health.probe_bad_until_us =
			now.mono_us + PROBE_FAILURE_US;
	else
		backend->health.probe_bad_until_us = 0;
	if (!result->answered)
		return;
	if (result->draining)
		observe_draining(&change, now.mono_us + DRAIN_REPORT_US,
				 CAUSE_LOAD_REPORT);
	observe_cold(&change, result->cold);
}

void health_observe_digest(struct state *state, struct service *service,
			   struct net_addr sender,
			   const struct peer_digest *digest, struct instant now,
			   struct event_list *out)
{
	struct health_change change = {
		.state = state, .service = service, .now = now, .out = out
	};
	uint32_t i;
	uint32_t j;

	evidence_drop_after_stall(service, now);
	for (i = 0; i < service->backend_count; i++) {
		change.backend = &service->backends[i];
		for (j = 0; j < digest->entry_count; j++) {
			if (addr_equal(digest->entries[j].backend,
				       change.backend->addr))
				break;
		}
		if (j < digest->entry_count)
			observe_entry(&change, sender, &digest->entries[j]);
		else
			drop_view(change.backend, sender);
	}
}

void health_apply_document(struct state *state, struct service *service,
			   const bool *known, struct instant now,
			   struct event_list *out)
{
	struct health_change change = {
		.state = state, .service = service, .now = now, .out = out
	};
	const struct backend_notice *notice;
	struct backend *backend;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[i];
		change.backend = backend;
		if (known && !known[i])
			health_start_ramp(&change, CAUSE_COLD_START);
		notice = start_notice_find(service, &backend->start);
		if (notice)
			restore_notice(backend, notice);
		update_closed(backend, now);
		audit_drain(&change);
	}
}

static void audit_drain(struct health_change *change)
{
	struct backend *backend = change->backend;

	if (backend->health.drain_audited)
		return;
	if (!backend->drain_document && !backend->left)
		return;
	backend->health.drain_audited = true;
	if (backend->drain_document) {
		health_audit(change, AUDIT_DRAIN_BEGUN, CAUSE_DOCUMENT);
		return;
	}
	/* Other instances may not know it. */
	change->state->left_starts_due_us = change->now.mono_us;
	health_audit(change, AUDIT_DRAIN_BEGUN, CAUSE_START_LEFT);
}

void health_clear_unreachable(struct state *state, struct service *service,
			      struct instant now, struct event_list *out)
{
	struct health_change change = {
		.state = state, .service = service, .now = now, .out = out
	};
	struct health *health;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		change.backend = &service->backends[i];
		health = &change.backend->health;
		if (health->path_failed)
			health_readmit(&change, CAUSE_PATH);
		if (!health->connect_failed)
			continue;
		health->connect_failed = false;
		health->failures_since_trusted = 0;
		health->caution_until_us = 0;
		health->trial_until_us = 0;
	}
}

static void observe_trickle(struct health_change *change,
			    enum work_result result)
{
	struct health *health = &change->backend->health;

	/* Figures for the audit records written below. */
	change->verdict = health_verdict(change->state, change->service,
					 change->backend, change->now);
	switch (result) {
	case WORK_NEUTRAL:
		return;
	case WORK_OK:
		health->trickle_ok++;
		break;
	case WORK_SLOW:
		health->trickle_ok = 0;
		health->trickle_slow++;
		break;
	case WORK_FAILED:
		health_relapse(change);
		return;
	}
	if (health->trickle_slow >= TRICKLE_SLOW_REQUESTS)
		health_relapse(change);
	else if (health->trickle_ok >= TRICKLE_OK_REQUESTS)
		health_start_ramp(change, CAUSE_TRICKLE_OK);
}

static void observe_notice(struct health_change *change,
			   const struct backend_notice *notice)
{
	if (!backend_notice_given(notice))
		return;
	start_notice_store(change->service, &change->backend->start, notice,
			   change->now);
	if (notice->draining)
		observe_drain_answer(change);
	observe_pause(change->backend, notice->pause_until_us);
}

/*
 * A named start that announced a drain keeps draining, whatever documents say.
 */
static void observe_drain_answer(struct health_change *change)
{
	uint64_t until_us = change->now.mono_us + DRAIN_UNNAMED_US;

	if (start_named(&change->backend->start))
		until_us = DEADLINE_NONE_US;
	observe_draining(change, until_us, CAUSE_DRAIN_ANSWER);
}

static void observe_pause(struct backend *backend, uint64_t until_us)
{
	if (until_us <= backend->pause_until_us)
		return;
	backend->pause_until_us = until_us;
	backend->slow_start_slots = 1;
}

/*
 * Slow start after a pause: each success doubles the open slots. The pauses of
 * many instances end together, and would release all their backlogs at once.
 */
static void advance_slow_start(struct backend *backend,
			       const struct ticket *ticket)
{
	if (ticket->granted_us < backend->pause_until_us)
		return;
	backend->slow_start_slots *= 2;
	if (backend->slow_start_slots >= backend->own_slots)
		backend->slow_start_slots = 0;
}

/*
 * Applies the stored notice of a start that documents omitted for a while and
 * list again.
 */
static void restore_notice(struct backend *backend,
			   const struct backend_notice *notice)
{
	if (notice->draining)
		backend->drain_seen_until_us = DEADLINE_NONE_US;
	observe_pause(backend, notice->pause_until_us);
}

static void observe_draining(struct health_change *change, uint64_t until_us,
			     enum audit_cause cause)
{
	struct backend *backend = change->backend;

	backend->drain_seen_until_us =
		MAX(backend->drain_seen_until_us, until_us);
	update_closed(backend, change->now);
	if (backend->health.drain_audited)
		return;
	backend->health.drain_audited = true;
	change->service->digest_due_us =
		MIN(change->service->digest_due_us, change->now.mono_us);
	health_audit(change, AUDIT_DRAIN_BEGUN, cause);
}

static void update_closed(struct backend *backend, struct instant now)
{
	if (!backend_draining(backend, now))
		backend->closed_us = 0;
	else if (backend->closed_us == 0)
		backend->closed_us = now.mono_us;
}

static void observe_cold(struct health_change *change, bool cold)
{
	change->backend->cold = cold;
	if (cold && change->backend->health.cold_until_us == 0)
		change->backend->health.cold_until_us =
			change->now.mono_us + COLD_MAX_US;
}

/*
 * Return: view of @home; if there is none, one that is unused or expired; NULL
 * if all are in use.
 */
static struct health_view *find_view(struct health *health,
				     struct net_addr home, struct instant now)
{
	struct health_view *unused = NULL;
	struct health_view *view;
	uint32_t i;

	for (i = 0; i < HOMES_MAX; i++) {
		view = &health->views[i];
		if (addr_equal(view->home, home))
			return view;
		if (!unused && !view_fresh(view, now))
			unused = view;
	}
	return unused;
}

static void drop_view(struct backend *backend, struct net_addr home)
{
	struct health_view *view;
	uint32_t i;

	for (i = 0; i < HOMES_MAX; i++) {
		view = &backend->health.views[i];
		if (addr_equal(view->home, home))
			memset(view, 0, sizeof(*view));
	}
}

/* A sender that is no member counts as a failure domain of its own. */
static uint64_t sender_domain_hash(const struct state *state,
				   struct net_addr sender)
{
	const struct member *member =
		membership_find(&state->membership, sender);

	if (!member)
		return hash_pair(sender, sender, 0);
	return domain_hash(&member->listed.domain);
}

static void observe_entry(struct health_change *change, struct net_addr sender,
			  const struct digest_entry *entry)
{
	struct health_view *view =
		find_view(&change->backend->health, sender, change->now);
	bool charged_elsewhere =
		floor_charged_elsewhere(change->backend, change->now);

	if (!view)
		return;
	view->home = sender;
	view->domain_hash = sender_domain_hash(change->state, sender);
	view->fresh_until_us = change->now.mono_us + VIEW_FRESH_US;
	view->ok_requests = MIN(entry->ok_requests, VIEW_REQUESTS_MAX);
	view->failed_requests = MIN(entry->failed_requests, VIEW_REQUESTS_MAX);
	view->slow_requests = MIN(entry->slow_requests, VIEW_REQUESTS_MAX);
	view->ejected = entry->ejected;
	view->charged = entry->charged;
	view->draining = entry->draining;
	view->cold = entry->cold;
	view->avoided = entry->avoided;
	if (entry->charged && entry->ejected && !charged_elsewhere)
		follow_ejection(change);
}

/*
 * Ejects a backend server that another home has ejected and charged to its
 * budget, unless this home's own evidence shows that it is healthy.
 */
static void follow_ejection(struct health_change *change)
{
	struct health *health = &change->backend->health;

	if (!change->state->policy.ejecting || health->ejected)
		return;
	if (health_cleared_locally(change->service, change->backend,
				   change->now))
		return;
	change->verdict = health_verdict(change->state, change->service,
					 change->backend, change->now);
	health_eject(change, CAUSE_PEER_EVIDENCE, false);
}
