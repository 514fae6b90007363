#ifndef COMMAND_HEALTH_CHANGE_H
#define COMMAND_HEALTH_CHANGE_H

/**
 * DOC: state changes of one backend server's health, and their audit records
 */

#include "query/health_verdict.h"

/**
 * struct health_change - arguments of a state change
 * @state: routing state
 * @service: service of @backend
 * @backend: backend server that changes
 * @verdict: verdict whose figures the audit record gets
 * @now: current time
 * @out: receives audit records
 */
struct health_change {
	struct state *state;
	struct service *service;
	struct backend *backend;
	struct verdict verdict;
	struct instant now;
	struct event_list *out;
};

/**
 * health_eject() - send no more requests to an unhealthy backend server
 * @change: the backend server
 * @cause: for the audit record
 * @charged: the ejection is charged to this home's part of the ejection budget
 */
void health_eject(struct health_change *change, enum audit_cause cause,
		  bool charged);

/**
 * health_avoid() - send no more requests over a failed path
 * @change: the backend server
 */
void health_avoid(struct health_change *change);

/**
 * health_withhold_ejection() - send fewer requests to a backend server whose
 *	ejection would leave less capacity than the floor
 * @change: the backend server
 */
void health_withhold_ejection(struct health_change *change);

/**
 * health_start_trickle() - end a back-off and try the backend server with
 *	single idempotent requests
 * @change: the backend server
 */
void health_start_trickle(struct health_change *change);

/**
 * health_relapse() - end a failed trial with a longer back-off
 * @change: the backend server; it is avoided if its path had failed or most
 *	requests of other homes to it succeed, else ejected
 */
void health_relapse(struct health_change *change);

/**
 * health_start_ramp() - begin to open slots step by step
 * @change: the backend server
 * @cause: CAUSE_TRICKLE_OK or CAUSE_COLD_START
 */
void health_start_ramp(struct health_change *change, enum audit_cause cause);

/**
 * health_advance_ramp() - open more slots; readmit when all are open
 * @change: the backend server
 */
void health_advance_ramp(struct health_change *change);

/**
 * health_readmit() - return a backend server to full service
 * @change: the backend server
 * @cause: CAUSE_RAMP_OVER, CAUSE_FLOOR or CAUSE_PATH
 */
void health_readmit(struct health_change *change, enum audit_cause cause);

/**
 * health_release_charge() - return a charge to the ejection budget
 * @health: health of the charged backend server
 * @now: current time
 *
 * The charge counts against the budget for 3.5 s more, until no other home can
 * rely on it. Does nothing without a charge.
 */
void health_release_charge(struct health *health, struct instant now);

/**
 * health_restart_sampling() - drop the evidence that raised a suspicion
 * @change: the backend server
 *
 * A suspicion is raised by the worst of many samples, so its requests overstate
 * the fault and are not counted towards the verdict.
 */
void health_restart_sampling(struct health_change *change);

/**
 * health_audit() - append an audit record with the figures of the verdict
 * @change: the backend server and its verdict
 * @kind: what changed
 * @cause: why it changed
 */
void health_audit(struct health_change *change, enum audit_kind kind,
		  enum audit_cause cause);

#endif
