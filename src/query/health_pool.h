#ifndef QUERY_HEALTH_POOL_H
#define QUERY_HEALTH_POOL_H

/**
 * DOC: evidence of several homes or backend servers put together
 */

#include "core/state.h"

/* Requests from which a home's evidence counts as evidence. */
#define POOL_EVIDENCE_REQUESTS 2

/**
 * struct pool - sums of evidence
 * @ok_requests: whole answers in time
 * @failed_requests: failures
 * @slow_requests: slow ones
 */
struct pool {
	uint32_t ok_requests;
	uint32_t failed_requests;
	uint32_t slow_requests;
};

/**
 * pool_all() - all requests in a pool
 * @pool: the pool
 *
 * Return: the sum.
 */
uint32_t pool_all(const struct pool *pool);

/**
 * pool_own() - own evidence of a backend server
 * @backend: the backend server
 * @now: the time
 *
 * Return: the window's sums.
 */
struct pool pool_own(const struct backend *backend, struct instant now);

/**
 * pool_recent() - own evidence of the last second
 * @backend: the backend server
 * @now: the time
 *
 * Return: the sums.
 */
struct pool pool_recent(const struct backend *backend, struct instant now);

/**
 * pool_view() - evidence of one other home
 * @view: what it told
 *
 * Return: the sums, fresh or not.
 */
struct pool pool_view(const struct health_view *view);

/**
 * pool_peers() - fresh evidence of the other homes
 * @backend: the backend server
 * @now: the time
 *
 * Return: their sums.
 */
struct pool pool_peers(const struct backend *backend, struct instant now);

/**
 * pool_add() - put two pools together
 * @a: one
 * @b: other
 *
 * Return: the sums.
 */
struct pool pool_add(struct pool a, struct pool b);

/**
 * pool_outside_domain() - evidence of all homes outside a failure domain
 * @state: names the own failure domain
 * @backend: the backend server
 * @domain_hash: the failure domain left out
 * @now: the time
 *
 * Return: the sums.
 */
struct pool pool_outside_domain(const struct state *state,
				const struct backend *backend,
				uint64_t domain_hash, struct instant now);

/**
 * pool_others() - own evidence of the service's other backend servers
 * @service: the service
 * @backend: the one left out
 * @now: the time
 *
 * Return: the sums; ejected, avoided and cold ones are left out.
 */
struct pool pool_others(const struct service *service,
			const struct backend *backend, struct instant now);

/**
 * pool_domains() - failure domains whose homes have evidence
 * @state: names the own failure domain
 * @backend: the backend server
 * @now: the time
 * @out: gets their hashes
 *
 * Return: how many.
 */
uint32_t pool_domains(const struct state *state, const struct backend *backend,
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
