#ifndef COMMAND_HOME_H
#define COMMAND_HOME_H

/**
 * DOC: home sets, slot shares, digests and the probe plan
 */

#include "core/state.h"

/**
 * home_refresh() - recompute all home sets and slot shares
 * @state: routing state
 * @now: current time
 * @out: receives audit records
 *
 * A share shrinks at once and grows later, so that the instance which loses
 * slots has stopped using them before another instance begins to.
 */
void home_refresh(struct state *state, struct instant now,
		  struct event_list *out);

/**
 * home_tick() - apply grown shares that are due, send digests
 * @state: routing state
 * @service: the service
 * @now: current time
 * @out: receives peer messages
 */
void home_tick(struct state *state, struct service *service, struct instant now,
	       struct event_list *out);

/**
 * home_observe_digest() - store the load that another home reports
 * @service: the service
 * @sender: peer address of the other home
 * @digest: its digest
 * @now: current time
 */
void home_observe_digest(struct service *service, struct net_addr sender,
			 const struct peer_digest *digest, struct instant now);

/**
 * home_plan_probes() - choose the backend servers that this instance probes
 * @state: routing state
 * @now: current time
 * @out: receives EVENT_PROBE_PLAN
 */
void home_plan_probes(struct state *state, struct instant now,
		      struct event_list *out);

#endif
