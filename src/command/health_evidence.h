#ifndef COMMAND_HEALTH_EVIDENCE_H
#define COMMAND_HEALTH_EVIDENCE_H

/**
 * DOC: own evidence windows and the routes' typical times
 */

#include "core/state.h"

/**
 * enum work_result - what one piece of work says of a backend server
 */
enum work_result { WORK_NEUTRAL, WORK_OK, WORK_FAILED, WORK_SLOW };

/**
 * evidence_count() - count one piece of work in the window
 * @health: of the backend server
 * @end: what it says
 * @now: the time
 */
void evidence_count(struct health *health, enum work_result end,
		    struct instant now);

/**
 * evidence_visible_since_us() - since when the end of work was to be seen
 * @ticket: the work
 * @evidence: how it ended
 * @now: the time
 *
 * Return: for work that hung, when it became late; else now.
 */
uint64_t evidence_visible_since_us(const struct ticket *ticket,
				   const struct evidence *evidence,
				   struct instant now);

/**
 * evidence_update_caution() - be careful with a backend server after failed work
 * @health: of the backend server
 * @end: what a piece of work says
 * @seen_us: since when that was to be seen
 * @now: the time
 */
void evidence_update_caution(struct health *health, enum work_result end,
			     uint64_t seen_us, struct instant now);

/**
 * evidence_classify() - what the end of an exchange says
 * @service: gives the route's typical time
 * @ticket: the request
 * @evidence: its end
 *
 * Return: WORK_NEUTRAL for load, cancellation and a deadline too short for the
 * route.
 */
enum work_result evidence_classify(const struct service *service,
				   const struct ticket *ticket,
				   const struct evidence *evidence);

/**
 * evidence_update_typical() - move a route's typical time towards the median
 * @service: the service
 * @ticket: the request
 * @service_us: its time on a slot
 */
void evidence_update_typical(struct service *service,
			     const struct ticket *ticket, uint64_t service_us);

/**
 * evidence_count_overdue() - count running work that is already slow
 * @state: gives the running work
 * @service: the service
 * @now: the time
 */
void evidence_count_overdue(const struct state *state, struct service *service,
			    struct instant now);

/**
 * evidence_drop_after_stall() - drop what was known before a pause of the process
 * @service: the service
 * @now: the time
 *
 * Does nothing when the last judgement is not long ago.
 */
void evidence_drop_after_stall(struct service *service, struct instant now);

#endif
