#ifndef COMMAND_MEMBER_SPREAD_H
#define COMMAND_MEMBER_SPREAD_H

/**
 * DOC: rumours and offers that ride on datagrams
 *
 * Each is carried a number of times that grows with the logarithm of the
 * fleet; what was carried least goes first, so that news do not wait behind
 * what is known by now.
 */

#include "core/state.h"

/**
 * member_gossip_rounds() - rounds in which a rumour doubled over the fleet
 * @state: only read
 *
 * Return: the logarithm of the number of instances, rounded up.
 */
uint32_t member_gossip_rounds(const struct state *state);

/**
 * member_gossip_rumour() - let the next datagrams carry what is believed
 * @state: the state
 * @peer: of whom; this instance itself, too
 */
void member_gossip_rumour(struct state *state, struct net_addr peer);

/**
 * member_announce_offers() - tell a few peers what documents changed
 * @state: the state
 * @out: gets the datagrams
 *
 * Each of them tells others in turn, so all hear of a change within a few ticks.
 */
void member_announce_offers(struct state *state, struct event_list *out);

/**
 * member_announce_tick() - repeat what was announced of this instance
 * @state: the state
 * @now: the time
 * @out: gets datagrams
 */
void member_announce_tick(struct state *state, struct instant now,
			  struct event_list *out);

#endif
