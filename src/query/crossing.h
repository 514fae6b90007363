#ifndef QUERY_CROSSING_H
#define QUERY_CROSSING_H

/**
 * DOC: decision which requests go to other failure domains
 *
 * With the policy SHARING_DOMAIN and cross_domain_cost_ms set, a request goes
 * to another failure domain only when its expected time in the own domain is
 * longer by more than this cost. Each instance decides for itself.
 */

#include "core/state.h"

/**
 * struct crossing_tries - requests tried lately
 * @all: all of them
 * @failed: those that failed or took too long
 */
struct crossing_tries {
	uint32_t all;
	uint32_t failed;
};

/**
 * struct crossing_target - one other failure domain
 * @slots: slots of its backend servers that are in use by its homes or free
 * @load_permille: share of its slots in use, according to its homes
 * @queue_requests: requests that wait at its homes
 * @askers: instances that may use it from outside, this one included
 * @own_rank: index of this instance among them, the same on all of them
 * @known: a digest of one of its homes is fresh
 */
struct crossing_target {
	uint32_t slots;
	uint32_t load_permille;
	uint32_t queue_requests;
	uint32_t askers;
	uint32_t own_rank;
	bool known;
};

/**
 * struct crossing_facts - what the decision depends on
 * @cost_us: time that a request may lose before the crossing is worth it
 * @crossing: a crossing is in progress
 * @open: a request would have been refused a short time ago
 * @open_servers: backend servers of the own domain that accept requests,
 *	healthy or not
 * @slots: slots of those of them without caution that this instance may use
 * @free_slots: part of @slots that is free
 * @waiting_requests: requests that wait at this instance
 * @oldest_wait_us: longest time that a request that is next in its queue has
 *	waited
 * @slack_us: shortest time that a request that is next in its queue can wait
 *	and still meet its objective
 * @gap_us: expected time between two grants in the own domain; 0 if unknown
 * @usual_us: usual time that a request holds a slot
 * @failed_us: usual time that a failed try holds a slot
 * @here: tries in the own domain
 * @there: tries in other domains
 * @targets: other failure domains
 * @target_count: used entries of @targets
 */
struct crossing_facts {
	uint64_t cost_us;
	bool crossing;
	bool open;
	uint32_t open_servers;
	uint32_t slots;
	uint32_t free_slots;
	uint32_t waiting_requests;
	uint64_t oldest_wait_us;
	uint64_t slack_us;
	uint64_t gap_us;
	uint64_t usual_us;
	uint64_t failed_us;
	struct crossing_tries here;
	struct crossing_tries there;
	struct crossing_target targets[CROSSING_DOMAINS_MAX];
	uint32_t target_count;
};

/**
 * crossing_enabled() - whether crossings depend on their cost
 * @state: read only
 *
 * Return: true with SHARING_DOMAIN and cross_domain_cost_ms above 0.
 */
bool crossing_enabled(const struct state *state);

/**
 * crossing_own_serves() - whether the own domain serves all waiting requests
 *	now
 * @service: the service
 * @now: current time
 *
 * Return: true when its backend servers without caution have as many free slots
 * as requests wait.
 */
bool crossing_own_serves(const struct service *service, struct instant now);

/**
 * crossing_collect() - collect what the decision depends on
 * @state: read only
 * @service: the service
 * @now: current time
 * @out: filled
 */
void crossing_collect(const struct state *state, const struct service *service,
		      struct instant now, struct crossing_facts *out);

/**
 * crossing_decide() - decide which requests may go to other domains
 * @facts: what the decision depends on
 * @out: filled
 */
void crossing_decide(const struct crossing_facts *facts,
		     struct crossing_plan *out);

/**
 * crossing_allows() - whether a request may go to a backend server by its
 *	failure domain
 * @state: read only
 * @service: service of the request
 * @ticket: the request, which is next in its queue and finds no slot in the own
 *	domain, unless the plan prefers other domains
 * @backend: the backend server
 *
 * Return: true for a backend server of the own domain, when the plan has room
 * for one more request in the other domain, and for a retry.
 */
bool crossing_allows(const struct state *state, const struct service *service,
		     const struct ticket *ticket,
		     const struct backend *backend);

/**
 * crossing_prefers_across() - whether the next request tries other domains
 *	first
 * @state: read only
 * @service: the service
 *
 * Return: false for some requests also while most prefer other domains, so that
 * the own domain is still observed.
 */
bool crossing_prefers_across(const struct state *state,
			     const struct service *service);

/**
 * crossing_is_across() - whether using a backend server is a crossing
 * @service: the service
 * @backend: one of its backend servers
 *
 * Return: true for one whose slots belong to homes in another domain.
 */
bool crossing_is_across(const struct service *service,
			const struct backend *backend);

/**
 * crossing_own_load_permille() - load of the backend servers of the own domain
 * @service: the service
 * @now: current time
 *
 * Return: slots in use in thousandths of those without caution that this
 * instance may use, at most 1000; 1000 without a slot.
 */
uint32_t crossing_own_load_permille(const struct service *service,
				    struct instant now);

#endif
