#include "command/member_offer.h"

#include <string.h>

#include "command/configure.h"
#include "command/member.h"
#include "query/listing.h"

#define PULL_BACKOFF_US (2 * US_PER_S)
/* Time for a peer to send a document before it is pulled from another one. */
#define PULL_ANSWER_US (300 * US_PER_MS)
#define CONFLICT_AUDIT_INTERVAL_US (60 * US_PER_S)
/* Delay of the first pull of a whole list, doubled by each further pull. */
#define LIST_PULL_DELAY_US US_PER_S
#define LIST_PULL_DOUBLINGS_MAX 6

/**
 * enum offer_result - what an offer tells of its sender
 * @OFFER_SAME: it does not explain a difference between the digests
 * @OFFER_NEWER: the sender holds a newer document
 * @OFFER_OLDER: the sender holds an older document
 */
enum offer_result { OFFER_SAME, OFFER_NEWER, OFFER_OLDER };

static bool digests_match(const struct membership *membership,
			  const struct peer_message *message);
static enum offer_result
handle_offer(struct state *state, struct net_addr sender,
	     const struct config_offer *offer, struct config_offer *held,
	     struct instant now, struct event_list *out);
static void begin_pull(struct state *state, const struct config_offer *offer,
		       struct net_addr sender, struct instant now,
		       struct event_list *out);
static void pull(struct pull_backoff *backoff, const struct config_offer *offer,
		 struct net_addr from, struct instant now,
		 struct event_list *out);
static bool is_held(const struct state *state,
		    const struct pull_backoff *backoff);
static struct pull_backoff *find_backoff(struct state *state,
					 const struct config_offer *offer);
static void set_backoff(struct pull_backoff *backoff,
			const struct config_offer *offer, uint64_t until_us);
static void pull_list(struct state *state, const struct peer_message *message,
		      struct instant now, struct event_list *out);

void member_handle_offers(struct state *state,
			  const struct peer_message *message,
			  struct instant now, struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct config_offer held[PEER_OFFERS_MAX];
	bool difference_explained = false;
	enum offer_result result;
	uint32_t older = 0;
	uint32_t i;

	for (i = 0; i < message->offer_count; i++) {
		result = handle_offer(state, message->sender,
				      &message->offers[i], &held[older], now,
				      out);
		difference_explained |= result != OFFER_SAME;
		older += result == OFFER_OLDER;
	}
	/*
	 * An instance that starts again may read an old copy of the store when
	 * the others have long ceased to offer what is in force.
	 */
	if (older > 0)
		member_send_offers(state, message->sender, held, older, out);
	if (digests_match(membership, message)) {
		membership->list_pull_attempts = 0;
		membership->list_pull_due_us = 0;
		return;
	}
	if (!difference_explained || !membership->list_known)
		pull_list(state, message, now, out);
}

void member_pull_tick(struct state *state, struct instant now,
		      struct event_list *out)
{
	struct pull_backoff *backoff;
	struct config_offer offer;
	uint32_t i;

	for (i = 0; i < MEMBER_PULL_BACKOFFS_MAX; i++) {
		backoff = &state->membership.pull_backoffs[i];
		if (backoff->other.port == 0 ||
		    now.mono_us < backoff->other_due_us)
			continue;
		if (is_held(state, backoff)) {
			backoff->other.port = 0;
			continue;
		}
		offer = (struct config_offer){ .key = backoff->key,
					       .version = backoff->version,
					       .hash = backoff->hash };
		pull(backoff, &offer, backoff->other, now, out);
	}
}

bool member_back_off_refused(struct state *state,
			     const struct config_offer *offer,
			     uint64_t until_us, struct instant now)
{
	struct pull_backoff *backoff = find_backoff(state, offer);

	if (backoff->refused && backoff->until_us > now.mono_us)
		return false;
	set_backoff(backoff, offer, until_us);
	backoff->refused = true;
	return true;
}

static bool digests_match(const struct membership *membership,
			  const struct peer_message *message)
{
	if (message->config_digest != membership->config_digest)
		return false;
	if (!membership->seed_discovery)
		return membership->list_known;
	return message->members_digest == membership->members_digest;
}

/*
 * Pulls the offered document if it is newer, or takes over its version if the
 * content is unchanged; audits other content under the version in force.
 *
 * @held gets the version in force, if there is one.
 */
static enum offer_result
handle_offer(struct state *state, struct net_addr sender,
	     const struct config_offer *offer, struct config_offer *held,
	     struct instant now, struct event_list *out)
{
	bool known = offer_find(state, &offer->key, held);
	struct audit_record record = {
		.kind = AUDIT_CONFIG_REFUSED,
		.cause = CAUSE_SAME_VERSION_OTHER_CONTENT,
		.service = offer->key,
		.subject = sender,
		.detail_kind = AUDIT_DETAIL_CONFIG,
		.config.version = offer->version,
		.config.hash = offer->hash,
	};

	if (known && held->version > offer->version)
		return OFFER_OLDER;
	if (known && held->version == offer->version) {
		if (held->hash == offer->hash)
			return OFFER_SAME;
		record.config.in_force = held->version;
		if (member_back_off_refused(
			    state, offer,
			    now.mono_us + CONFLICT_AUDIT_INTERVAL_US, now))
			state_audit(state, &record, now, out);
		return OFFER_SAME;
	}
	if (known && configure_raise_version(state, offer, true, now, out))
		return OFFER_NEWER;
	begin_pull(state, offer, sender, now, out);
	return OFFER_NEWER;
}

/*
 * Pulls a version that is not being pulled. The peer that it is being pulled
 * from may have been lost, which is known much later, so another one that
 * offers it is remembered.
 */
static void begin_pull(struct state *state, const struct config_offer *offer,
		       struct net_addr sender, struct instant now,
		       struct event_list *out)
{
	struct pull_backoff *backoff = find_backoff(state, offer);

	if (backoff->until_us <= now.mono_us) {
		pull(backoff, offer, sender, now, out);
		return;
	}
	if (backoff->refused || addr_equal(backoff->from, sender))
		return;
	if (now.mono_us >= backoff->other_due_us)
		pull(backoff, offer, sender, now, out);
	else
		backoff->other = sender;
}

static void pull(struct pull_backoff *backoff, const struct config_offer *offer,
		 struct net_addr from, struct instant now,
		 struct event_list *out)
{
	struct event event = { .kind = EVENT_CONFIG_PULL };

	set_backoff(backoff, offer, now.mono_us + PULL_BACKOFF_US);
	backoff->from = from;
	backoff->other_due_us = now.mono_us + PULL_ANSWER_US;
	event.config_pull.from = from;
	event.config_pull.offer = *offer;
	event_list_add(out, &event);
}

static bool is_held(const struct state *state,
		    const struct pull_backoff *backoff)
{
	struct config_offer held;

	return offer_find(state, &backoff->key, &held) &&
	       held.version >= backoff->version;
}

/*
 * Return: back-off of this version; if there is none, the entry that ends
 * first, cleared.
 */
static struct pull_backoff *find_backoff(struct state *state,
					 const struct config_offer *offer)
{
	struct pull_backoff *backoffs = state->membership.pull_backoffs;
	struct pull_backoff *oldest = &backoffs[0];
	uint32_t i;

	for (i = 0; i < MEMBER_PULL_BACKOFFS_MAX; i++) {
		if (backoffs[i].version == offer->version &&
		    backoffs[i].hash == offer->hash &&
		    name_equal(&backoffs[i].key, &offer->key))
			return &backoffs[i];
		if (backoffs[i].until_us < oldest->until_us)
			oldest = &backoffs[i];
	}
	memset(oldest, 0, sizeof(*oldest));
	return oldest;
}

static void set_backoff(struct pull_backoff *backoff,
			const struct config_offer *offer, uint64_t until_us)
{
	*backoff = (struct pull_backoff){ .key = offer->key,
					  .version = offer->version,
					  .hash = offer->hash,
					  .until_us = until_us };
}

/*
 * Pulls the whole list of documents from the sender, since digests differ that
 * offers do not explain, after a delay that each further pull doubles.
 */
static void pull_list(struct state *state, const struct peer_message *message,
		      struct instant now, struct event_list *out)
{
	struct membership *membership = &state->membership;
	struct event event = { .kind = EVENT_CONFIG_PULL };

	/* An instance that holds no document pulls at once. */
	if (membership->list_pull_due_us == 0 &&
	    g_hash_table_size(state->services) > 0) {
		membership->list_pull_due_us = now.mono_us + LIST_PULL_DELAY_US;
		return;
	}
	if (now.mono_us < membership->list_pull_due_us)
		return;
	membership->list_pull_due_us =
		now.mono_us +
		(LIST_PULL_DELAY_US << membership->list_pull_attempts);
	if (membership->list_pull_attempts < LIST_PULL_DOUBLINGS_MAX)
		membership->list_pull_attempts++;
	event.config_pull.from = message->sender;
	event.config_pull.instances =
		membership->seed_discovery ?
			message->members_digest != membership->members_digest :
			!membership->list_known;
	event_list_add(out, &event);
}
