#ifndef QUERY_HEALTH_TALLY_H
#define QUERY_HEALTH_TALLY_H

/**
 * DOC: counts of the requests of one or several homes to backend servers
 */

#include "core/state.h"

/**
 * enum view_claim - what another home may say of a backend server
 * @VIEW_EJECTED: it is ejected
 * @VIEW_CHARGED: its ejection is charged to the budget of that home
 * @VIEW_DRAINING: it is draining
 * @VIEW_COLD: it has started cold
 * @VIEW_AVOIDED: that home avoids it
 */
enum view_claim {
	VIEW_EJECTED,
	VIEW_CHARGED,
	VIEW_DRAINING,
	VIEW_COLD,
	VIEW_AVOIDED
};

/* Number of requests of a home needed as evidence of its failure domain. */
#define EVIDENCE_REQUESTS_MIN 2

/**
 * struct tally - request counts, as evidence on a backend server
 * @ok_requests: complete answers in time
 * @failed_requests: failures, time-outs included
 * @slow_requests: answers that were late, and running requests that are overdue
 */
struct tally {
	uint32_t ok_requests;
	uint32_t failed_requests;
	uint32_t slow_requests;
};

/**
 * tally_total() - number of requests in a tally
 * @tally: the tally
 *
 * Return: the sum of all counts.
 */
uint32_t tally_total(const struct tally *tally);

/**
 * tally_own() - this home's evidence in the evidence window
 * @backend: the backend server
 * @now: current time
 *
 * Return: the counts of health_window().
 */
struct tally tally_own(const struct backend *backend, struct instant now);

/**
 * tally_recent() - this home's evidence of the last second
 * @backend: the backend server
 * @now: current time
 *
 * Return: the counts; running requests that are overdue count as slow.
 */
struct tally tally_recent(const struct backend *backend, struct instant now);

/**
 * tally_view() - evidence of one other home
 * @view: the latest report of that home, fresh or not
 *
 * Return: the counts in the report.
 */
struct tally tally_view(const struct health_view *view);

/**
 * tally_peers() - fresh evidence of all other homes
 * @backend: the backend server
 * @now: current time
 *
 * Return: sum of the counts in the reports that are still valid.
 */
struct tally tally_peers(const struct backend *backend, struct instant now);

/**
 * tally_add() - add two tallies
 * @a: first tally
 * @b: second tally
 *
 * Return: the counts of both.
 */
struct tally tally_add(struct tally a, struct tally b);

/**
 * tally_outside_domain() - evidence of all homes outside a failure domain
 * @state: read for the failure domain of this instance
 * @backend: the backend server
 * @excluded_hash: domain_hash() of the failure domain to leave out
 * @now: current time
 *
 * Return: sum of the counts of the other homes' valid reports and, unless this
 * instance is in that failure domain, of tally_own().
 */
struct tally tally_outside_domain(const struct state *state,
				  const struct backend *backend,
				  uint64_t excluded_hash, struct instant now);

/**
 * tally_other_backends() - this home's evidence on the other backend servers
 * @service: the service
 * @backend: the backend server to leave out
 * @now: current time
 *
 * Return: sum of the counts over all others that are neither ejected nor cold
 * and whose path has not failed.
 */
struct tally tally_other_backends(const struct service *service,
				  const struct backend *backend,
				  struct instant now);

/**
 * domains_with_evidence() - failure domains whose homes have evidence
 * @state: read for the failure domain of this instance
 * @backend: the backend server
 * @now: current time
 * @out: gets the domain_hash() of each failure domain once
 *
 * Return: number of entries in @out; 0 if no home has EVIDENCE_REQUESTS_MIN
 * requests.
 */
uint32_t domains_with_evidence(const struct state *state,
			       const struct backend *backend,
			       struct instant now, uint64_t out[HOMES_MAX + 1]);

/**
 * domain_hash() - identify a failure domain in a view
 * @domain: name of the failure domain
 *
 * Return: hash of the name.
 */
uint64_t domain_hash(const struct name *domain);

/**
 * view_fresh() - whether the report of another home is still valid
 * @view: the report
 * @now: current time
 *
 * Return: false for an unused or expired view.
 */
bool view_fresh(const struct health_view *view, struct instant now);

/**
 * any_view_claims() - whether any other home says something of a backend server
 * @backend: the backend server
 * @claim: what it says
 * @now: current time
 *
 * Return: whether a valid report says so.
 */
bool any_view_claims(const struct backend *backend, enum view_claim claim,
		     struct instant now);

#endif
