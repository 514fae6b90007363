#include "query/health_verdict.h"

#include "query/health.h"
#include "query/health_bound.h"

/* Slow threshold: twice the typical time, at least this margin above it. */
#define SLOW_FACTOR 2
#define SLOW_MARGIN_US (5 * US_PER_MS)

/* Number of failed requests needed for VERDICT_FAILING. */
#define FAILED_REQUESTS_MIN 4
/*
 * Number of failed requests needed for VERDICT_FAILING when no request
 * succeeded.
 */
#define FAILED_ONLY_REQUESTS_MIN 3
/*
 * Number of slow requests needed for VERDICT_SLOW. A few stragglers can hold
 * all slots of a home at once, so it is higher than that of failed requests.
 */
#define SLOW_REQUESTS_MIN 7
/* Number of slow requests needed for VERDICT_SLOW when no request succeeded. */
#define SLOW_ONLY_REQUESTS_MIN 5
/* Failed or slow requests needed when any one failure domain is left out. */
#define CONFIRMING_REQUESTS_MIN 2
/* Requests of the other backend servers needed for a baseline. */
#define BASELINE_REQUESTS_MIN 20
/* Requests of other homes needed to attribute a fault to this home's path. */
#define PEER_REQUESTS_MIN 6

/*
 * Requests of this home needed to show by themselves that a backend server is
 * healthy, and upper bound of the proportion that may have failed, to which
 * FAILED_MARGIN_PERMILLE is added.
 */
#define CLEARED_REQUESTS_MIN 20
#define CLEARED_FAILED_MAX_PERMILLE 100

/*
 * Thresholds of the proportion of failed and of slow requests: the upper bound
 * at the other backend servers, which is the baseline, plus a margin. That of
 * failed requests has a minimum, and a fixed value without a baseline; without
 * a baseline no proportion of slow requests exceeds the threshold.
 */
#define FAILED_MIN_PERMILLE 30
#define FAILED_MARGIN_PERMILLE 10
#define FAILED_NO_BASELINE_PERMILLE 200
#define SLOW_MARGIN_PERMILLE 100

/* Time in which the other homes reply to a suspicion with their evidence. */
#define PEER_REPORT_WAIT_US (1200 * US_PER_MS)
/*
 * Time after which the other homes are assumed to be silent because they sent
 * the backend server no requests. The second and longer one applies when this
 * home has no failed or slow requests itself.
 */
#define SINGLE_DOMAIN_WAIT_US (1200 * US_PER_MS)
#define SINGLE_DOMAIN_PEERS_WAIT_US (3 * US_PER_S)
/* Shorter stalls of a backend server do not count as slowness. */
#define SLOW_CONFIRM_US (1000 * US_PER_MS)

enum fault_kind { FAULT_FAILING, FAULT_SLOW };

static enum verdict_kind
evaluate_fault(const struct state *state, const struct service *service,
	       const struct backend *backend, enum fault_kind fault,
	       struct verdict *verdict, struct instant now);
static bool threshold_exceeded(const struct tally *tally, enum fault_kind fault,
			       uint32_t threshold_permille);
static bool is_confirmed(const struct state *state,
			 const struct service *service,
			 const struct backend *backend, enum fault_kind fault,
			 uint32_t threshold_permille, struct instant now);
static bool single_domain_confirmed(const struct state *state,
				    const struct backend *backend,
				    const uint64_t *domains, uint32_t count,
				    struct instant now);
static bool peers_had_time(const struct backend *backend, struct instant now);
static bool path_failed(const struct backend *backend, enum fault_kind fault,
			uint32_t threshold_permille, struct instant now);
static bool is_suspicious(const struct tally *tally, enum fault_kind fault,
			  uint32_t threshold_permille);
static bool suspected_by_peer(const struct backend *backend,
			      enum fault_kind fault,
			      uint32_t threshold_permille, struct instant now);
static uint32_t fault_threshold_permille(const struct tally *others,
					 enum fault_kind fault);
static uint32_t fault_requests(const struct tally *tally,
			       enum fault_kind fault);
static uint32_t fault_requests_min(const struct tally *tally,
				   enum fault_kind fault);
static uint32_t count_observers(const struct backend *backend,
				struct instant now);

bool verdict_unhealthy(enum verdict_kind kind)
{
	return kind == VERDICT_FAILING || kind == VERDICT_SLOW;
}

struct verdict health_verdict(const struct state *state,
			      const struct service *service,
			      const struct backend *backend, struct instant now)
{
	struct verdict verdict = { .kind = VERDICT_HEALTHY };
	enum verdict_kind slow = VERDICT_HEALTHY;
	uint32_t all;

	verdict.tally =
		tally_add(tally_own(backend, now), tally_peers(backend, now));
	all = tally_total(&verdict.tally);
	if (verdict.tally.failed_requests + verdict.tally.slow_requests == 0)
		return verdict;
	verdict.kind = evaluate_fault(state, service, backend, FAULT_FAILING,
				      &verdict, now);
	if (!verdict_unhealthy(verdict.kind) &&
	    verdict.kind != VERDICT_PATH_FAILED && !backend_cold(backend, now))
		slow = evaluate_fault(state, service, backend, FAULT_SLOW,
				      &verdict, now);
	if (slow != VERDICT_HEALTHY)
		verdict.kind = slow;
	verdict.observers = count_observers(backend, now);
	verdict.unhealthy_permille =
		(verdict.tally.failed_requests + verdict.tally.slow_requests) *
		PERMILLE_ONE / all;
	return verdict;
}

bool health_cleared_locally(const struct service *service,
			    const struct backend *backend, struct instant now)
{
	struct tally own = tally_own(backend, now);
	struct tally others = tally_other_backends(service, backend, now);
	uint32_t all = tally_total(&own);

	if (all < CLEARED_REQUESTS_MIN)
		return false;
	if (share_upper_permille(own.failed_requests, all, BOUND_Z_2) >
	    CLEARED_FAILED_MAX_PERMILLE + FAILED_MARGIN_PERMILLE)
		return false;
	return share_upper_permille(own.slow_requests, all, BOUND_Z_2) <
	       fault_threshold_permille(&others, FAULT_SLOW);
}

uint64_t health_slow_threshold_us(uint64_t typical_us)
{
	if (typical_us == 0)
		return UINT64_MAX;
	return MAX(typical_us * SLOW_FACTOR, typical_us + SLOW_MARGIN_US);
}

/*
 * Only requests begun after a suspicion was raised can confirm it: the sample
 * that raised it was the worst of many and so overstates the fault.
 */
static enum verdict_kind
evaluate_fault(const struct state *state, const struct service *service,
	       const struct backend *backend, enum fault_kind fault,
	       struct verdict *verdict, struct instant now)
{
	struct tally all =
		tally_add(tally_own(backend, now), tally_peers(backend, now));
	struct tally recent = tally_recent(backend, now);
	struct tally others = tally_other_backends(service, backend, now);
	uint32_t threshold_permille = fault_threshold_permille(&others, fault);

	if (backend->health.suspected_since_us != 0 &&
	    threshold_exceeded(&all, fault, threshold_permille)) {
		verdict->threshold_exceeded = true;
		if (is_confirmed(state, service, backend, fault,
				 threshold_permille, now))
			return fault == FAULT_SLOW ? VERDICT_SLOW :
						     VERDICT_FAILING;
	}
	/*
	 * For an isolated home all backend servers fail alike, so the
	 * comparison with the others would hide the fault.
	 */
	if (fault == FAULT_FAILING)
		threshold_permille = FAILED_MIN_PERMILLE;

	if (path_failed(backend, fault, threshold_permille, now))
		return VERDICT_PATH_FAILED;
	if (is_suspicious(&recent, fault, threshold_permille) ||
	    is_suspicious(&all, fault, threshold_permille) ||
	    suspected_by_peer(backend, fault, threshold_permille, now))
		return VERDICT_SUSPECTED;
	return VERDICT_HEALTHY;
}

/*
 * Whether enough requests failed or were slow, and their proportion is above
 * the threshold with high confidence.
 */
static bool threshold_exceeded(const struct tally *tally, enum fault_kind fault,
			       uint32_t threshold_permille)
{
	return fault_requests(tally, fault) >=
		       fault_requests_min(tally, fault) &&
	       share_lower_permille(fault_requests(tally, fault),
				    tally_total(tally),
				    BOUND_Z_3) > threshold_permille;
}

/*
 * With evidence from several failure domains, the rest must still show the
 * fault when any one domain is left out; that rules out a failed path from one
 * domain. With evidence from a single domain, the others get time to report
 * theirs.
 */
static bool is_confirmed(const struct state *state,
			 const struct service *service,
			 const struct backend *backend, enum fault_kind fault,
			 uint32_t threshold_permille, struct instant now)
{
	uint64_t since_us = backend->health.suspected_since_us;
	uint64_t domains[HOMES_MAX + 1];
	uint32_t count = domains_with_evidence(state, backend, now, domains);
	struct tally rest;
	uint32_t i;

	if (fault == FAULT_SLOW && now.mono_us < since_us + SLOW_CONFIRM_US)
		return false;
	if (service->home_count < 2)
		return true;
	if (count < 2)
		return single_domain_confirmed(state, backend, domains, count,
					       now);
	for (i = 0; i < count; i++) {
		rest = tally_outside_domain(state, backend, domains[i], now);
		if (fault_requests(&rest, fault) < CONFIRMING_REQUESTS_MIN ||
		    share_lower_permille(fault_requests(&rest, fault),
					 tally_total(&rest),
					 BOUND_Z_1_6) <= threshold_permille)
			return false;
	}
	return true;
}

/*
 * Whether evidence from a single failure domain suffices: no request from
 * elsewhere has succeeded, and the other homes have had time to report one.
 */
static bool single_domain_confirmed(const struct state *state,
				    const struct backend *backend,
				    const uint64_t *domains, uint32_t count,
				    struct instant now)
{
	struct tally own = tally_own(backend, now);
	uint64_t wait_us = SINGLE_DOMAIN_WAIT_US;
	struct tally rest = { 0 };

	if (own.failed_requests + own.slow_requests == 0)
		wait_us = SINGLE_DOMAIN_PEERS_WAIT_US;
	if (count > 0)
		rest = tally_outside_domain(state, backend, domains[0], now);
	return rest.ok_requests == 0 &&
	       backend->health.threshold_exceeded_since_us != 0 &&
	       now.mono_us >=
		       backend->health.threshold_exceeded_since_us + wait_us;
}

/* Whether the other homes have had time to report their evidence. */
static bool peers_had_time(const struct backend *backend, struct instant now)
{
	uint64_t since_us = backend->health.suspected_since_us;

	return since_us != 0 && now.mono_us >= since_us + PEER_REPORT_WAIT_US;
}

/*
 * Whether the fault shows at this home only, so that the path from here and not
 * the backend server causes it.
 */
static bool path_failed(const struct backend *backend, enum fault_kind fault,
			uint32_t threshold_permille, struct instant now)
{
	struct tally own = tally_own(backend, now);
	struct tally peers = tally_peers(backend, now);
	uint32_t own_lower_permille = share_lower_permille(
		fault_requests(&own, fault), tally_total(&own), BOUND_Z_3);

	if (fault_requests(&own, fault) < fault_requests_min(&own, fault) ||
	    own_lower_permille <= threshold_permille)
		return false;
	if (!peers_had_time(backend, now))
		return false;
	if (tally_total(&peers) < PEER_REQUESTS_MIN)
		return false;
	return share_upper_permille(fault_requests(&peers, fault),
				    tally_total(&peers),
				    BOUND_Z_2) < own_lower_permille;
}

static bool is_suspicious(const struct tally *tally, enum fault_kind fault,
			  uint32_t threshold_permille)
{
	return share_lower_permille(fault_requests(tally, fault),
				    tally_total(tally),
				    BOUND_Z_1) > threshold_permille;
}

static bool suspected_by_peer(const struct backend *backend,
			      enum fault_kind fault,
			      uint32_t threshold_permille, struct instant now)
{
	const struct health_view *view;
	struct tally tally;
	uint32_t i;

	for (i = 0; i < HOMES_MAX; i++) {
		view = &backend->health.views[i];
		tally = tally_view(view);
		if (view_fresh(view, now) &&
		    is_suspicious(&tally, fault, threshold_permille))
			return true;
	}
	return false;
}

/*
 * Threshold that the lower bound of the proportion of failed or slow requests
 * must exceed.
 *
 * Return: permille.
 */
static uint32_t fault_threshold_permille(const struct tally *others,
					 enum fault_kind fault)
{
	uint32_t all = tally_total(others);
	uint32_t baseline_permille = share_upper_permille(
		fault_requests(others, fault), all, BOUND_Z_2);

	switch (fault) {
	case FAULT_FAILING:
		if (all < BASELINE_REQUESTS_MIN)
			return FAILED_NO_BASELINE_PERMILLE;
		return MAX(baseline_permille + FAILED_MARGIN_PERMILLE,
			   FAILED_MIN_PERMILLE);
	case FAULT_SLOW:
		if (all < BASELINE_REQUESTS_MIN)
			return PERMILLE_ONE;
		return baseline_permille + SLOW_MARGIN_PERMILLE;
	}
	return PERMILLE_ONE;
}

static uint32_t fault_requests(const struct tally *tally, enum fault_kind fault)
{
	switch (fault) {
	case FAULT_FAILING:
		return tally->failed_requests;
	case FAULT_SLOW:
		return tally->slow_requests;
	}
	return 0;
}

static uint32_t fault_requests_min(const struct tally *tally,
				   enum fault_kind fault)
{
	switch (fault) {
	case FAULT_FAILING:
		return tally->ok_requests > 0 ? FAILED_REQUESTS_MIN :
						FAILED_ONLY_REQUESTS_MIN;
	case FAULT_SLOW:
		return tally->ok_requests > 0 ? SLOW_REQUESTS_MIN :
						SLOW_ONLY_REQUESTS_MIN;
	}
	return UINT32_MAX;
}

static uint32_t count_observers(const struct backend *backend,
				struct instant now)
{
	const struct health_view *view;
	struct tally own = tally_own(backend, now);
	uint32_t count = own.failed_requests + own.slow_requests > 0;
	uint32_t i;

	for (i = 0; i < HOMES_MAX; i++) {
		view = &backend->health.views[i];
		if (view_fresh(view, now) &&
		    view->failed_requests + view->slow_requests > 0)
			count++;
	}
	return count;
}
