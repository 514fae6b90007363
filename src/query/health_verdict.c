#include "query/health_verdict.h"

#include "query/health.h"
#include "query/health_bound.h"

#define SLOW_FACTOR 2
#define SLOW_SLACK_US (5 * US_PER_MS)

/* Least failed requests before a backend server is sick. */
#define FAILED_REQUESTS 4
/* The same when no request speaks for it. */
#define FAILED_ALL_REQUESTS 3
/* Least late ones: a few stragglers can fill a home's slots at once. */
#define SLOW_REQUESTS 7
/* The same when no request speaks for it. */
#define SLOW_ALL_REQUESTS 5
/* Least of them outside any one failure domain. */
#define CONFIRM_REQUESTS 2
/* Requests of the others that give a base to compare with. */
#define BASE_REQUESTS 20
/* Requests of other homes that can clear a backend server. */
#define CLEAR_REQUESTS 6

/* Own requests without a fault after which an ejection is not followed. */
#define FINE_REQUESTS 20
#define FINE_UPPER_PERMILLE 100

#define FAILED_LEAST_PERMILLE 30
#define FAILED_MARGIN_PERMILLE 10
#define FAILED_WITHOUT_BASE_PERMILLE 200
#define SLOW_MARGIN_PERMILLE 100

/* Time in which the other homes answer a suspicion with their evidence. */
#define CONFIRM_US (1200 * US_PER_MS)
/* Time after which silence of the other homes is taken for want of work. */
#define ALONE_US (1200 * US_PER_MS)
#define ALONE_OTHERS_US (3 * US_PER_S)
/* A pause of a backend server shorter than this is not slowness. */
#define SLOW_CONFIRM_US (1000 * US_PER_MS)

enum fault_kind { FAULT_FAILING, FAULT_SLOW };

static enum verdict_kind judge(const struct state *state,
			       const struct service *service,
			       const struct backend *backend,
			       enum fault_kind fault, struct verdict *verdict,
			       struct instant now);
static bool threshold_exceeded(const struct tally *tally, enum fault_kind fault,
			       uint32_t threshold_permille);
static bool confirmed(const struct state *state, const struct service *service,
		      const struct backend *backend, enum fault_kind fault,
		      uint32_t threshold_permille, struct instant now);
static bool alone(const struct state *state, const struct backend *backend,
		  const uint64_t *domains, uint32_t count, struct instant now);
static bool answered(const struct backend *backend, struct instant now);
static bool path_failed(const struct backend *backend, enum fault_kind fault,
			uint32_t threshold_permille, struct instant now);
static bool suspicious(const struct tally *tally, enum fault_kind fault,
		       uint32_t threshold_permille);
static bool peer_suspects(const struct backend *backend, enum fault_kind fault,
			  uint32_t limit, struct instant now);
static uint32_t threshold(const struct tally *others, enum fault_kind fault);
static uint32_t against(const struct tally *tally, enum fault_kind fault);
static uint32_t least_requests(const struct tally *tally,
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
	verdict.kind =
		judge(state, service, backend, FAULT_FAILING, &verdict, now);
	if (!verdict_unhealthy(verdict.kind) &&
	    verdict.kind != VERDICT_PATH_FAILED && !backend_cold(backend, now))
		slow = judge(state, service, backend, FAULT_SLOW, &verdict,
			     now);
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

	if (all < FINE_REQUESTS)
		return false;
	if (share_upper_permille(own.failed_requests, all, BOUND_Z_2) >
	    FINE_UPPER_PERMILLE + FAILED_MARGIN_PERMILLE)
		return false;
	return share_upper_permille(own.slow_requests, all, BOUND_Z_2) <
	       threshold(&others, FAULT_SLOW);
}

uint64_t health_slow_threshold_us(uint64_t typical_us)
{
	if (typical_us == 0)
		return UINT64_MAX;
	return MAX(typical_us * SLOW_FACTOR, typical_us + SLOW_SLACK_US);
}

/*
 * A suspicion is confirmed only by work begun after it, for what raised it was
 * the worst of many moments.
 */
static enum verdict_kind judge(const struct state *state,
			       const struct service *service,
			       const struct backend *backend,
			       enum fault_kind fault, struct verdict *verdict,
			       struct instant now)
{
	struct tally all =
		tally_add(tally_own(backend, now), tally_peers(backend, now));
	struct tally recent = tally_recent(backend, now);
	struct tally others = tally_other_backends(service, backend, now);
	uint32_t limit = threshold(&others, fault);

	if (backend->health.suspected_since_us != 0 &&
	    threshold_exceeded(&all, fault, limit)) {
		verdict->threshold_exceeded = true;
		if (confirmed(state, service, backend, fault, limit, now))
			return fault == FAULT_SLOW ? VERDICT_SLOW :
						     VERDICT_FAILING;
	}
	/* A home that is cut off sees all fail alike, but must look further. */
	if (fault == FAULT_FAILING)
		limit = FAILED_LEAST_PERMILLE;

	if (path_failed(backend, fault, limit, now))
		return VERDICT_PATH_FAILED;
	if (suspicious(&recent, fault, limit) ||
	    suspicious(&all, fault, limit) ||
	    peer_suspects(backend, fault, limit, now))
		return VERDICT_SUSPECTED;
	return VERDICT_HEALTHY;
}

static bool threshold_exceeded(const struct tally *tally, enum fault_kind fault,
			       uint32_t limit)
{
	return against(tally, fault) >= least_requests(tally, fault) &&
	       share_lower_permille(against(tally, fault), tally_total(tally),
				    BOUND_Z_3) > limit;
}

/*
 * With evidence from several failure domains, what is left without any one of
 * them must still speak against the backend server: then it is not the path
 * from one place. Evidence from one place alone waits for the others to tell.
 */
static bool confirmed(const struct state *state, const struct service *service,
		      const struct backend *backend, enum fault_kind fault,
		      uint32_t limit, struct instant now)
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
		return alone(state, backend, domains, count, now);
	for (i = 0; i < count; i++) {
		rest = tally_outside_domain(state, backend, domains[i], now);
		if (against(&rest, fault) < CONFIRM_REQUESTS ||
		    share_lower_permille(against(&rest, fault),
					 tally_total(&rest),
					 BOUND_Z_1_6) <= limit)
			return false;
	}
	return true;
}

/*
 * Evidence from one failure domain counts when nothing at all went well
 * elsewhere, later when this home has none of its own.
 */
static bool alone(const struct state *state, const struct backend *backend,
		  const uint64_t *domains, uint32_t count, struct instant now)
{
	struct tally own = tally_own(backend, now);
	uint64_t wait_us = ALONE_US;
	struct tally rest = { 0 };

	if (own.failed_requests + own.slow_requests == 0)
		wait_us = ALONE_OTHERS_US;
	if (count > 0)
		rest = tally_outside_domain(state, backend, domains[0], now);
	return rest.ok_requests == 0 &&
	       backend->health.threshold_exceeded_since_us != 0 &&
	       now.mono_us >=
		       backend->health.threshold_exceeded_since_us + wait_us;
}

/* Whether the other homes had the time to tell what they see. */
static bool answered(const struct backend *backend, struct instant now)
{
	uint64_t since_us = backend->health.suspected_since_us;

	return since_us != 0 && now.mono_us >= since_us + CONFIRM_US;
}

static bool path_failed(const struct backend *backend, enum fault_kind fault,
			uint32_t limit, struct instant now)
{
	struct tally own = tally_own(backend, now);
	struct tally peers = tally_peers(backend, now);
	uint32_t own_lower = share_lower_permille(against(&own, fault),
						  tally_total(&own), BOUND_Z_3);

	if (against(&own, fault) < least_requests(&own, fault) ||
	    own_lower <= limit)
		return false;
	if (!answered(backend, now))
		return false;
	if (tally_total(&peers) < CLEAR_REQUESTS)
		return false;
	return share_upper_permille(against(&peers, fault), tally_total(&peers),
				    BOUND_Z_2) < own_lower;
}

static bool suspicious(const struct tally *tally, enum fault_kind fault,
		       uint32_t limit)
{
	return share_lower_permille(against(tally, fault), tally_total(tally),
				    BOUND_Z_1) > limit;
}

static bool peer_suspects(const struct backend *backend, enum fault_kind fault,
			  uint32_t limit, struct instant now)
{
	const struct health_view *view;
	struct tally tally;
	uint32_t i;

	for (i = 0; i < HOMES_MAX; i++) {
		view = &backend->health.views[i];
		tally = tally_view(view);
		if (view_fresh(view, now) && suspicious(&tally, fault, limit))
			return true;
	}
	return false;
}

/* Share from which the lower bound speaks against a backend server. */
static uint32_t threshold(const struct tally *others, enum fault_kind fault)
{
	uint32_t all = tally_total(others);
	uint32_t base =
		share_upper_permille(against(others, fault), all, BOUND_Z_2);

	switch (fault) {
	case FAULT_FAILING:
		if (all < BASE_REQUESTS)
			return FAILED_WITHOUT_BASE_PERMILLE;
		return MAX(base + FAILED_MARGIN_PERMILLE,
			   FAILED_LEAST_PERMILLE);
	case FAULT_SLOW:
		if (all < BASE_REQUESTS)
			return PERMILLE_ONE;
		return base + SLOW_MARGIN_PERMILLE;
	}
	return PERMILLE_ONE;
}

static uint32_t against(const struct tally *tally, enum fault_kind fault)
{
	switch (fault) {
	case FAULT_FAILING:
		return tally->failed_requests;
	case FAULT_SLOW:
		return tally->slow_requests;
	}
	return 0;
}

static uint32_t least_requests(const struct tally *tally, enum fault_kind fault)
{
	switch (fault) {
	case FAULT_FAILING:
		return tally->ok_requests > 0 ? FAILED_REQUESTS :
						FAILED_ALL_REQUESTS;
	case FAULT_SLOW:
		return tally->ok_requests > 0 ? SLOW_REQUESTS :
						SLOW_ALL_REQUESTS;
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
