#ifndef QUERY_HEALTH_VERDICT_H
#define QUERY_HEALTH_VERDICT_H

/**
 * DOC: the verdict on one backend server
 *
 * The proportion of failed or slow requests of a backend server is compared
 * with that of the service's other backend servers, by confidence bounds that
 * account for small samples. What occurs at all of them, such as stragglers,
 * counts against none.
 */

#include "query/health_tally.h"

/**
 * enum verdict_kind - conclusion from the evidence
 * @VERDICT_HEALTHY: no evidence against the backend server
 * @VERDICT_SUSPECTED: some evidence against it, not yet sufficient or confirmed
 * @VERDICT_PATH_FAILED: it fails for this home only
 * @VERDICT_FAILING: it fails, and the evidence still shows it when that of any
 *	one failure domain is left out
 * @VERDICT_SLOW: as @VERDICT_FAILING, for slow requests
 */
enum verdict_kind {
	VERDICT_HEALTHY,
	VERDICT_SUSPECTED,
	VERDICT_PATH_FAILED,
	VERDICT_FAILING,
	VERDICT_SLOW,
};

/**
 * struct verdict - a verdict and the figures behind it
 * @kind: conclusion
 * @tally: evidence of all homes
 * @threshold_exceeded: the evidence is sufficient, but may lack confirmation
 * @observers: number of homes that had failed or slow requests
 * @unhealthy_permille: proportion of failed and slow requests in @tally
 */
struct verdict {
	enum verdict_kind kind;
	struct tally tally;
	bool threshold_exceeded;
	uint32_t observers;
	uint32_t unhealthy_permille;
};

/**
 * verdict_unhealthy() - whether the fault lies with the backend server itself
 * @kind: the verdict
 *
 * Return: true for VERDICT_FAILING and VERDICT_SLOW.
 */
bool verdict_unhealthy(enum verdict_kind kind);

/**
 * health_verdict() - evaluate the evidence on a backend server
 * @state: read for the failure domain of this instance
 * @service: the service
 * @backend: the backend server
 * @now: current time
 *
 * Return: the verdict and its figures; VERDICT_HEALTHY, with the tally only,
 * when no request failed or was slow.
 */
struct verdict health_verdict(const struct state *state,
			      const struct service *service,
			      const struct backend *backend,
			      struct instant now);

/**
 * health_cleared_locally() - whether this home's own evidence shows that a
 *	backend server is healthy
 * @service: the service
 * @backend: the backend server
 * @now: current time
 *
 * Return: true when this home has at least 20 requests in the evidence window,
 * of which few failed or were slow. An ejection by another home has no effect
 * then.
 */
bool health_cleared_locally(const struct service *service,
			    const struct backend *backend, struct instant now);

/**
 * health_slow_threshold_us() - time from which an answer on a route is slow
 * @typical_us: the route's typical time on a slot, 0 when unknown
 *
 * Return: microseconds on a slot; UINT64_MAX when the typical time is unknown.
 */
uint64_t health_slow_threshold_us(uint64_t typical_us);

#endif
