#ifndef COMMAND_MEMBER_PROBE_H
#define COMMAND_MEMBER_PROBE_H

/**
 * DOC: probes of the other instances, direct and indirect
 *
 * Each instance probes one other instance in each probe period, whatever the
 * size of the fleet.
 */

#include "core/state.h"

/* Mean length of a probe period. */
#define PROBE_PERIOD_US (500 * US_PER_MS)

/**
 * member_probe_indirect() - have other members probe an instance that did not
 *	answer the direct probe
 * @state: routing state
 * @now: current time
 * @out: receives datagrams
 */
void member_probe_indirect(struct state *state, struct instant now,
			   struct event_list *out);

/**
 * member_end_probe_period() - suspect an instance that answered no probe
 * @state: routing state
 * @now: current time
 * @out: receives audit records
 */
void member_end_probe_period(struct state *state, struct instant now,
			     struct event_list *out);

/**
 * member_begin_probe_period() - probe the next instance
 * @state: routing state
 * @now: current time
 * @out: receives the datagram
 */
void member_begin_probe_period(struct state *state, struct instant now,
			       struct event_list *out);

/**
 * member_ping() - ping an instance outside the probe rounds
 * @state: routing state
 * @to: its peer address
 * @out: receives the datagram
 */
void member_ping(struct state *state, struct net_addr to,
		 struct event_list *out);

/**
 * member_add_to_probe_round() - add an instance at a random place of the
 *	current probe round
 * @state: routing state
 * @peer: its peer address
 */
void member_add_to_probe_round(struct state *state, struct net_addr peer);

/**
 * member_handle_probe() - answer a probe, relay one, or process an answer
 * @state: routing state
 * @message: the datagram
 * @now: current time
 * @out: receives datagrams
 */
void member_handle_probe(struct state *state,
			 const struct peer_message *message, struct instant now,
			 struct event_list *out);

/**
 * member_probe_is_overdue() - whether the current probe was not answered in time
 * @membership: the membership
 *
 * Return: true from the time at which indirect probes are sent until the answer
 * or the end of the period, unless the target was held to be dead already.
 */
bool member_probe_is_overdue(const struct membership *membership);

#endif
