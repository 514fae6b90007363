#ifndef COMMAND_MEMBER_GOSSIP_H
#define COMMAND_MEMBER_GOSSIP_H

/**
 * DOC: rumours and offers piggybacked on datagrams
 *
 * Each rumour or offer is sent a number of times that grows with the logarithm
 * of the fleet size. Those sent least often go first, so that new ones are not
 * delayed by those that most instances already know.
 */

#include "core/state.h"

/* Number of peers that are told of a change at once. */
#define MEMBER_DRAWN_PEERS 4

/**
 * member_draw_peers() - draw peers that are told of a change at once
 * @state: routing state
 * @peers: receives their addresses
 *
 * Return: number of peers drawn.
 */
uint32_t member_draw_peers(struct state *state,
			   struct net_addr peers[MEMBER_DRAWN_PEERS]);

/**
 * member_gossip_rounds() - rounds in which gossip reaches the whole fleet
 * @state: routing state, not changed
 *
 * Return: binary logarithm of the number of instances, rounded up, since the
 * number of instances that know a rumour doubles in each round.
 */
uint32_t member_gossip_rounds(const struct state *state);

/**
 * member_gossip_rumour() - queue the status of an instance for the next
 *	datagrams
 * @state: routing state
 * @peer: peer address of the instance, which may be this one
 */
void member_gossip_rumour(struct state *state, struct net_addr peer);

/**
 * member_announce_offers() - offer documents that have just changed to a few
 *	peers
 * @state: routing state
 * @now: current time
 * @out: receives datagrams
 *
 * The receivers pass the offers on in turn, so that a change reaches the whole
 * fleet within a few ticks. While peers may have been lost, it is repeated for
 * some time, since those chosen may be among them.
 */
void member_announce_offers(struct state *state, struct instant now,
			    struct event_list *out);

/**
 * member_announce_tick() - repeat the announcement of this instance when due
 * @state: routing state
 * @now: current time
 * @out: receives datagrams
 */
void member_announce_tick(struct state *state, struct instant now,
			  struct event_list *out);

#endif
