#include "command/member_gossip.h"

#include <string.h>

#include "command/member.h"
#include "command/member_probe.h"
#include "query/listing.h"

/* Number of datagrams that carry a rumour or offer, for each gossip round. */
#define RUMOUR_SENDS_FACTOR 3
/* Number of times that each member is sent an announcement of a change. */
#define ANNOUNCE_SENDS 3
/*
 * Number of the drawn peers in other failure domains when traffic between
 * domains has a cost, since each of them may pull a document from this one.
 */
#define PEERS_ELSEWHERE 1
#define ANNOUNCE_INTERVAL_US (150 * US_PER_MS)
#define OFFER_INTERVAL_US (100 * US_PER_MS)
/* Time after a change in which it is offered to more and more peers. */
#define OFFER_CALM_US (150 * US_PER_MS)
/* The same while some that are taken to be alive may be lost. */
#define OFFER_LOSS_US US_PER_S

/**
 * enum draw_from - members among which peers are drawn
 * @DRAW_ALL: all
 * @DRAW_OWN_DOMAIN: those in the failure domain of this instance
 * @DRAW_ELSEWHERE: those in other failure domains
 */
enum draw_from { DRAW_ALL, DRAW_OWN_DOMAIN, DRAW_ELSEWHERE };

static bool offers_are_due(struct membership *membership, struct instant now);
static bool peers_may_be_lost(const struct membership *membership);
static uint32_t draw_live_peers(struct state *state, enum draw_from from,
				uint32_t count_max, struct net_addr *peers);
static bool is_drawn_from(const struct state *state,
			  const struct member *member, enum draw_from from);
static uint32_t rumour_sends(const struct state *state);
static uint32_t log2_ceil(uint32_t value);
static bool make_rumour(const struct state *state, struct net_addr peer,
			struct rumour *out);
static void add_rumour(const struct state *state, struct peer_message *message,
		       struct net_addr peer);
static void add_queued_rumours(struct state *state,
			       struct peer_message *message);
static void add_queued_offers(struct state *state,
			      struct peer_message *message);
static uint32_t least_sent_rumour(const GArray *rumours);
static uint32_t least_sent_offer(const GArray *offers);

void member_send(struct state *state, struct net_addr to,
		 struct peer_message *message, struct event_list *out)
{
	const struct membership *membership = &state->membership;
	struct event event = { .kind = EVENT_PEER_SEND };

	message->sender = membership->self.peer;
	message->incarnation = membership->incarnation;
	message->status = state->leaving ? MEMBER_LEAVING : MEMBER_ALIVE;
	message->self_report = membership->self.self_report;
	message->caller = membership->self.caller;
	message->domain = membership->self.domain;
	message->members_digest = membership->members_digest;
	message->config_digest = membership->config_digest;
	message->rumour_count = 0;
	add_rumour(state, message, to);
	if (message->kind == PEER_ACK || message->kind == PEER_PING_REQUEST)
		add_rumour(state, message, message->ping.target);
	add_queued_rumours(state, message);
	add_queued_offers(state, message);
	event.peer_send.to = to;
	event.peer_send.message = message;
	event_list_add(out, &event);
}

void member_send_self(struct state *state, struct net_addr to,
		      struct event_list *out)
{
	member_send_offers(state, to, NULL, 0, out);
}

/* The datagram is the acknowledgement of no probe, so it is not answered. */
void member_send_offers(struct state *state, struct net_addr to,
			const struct config_offer *offers, uint32_t count,
			struct event_list *out)
{
	struct peer_message *message = g_new0(struct peer_message, 1);
	uint32_t i;

	message->kind = PEER_ACK;
	message->ping.target = state->membership.self.peer;
	for (i = 0; i < MIN(count, PEER_OFFERS_MAX); i++)
		message->offers[message->offer_count++] = offers[i];
	member_send(state, to, message, out);
}

/*
 * Sends to all members, since a member that misses the change goes on naming
 * this instance to callers.
 */
void member_announce_self(struct state *state, struct instant now,
			  struct event_list *out)
{
	struct membership *membership = &state->membership;

	member_gossip_rumour(state, membership->self.peer);
	membership->announces_left = ANNOUNCE_SENDS;
	membership->announce_due_us = now.mono_us;
	member_announce_tick(state, now, out);
}

void member_announce_tick(struct state *state, struct instant now,
			  struct event_list *out)
{
	struct membership *membership = &state->membership;
	const struct member *member;
	guint i;

	if (membership->announces_left == 0 ||
	    now.mono_us < membership->announce_due_us)
		return;
	membership->announces_left--;
	membership->announce_due_us = now.mono_us + ANNOUNCE_INTERVAL_US;
	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		member_send_self(state, member->listed.peer, out);
	}
}

void member_announce_offers(struct state *state, struct instant now,
			    struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct net_addr peers[MEMBER_DRAWN_PEERS];
	uint32_t count;
	uint32_t i;

	membership->offers_may_be_lost =
		now.mono_us < membership->offers_loss_until_us &&
		peers_may_be_lost(membership);
	if (!offers_are_due(membership, now))
		return;
	membership->offers_next_us = now.mono_us + OFFER_INTERVAL_US;
	count = member_draw_peers(state, peers);
	for (i = 0; i < count; i++)
		member_send_self(state, peers[i], out);
}

uint32_t member_draw_peers(struct state *state,
			   struct net_addr peers[MEMBER_DRAWN_PEERS])
{
	uint32_t count;

	if (!state->settings->reduce_cross_domain_traffic)
		return draw_live_peers(state, DRAW_ALL, MEMBER_DRAWN_PEERS,
				       peers);
	count = draw_live_peers(state, DRAW_ELSEWHERE, PEERS_ELSEWHERE, peers);
	count += draw_live_peers(state, DRAW_OWN_DOMAIN,
				 MEMBER_DRAWN_PEERS - count, peers + count);
	if (count == MEMBER_DRAWN_PEERS)
		return count;
	/* Too few in the own domain: a change must spread all the same. */
	return draw_live_peers(state, DRAW_ALL, MEMBER_DRAWN_PEERS, peers);
}

uint32_t member_gossip_rounds(const struct state *state)
{
	return log2_ceil(state->membership.members->len + 1);
}

void member_gossip_rumour(struct state *state, struct net_addr peer)
{
	struct rumour_task task = {
		.peer = peer,
		.sends_left = rumour_sends(state),
	};
	GArray *rumours = state->membership.rumours;
	struct rumour_task *known;
	guint i;

	for (i = 0; i < rumours->len; i++) {
		known = &g_array_index(rumours, struct rumour_task, i);
		if (!addr_equal(known->peer, peer))
			continue;
		known->sends_left = task.sends_left;
		return;
	}
	g_array_append_val(rumours, task);
}

void member_gossip_offer(struct state *state, const struct name *key)
{
	struct offer_task task = {
		.key = *key,
		.sends_left = rumour_sends(state),
	};
	GArray *offers = state->membership.offers;
	struct offer_task *known;
	guint i;

	for (i = 0; i < offers->len; i++) {
		known = &g_array_index(offers, struct offer_task, i);
		if (!name_equal(&known->key, key))
			continue;
		known->sends_left = task.sends_left;
		return;
	}
	g_array_append_val(offers, task);
}

static bool offers_are_due(struct membership *membership, struct instant now)
{
	if (membership->offers_due) {
		membership->offers_due = false;
		membership->offers_calm_until_us = now.mono_us + OFFER_CALM_US;
		membership->offers_loss_until_us = now.mono_us + OFFER_LOSS_US;
		return true;
	}
	if (now.mono_us < membership->offers_next_us)
		return false;
	return now.mono_us < membership->offers_calm_until_us ||
	       membership->offers_may_be_lost;
}

/*
 * Whether one is suspected or owes the answer to a probe. Many may be lost then,
 * and each of them is still taken to be alive.
 */
static bool peers_may_be_lost(const struct membership *membership)
{
	const struct member *member;
	guint i;

	if (member_probe_is_overdue(membership))
		return true;
	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		if (member->status == MEMBER_SUSPECT)
			return true;
	}
	return false;
}

/*
 * Draws each peer by itself: members next to each other in the list are often
 * of one failure domain, and lost together.
 *
 * Return: used entries of @peers.
 */
static uint32_t draw_live_peers(struct state *state, enum draw_from from,
				uint32_t count_max, struct net_addr *peers)
{
	const GArray *members = state->membership.members;
	const struct member *member;
	uint32_t live = 0;
	uint32_t at;
	guint i;

	for (i = 0; i < members->len; i++) {
		member = &g_array_index(members, struct member, i);
		if (member->status != MEMBER_ALIVE ||
		    !is_drawn_from(state, member, from))
			continue;
		/* Each of the live ones so far is kept with the same chance. */
		at = live++;
		if (at >= count_max)
			at = (uint32_t)g_rand_int_range(state->rand, 0,
							(gint32)live);
		if (at < count_max)
			peers[at] = member->listed.peer;
	}
	return MIN(live, count_max);
}

static bool is_drawn_from(const struct state *state,
			  const struct member *member, enum draw_from from)
{
	bool own = name_equal(&member->listed.domain, &state->settings->domain);

	switch (from) {
	case DRAW_ALL:
		return true;
	case DRAW_OWN_DOMAIN:
		return own;
	case DRAW_ELSEWHERE:
		return !own;
	}
	return true;
}

static uint32_t rumour_sends(const struct state *state)
{
	return RUMOUR_SENDS_FACTOR * (member_gossip_rounds(state) + 1);
}

static uint32_t log2_ceil(uint32_t value)
{
	uint32_t bits = 0;

	while (bits < 31 && (UINT32_C(1) << bits) < value)
		bits++;
	return bits;
}

/* Return: false when @peer is neither a member nor this instance. */
static bool make_rumour(const struct state *state, struct net_addr peer,
			struct rumour *out)
{
	const struct membership *membership = &state->membership;
	const struct member *member;

	out->peer = peer;
	if (addr_equal(peer, membership->self.peer)) {
		out->caller = membership->self.caller;
		out->domain = membership->self.domain;
		out->incarnation = membership->incarnation;
		out->status = state->leaving ? MEMBER_LEAVING : MEMBER_ALIVE;
		out->self_report = membership->self.self_report;
		return true;
	}
	member = membership_find(membership, peer);
	if (!member)
		return false;
	out->caller = member->listed.caller;
	out->domain = member->listed.domain;
	out->incarnation = member->incarnation;
	out->status = member->status;
	out->self_report = member->listed.self_report;
	return true;
}

/*
 * Adds the status of @peer, which may be the receiver: one that is suspected or
 * held dead learns of that with the next datagram and can refute it.
 */
static void add_rumour(const struct state *state, struct peer_message *message,
		       struct net_addr peer)
{
	struct rumour rumour;
	uint32_t i;

	if (message->rumour_count == PEER_RUMOURS_MAX)
		return;
	if (addr_equal(peer, state->membership.self.peer))
		return;
	for (i = 0; i < message->rumour_count; i++) {
		if (addr_equal(message->rumours[i].peer, peer))
			return;
	}
	if (!make_rumour(state, peer, &rumour))
		return;
	if (rumour.status == MEMBER_ALIVE && message->kind != PEER_ACK)
		return;
	message->rumours[message->rumour_count++] = rumour;
}

static void add_queued_rumours(struct state *state,
			       struct peer_message *message)
{
	GArray *rumours = state->membership.rumours;
	uint32_t tries = MIN(rumours->len, PEER_RUMOURS_MAX);
	struct rumour_task task;
	uint32_t first;

	while (tries-- > 0 && message->rumour_count < PEER_RUMOURS_MAX) {
		first = least_sent_rumour(rumours);
		task = g_array_index(rumours, struct rumour_task, first);
		g_array_remove_index(rumours, first);
		if (!make_rumour(state, task.peer,
				 &message->rumours[message->rumour_count]))
			continue;
		message->rumour_count++;
		if (--task.sends_left > 0)
			g_array_append_val(rumours, task);
	}
}

static void add_queued_offers(struct state *state, struct peer_message *message)
{
	GArray *offers = state->membership.offers;
	uint32_t tries = MIN(offers->len, PEER_OFFERS_MAX);
	struct config_offer *offer;
	struct offer_task task;
	uint32_t first;

	while (tries-- > 0 && message->offer_count < PEER_OFFERS_MAX) {
		first = least_sent_offer(offers);
		task = g_array_index(offers, struct offer_task, first);
		g_array_remove_index(offers, first);
		offer = &message->offers[message->offer_count];
		if (!offer_find(state, &task.key, offer))
			continue;
		message->offer_count++;
		/* One that may have gone to a lost peer does not count. */
		if (state->membership.offers_may_be_lost ||
		    --task.sends_left > 0)
			g_array_append_val(offers, task);
	}
}

static uint32_t least_sent_rumour(const GArray *rumours)
{
	uint32_t first = 0;
	guint i;

	for (i = 1; i < rumours->len; i++) {
		if (g_array_index(rumours, struct rumour_task, i).sends_left >
		    g_array_index(rumours, struct rumour_task, first).sends_left)
			first = i;
	}
	return first;
}

static uint32_t least_sent_offer(const GArray *offers)
{
	uint32_t first = 0;
	guint i;

	for (i = 1; i < offers->len; i++) {
		if (g_array_index(offers, struct offer_task, i).sends_left >
		    g_array_index(offers, struct offer_task, first).sends_left)
			first = i;
	}
	return first;
}
