#ifndef COMMAND_HEALTH_EVIDENCE_H
#define COMMAND_HEALTH_EVIDENCE_H

/**
 * DOC: evidence of this home about backend servers, typical times of routes
 */

#include "core/state.h"

/**
 * enum work_result - what a request shows about its backend server
 * @WORK_NEUTRAL: nothing
 * @WORK_OK: a whole answer in time
 * @WORK_FAILED: a failure or a time-out
 * @WORK_SLOW: an answer after the route's slow threshold
 */
enum work_result { WORK_NEUTRAL, WORK_OK, WORK_FAILED, WORK_SLOW };

/**
 * evidence_count() - count a request in the evidence window
 * @health: health of the backend server
 * @result: what the request shows
 * @now: current time
 */
void evidence_count(struct health *health, enum work_result result,
		    struct instant now);

/**
 * evidence_visible_since_us() - when the result of a request became visible
 * @ticket: the request
 * @evidence: how its exchange ended
 * @now: current time
 *
 * Return: for a request that hung, when it became late; else @now.
 */
uint64_t evidence_visible_since_us(const struct ticket *ticket,
				   const struct evidence *evidence,
				   struct instant now);

/**
 * evidence_update_caution() - start or end the caution after a request
 * @health: health of the backend server
 * @result: what the request shows
 * @visible_since_us: see evidence_visible_since_us()
 * @now: current time
 */
void evidence_update_caution(struct health *health, enum work_result result,
			     uint64_t visible_since_us, struct instant now);

/**
 * evidence_classify() - decide what the end of an exchange shows
 * @service: holds the typical time of the route
 * @ticket: the request
 * @evidence: how its exchange ended
 *
 * Return: WORK_NEUTRAL for load, cancellation and a deadline too short for the
 * route.
 */
enum work_result evidence_classify(const struct service *service,
				   const struct ticket *ticket,
				   const struct evidence *evidence);

/**
 * evidence_update_typical() - move a route's typical time towards the median
 * @service: holds the typical times
 * @ticket: the request, gives the route
 * @service_us: time of the request on its slot
 */
void evidence_update_typical(struct service *service,
			     const struct ticket *ticket, uint64_t service_us);

/**
 * evidence_count_overdue() - count running requests that are already late
 * @state: holds the running requests
 * @service: the service; its backend servers get the counts
 * @now: current time
 */
void evidence_count_overdue(const struct state *state, struct service *service,
			    struct instant now);

/**
 * evidence_drop_after_stall() - drop evidence after a stall of the process
 * @service: the service
 * @now: current time
 *
 * A gap of 1.5 s between evaluations counts as a stall; after a shorter gap
 * nothing is dropped.
 */
void evidence_drop_after_stall(struct service *service, struct instant now);

#endif
