#ifndef COMMAND_MEMBER_BELIEF_H
#define COMMAND_MEMBER_BELIEF_H

/**
 * DOC: what is believed of the other instances, and how a newer word wins
 */

#include "core/state.h"

/**
 * member_update_status() - take in a word about an instance if it is newer
 * @state: the state
 * @member: the instance
 * @incarnation: incarnation of that word
 * @status: the word
 * @cause: for the audit trail
 * @now: the time
 * @out: gets audit records
 */
void member_update_status(struct state *state, struct member *member,
			  uint32_t incarnation, enum member_status status,
			  enum audit_cause cause, struct instant now,
			  struct event_list *out);

/**
 * member_update_self_report() - take in what an instance says of itself
 * @state: the state
 * @member: the instance
 * @self_report: its word
 * @now: the time
 * @out: gets an audit record when it steps aside or comes back
 */
void member_update_self_report(struct state *state, struct member *member,
			       const struct instance_self_report *self_report,
			       struct instant now, struct event_list *out);

/**
 * member_set_status() - change a belief and spread it
 * @state: the state
 * @member: the instance
 * @status: the new belief
 * @cause: for the audit trail
 * @now: the time
 * @out: gets audit records
 */
void member_set_status(struct state *state, struct member *member,
		       enum member_status status, enum audit_cause cause,
		       struct instant now, struct event_list *out);

/**
 * member_audit() - record an instance's status
 * @state: the state
 * @member: the instance
 * @cause: why it is recorded
 * @now: the time
 * @out: gets the audit record
 */
void member_audit(struct state *state, const struct member *member,
		  enum audit_cause cause, struct instant now,
		  struct event_list *out);

/**
 * member_handle_rumours() - take in the beliefs that a datagram carries
 * @state: the state
 * @message: the datagram
 * @now: the time
 * @out: gets audit records
 */
void member_handle_rumours(struct state *state,
			   const struct peer_message *message,
			   struct instant now, struct event_list *out);

/**
 * member_suspicion_end_us() - until when a suspicion that begins now is open
 * @state: only read
 * @now: the time
 *
 * Return: boot-time point in time, later in a larger fleet.
 */
uint64_t member_suspicion_end_us(const struct state *state, struct instant now);

/**
 * member_expire_suspicions() - declare dead who did not refute in time
 * @state: the state
 * @now: the time
 * @out: gets audit records
 */
void member_expire_suspicions(struct state *state, struct instant now,
			      struct event_list *out);

#endif
