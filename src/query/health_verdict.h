#ifndef QUERY_HEALTH_VERDICT_H
#define QUERY_HEALTH_VERDICT_H

/**
 * DOC: the verdict on one backend server
 *
 * The share of failed or slow requests of a backend server is held against
 * that of the service's other backend servers, by bounds that allow for few
 * requests. What all share, such as stragglers, speaks against none.
 */

#include "query/health_tally.h"

/**
 * enum verdict_kind - what the evidence says
 * @VERDICT_HEALTHY: nothing against it
 * @VERDICT_SUSPECTED: something against it, but not enough, or not yet confirmed
 * @VERDICT_PATH_FAILED: only this home sees it fail
 * @VERDICT_FAILING: it fails, seen in every failure domain that has evidence
 *	but one
 * @VERDICT_SLOW: as @VERDICT_FAILING, for slowness
 */
enum verdict_kind {
	VERDICT_HEALTHY,
	VERDICT_SUSPECTED,
	VERDICT_PATH_FAILED,
	VERDICT_FAILING,
	VERDICT_SLOW,
};

/**
 * struct verdict - a verdict and its figures
 * @kind: what the evidence says
 * @tally: evidence of all homes
 
 * @threshold_exceeded: the evidence suffices but for its confirmation
 * @observers: homes that saw it fail or be slow
 * @unhealthy_permille: failed and slow share
 */
struct verdict {
	enum verdict_kind kind;
	struct tally tally;

	bool threshold_exceeded;
	uint32_t observers;
	uint32_t unhealthy_permille;
};

/**
 * verdict_unhealthy() - whether the backend server itself is sick
 * @kind: the verdict
 *
 * Return: true for failing and slow.
 */
bool verdict_unhealthy(enum verdict_kind kind);

/**
 * health_verdict() - judge a backend server
 * @state: names the own failure domain
 * @service: the service
 * @backend: the backend server
 * @now: the time
 *
 * Return: the verdict.
 */
struct verdict health_verdict(const struct state *state,
			      const struct service *service,
			      const struct backend *backend,
			      struct instant now);

/**
 * health_cleared_locally() - whether the own evidence clears a backend server
 * @service: the service
 * @backend: the backend server
 * @now: the time
 *
 * Return: true when there is much of it and none speaks against it; then an
 * ejection elsewhere is not followed.
 */
bool health_cleared_locally(const struct service *service,
			    const struct backend *backend, struct instant now);

/**
 * health_slow_threshold_us() - from when an answer on a route is slow
 * @typical_us: the route's typical time, 0 when unknown
 *
 * Return: time on a slot; UINT64_MAX when unknown.
 */
uint64_t health_slow_threshold_us(uint64_t typical_us);

#endif
