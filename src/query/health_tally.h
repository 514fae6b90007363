#ifndef QUERY_HEALTH_POOL_H
#define QUERY_HEALTH_POOL_H

/**
 * DOC: evidence of several homes or backend servers put together
 */

#include "core/state.h"

/* Requests from which a home's evidence counts as evidence. */
#define EVIDENCE_REQUESTS_MIN 2

/**
 * struct pool - sums of evidence
 * @ok_requests: whole answers in time
 * @failed_requests: failures
 * @slow_requests: slow ones
 */
struct tally {
	uint32_t ok_requests;
	uint32_t failed_requests;
	uint32_t slow_requests;
};

/**
 * tally_total() - all requests in a pool
 * @tally: the pool
 *
 * Return: the sum.
 */
uint32_t tally_total(const struct tally *tally);

/**
 * tally_own() - own evidence of a backend server
 * @backend: the backend server
 * @now: the time
 *
 * Return: the window's sums.
 */
struct tally tally_own(const struct backend *backend, struct instant now);

/**
 * tally_recent() - own evidence of the last second
 * @backend: the backend server
 * @now: the time
 *
 * Return: the sums.
 */
struct tally tally_recent(const struct backend *backend, struct instant now);

/**
 * tally_view() - evidence of one other home
 * @view: what it told
 *
 * Return: the sums, fresh or not.
 */
struct tally tally_view(const struct health_view *view);

/**
 * tally_peers() - fresh evidence of the other homes
 * @backend: the backend server
 * @now: the time
 *
 * Return: their sums.
 */
struct tally tally_peers(const struct backend *backend, struct instant now);

/**
 * tally_add() - put two pools together
 * @a: one
 * @b: other
 *
 * Return: the sums.
 */
struct tally tally_add(struct tally a, struct tally b);

/**
 * tally_outside_domain() - evidence of all homes outside a failure domain
 * @state: names the own failure domain
 * @backend: the backend server
 * @domain_hash: the failure domain left out
 * @now: the time
 *
 * Return: the sums.
 */
struct tally tally_outside_domain(const struct state *state,
				  const struct backend *backend,
				  uint64_t domain_hash, struct instant now);

/**
 * tally_other_backends() - own evidence of the service's other backend servers
 * @service: the service
 * @backend: the one left out
 * @now: the time
 *
 * Return: the sums; ejected, avoided and cold ones are left out.
 */
struct tally tally_other_backends(const struct service *service,
				  const struct backend *backend,
				  struct instant now);

/**
 * domains_with_evidence() - failure domains whose homes have evidence
 * @state: names the own failure domain
 * @backend: the backend server
 * @now: the time
 * @out: gets their hashes
 *
 * Return: how many.
 */
uint32_t domains_with_evidence(const struct state *state,
			       const struct backend *backend,
			       struct instant now, uint64_t out[HOMES_MAX + 1]);

/**
 * domain_hash() - names a failure domain in a view
 * @domain: the failure domain
 *
 * Return: its hash.
 */
uint64_t domain_hash(const struct name *domain);

/**
 * view_fresh() - whether another home's word still counts
 * @view: the view
 * @now: the time
 *
 * Return: false for an unused or old view.
 */
bool view_fresh(const struct health_view *view, struct instant now);

#endif
