#ifndef COMMAND_HEALTH_H
#define COMMAND_HEALTH_H

/**
 * DOC: detection, ejection, readmission and the floor
 */

#include "core/state.h"

/**
 * health_observe_exchange() - take in the end of one exchange
 * @state: the state
 * @service: its service
 * @backend: whom it was with
 * @ticket: the request, still with its times
 * @evidence: what it showed
 * @now: the time
 * @out: gets audit records
 */
void health_observe_exchange(struct state *state, struct service *service,
			     struct backend *backend,
			     const struct ticket *ticket,
			     const struct evidence *evidence,
			     struct instant now, struct event_list *out);

/**
 * health_observe_notice() - take in what an answer says of its backend server
 * @state: the state
 * @service: its service
 * @backend: the backend server
 * @notice: what it says
 * @now: the time
 * @out: gets an audit record
 */
void health_observe_notice(struct state *state, struct service *service,
			   struct backend *backend,
			   const struct backend_notice *notice,
			   struct instant now, struct event_list *out);

/**
 * health_observe_probe() - take in a probe; it only adds suspicion or drain
 * @state: the state
 * @service: its service
 * @backend: who was probed
 * @result: what the probe said
 * @now: the time
 * @out: gets audit records
 */
void health_observe_probe(struct state *state, struct service *service,
			  struct backend *backend,
			  const struct probe_result *result, struct instant now,
			  struct event_list *out);

/**
 * health_observe_digest() - take in another home's evidence
 * @state: the state
 * @service: the service
 * @sender: peer address of the other home
 * @digest: its evidence
 * @now: the time
 * @out: gets audit records
 */
void health_observe_digest(struct state *state, struct service *service,
			   struct net_addr sender,
			   const struct peer_digest *digest, struct instant now,
			   struct event_list *out);

/**
 * health_tick() - eject, withhold, trickle, ramp and readmit as time goes on
 * @state: the state
 * @service: the service
 * @now: the time
 * @out: gets audit records
 */
void health_tick(struct state *state, struct service *service,
		 struct instant now, struct event_list *out);

/**
 * health_apply_document() - take in what a new document says of the servers
 * @state: the state
 * @service: the service, with its new document and backend servers
 * @known: for each backend server whether the service had it before, NULL with
 *	its first document
 * @now: the time
 * @out: gets audit records
 *
 * A backend server that an existing service gains starts cold, on a ramp.
 */
void health_apply_document(struct state *state, struct service *service,
			   const bool *known, struct instant now,
			   struct event_list *out);

/**
 * health_clear_unreachable() - take all paths from here for whole again
 * @state: the state
 * @service: the service
 * @now: the time
 * @out: gets audit records
 */
void health_clear_unreachable(struct state *state, struct service *service,
			      struct instant now, struct event_list *out);

#endif
