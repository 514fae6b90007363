#ifndef COMMAND_HEALTH_CHANGE_H
#define COMMAND_HEALTH_CHANGE_H

/**
 * DOC: changes of one backend server's health state, each audited
 */

#include "query/health_verdict.h"

/**
 * struct health_change - what a change works on
 * @state: the state
 * @service: the service
 * @backend: the backend server
 * @verdict: figures for the audit
 * @now: the time
 * @out: gets audit records
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
 * health_eject() - give no more work to a sick backend server
 * @change: whom
 * @cause: why
 * @charged: this home's part of the budget pays
 */
void health_eject(struct health_change *change, enum audit_cause cause,
		  bool charged);

/**
 * health_avoid() - give no more work over a cut path
 * @change: whom
 */
void health_avoid(struct health_change *change);

/**
 * health_withhold_ejection() - give less work, for the floor allows no ejection
 * @change: whom
 */
void health_withhold_ejection(struct health_change *change);

/**
 * health_start_trickle() - end a back-off: try with a trickle of idempotent work
 * @change: whom
 */
void health_start_trickle(struct health_change *change);

/**
 * health_relapse() - a trial failed: back to where it was, for longer
 * @change: whom
 */
void health_relapse(struct health_change *change);

/**
 * health_start_ramp() - begin to open slots step by step
 * @change: whom
 * @cause: CAUSE_TRICKLE_OK or CAUSE_COLD_START
 */
void health_start_ramp(struct health_change *change, enum audit_cause cause);

/**
 * health_advance_ramp() - open more slots, and all in the end
 * @change: whom
 */
void health_advance_ramp(struct health_change *change);

/**
 * health_readmit() - back in full service
 * @change: whom
 * @cause: CAUSE_RAMP_OVER or CAUSE_FLOOR
 */
void health_readmit(struct health_change *change, enum audit_cause cause);

/**
 * health_release_charge() - give a charge back, once no other home can rely on it
 * @health: of the backend server
 * @now: the time
 */
void health_release_charge(struct health *health, struct instant now);

/**
 * health_restart_sampling() - begin to sample a suspected backend server's work anew
 * @change: whom
 *
 * What raised the suspicion was the worst of many moments, so it is not
 * counted again.
 */
void health_restart_sampling(struct health_change *change);

/**
 * health_audit() - append an audit record with the evidence's figures
 * @change: whom
 * @kind: what changed
 * @cause: why
 */
void health_audit(struct health_change *change, enum audit_kind kind,
		  enum audit_cause cause);

#endif
