#include "command/member.h"

#include <string.h>

#include "query/readers.h"

#define PROBE_PERIOD_US (500 * US_PER_MS)
#define PROBE_JITTER_US (50 * US_PER_MS)
#define PROBE_DIRECT_US (200 * US_PER_MS)
#define PROBE_HELPERS 3
#define RELAY_TTL_US (500 * US_PER_MS)
#define DEAD_PROBE_PERIODS 4
#define SUSPECT_PERIODS 4
#define LATE_WAKE_US US_PER_S
#define SILENCE_US (10 * US_PER_S)
#define UNLISTED_KEEP_US (30 * US_PER_S)
#define RUMOUR_SENDS_FACTOR 3
#define LEAVE_ANNOUNCE_PEERS 16
#define PULL_HOLD_US (2 * US_PER_S)
#define CONFLICT_HOLD_US (60 * US_PER_S)
#define LIST_PULL_US US_PER_S
#define LIST_PULL_DOUBLINGS_MAX 6

static void start(struct state *state, struct instant now);
static void wake_late(struct state *state, struct instant now);
static void watch_silence(struct state *state, struct instant now,
			  struct event_list *out);
static void choose_role(struct state *state, struct event_list *out);
static void end_suspicions(struct state *state, struct instant now,
			   struct event_list *out);
static void ask_helpers(struct state *state, struct instant now,
			struct event_list *out);
static void end_period(struct state *state, struct instant now,
		       struct event_list *out);
static void begin_period(struct state *state, struct instant now,
			 struct event_list *out);
static bool next_target(struct state *state, struct net_addr *out);
static bool next_dead(struct state *state, struct net_addr *out);
static void shuffle_round(struct state *state);
static void join_round(struct state *state, struct net_addr peer);
static void send_probe(struct state *state, enum peer_message_kind kind,
		       struct net_addr to, uint64_t sequence,
		       struct net_addr target, struct event_list *out);
static uint32_t rumour_sends(const struct state *state);
static uint32_t log2_ceil(uint32_t value);
static void spread(struct state *state, struct net_addr peer);
static bool rumour_about(const struct state *state, struct net_addr peer,
			 struct rumour *out);
static void add_rumour(const struct state *state, struct peer_message *message,
		       struct net_addr peer);
static void add_rumours(struct state *state, struct peer_message *message);
static void add_offers(struct state *state, struct peer_message *message);
static void believe(struct state *state, struct member *member,
		    uint32_t incarnation, enum member_status status,
		    enum audit_cause cause, struct instant now,
		    struct event_list *out);
static bool belief_newer(const struct member *member, uint32_t incarnation,
			 enum member_status status);
static uint32_t status_rank(enum member_status status);
static void set_status(struct state *state, struct member *member,
		       enum member_status status, enum audit_cause cause,
		       struct instant now, struct event_list *out);
static void audit_member(struct state *state, const struct member *member,
			 enum audit_cause cause, struct instant now,
			 struct event_list *out);
static uint64_t suspicion_end_us(const struct state *state, struct instant now);
static void refute(struct state *state, const struct rumour *rumour);
static void hear_rumours(struct state *state,
			 const struct peer_message *message, struct instant now,
			 struct event_list *out);
static void hear_offers(struct state *state, const struct peer_message *message,
			struct instant now, struct event_list *out);
static bool hear_offer(struct state *state, struct net_addr sender,
		       const struct config_offer *offer, struct instant now,
		       struct event_list *out);
static struct pull_hold *find_hold(struct state *state,
				   const struct config_offer *offer);
static void set_hold(struct pull_hold *hold, const struct config_offer *offer,
		     uint64_t until_us);
static void pull_list(struct state *state, struct net_addr sender,
		      struct instant now, struct event_list *out);
static void hear_probe(struct state *state, const struct peer_message *message,
		       struct instant now, struct event_list *out);
static void hear_ack(struct state *state, const struct peer_message *message,
		     struct instant now, struct event_list *out);
static void relay_probe(struct state *state, const struct peer_message *message,
			struct instant now, struct event_list *out);
static int compare_instances(const void *a, const void *b);
static void list_member(struct state *state, GArray *members,
			const struct member *known,
			const struct instance_doc *listed, struct instant now,
			struct event_list *out);
static void unlist_member(struct state *state, GArray *members,
			  const struct member *known, struct instant now,
			  struct event_list *out);

void member_accept_list(struct state *state, const struct instance_doc *list,
			uint32_t count, struct instant now,
			struct event_list *out)
{
	struct membership *membership = &state->membership;
	GArray *old = membership->members;
	GArray *members = g_array_new(FALSE, TRUE, sizeof(struct member));
	struct instance_doc *sorted = g_new(struct instance_doc, count + 1);
	const struct member *known;
	bool self_listed = false;
	guint i = 0;
	uint32_t j;

	memcpy(sorted, list, count * sizeof(*list));
	qsort(sorted, count, sizeof(*sorted), compare_instances);
	for (j = 0; j < count; j++) {
		if (addr_equal(sorted[j].peer, membership->self.peer)) {
			self_listed = true;
			membership->self.status = sorted[j].status;
			continue;
		}
		if (j > 0 && addr_equal(sorted[j].peer, sorted[j - 1].peer))
			continue;
		known = NULL;
		while (i < old->len) {
			known = &g_array_index(old, struct member, i);
			if (addr_compare(known->listed.peer, sorted[j].peer) >=
			    0)
				break;
			unlist_member(state, members, known, now, out);
			known = NULL;
			i++;
		}
		if (known && !addr_equal(known->listed.peer, sorted[j].peer))
			known = NULL;
		if (known)
			i++;
		list_member(state, members, known, &sorted[j], now, out);
	}
	for (; i < old->len; i++) {
		known = &g_array_index(old, struct member, i);
		unlist_member(state, members, known, now, out);
	}
	if (self_listed != membership->self_listed || !membership->list_known)
		state->homes_dirty = true;
	membership->self_listed = self_listed;
	membership->list_known = true;
	membership->members = members;
	g_array_unref(old);
	g_free(sorted);
}

void member_message(struct state *state, const struct peer_message *message,
		    struct instant now, struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct member *sender;

	if (addr_equal(message->sender, membership->self.peer))
		return;
	sender = membership_find(membership, message->sender);
	if (sender) {
		sender->heard_us = now.mono_us;
		believe(state, sender, message->incarnation, message->status,
			CAUSE_PEER, now, out);
		hear_rumours(state, message, now, out);
	}
	/* Without a list any peer will do: it has read one that names us. */
	if (sender || !membership->list_known) {
		state->heard_us = now.mono_us;
		hear_offers(state, message, now, out);
	}
	hear_probe(state, message, now, out);
}

void member_tick(struct state *state, struct instant now,
		 struct event_list *out)
{
	struct membership *membership = &state->membership;

	if (!membership->started)
		start(state, now);
	if (now.mono_us > membership->last_tick_us + LATE_WAKE_US)
		wake_late(state, now);
	membership->last_tick_us = now.mono_us;
	watch_silence(state, now, out);
	end_suspicions(state, now, out);
	ask_helpers(state, now, out);
	if (now.mono_us < membership->probe_due_us)
		return;
	end_period(state, now, out);
	choose_role(state, out);
	begin_period(state, now, out);
}

void member_send(struct state *state, struct net_addr to,
		 struct peer_message *message, struct event_list *out)
{
	const struct membership *membership = &state->membership;
	struct event event = { .kind = EVENT_PEER_SEND };

	message->sender = membership->self.peer;
	message->incarnation = membership->incarnation;
	message->status = state->leaving ? MEMBER_LEAVING : MEMBER_ALIVE;
	message->config_digest = membership->config_digest;
	message->rumour_count = 0;
	message->offer_count = 0;
	add_rumour(state, message, to);
	if (message->kind == PEER_ACK || message->kind == PEER_PING_REQUEST)
		add_rumour(state, message, message->ping.target);
	add_rumours(state, message);
	add_offers(state, message);
	event.peer_send.to = to;
	event.peer_send.message = message;
	event_list_add(out, &event);
}

void member_announce_leaving(struct state *state, struct instant now,
			     struct event_list *out)
{
	struct membership *membership = &state->membership;
	GArray *members = membership->members;
	uint32_t count = MIN(members->len, LEAVE_ANNOUNCE_PEERS);
	const struct member *member;
	uint32_t first;
	uint32_t i;

	(void)now;
	if (!members->len)
		return;
	spread(state, membership->self.peer);
	first = g_rand_int_range(state->rand, 0, (gint32)members->len);
	for (i = 0; i < count; i++) {
		member = &g_array_index(members, struct member,
					(first + i) % members->len);
		send_probe(state, PEER_PING, member->listed.peer,
			   ++membership->sequence, member->listed.peer, out);
	}
}

/* Wall-clock seconds let a restarted instance outrank what was believed. */
static void start(struct state *state, struct instant now)
{
	struct membership *membership = &state->membership;

	membership->started = true;
	membership->last_tick_us = now.mono_us;
	if (membership->incarnation == 0)
		membership->incarnation = (uint32_t)(now.unix_ms / MS_PER_S);
	state->heard_us = now.mono_us;
}

/* Whoever stayed silent while this process stood still is not to blame. */
static void wake_late(struct state *state, struct instant now)
{
	struct membership *membership = &state->membership;
	struct member *member;
	guint i;

	memset(&membership->probe, 0, sizeof(membership->probe));
	memset(membership->relays, 0, sizeof(membership->relays));
	state->heard_us = now.mono_us;
	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		if (member->suspect_until_us != 0)
			member->suspect_until_us = suspicion_end_us(state, now);
	}
}

static void watch_silence(struct state *state, struct instant now,
			  struct event_list *out)
{
	struct audit_record record = {
		.cause = CAUSE_SILENCE,
		.subject = state->membership.self.peer,
	};
	bool silent;

	if (state->platform_reachable)
		state->heard_us = now.mono_us;
	silent = state->membership.members->len > 0 &&
		 now.mono_us > state->heard_us + SILENCE_US;
	if (silent == state->stepped_back)
		return;
	state->stepped_back = silent;
	record.kind = silent ? AUDIT_STEPPED_BACK : AUDIT_STEPPED_IN;
	state_audit(state, &record, now, out);
}

static void choose_role(struct state *state, struct event_list *out)
{
	struct event event = { .kind = EVENT_CONFIG_ROLE };
	bool reader = readers_include_self(state);

	if (reader == state->config_reader)
		return;
	state->config_reader = reader;
	event.config_role.reader = reader;
	event_list_add(out, &event);
}

static void end_suspicions(struct state *state, struct instant now,
			   struct event_list *out)
{
	GArray *members = state->membership.members;
	struct member *member;
	guint i;

	for (i = 0; i < members->len; i++) {
		member = &g_array_index(members, struct member, i);
		if (member->suspect_until_us == 0)
			continue;
		if (now.mono_us <= member->suspect_until_us)
			continue;
		set_status(state, member, MEMBER_DEAD, CAUSE_PROBE, now, out);
	}
}

static void ask_helpers(struct state *state, struct instant now,
			struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct probe *probe = &membership->probe;
	GArray *members = membership->members;
	const struct member *member;
	uint32_t asked = 0;
	uint32_t first;
	uint32_t i;

	if (probe->target.port == 0 || probe->answered)
		return;
	if (now.mono_us < probe->indirect_due_us)
		return;
	probe->indirect_due_us = DEADLINE_NONE_US;
	if (!members->len)
		return;
	first = g_rand_int_range(state->rand, 0, (gint32)members->len);
	for (i = 0; i < members->len && asked < PROBE_HELPERS; i++) {
		member = &g_array_index(members, struct member,
					(first + i) % members->len);
		if (member->status != MEMBER_ALIVE ||
		    addr_equal(member->listed.peer, probe->target))
			continue;
		send_probe(state, PEER_PING_REQUEST, member->listed.peer,
			   probe->sequence, probe->target, out);
		asked++;
	}
}

static void end_period(struct state *state, struct instant now,
		       struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct probe probe = membership->probe;
	struct member *member;

	memset(&membership->probe, 0, sizeof(membership->probe));
	if (probe.target.port == 0 || probe.answered)
		return;
	member = membership_find(membership, probe.target);
	if (!member)
		return;
	/* Heard by itself: only the way to it is cut. */
	if (member->heard_us >= probe.sent_us)
		return;
	switch (member->status) {
	case MEMBER_ALIVE:
		set_status(state, member, MEMBER_SUSPECT, CAUSE_PROBE, now,
			   out);
		break;
	case MEMBER_LEAVING:
		if (member->suspect_until_us == 0)
			member->suspect_until_us = suspicion_end_us(state, now);
		break;
	case MEMBER_SUSPECT:
	case MEMBER_DEAD:
		break;
	}
}

static void begin_period(struct state *state, struct instant now,
			 struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct probe *probe = &membership->probe;
	gint32 jitter_us = g_rand_int_range(
		state->rand, -(gint32)PROBE_JITTER_US, (gint32)PROBE_JITTER_US);

	membership->probe_due_us = now.mono_us + PROBE_PERIOD_US + jitter_us;
	membership->probe_periods++;
	if (membership->probe_periods % DEAD_PROBE_PERIODS != 0 ||
	    !next_dead(state, &probe->target)) {
		if (!next_target(state, &probe->target))
			return;
	}
	probe->sequence = ++membership->sequence;
	probe->sent_us = now.mono_us;
	probe->indirect_due_us = now.mono_us + PROBE_DIRECT_US;
	send_probe(state, PEER_PING, probe->target, probe->sequence,
		   probe->target, out);
}

static bool next_target(struct state *state, struct net_addr *out)
{
	struct membership *membership = &state->membership;
	const struct member *member;
	struct net_addr peer;
	uint32_t round;

	for (round = 0; round < 2; round++) {
		while (membership->probe_next < membership->probe_order->len) {
			peer = g_array_index(membership->probe_order,
					     struct net_addr,
					     membership->probe_next++);
			member = membership_find(membership, peer);
			if (!member || member->status == MEMBER_DEAD)
				continue;
			*out = peer;
			return true;
		}
		shuffle_round(state);
	}
	return false;
}

/* The dead are tried now and then, or a partition would never heal. */
static bool next_dead(struct state *state, struct net_addr *out)
{
	struct membership *membership = &state->membership;
	GArray *members = membership->members;
	const struct member *member;
	uint32_t index;
	guint i;

	for (i = 0; i < members->len; i++) {
		index = (membership->dead_next + i) % members->len;
		member = &g_array_index(members, struct member, index);
		if (member->status != MEMBER_DEAD)
			continue;
		membership->dead_next = index + 1;
		*out = member->listed.peer;
		return true;
	}
	return false;
}

static void shuffle_round(struct state *state)
{
	struct membership *membership = &state->membership;
	GArray *order = membership->probe_order;
	const struct member *member;
	guint i;

	g_array_set_size(order, 0);
	membership->probe_next = 0;
	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		if (member->status != MEMBER_DEAD)
			join_round(state, member->listed.peer);
	}
}

static void join_round(struct state *state, struct net_addr peer)
{
	struct membership *membership = &state->membership;
	GArray *order = membership->probe_order;
	uint32_t at = g_rand_int_range(state->rand,
				       (gint32)membership->probe_next,
				       (gint32)order->len + 1);
	struct net_addr moved;

	g_array_append_val(order, peer);
	moved = g_array_index(order, struct net_addr, at);
	g_array_index(order, struct net_addr, order->len - 1) = moved;
	g_array_index(order, struct net_addr, at) = peer;
}

static void send_probe(struct state *state, enum peer_message_kind kind,
		       struct net_addr to, uint64_t sequence,
		       struct net_addr target, struct event_list *out)
{
	struct peer_message *message = g_new0(struct peer_message, 1);

	message->kind = kind;
	message->ping.sequence = sequence;
	message->ping.target = target;
	member_send(state, to, message, out);
}

static uint32_t rumour_sends(const struct state *state)
{
	uint32_t instances = state->membership.members->len + 1;

	return RUMOUR_SENDS_FACTOR * (log2_ceil(instances) + 1);
}

static uint32_t log2_ceil(uint32_t value)
{
	uint32_t bits = 0;

	while (bits < 31 && (UINT32_C(1) << bits) < value)
		bits++;
	return bits;
}

static void spread(struct state *state, struct net_addr peer)
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

static bool rumour_about(const struct state *state, struct net_addr peer,
			 struct rumour *out)
{
	const struct membership *membership = &state->membership;
	const struct member *member;

	out->peer = peer;
	if (addr_equal(peer, membership->self.peer)) {
		out->incarnation = membership->incarnation;
		out->status = state->leaving ? MEMBER_LEAVING : MEMBER_ALIVE;
		return true;
	}
	member = membership_find(membership, peer);
	if (!member)
		return false;
	out->incarnation = member->incarnation;
	out->status = member->status;
	return true;
}

/* One who is doubted hears of it with the next datagram and can refute. */
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
	if (!rumour_about(state, peer, &rumour))
		return;
	if (rumour.status == MEMBER_ALIVE && message->kind != PEER_ACK)
		return;
	message->rumours[message->rumour_count++] = rumour;
}

static void add_rumours(struct state *state, struct peer_message *message)
{
	GArray *rumours = state->membership.rumours;
	uint32_t tries = MIN(rumours->len, PEER_RUMOURS_MAX);
	struct rumour_task task;
	struct rumour rumour;

	while (tries-- > 0 && message->rumour_count < PEER_RUMOURS_MAX) {
		task = g_array_index(rumours, struct rumour_task, 0);
		g_array_remove_index(rumours, 0);
		if (!rumour_about(state, task.peer, &rumour))
			continue;
		message->rumours[message->rumour_count++] = rumour;
		if (--task.sends_left > 0)
			g_array_append_val(rumours, task);
	}
}

static void add_offers(struct state *state, struct peer_message *message)
{
	GArray *offers = state->membership.offers;
	uint32_t tries = MIN(offers->len, PEER_OFFERS_MAX);
	const struct service *service;
	struct config_offer *offer;
	struct offer_task task;

	while (tries-- > 0) {
		task = g_array_index(offers, struct offer_task, 0);
		g_array_remove_index(offers, 0);
		service = service_lookup(state, &task.key);
		if (!service)
			continue;
		offer = &message->offers[message->offer_count++];
		offer->key = task.key;
		offer->version = service->doc->version;
		offer->hash = service->doc->hash;
		if (--task.sends_left > 0)
			g_array_append_val(offers, task);
	}
}

void member_spread_offer(struct state *state, const struct name *key)
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

static void believe(struct state *state, struct member *member,
		    uint32_t incarnation, enum member_status status,
		    enum audit_cause cause, struct instant now,
		    struct event_list *out)
{
	bool newer = belief_newer(member, incarnation, status);

	if (!newer)
		return;
	member->incarnation = incarnation;
	/* Leaving wins over live for as long as the list says so. */
	if (member->in_list && member->listed.status == INSTANCE_LEAVING &&
	    (status == MEMBER_ALIVE || status == MEMBER_SUSPECT))
		return;
	if (status == member->status) {
		if (status == MEMBER_ALIVE)
			spread(state, member->listed.peer);
		return;
	}
	set_status(state, member, status, cause, now, out);
}

static bool belief_newer(const struct member *member, uint32_t incarnation,
			 enum member_status status)
{
	if (incarnation != member->incarnation)
		return incarnation > member->incarnation;
	return status_rank(status) > status_rank(member->status);
}

static uint32_t status_rank(enum member_status status)
{
	switch (status) {
	case MEMBER_ALIVE:
		return 0;
	case MEMBER_SUSPECT:
		return 1;
	case MEMBER_LEAVING:
		return 2;
	case MEMBER_DEAD:
		return 3;
	}
	return 0;
}

static void set_status(struct state *state, struct member *member,
		       enum member_status status, enum audit_cause cause,
		       struct instant now, struct event_list *out)
{
	enum member_status before = member->status;

	member->status = status;
	member->suspect_until_us = 0;
	if (status == MEMBER_SUSPECT)
		member->suspect_until_us = suspicion_end_us(state, now);
	if (before == MEMBER_DEAD)
		join_round(state, member->listed.peer);
	if (before != MEMBER_SUSPECT || status != MEMBER_ALIVE)
		state->homes_dirty |= status != MEMBER_SUSPECT;
	spread(state, member->listed.peer);
	audit_member(state, member, cause, now, out);
}

static void audit_member(struct state *state, const struct member *member,
			 enum audit_cause cause, struct instant now,
			 struct event_list *out)
{
	struct audit_record record = {
		.kind = AUDIT_MEMBER,
		.cause = cause,
		.subject = member->listed.peer,
		.figures_kind = FIGURES_MEMBER,
		.member.status = member->status,
		.member.incarnation = member->incarnation,
	};

	state_audit(state, &record, now, out);
}

static uint64_t suspicion_end_us(const struct state *state, struct instant now)
{
	uint32_t instances = state->membership.members->len + 1;

	return now.mono_us +
	       (SUSPECT_PERIODS + log2_ceil(instances)) * PROBE_PERIOD_US;
}

static void refute(struct state *state, const struct rumour *rumour)
{
	struct membership *membership = &state->membership;
	enum member_status own = state->leaving ? MEMBER_LEAVING : MEMBER_ALIVE;

	if (rumour->incarnation < membership->incarnation)
		return;
	if (rumour->incarnation == membership->incarnation &&
	    status_rank(rumour->status) <= status_rank(own))
		return;
	if (rumour->incarnation == UINT32_MAX)
		return;
	membership->incarnation = rumour->incarnation + 1;
	spread(state, membership->self.peer);
}

static void hear_rumours(struct state *state,
			 const struct peer_message *message, struct instant now,
			 struct event_list *out)
{
	struct membership *membership = &state->membership;
	const struct rumour *rumour;
	struct member *member;
	bool believed;
	uint32_t i;

	member = membership_find(membership, message->sender);
	believed = member && member->status != MEMBER_DEAD;
	for (i = 0; i < message->rumour_count; i++) {
		rumour = &message->rumours[i];
		if (addr_equal(rumour->peer, membership->self.peer)) {
			refute(state, rumour);
			continue;
		}
		/* One believed dead may be cut off; its word is old. */
		if (!believed)
			continue;
		member = membership_find(membership, rumour->peer);
		if (!member)
			continue;
		believe(state, member, rumour->incarnation, rumour->status,
			CAUSE_PEER, now, out);
	}
}

static void hear_offers(struct state *state, const struct peer_message *message,
			struct instant now, struct event_list *out)
{
	struct membership *membership = &state->membership;
	bool explained = false;
	uint32_t i;

	for (i = 0; i < message->offer_count; i++)
		explained |= hear_offer(state, message->sender,
					&message->offers[i], now, out);
	if (membership->list_known &&
	    message->config_digest == membership->config_digest) {
		membership->list_pulls = 0;
		membership->list_pull_due_us = 0;
		return;
	}
	if (!explained || !membership->list_known)
		pull_list(state, message->sender, now, out);
}

/* Return: whether the offer explains that the digests differ. */
static bool hear_offer(struct state *state, struct net_addr sender,
		       const struct config_offer *offer, struct instant now,
		       struct event_list *out)
{
	const struct service *service = service_lookup(state, &offer->key);
	struct event event = { .kind = EVENT_CONFIG_PULL };
	struct audit_record record = {
		.kind = AUDIT_CONFIG_REFUSED,
		.cause = CAUSE_SAME_VERSION_OTHER_CONTENT,
		.service = offer->key,
		.subject = sender,
		.figures_kind = FIGURES_CONFIG,
		.config.version = offer->version,
		.config.hash = offer->hash,
	};

	if (service && service->doc->version > offer->version)
		return true;
	if (service && service->doc->version == offer->version) {
		if (service->doc->hash == offer->hash)
			return false;
		record.config.in_force = service->doc->version;
		if (member_hold_refused(state, offer,
					now.mono_us + CONFLICT_HOLD_US, now))
			state_audit(state, &record, now, out);
		return false;
	}
	if (!member_hold_pull(state, offer, now.mono_us + PULL_HOLD_US, now))
		return true;
	event.config_pull.from = sender;
	event.config_pull.offer = *offer;
	event_list_add(out, &event);
	return true;
}

bool member_hold_pull(struct state *state, const struct config_offer *offer,
		      uint64_t until_us, struct instant now)
{
	struct pull_hold *hold = find_hold(state, offer);

	if (hold->until_us > now.mono_us)
		return false;
	set_hold(hold, offer, until_us);
	return true;
}

bool member_hold_refused(struct state *state, const struct config_offer *offer,
			 uint64_t until_us, struct instant now)
{
	struct pull_hold *hold = find_hold(state, offer);

	if (hold->refused && hold->until_us > now.mono_us)
		return false;
	set_hold(hold, offer, until_us);
	hold->refused = true;
	return true;
}

/* Return: the hold of this version, or the one that ends first, emptied. */
static struct pull_hold *find_hold(struct state *state,
				   const struct config_offer *offer)
{
	struct pull_hold *holds = state->membership.pull_holds;
	struct pull_hold *oldest = &holds[0];
	uint32_t i;

	for (i = 0; i < MEMBER_PULLS_MAX; i++) {
		if (holds[i].version == offer->version &&
		    holds[i].hash == offer->hash &&
		    name_equal(&holds[i].key, &offer->key))
			return &holds[i];
		if (holds[i].until_us < oldest->until_us)
			oldest = &holds[i];
	}
	memset(oldest, 0, sizeof(*oldest));
	return oldest;
}

static void set_hold(struct pull_hold *hold, const struct config_offer *offer,
		     uint64_t until_us)
{
	hold->key = offer->key;
	hold->version = offer->version;
	hold->hash = offer->hash;
	hold->until_us = until_us;
	hold->refused = false;
}

static void pull_list(struct state *state, struct net_addr sender,
		      struct instant now, struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct event event = { .kind = EVENT_CONFIG_PULL };

	/* An instance that holds nothing asks at once. */
	if (membership->list_pull_due_us == 0 &&
	    g_hash_table_size(state->services) > 0) {
		membership->list_pull_due_us = now.mono_us + LIST_PULL_US;
		return;
	}
	if (now.mono_us < membership->list_pull_due_us)
		return;
	membership->list_pull_due_us =
		now.mono_us + (LIST_PULL_US << membership->list_pulls);
	if (membership->list_pulls < LIST_PULL_DOUBLINGS_MAX)
		membership->list_pulls++;
	event.config_pull.from = sender;
	event.config_pull.instances = !membership->list_known;
	event_list_add(out, &event);
}

static void hear_probe(struct state *state, const struct peer_message *message,
		       struct instant now, struct event_list *out)
{
	switch (message->kind) {
	case PEER_PING:
		send_probe(state, PEER_ACK, message->sender,
			   message->ping.sequence, state->membership.self.peer,
			   out);
		break;
	case PEER_ACK:
		hear_ack(state, message, now, out);
		break;
	case PEER_PING_REQUEST:
		relay_probe(state, message, now, out);
		break;
	case PEER_DIGEST:
	case PEER_LEASE_ASK:
	case PEER_LEASE_GIVE:
	case PEER_LEASE_RETURN:
		break;
	}
}

static void hear_ack(struct state *state, const struct peer_message *message,
		     struct instant now, struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct probe *probe = &membership->probe;
	struct probe_relay *relay;
	uint32_t i;

	if (probe->target.port != 0 &&
	    probe->sequence == message->ping.sequence &&
	    addr_equal(probe->target, message->ping.target)) {
		probe->answered = true;
		return;
	}
	for (i = 0; i < MEMBER_RELAYS_MAX; i++) {
		relay = &membership->relays[i];
		if (relay->origin.port == 0 ||
		    relay->sequence != message->ping.sequence ||
		    !addr_equal(relay->target, message->sender))
			continue;
		if (now.mono_us <= relay->expires_us)
			send_probe(state, PEER_ACK, relay->origin,
				   relay->origin_sequence, relay->target, out);
		relay->origin.port = 0;
		return;
	}
}

static void relay_probe(struct state *state, const struct peer_message *message,
			struct instant now, struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct probe_relay *relay = NULL;
	uint32_t i;

	if (!membership_find(membership, message->ping.target))
		return;
	for (i = 0; i < MEMBER_RELAYS_MAX && !relay; i++) {
		if (membership->relays[i].origin.port == 0 ||
		    membership->relays[i].expires_us < now.mono_us)
			relay = &membership->relays[i];
	}
	if (!relay)
		return;
	relay->origin = message->sender;
	relay->origin_sequence = message->ping.sequence;
	relay->target = message->ping.target;
	relay->sequence = ++membership->sequence;
	relay->expires_us = now.mono_us + RELAY_TTL_US;
	send_probe(state, PEER_PING, relay->target, relay->sequence,
		   relay->target, out);
}

static int compare_instances(const void *a, const void *b)
{
	const struct instance_doc *x = a;
	const struct instance_doc *y = b;

	return addr_compare(x->peer, y->peer);
}

static void list_member(struct state *state, GArray *members,
			const struct member *known,
			const struct instance_doc *listed, struct instant now,
			struct event_list *out)
{
	struct member member = { .status = MEMBER_ALIVE };
	bool fresh = !known || !known->in_list;
	bool was_leaving;

	if (members->len >= MEMBERS_MAX)
		return;
	if (known)
		member = *known;
	was_leaving = known && known->listed.status == INSTANCE_LEAVING;
	if (fresh || !addr_equal(member.listed.caller, listed->caller) ||
	    !name_equal(&member.listed.domain, &listed->domain) ||
	    member.listed.status != listed->status)
		state->homes_dirty = true;
	member.listed = *listed;
	member.in_list = true;
	g_array_append_val(members, member);
	if (!known)
		join_round(state, listed->peer);
	if (listed->status == INSTANCE_LEAVING &&
	    member.status != MEMBER_LEAVING && member.status != MEMBER_DEAD)
		set_status(state,
			   &g_array_index(members, struct member,
					  members->len - 1),
			   MEMBER_LEAVING, CAUSE_LIST, now, out);
	else if (listed->status == INSTANCE_LIVE && was_leaving &&
		 member.status == MEMBER_LEAVING)
		/* A new process has its place; if not, it says so itself. */
		set_status(state,
			   &g_array_index(members, struct member,
					  members->len - 1),
			   MEMBER_ALIVE, CAUSE_LIST, now, out);
	else if (fresh)
		audit_member(state, &member, CAUSE_LIST, now, out);
}

/* One whose entry is gone stays while it is heard: the list may be old. */
static void unlist_member(struct state *state, GArray *members,
			  const struct member *known, struct instant now,
			  struct event_list *out)
{
	struct member member = *known;

	if (member.in_list) {
		member.in_list = false;
		state->homes_dirty = true;
		audit_member(state, &member, CAUSE_LIST, now, out);
	}
	if (member.status == MEMBER_DEAD ||
	    now.mono_us > member.heard_us + UNLISTED_KEEP_US)
		return;
	if (members->len < MEMBERS_MAX)
		g_array_append_val(members, member);
}
