#ifndef COMMAND_MEMBER_H
#define COMMAND_MEMBER_H

/**
 * DOC: membership: the published list, probes, suspicion, rumours
 */

#include "core/state.h"

/**
 * member_accept_list() - take in the platform's list of instances
 * @state: the state
 * @list: the list
 * @count: its entries
 * @now: the time
 * @out: gets audit records
 *
 * Sets state->homes_dirty when home sets may change.
 */
void member_accept_list(struct state *state, const struct instance_doc *list,
			uint32_t count, struct instant now,
			struct event_list *out);

/**
 * member_handle_message() - take in what every datagram carries, and probes
 * @state: the state
 * @message: a checked message
 * @now: the time
 * @out: gets answers, pulls and audit records
 */
void member_handle_message(struct state *state,
			   const struct peer_message *message,
			   struct instant now, struct event_list *out);

/**
 * member_tick() - probe the next instance, raise and end suspicions, choose
 *	the platform's readers
 * @state: the state
 * @now: the time
 * @out: gets probes, roles and audit records
 */
void member_tick(struct state *state, struct instant now,
		 struct event_list *out);

/**
 * member_set_platform_state() - take in how the last call to the platform went
 * @state: the state
 * @reachable: whether it went well
 * @now: the time
 */
void member_set_platform_state(struct state *state, bool reachable,
			       struct instant now);

/**
 * member_request_platform_read() - callers come and nothing is known: do not wait for peers
 * @state: the state
 */
void member_request_platform_read(struct state *state);

/**
 * member_send() - send a message with rumours and offers piggybacked
 * @state: the state
 * @to: peer address
 * @message: kind and its member; the rest is filled in here; taken over
 * @out: gets EVENT_PEER_SEND
 */
void member_send(struct state *state, struct net_addr to,
		 struct peer_message *message, struct event_list *out);

/**
 * member_announce_self() - tell all others what changed here, some times
 * @state: the state
 * @now: the time
 * @out: gets datagrams
 */
void member_announce_self(struct state *state, struct instant now,
			  struct event_list *out);

/**
 * member_gossip_offer() - let the next datagrams carry a changed document
 * @state: the state
 * @key: its service
 */
void member_gossip_offer(struct state *state, const struct name *key);

/**
 * member_back_off_pull() - leave a version alone while it is being pulled
 * @state: the state
 * @offer: the version
 * @until_us: how long
 * @now: the time
 *
 * Return: false when it is held already, which stays as it is.
 */
bool member_back_off_pull(struct state *state, const struct config_offer *offer,
			  uint64_t until_us, struct instant now);

/**
 * member_back_off_refused() - leave a version alone because it was refused
 * @state: the state
 * @offer: the version
 * @until_us: how long
 * @now: the time
 *
 * Return: false when it is held for that reason already, which stays as it is.
 */
bool member_back_off_refused(struct state *state,
			     const struct config_offer *offer,
			     uint64_t until_us, struct instant now);

#endif
