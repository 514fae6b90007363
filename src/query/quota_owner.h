#ifndef QUERY_QUOTA_OWNER_H
#define QUERY_QUOTA_OWNER_H

/**
 * DOC: which instance owns the quota of a customer
 *
 * All instances compute owner and standby from the instances that they hold
 * alive. An instance grants tokens only while it has contact with more than
 * nine sixteenths of the instances that it knows, so that the two sides of a
 * partition do not both own a customer. The margin above one half is for the
 * seconds that it takes to find all instances of the other side failed.
 */

#include "core/state.h"

/**
 * struct fleet_view - instances as this one sees them
 * @alive_hash: hash of the peer addresses of the other alive instances, and of
 *	whether this one is leaving
 * @alive: number of alive instances, this one included
 * @known: number of instances that have not left, this one included
 */
struct fleet_view {
	uint64_t alive_hash;
	uint32_t alive;
	uint32_t known;
};

/**
 * quota_enforced() - whether customers have quotas here
 * @state: routing state
 *
 * Return: true if the settings name all bounds and a customer has a rate.
 */
bool quota_enforced(const struct state *state);

/**
 * quota_customer() - find a customer with a rate limit
 * @state: routing state
 * @customer_hash: hash of the customer's name
 *
 * Return: the customer; NULL if it is not in force, has no limit or quotas are
 * not enforced.
 */
const struct customer *quota_customer(const struct state *state,
				      uint64_t customer_hash);

/**
 * quota_view() - count the instances
 * @state: routing state
 * @out: filled
 */
void quota_view(const struct state *state, struct fleet_view *out);

/**
 * quota_may_own() - whether this instance may own customers
 * @state: routing state
 * @view: result of quota_view()
 * @now: current time
 *
 * Return: true if enough of the known instances are alive, a probe was
 * answered a short time ago, and this instance has run long enough to know the
 * others.
 */
bool quota_may_own(const struct state *state, const struct fleet_view *view,
		   struct instant now);

/**
 * quota_rank() - find the owner and the standby of a customer
 * @state: routing state
 * @customer_hash: hash of the customer's name
 * @owner: peer address of the owner, port 0 for none
 * @standby: peer address of the standby, port 0 for none
 */
void quota_rank(const struct state *state, uint64_t customer_hash,
		struct net_addr *owner, struct net_addr *standby);

/**
 * quota_headroom_milli() - requests by which a customer may exceed its quota
 * @settings: settings with the bounds
 * @customer: customer with a rate limit
 *
 * Return: thousandths of a request in each window.
 */
uint64_t quota_headroom_milli(const struct settings *settings,
			      const struct customer *customer);

/**
 * quota_token_ttl_ms() - duration for which a granted token may be used
 * @settings: settings with the bounds
 * @customer: customer with a rate limit
 *
 * Return: milliseconds, at least 1.
 */
uint64_t quota_token_ttl_ms(const struct settings *settings,
			    const struct customer *customer);

#endif
