#ifndef COMMAND_MEMBER_STATUS_H
#define COMMAND_MEMBER_STATUS_H

/**
 * DOC: status of the other instances, from the newest report on each
 */

#include "core/state.h"

/**
 * member_update_status() - apply a reported status if the report is newer
 * @state: routing state
 * @member: the instance
 * @incarnation: incarnation of the report
 * @status: status reported
 * @cause: for the audit record
 * @now: current time
 * @out: receives audit records
 */
void member_update_status(struct state *state, struct member *member,
			  uint32_t incarnation, enum member_status status,
			  enum audit_cause cause, struct instant now,
			  struct event_list *out);

/**
 * member_update_self_report() - apply what an instance reports of itself
 * @state: routing state
 * @member: the instance
 * @self_report: its report
 * @now: current time
 * @out: receives an audit record when it withdraws from the home sets or comes
 *	back
 */
void member_update_self_report(struct state *state, struct member *member,
			       const struct instance_self_report *self_report,
			       struct instant now, struct event_list *out);

/**
 * member_set_status() - change the status of an instance and gossip it
 * @state: routing state
 * @member: the instance
 * @status: new status
 * @cause: for the audit record
 * @now: current time
 * @out: receives an audit record
 */
void member_set_status(struct state *state, struct member *member,
		       enum member_status status, enum audit_cause cause,
		       struct instant now, struct event_list *out);

/**
 * member_audit() - audit the status of an instance
 * @state: routing state
 * @member: the instance
 * @cause: for the audit record
 * @now: current time
 * @out: receives the audit record
 */
void member_audit(struct state *state, const struct member *member,
		  enum audit_cause cause, struct instant now,
		  struct event_list *out);

/**
 * member_handle_rumours() - apply the statuses that a datagram carries
 * @state: routing state
 * @message: the datagram
 * @now: current time
 * @out: receives audit records
 */
void member_handle_rumours(struct state *state,
			   const struct peer_message *message,
			   struct instant now, struct event_list *out);

/**
 * member_suspicion_end_us() - when a suspicion that begins now expires
 * @state: routing state, not changed
 * @now: current time
 *
 * Return: boot time, the later the larger the fleet is.
 */
uint64_t member_suspicion_end_us(const struct state *state, struct instant now);

/**
 * member_expire_suspicions() - declare suspects dead that did not refute in
 *	time
 * @state: routing state
 * @now: current time
 * @out: receives audit records
 */
void member_expire_suspicions(struct state *state, struct instant now,
			      struct event_list *out);

#endif
