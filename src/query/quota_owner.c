#include "query/quota_owner.h"

/*
 * An instance knows all others this time after its start: the seeds are asked
 * at once, and lists are exchanged with the first probes.
 */
#define SETTLE_US (2 * US_PER_S)
/*
 * Two probes in a row have failed by then. Others hold an instance that is cut
 * off suspect at this time and replace it as the owner.
 */
#define CONTACT_US (1500 * US_PER_MS)
/* An owner holds more than this part of the known instances alive. */
#define MAJORITY_SIXTEENTHS 9
/* Longest life of a token. */
#define TOKEN_TTL_MAX_MS 1000
/* The life of tokens may use up 1 / this of the headroom. */
#define TTL_HEADROOM_DIVISOR 4

static void rank_one(struct net_addr peer, uint64_t customer_hash,
		     uint64_t scores[2], struct net_addr *owner,
		     struct net_addr *standby);

bool quota_enforced(const struct state *state)
{
	const struct settings *settings = state->settings;

	return settings->quota_window_ms > 0 &&
	       settings->quota_overshoot_permille > 0 &&
	       settings->quota_slack_requests > 0 && state->routes &&
	       state->routes->customers &&
	       state->routes->customers->rated_customers > 0;
}

const struct customer *quota_customer(const struct state *state,
				      uint64_t customer_hash)
{
	const struct customer *customer;

	if (customer_hash == 0 || !quota_enforced(state))
		return NULL;
	customer = customer_by_hash(state->routes->customers, customer_hash);
	return customer && customer->rate_milli > 0 ? customer : NULL;
}

void quota_view(const struct state *state, struct fleet_view *out)
{
	const GArray *members = state->membership.members;
	const struct member *member;
	uint64_t key;
	guint i;

	out->alive = 1;
	out->known = 1;
	out->alive_hash = state->leaving;
	for (i = 0; i < members->len; i++) {
		member = &g_array_index(members, struct member, i);
		out->known += member->status != MEMBER_LEAVING;
		if (member->status != MEMBER_ALIVE)
			continue;
		out->alive++;
		/* The order of the members does not matter. */
		key = addr_key(member->listed.peer);
		out->alive_hash += hash_bytes(&key, sizeof(key), 0);
	}
}

bool quota_may_own(const struct state *state, const struct fleet_view *view,
		   struct instant now)
{
	if (now.mono_us < state->quotas.begun_us + SETTLE_US)
		return false;
	if (view->known == 1)
		return true;
	return view->alive * 16 > view->known * MAJORITY_SIXTEENTHS &&
	       now.mono_us < state->membership.probe_answered_us + CONTACT_US;
}

void quota_rank(const struct state *state, uint64_t customer_hash,
		struct net_addr *owner, struct net_addr *standby)
{
	const struct net_addr none = { 0 };
	const GArray *members = state->membership.members;
	const struct member *member;
	uint64_t scores[2] = { 0 };
	guint i;

	*owner = none;
	*standby = none;
	if (!state->leaving)
		rank_one(state->membership.self.peer, customer_hash, scores,
			 owner, standby);
	for (i = 0; i < members->len; i++) {
		member = &g_array_index(members, struct member, i);
		if (member->status == MEMBER_ALIVE)
			rank_one(member->listed.peer, customer_hash, scores,
				 owner, standby);
	}
}

uint64_t quota_headroom_milli(const struct settings *settings,
			      const struct customer *customer)
{
	uint64_t quota_milli =
		(uint64_t)customer->rate_milli * settings->quota_window_ms /
			MS_PER_S +
		(uint64_t)customer->burst_requests * PERMILLE_ONE;

	return quota_milli / PERMILLE_ONE * settings->quota_overshoot_permille +
	       (uint64_t)settings->quota_slack_requests * PERMILLE_ONE;
}

uint64_t quota_token_ttl_ms(const struct settings *settings,
			    const struct customer *customer)
{
	uint64_t ttl_ms = quota_headroom_milli(settings, customer) /
			  TTL_HEADROOM_DIVISOR * MS_PER_S /
			  customer->rate_milli;

	return CLAMP(ttl_ms, 1, TOKEN_TTL_MAX_MS);
}

/* Inserts @peer by its score; @scores are those of owner and standby. */
static void rank_one(struct net_addr peer, uint64_t customer_hash,
		     uint64_t scores[2], struct net_addr *owner,
		     struct net_addr *standby)
{
	uint64_t score = hash_pair(peer, peer, customer_hash);

	if (owner->port == 0 || score > scores[0]) {
		*standby = *owner;
		scores[1] = scores[0];
		*owner = peer;
		scores[0] = score;
	} else if (standby->port == 0 || score > scores[1]) {
		*standby = peer;
		scores[1] = score;
	}
}
