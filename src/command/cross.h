#ifndef COMMAND_CROSS_H
#define COMMAND_CROSS_H

/**
 * DOC: crossing of requests to other failure domains
 *
 * query/crossing.h decides which requests cross; this module keeps the decision
 * and its counters in struct service.
 */

#include "core/state.h"

/**
 * cross_assign() - find the domain that using a backend server crosses to
 * @state: routing state
 * @service: service of the backend server
 * @backend: backend server whose share has been computed; its index is set
 */
void cross_assign(const struct state *state, struct service *service,
		  struct backend *backend);

/**
 * cross_update() - decide anew which waiting requests may cross
 * @state: routing state
 * @service: the service
 * @now: current time
 * @out: receives an audit record when a crossing begins or ends
 */
void cross_update(struct state *state, struct service *service,
		  struct instant now, struct event_list *out);

/**
 * cross_open() - use free slots of other domains without regard to the cost
 * @state: routing state
 * @service: a service that would otherwise refuse a request
 * @now: current time
 *
 * Return: false when this has no effect, as they are used already or crossings
 * do not depend on their cost.
 */
bool cross_open(const struct state *state, struct service *service,
		struct instant now);

/**
 * cross_begin() - count a request that gets a slot
 * @state: routing state
 * @service: service of the request
 * @ticket: the request, with its backend server set
 */
void cross_begin(const struct state *state, struct service *service,
		 struct ticket *ticket);

/**
 * cross_end() - count a request that releases its slot
 * @service: service of the request
 * @ticket: the request
 */
void cross_end(struct service *service, struct ticket *ticket);

/**
 * cross_observe() - note how long a try took that failed
 * @service: service of the request
 * @evidence: how the try ended
 * @slot_us: time for which it held its slot
 */
void cross_observe(struct service *service, const struct evidence *evidence,
		   uint64_t slot_us);

#endif
