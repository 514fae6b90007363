#ifndef COMMAND_MEMBER_H
#define COMMAND_MEMBER_H

/**
 * DOC: membership
 *
 * Instances learn of each other from the published list or from seeds, detect
 * failures by probes and suspicion, and spread status changes by gossip.
 */

#include "core/state.h"

/**
 * member_accept_list() - apply the platform's list of instances
 * @state: routing state
 * @list: the list, in any order
 * @count: entries of @list
 * @now: current time
 * @out: receives audit records
 *
 * Sets state->homes_dirty when home sets may change.
 */
void member_accept_list(struct state *state, const struct instance_doc *list,
			uint32_t count, struct instant now,
			struct event_list *out);

/**
 * member_handle_message() - process probes and the fields that all
 *	datagrams have
 * @state: routing state
 * @message: a validated message
 * @now: current time
 * @out: receives datagrams, pulls and audit records
 */
void member_handle_message(struct state *state,
			   const struct peer_message *message,
			   struct instant now, struct event_list *out);

/**
 * member_tick() - probe the next instance, raise and expire suspicions, choose
 *	the instances that read the platform
 * @state: routing state
 * @now: current time
 * @out: receives datagrams, EVENT_CONFIG_ROLE and audit records
 */
void member_tick(struct state *state, struct instant now,
		 struct event_list *out);

/**
 * member_request_platform_read() - let this instance read the platform without
 *	waiting for peers
 * @state: routing state
 *
 * Called when requests arrive before any routing table or document is known.
 */
void member_request_platform_read(struct state *state);

/**
 * member_send() - send a message with rumours and offers piggybacked
 * @state: routing state
 * @to: peer address
 * @message: message with its kind and union member set, from g_new0(), and
 *	with offers of its own if any; the other fields are set here and
 *	ownership is taken
 * @out: receives EVENT_PEER_SEND
 */
void member_send(struct state *state, struct net_addr to,
		 struct peer_message *message, struct event_list *out);

/**
 * member_send_self() - send the status of this instance and the gossip
 * @state: routing state
 * @to: peer address
 * @out: receives EVENT_PEER_SEND
 */
void member_send_self(struct state *state, struct net_addr to,
		      struct event_list *out);

/**
 * member_send_offers() - like member_send_self(), with offers before the queued
 *	ones
 * @state: routing state
 * @to: peer address
 * @offers: versions that this instance holds
 * @count: their number; those beyond PEER_OFFERS_MAX are left out
 * @out: receives EVENT_PEER_SEND
 */
void member_send_offers(struct state *state, struct net_addr to,
			const struct config_offer *offers, uint32_t count,
			struct event_list *out);

/**
 * member_announce_self() - send the changed status of this instance to all
 *	members, repeated a few times
 * @state: routing state
 * @now: current time
 * @out: receives datagrams
 */
void member_announce_self(struct state *state, struct instant now,
			  struct event_list *out);

/**
 * member_gossip_offer() - queue the offer of a changed document for the next
 *	datagrams
 * @state: routing state
 * @key: service of the document, or ROUTING_KEY
 */
void member_gossip_offer(struct state *state, const struct name *key);

/**
 * member_back_off_refused() - suppress pulls of a version that was refused
 * @state: routing state
 * @offer: the version
 * @until_us: boot-time end of the back-off
 * @now: current time
 *
 * Return: false when a back-off after a refusal of this version is running; it
 * is not changed.
 */
bool member_back_off_refused(struct state *state,
			     const struct config_offer *offer,
			     uint64_t until_us, struct instant now);

#endif
