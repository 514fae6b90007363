#ifndef COMMAND_HOME_H
#define COMMAND_HOME_H

/**
 * DOC: home sets and shares put in force
 */

#include "core/state.h"

/**
 * home_refresh() - compute all home sets and shares again
 * @state: the state
 * @now: the time
 * @out: gets audit records
 *
 * Shares shrink at once and grow later, so that the instance which loses one
 * has let go of it before the other begins.
 */
void home_refresh(struct state *state, struct instant now,
		  struct event_list *out);

/**
 * home_tick() - let grown shares take force, send digests
 * @state: the state
 * @service: the service
 * @now: the time
 * @out: gets datagrams
 */
void home_tick(struct state *state, struct service *service, struct instant now,
	       struct event_list *out);

/**
 * home_observe_digest() - take in what a digest says of its sender
 * @service: the service
 * @sender: peer address
 * @digest: the digest
 * @now: the time
 */
void home_observe_digest(struct service *service, struct net_addr sender,
			 const struct peer_digest *digest, struct instant now);

/**
 * home_plan_probes() - choose what this instance probes
 * @state: the state
 * @now: the time
 * @out: gets EVENT_PROBE_PLAN
 */
void home_plan_probes(struct state *state, struct instant now,
		      struct event_list *out);

#endif
