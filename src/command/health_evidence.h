#ifndef COMMAND_HEALTH_EVIDENCE_H
#define COMMAND_HEALTH_EVIDENCE_H

/**
 * DOC: this home's own evidence on backend servers, and typical times of routes
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
 * Return: boot time. After an answer, a time-out or a cancellation, the time
 * from which the request took longer than is typical, if that has passed; else
 * @now.
 */
uint64_t evidence_visible_since_us(const struct ticket *ticket,
				   const struct evidence *evidence,
				   struct instant now);

/**
 * evidence_update_caution() - start or end the caution after a request
 * @health: health of the backend server
 * @result: what the request shows
 * @visible_since_us: when that became visible, by evidence_visible_since_us()
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
 * Return: WORK_NEUTRAL for EVIDENCE_SHED, EVIDENCE_LATE and a server error with
 * Retry-After, for a time-out before the slow threshold of the route, and for a
 * cancellation before twice that threshold; WORK_SLOW for a later cancellation.
 */
enum work_result evidence_classify(const struct service *service,
				   const struct ticket *ticket,
				   const struct evidence *evidence);

/**
 * evidence_update_typical() - move a route's typical time towards the median
 * @service: holds the typical times
 * @ticket: an answered request of the route
 * @service_us: time that the request took at the backend server
 */
void evidence_update_typical(struct service *service,
			     const struct ticket *ticket, uint64_t service_us);

/**
 * evidence_count_overdue() - count the running requests that are overdue or lag
 * @state: holds the running requests
 * @service: the service; sets overdue_requests and lagging_requests of its
 *	backend servers
 * @now: current time
 */
void evidence_count_overdue(const struct state *state, struct service *service,
			    struct instant now);

/**
 * evidence_drop_after_stall() - drop evidence after a stall of the process
 * @service: the service
 * @now: current time
 *
 * A gap of 1.5 s or more since the last evaluation counts as a stall; after a
 * shorter gap nothing is dropped.
 */
void evidence_drop_after_stall(struct service *service, struct instant now);

#endif
