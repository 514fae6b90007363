#ifndef COMMAND_HEALTH_H
#define COMMAND_HEALTH_H

/**
 * DOC: detection, ejection and readmission of unhealthy backend servers
 */

#include "core/state.h"

/**
 * health_observe_exchange() - account for a finished exchange
 * @state: routing state
 * @service: service of the request
 * @backend: backend server that the request was granted to
 * @ticket: the request, with the times of its grant still set
 * @evidence: how the exchange ended
 * @now: current time
 * @out: receives audit records
 */
void health_observe_exchange(struct state *state, struct service *service,
			     struct backend *backend,
			     const struct ticket *ticket,
			     const struct evidence *evidence,
			     struct instant now, struct event_list *out);

/**
 * health_observe_notice() - apply a drain or pause notice
 * @state: routing state
 * @service: service of @backend
 * @backend: backend server that sent the notice
 * @notice: the notice, from the head of an answer
 * @now: current time
 * @out: receives an audit record
 */
void health_observe_notice(struct state *state, struct service *service,
			   struct backend *backend,
			   const struct backend_notice *notice,
			   struct instant now, struct event_list *out);

/**
 * health_observe_probe() - apply the result of a probe
 * @state: routing state
 * @service: service of @backend
 * @backend: backend server that was probed
 * @result: result of the probe and of the load report
 * @now: current time
 * @out: receives audit records
 *
 * A probe may raise suspicion, begin a drain or report a cold start. It does
 * not eject, and does not clear evidence from requests.
 */
void health_observe_probe(struct state *state, struct service *service,
			  struct backend *backend,
			  const struct probe_result *result, struct instant now,
			  struct event_list *out);

/**
 * health_observe_digest() - store another home's evidence
 * @state: routing state
 * @service: the service
 * @sender: peer address of the other home
 * @digest: its evidence; for a backend server without an entry, the evidence
 *	that the home sent earlier is dropped
 * @now: current time
 * @out: receives audit records
 */
void health_observe_digest(struct state *state, struct service *service,
			   struct net_addr sender,
			   const struct peer_digest *digest, struct instant now,
			   struct event_list *out);

/**
 * health_tick() - evaluate all backend servers of a service
 * @state: routing state
 * @service: the service
 * @now: current time
 * @out: receives audit records
 *
 * Ejects or withholds the ejection, and moves ejected backend servers on
 * through trickle and ramp until they are readmitted. Does nothing when the
 * last evaluation was less than 50 ms ago.
 */
void health_tick(struct state *state, struct service *service,
		 struct instant now, struct event_list *out);

/**
 * health_apply_document() - start the ramps and drains of a new document
 * @state: routing state
 * @service: the service, with its new document and backend servers
 * @known: by index, whether the service had the backend server before; NULL
 *	with its first document
 * @now: current time
 * @out: receives audit records
 *
 * A backend server that is added to an existing service starts cold, on a
 * ramp. Stored notices of starts apply to their backend servers again.
 */
void health_apply_document(struct state *state, struct service *service,
			   const bool *known, struct instant now,
			   struct event_list *out);

/**
 * health_clear_unreachable() - clear failed paths and connect failures
 * @state: routing state
 * @service: the service
 * @now: current time
 * @out: receives audit records
 *
 * Called when this instance returns to the home sets, so that it tries all its
 * paths again.
 */
void health_clear_unreachable(struct state *state, struct service *service,
			      struct instant now, struct event_list *out);

#endif
