#ifndef COMMAND_MEMBER_PROBE_H
#define COMMAND_MEMBER_PROBE_H

/**
 * DOC: probes of the other instances, direct and indirect
 *
 * One instance is probed in each period, whatever the size of the fleet.
 */

#include "core/state.h"

#define PROBE_PERIOD_US (500 * US_PER_MS)

/**
 * member_probe_indirect() - have others probe who has not answered yet
 * @state: the state
 * @now: the time
 * @out: gets datagrams
 */
void member_probe_indirect(struct state *state, struct instant now,
			   struct event_list *out);

/**
 * member_end_probe_period() - suspect who was not heard
 * @state: the state
 * @now: the time
 * @out: gets audit records
 */
void member_end_probe_period(struct state *state, struct instant now,
			     struct event_list *out);

/**
 * member_begin_probe_period() - probe the next instance
 * @state: the state
 * @now: the time
 * @out: gets the probe
 */
void member_begin_probe_period(struct state *state, struct instant now,
			       struct event_list *out);

/**
 * member_ping() - call an instance outside the rounds
 * @state: the state
 * @to: its peer address
 * @out: gets the datagram
 */
void member_ping(struct state *state, struct net_addr to,
		 struct event_list *out);

/**
 * member_add_to_probe_round() - put an instance at a random place of the running round
 * @state: the state
 * @peer: the instance
 */
void member_add_to_probe_round(struct state *state, struct net_addr peer);

/**
 * member_handle_probe() - answer a probe, pass one on, or take in its answer
 * @state: the state
 * @message: the datagram
 * @now: the time
 * @out: gets datagrams
 */
void member_handle_probe(struct state *state,
			 const struct peer_message *message, struct instant now,
			 struct event_list *out);

#endif
