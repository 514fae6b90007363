#include "command/member_offer.h"

#include <string.h>

#include "command/configure.h"
#include "command/member.h"
#include "query/listing.h"

#define PULL_HOLD_US (2 * US_PER_S)
#define CONFLICT_HOLD_US (60 * US_PER_S)
#define LIST_PULL_US US_PER_S
#define LIST_PULL_DOUBLINGS_MAX 6

static bool same_knowledge(const struct membership *membership,
			   const struct peer_message *message);
static bool hear_offer(struct state *state, struct net_addr sender,
		       const struct config_offer *offer, struct instant now,
		       struct event_list *out);
static struct pull_backoff *find_hold(struct state *state,
				      const struct config_offer *offer);
static void set_hold(struct pull_backoff *hold,
		     const struct config_offer *offer, uint64_t until_us);
static void pull_list(struct state *state, const struct peer_message *message,
		      struct instant now, struct event_list *out);

void member_handle_offers(struct state *state,
			  const struct peer_message *message,
			  struct instant now, struct event_list *out)
{
	struct membership *membership = &state->membership;
	bool explained = false;
	uint32_t i;

	for (i = 0; i < message->offer_count; i++)
		explained |= hear_offer(state, message->sender,
					&message->offers[i], now, out);
	if (same_knowledge(membership, message)) {
		membership->list_pull_attempts = 0;
		membership->list_pull_due_us = 0;
		return;
	}
	if (!explained || !membership->list_known)
		pull_list(state, message, now, out);
}

bool member_back_off_pull(struct state *state, const struct config_offer *offer,
			  uint64_t until_us, struct instant now)
{
	struct pull_backoff *hold = find_hold(state, offer);

	if (hold->until_us > now.mono_us)
		return false;
	set_hold(hold, offer, until_us);
	return true;
}

bool member_back_off_refused(struct state *state,
			     const struct config_offer *offer,
			     uint64_t until_us, struct instant now)
{
	struct pull_backoff *hold = find_hold(state, offer);

	if (hold->refused && hold->until_us > now.mono_us)
		return false;
	set_hold(hold, offer, until_us);
	hold->refused = true;
	return true;
}

static bool same_knowledge(const struct membership *membership,
			   const struct peer_message *message)
{
	if (message->config_digest != membership->config_digest)
		return false;
	if (!membership->seed_discovery)
		return membership->list_known;
	return message->members_digest == membership->members_digest;
}

/* Return: whether the offer explains that the digests differ. */
static bool hear_offer(struct state *state, struct net_addr sender,
		       const struct config_offer *offer, struct instant now,
		       struct event_list *out)
{
	struct config_offer held = { 0 };
	bool holds = offer_find(state, &offer->key, &held);
	struct event event = { .kind = EVENT_CONFIG_PULL };
	struct audit_record record = {
		.kind = AUDIT_CONFIG_REFUSED,
		.cause = CAUSE_SAME_VERSION_OTHER_CONTENT,
		.service = offer->key,
		.subject = sender,
		.detail_kind = AUDIT_DETAIL_CONFIG,
		.config.version = offer->version,
		.config.hash = offer->hash,
	};

	if (holds && held.version > offer->version)
		return true;
	if (holds && held.version == offer->version) {
		if (held.hash == offer->hash)
			return false;
		record.config.in_force = held.version;
		if (member_back_off_refused(
			    state, offer, now.mono_us + CONFLICT_HOLD_US, now))
			state_audit(state, &record, now, out);
		return false;
	}
	if (holds && configure_raise_version(state, offer, true, now, out))
		return true;
	if (!member_back_off_pull(state, offer, now.mono_us + PULL_HOLD_US,
				  now))
		return true;
	event.config_pull.from = sender;
	event.config_pull.offer = *offer;
	event_list_add(out, &event);
	return true;
}

/* Return: the hold of this version, or the one that ends first, emptied. */
static struct pull_backoff *find_hold(struct state *state,
				      const struct config_offer *offer)
{
	struct pull_backoff *holds = state->membership.pull_backoffs;
	struct pull_backoff *oldest = &holds[0];
	uint32_t i;

	for (i = 0; i < MEMBER_PULL_BACKOFFS_MAX; i++) {
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

static void set_hold(struct pull_backoff *hold,
		     const struct config_offer *offer, uint64_t until_us)
{
	hold->key = offer->key;
	hold->version = offer->version;
	hold->hash = offer->hash;
	hold->until_us = until_us;
	hold->refused = false;
}

static void pull_list(struct state *state, const struct peer_message *message,
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
		now.mono_us + (LIST_PULL_US << membership->list_pull_attempts);
	if (membership->list_pull_attempts < LIST_PULL_DOUBLINGS_MAX)
		membership->list_pull_attempts++;
	event.config_pull.from = message->sender;
	event.config_pull.instances =
		membership->seed_discovery ?
			message->members_digest != membership->members_digest :
			!membership->list_known;
	event_list_add(out, &event);
}
