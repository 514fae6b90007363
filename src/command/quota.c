#include "command/quota.h"

#include "command/admit.h"
#include "command/member.h"
#include "command/quota_bucket.h"
#include "command/ticket.h"
#include "query/quota_owner.h"

/* Time to answer a datagram of an ask. */
#define ASK_US (40 * US_PER_MS)
/* Requests of one customer that may wait for tokens at this instance. */
#define WAITING_MAX 256
/* The view of the instances is renewed when it is older than this. */
#define VIEW_INTERVAL_US (50 * US_PER_MS)
/*
 * When the owner declines, a standby that was the owner within the last window
 * grants from the owner's bucket, refilled for this time after each use.
 */
#define ACTING_US US_PER_S
/*
 * While the owner has no tokens, asks pause for this time, doubled with each
 * empty answer in a row: without a pause each new request costs a datagram.
 */
#define PAUSE_MIN_MS UINT32_C(10)
#define PAUSE_DOUBLINGS_MAX 4
/*
 * An instance that has become the owner waits this long before it grants. At
 * the beginning of a partition the instances of the other side are found failed
 * one by one, so the former owner may be missing while the minority side still
 * counts a majority.
 */
#define BEGIN_DELAY_US (600 * US_PER_MS)
/*
 * The same while more than 1 / MOVED_DIVISOR of the instances are not alive.
 * 600 ms are too few at the end of a partition: the sides find each other by
 * probes of dead instances, some of which are a second apart.
 */
#define BEGIN_DELAY_MANY_US (3 * US_PER_S)
/* A change of the alive instances by more than 1 / this is a partition. */
#define MOVED_DIVISOR 32
/*
 * Each window has a sixteenth of the headroom as reserve; two windows may
 * overlap the window of the bound.
 */
#define RESERVE_HEADROOM_DIVISOR 16
/* Interval of the search for unused entries, and their age when dropped. */
#define DROP_INTERVAL_US (10 * US_PER_S)
#define DROP_UNUSED_US (60 * US_PER_S)

/**
 * enum quota_role - role of this instance for a customer
 * @ROLE_OWNER: it grants from the bucket
 * @ROLE_STANDBY: it grants from the standby's bucket
 * @ROLE_NONE: it may not grant
 */
enum quota_role { ROLE_OWNER, ROLE_STANDBY, ROLE_NONE };

static void update_view(struct state *state, struct instant now);
static void end_ownerships(struct state *state, struct instant now);
static void rank(struct state *state, struct customer_quota *quota);
static enum quota_role
own_role(struct state *state, struct customer_quota *quota, struct instant now);
static bool may_begin(const struct state *state,
		      const struct customer_quota *quota, struct instant now);
static bool was_owner(const struct state *state,
		      const struct customer_quota *quota, struct instant now);
static bool take_held(struct state *state, struct customer_quota *quota,
		      uint32_t index, struct instant now);
static bool take_own(struct state *state, const struct customer *customer,
		     struct customer_quota *quota, uint32_t index,
		     struct instant now, uint32_t *wait_ms);
static bool take_reserve(struct state *state, const struct customer *customer,
			 struct customer_quota *quota, uint32_t index,
			 struct instant now);
static void set_token(struct state *state, struct customer_quota *quota,
		      uint32_t index, uint64_t until_us, struct instant now);
static void count_used(struct customer_quota *quota, struct instant now);
static void wait_for_token(struct state *state, struct customer_quota *quota,
			   uint32_t index, struct instant now,
			   struct event_list *out);
static void begin_ask(struct state *state, struct customer_quota *quota,
		      struct instant now, struct event_list *out);
static void refuse(struct state *state, uint32_t index, uint64_t wait_ms,
		   struct instant now, struct event_list *out);
static uint32_t pop_waiting(struct state *state, struct customer_quota *quota,
			    struct instant now);
static void serve_waiting(struct state *state, struct customer_quota *quota,
			  struct instant now, struct event_list *out);
static void end_ask(struct state *state, struct customer_quota *quota);
static void next_stage(struct state *state, struct customer_quota *quota,
		       struct instant now, struct event_list *out);
static bool enter_stage(struct state *state, struct customer_quota *quota,
			struct instant now, struct event_list *out);
static bool enter_standby(struct state *state, struct customer_quota *quota,
			  struct instant now, struct event_list *out);
static void send_ask(struct state *state, struct customer_quota *quota,
		     struct net_addr to, struct instant now,
		     struct event_list *out);
static void give_up(struct state *state, struct customer_quota *quota,
		    struct instant now, struct event_list *out);
static void refuse_waiting(struct state *state, struct customer_quota *quota,
			   uint32_t wait_ms, struct instant now,
			   struct event_list *out);
static void answer_ask(struct state *state, const struct peer_message *message,
		       struct instant now, struct event_list *out);
static struct token_grant grant_tokens(struct state *state,
				       const struct customer *customer,
				       const struct peer_quota *ask,
				       struct instant now, bool *declined);
static void accept_grant(struct state *state, const struct peer_quota *grant,
			 struct instant now, struct event_list *out);
static uint32_t pause_ms(struct customer_quota *quota,
			 const struct peer_quota *grant);
static bool is_expected(const struct customer_quota *quota,
			const struct peer_quota *grant);
static void add_tokens(struct state *state, struct customer_quota *quota,
		       const struct peer_quota *grant, struct instant now);
static void hold_tokens(struct customer_quota *quota, uint32_t tokens,
			uint64_t until_us, struct instant now);
static void tick_customer(struct state *state, struct customer_quota *quota,
			  struct instant now, struct event_list *out);
static void drop_unused(struct state *state, struct instant now);

enum quota_result quota_take(struct state *state, uint32_t index,
			     struct instant now, struct event_list *out)
{
	struct ticket *ticket = &state->tickets[index];
	const struct customer *customer =
		quota_customer(state, ticket->customer_hash);
	struct customer_quota *quota;
	uint32_t wait_ms;

	if (!customer)
		return QUOTA_TAKEN;
	update_view(state, now);
	quota = quotas_add(&state->quotas, customer->hash);
	quota->last_used_us = now.mono_us;
	if (take_held(state, quota, index, now))
		return QUOTA_TAKEN;
	if (own_role(state, quota, now) == ROLE_OWNER) {
		if (take_own(state, customer, quota, index, now, &wait_ms))
			return QUOTA_TAKEN;
		refuse(state, index, wait_ms, now, out);
		return QUOTA_REFUSED;
	}
	if (now.mono_us < quota->refused_until_us) {
		refuse(state, index,
		       (quota->refused_until_us - now.mono_us) / US_PER_MS + 1,
		       now, out);
		return QUOTA_REFUSED;
	}
	if (quota->waiting->len >= WAITING_MAX) {
		if (take_reserve(state, customer, quota, index, now))
			return QUOTA_TAKEN;
		refuse(state, index, ASK_US / US_PER_MS, now, out);
		return QUOTA_REFUSED;
	}
	wait_for_token(state, quota, index, now, out);
	return QUOTA_ASKED;
}

void quota_give_back(struct state *state, struct ticket *ticket,
		     struct instant now)
{
	const struct customer *customer =
		quota_customer(state, ticket->customer_hash);
	struct customer_quota *quota =
		quotas_find(&state->quotas, ticket->customer_hash);

	ticket->has_token = false;
	if (!customer || !quota)
		return;
	if (own_role(state, quota, now) == ROLE_OWNER &&
	    quota->bucket.filled_us != 0) {
		quota_bucket_add(customer, &quota->bucket, 1);
		return;
	}
	if (now.mono_us >= ticket->token_until_us) {
		quota->returned_tokens++;
		return;
	}
	hold_tokens(quota, 1, ticket->token_until_us, now);
}

void quota_cancel(struct state *state, uint32_t index)
{
	struct customer_quota *quota = quotas_find(
		&state->quotas, state->tickets[index].customer_hash);
	guint i;

	if (!quota)
		return;
	for (i = 0; i < quota->waiting->len; i++) {
		if (g_array_index(quota->waiting, uint32_t, i) != index)
			continue;
		g_array_remove_index(quota->waiting, i);
		return;
	}
}

void quota_handle_message(struct state *state,
			  const struct peer_message *message,
			  struct instant now, struct event_list *out)
{
	if (!quota_enforced(state))
		return;
	update_view(state, now);
	switch (message->kind) {
	case PEER_QUOTA_REQUEST:
		answer_ask(state, message, now, out);
		break;
	case PEER_QUOTA_GRANT:
		accept_grant(state, &message->quota, now, out);
		break;
	case PEER_PING:
	case PEER_ACK:
	case PEER_PING_REQUEST:
	case PEER_DIGEST:
	case PEER_LEASE_REQUEST:
	case PEER_LEASE_GRANT:
	case PEER_LEASE_RETURN:
	case PEER_LEFT_STARTS:
		break;
	}
}

void quota_tick(struct state *state, struct instant now, struct event_list *out)
{
	struct quotas *quotas = &state->quotas;
	GHashTableIter iter;
	gpointer value;

	if (quotas->begun_us == 0)
		quotas->begun_us = now.mono_us;
	if (quota_enforced(state))
		update_view(state, now);
	if (quotas->unanswered > 0) {
		g_hash_table_iter_init(&iter, quotas->customers);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			tick_customer(state, value, now, out);
	}
	if (now.mono_us >= quotas->drop_due_us)
		drop_unused(state, now);
}

static void update_view(struct state *state, struct instant now)
{
	struct quotas *quotas = &state->quotas;
	struct fleet_view view;
	bool may_own;

	if (quotas->begun_us == 0)
		quotas->begun_us = now.mono_us;
	if (now.mono_us < quotas->view_due_us)
		return;
	quotas->view_due_us = now.mono_us + VIEW_INTERVAL_US;
	quota_view(state, &view);
	may_own = quota_may_own(state, &view, now);
	quotas->alive = view.alive;
	if (ABS((int32_t)view.alive - (int32_t)quotas->settled_alive) >
	    (int32_t)(view.known / MOVED_DIVISOR)) {
		quotas->settled_alive = view.alive;
		quotas->moved_us = now.mono_us;
	}
	quotas->known = view.known;
	if (may_own && quotas->may_own && view.alive_hash == quotas->alive_hash)
		return;
	quotas->may_own = may_own;
	quotas->alive_hash = view.alive_hash;
	quotas->alive_since_us = now.mono_us;
	end_ownerships(state, now);
}

/* Stops the refill of the buckets of customers that have another owner now. */
static void end_ownerships(struct state *state, struct instant now)
{
	struct customer_quota *quota;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, state->quotas.customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		quota = value;
		if (quota->bucket.until_us == DEADLINE_NONE_US &&
		    own_role(state, quota, now) != ROLE_OWNER)
			quota->bucket.until_us = now.mono_us;
	}
}

static void rank(struct state *state, struct customer_quota *quota)
{
	struct net_addr owner = quota->owner;
	struct net_addr standby = quota->standby;

	if (quota->ranked && quota->ranked_hash == state->quotas.alive_hash)
		return;
	quota_rank(state, quota->customer_hash, &quota->owner, &quota->standby);
	if (quota->ranked && (!addr_equal(owner, quota->owner) ||
			      !addr_equal(standby, quota->standby)))
		state->quotas.counters.owner_changes++;
	if (!quota->ranked || !addr_equal(owner, quota->owner))
		quota->ranked_us = state->quotas.alive_since_us;
	quota->ranked = true;
	quota->ranked_hash = state->quotas.alive_hash;
}

static enum quota_role
own_role(struct state *state, struct customer_quota *quota, struct instant now)
{
	struct net_addr self = state->membership.self.peer;

	if (!state->quotas.may_own)
		return ROLE_NONE;
	rank(state, quota);
	if (addr_equal(quota->standby, self))
		return ROLE_STANDBY;
	if (!addr_equal(quota->owner, self))
		return ROLE_NONE;
	/* Until a new owner may begin, it grants from the standby's bucket. */
	if (quota->bucket.until_us != DEADLINE_NONE_US &&
	    !may_begin(state, quota, now))
		return ROLE_STANDBY;
	return ROLE_OWNER;
}

static bool may_begin(const struct state *state,
		      const struct customer_quota *quota, struct instant now)
{
	const struct quotas *quotas = &state->quotas;
	bool many_missing = quotas->known - quotas->alive >
			    quotas->known / MOVED_DIVISOR;
	uint64_t delay_us = many_missing ? BEGIN_DELAY_MANY_US : BEGIN_DELAY_US;

	return now.mono_us >= quota->ranked_us + delay_us &&
	       now.mono_us >= quotas->moved_us + delay_us;
}

/* Whether this instance owned the customer within the last window. */
static bool was_owner(const struct state *state,
		      const struct customer_quota *quota, struct instant now)
{
	uint64_t window_us = state->settings->quota_window_ms * US_PER_MS;

	return quota->bucket.filled_us != 0 &&
	       (quota->bucket.until_us == DEADLINE_NONE_US ||
		now.mono_us < quota->bucket.until_us + window_us);
}

static bool take_held(struct state *state, struct customer_quota *quota,
		      uint32_t index, struct instant now)
{
	if (quota->tokens == 0 || now.mono_us >= quota->tokens_until_us)
		return false;
	quota->tokens--;
	set_token(state, quota, index, quota->tokens_until_us, now);
	return true;
}

static bool take_own(struct state *state, const struct customer *customer,
		     struct customer_quota *quota, uint32_t index,
		     struct instant now, uint32_t *wait_ms)
{
	const struct token_ask ask = { .wanted_tokens = 1 };
	struct token_grant grant;

	quota_bucket_update(state, customer, &quota->bucket, DEADLINE_NONE_US,
			    now);
	grant = quota_bucket_take(customer, &quota->bucket, &ask);
	*wait_ms = grant.wait_ms;
	if (grant.tokens == 0)
		return false;
	state->quotas.counters.own_tokens++;
	set_token(state, quota, index, now.mono_us, now);
	return true;
}

/*
 * The reserve is this instance's part of what all instances together may use
 * without owner and standby. A part below one token is given out at random.
 */
static bool take_reserve(struct state *state, const struct customer *customer,
			 struct customer_quota *quota, uint32_t index,
			 struct instant now)
{
	uint64_t share_milli;

	if (now.mono_us >= quota->reserve_due_us) {
		share_milli = quota_headroom_milli(state->settings, customer) /
			      RESERVE_HEADROOM_DIVISOR / state->quotas.known;
		quota->reserve_due_us =
			now.mono_us +
			state->settings->quota_window_ms * US_PER_MS;
		quota->reserve_tokens = (uint32_t)(share_milli / PERMILLE_ONE);
		if ((uint64_t)g_rand_int_range(state->rand, 0, PERMILLE_ONE) <
		    share_milli % PERMILLE_ONE)
			quota->reserve_tokens++;
	}
	if (quota->reserve_tokens == 0)
		return false;
	quota->reserve_tokens--;
	state->quotas.counters.reserve_tokens++;
	set_token(state, quota, index, now.mono_us, now);
	return true;
}

static void set_token(struct state *state, struct customer_quota *quota,
		      uint32_t index, uint64_t until_us, struct instant now)
{
	state->tickets[index].has_token = true;
	state->tickets[index].token_until_us = until_us;
	count_used(quota, now);
	quota->used_tokens[0]++;
}

/* Begins a new second of the count of used tokens when the last one is over. */
static void count_used(struct customer_quota *quota, struct instant now)
{
	if (now.mono_us < quota->used_until_us)
		return;
	quota->used_tokens[1] = now.mono_us < quota->used_until_us + US_PER_S ?
					quota->used_tokens[0] :
					0;
	quota->used_tokens[0] = 0;
	quota->used_until_us = now.mono_us + US_PER_S;
}

static void wait_for_token(struct state *state, struct customer_quota *quota,
			   uint32_t index, struct instant now,
			   struct event_list *out)
{
	struct ticket *ticket = &state->tickets[index];

	ticket->state = TICKET_ASKING;
	ticket->queued_us = now.mono_us;
	g_array_append_val(quota->waiting, index);
	if (quota->ask.stage == QUOTA_STAGE_NONE)
		begin_ask(state, quota, now, out);
}

static void begin_ask(struct state *state, struct customer_quota *quota,
		      struct instant now, struct event_list *out)
{
	const struct quota_ask ask = { .round = quota->ask.round + 1 };

	state->quotas.unanswered++;
	quota->ask = ask;
	next_stage(state, quota, now, out);
}

static void refuse(struct state *state, uint32_t index, uint64_t wait_ms,
		   struct instant now, struct event_list *out)
{
	const struct refusal refusal = {
		.cause = REFUSAL_OVER_QUOTA,
		.outcome = OUTCOME_NOT_RUN,
		.retry_at_unix_ms = now.unix_ms + MAX(wait_ms, 1),
	};

	ticket_refuse(state, index, refusal, now, out);
}

/* Takes the request that has waited longest off the list. */
static uint32_t pop_waiting(struct state *state, struct customer_quota *quota,
			    struct instant now)
{
	uint32_t index = g_array_index(quota->waiting, uint32_t, 0);

	g_array_remove_index(quota->waiting, 0);
	histogram_add(&state->quotas.counters.wait_us,
		      now.mono_us - state->tickets[index].queued_us);
	return index;
}

static void serve_waiting(struct state *state, struct customer_quota *quota,
			  struct instant now, struct event_list *out)
{
	uint32_t index;

	while (quota->waiting->len > 0) {
		index = g_array_index(quota->waiting, uint32_t, 0);
		if (!take_held(state, quota, index, now))
			return;
		pop_waiting(state, quota, now);
		admit_with_token(state, index, now, out);
	}
}

static void end_ask(struct state *state, struct customer_quota *quota)
{
	quota->ask.stage = QUOTA_STAGE_NONE;
	state->quotas.unanswered--;
}

static void next_stage(struct state *state, struct customer_quota *quota,
		       struct instant now, struct event_list *out)
{
	rank(state, quota);
	while (++quota->ask.stage < QUOTA_STAGES) {
		if (enter_stage(state, quota, now, out))
			return;
		if (quota->waiting->len == 0)
			break;
	}
	end_ask(state, quota);
	give_up(state, quota, now, out);
}

/* Return: false if the stage has nothing to wait for. */
static bool enter_stage(struct state *state, struct customer_quota *quota,
			struct instant now, struct event_list *out)
{
	struct net_addr self = state->membership.self.peer;

	switch (quota->ask.stage) {
	case QUOTA_STAGE_OWNER:
	case QUOTA_STAGE_OWNER_AGAIN:
		/* This instance is the owner but may not grant. */
		if (addr_equal(quota->owner, self))
			quota->ask.owner_declined = true;
		if (quota->owner.port == 0 || quota->ask.owner_declined)
			return false;
		send_ask(state, quota, quota->owner, now, out);
		return true;
	case QUOTA_STAGE_STANDBY:
		return enter_standby(state, quota, now, out);
	case QUOTA_STAGE_NONE:
	case QUOTA_STAGES:
		return false;
	}
	return false;
}

static bool enter_standby(struct state *state, struct customer_quota *quota,
			  struct instant now, struct event_list *out)
{
	const struct customer *customer =
		quota_customer(state, quota->customer_hash);
	struct peer_quota ask = {
		.customer_hash = quota->customer_hash,
		.wanted_tokens = quota->waiting->len,
		.owner_declined = quota->ask.owner_declined,
	};
	struct token_grant grant;
	uint32_t index;
	bool declined;

	if (quota->standby.port == 0 || !customer)
		return false;
	if (!addr_equal(quota->standby, state->membership.self.peer)) {
		send_ask(state, quota, quota->standby, now, out);
		return true;
	}
	grant = grant_tokens(state, customer, &ask, now, &declined);
	for (; grant.tokens > 0; grant.tokens--) {
		index = pop_waiting(state, quota, now);
		set_token(state, quota, index, now.mono_us, now);
		admit_with_token(state, index, now, out);
	}
	return false;
}

static void send_ask(struct state *state, struct customer_quota *quota,
		     struct net_addr to, struct instant now,
		     struct event_list *out)
{
	struct peer_message *message = g_new0(struct peer_message, 1);
	struct quota_ask *ask = &quota->ask;
	const struct customer *customer =
		quota_customer(state, quota->customer_hash);
	uint64_t used;

	count_used(quota, now);
	used = MAX(quota->used_tokens[0], quota->used_tokens[1]);
	message->kind = PEER_QUOTA_REQUEST;
	message->quota.customer_hash = quota->customer_hash;
	message->quota.sequence = ask->round * QUOTA_STAGES + ask->stage;
	message->quota.wanted_tokens = quota->waiting->len;
	if (customer)
		message->quota.spare_tokens =
			(uint32_t)(used *
				   quota_token_ttl_ms(state->settings,
						      customer) /
				   MS_PER_S);
	message->quota.returned_tokens = quota->returned_tokens;
	message->quota.owner_declined = ask->owner_declined;
	quota->returned_tokens = 0;
	ask->asked_tokens = quota->waiting->len;
	ask->asked_us[ask->stage] = now.mono_us;
	ask->due_us = now.mono_us + ASK_US;
	state->quotas.counters.asks++;
	member_send(state, to, message, out);
}

/* Neither owner nor standby has granted tokens for the waiting requests. */
static void give_up(struct state *state, struct customer_quota *quota,
		    struct instant now, struct event_list *out)
{
	const struct customer *customer =
		quota_customer(state, quota->customer_hash);
	uint32_t index;

	while (quota->waiting->len > 0) {
		index = g_array_index(quota->waiting, uint32_t, 0);
		/* Without a limit any more, the requests need no token. */
		if (customer &&
		    !take_reserve(state, customer, quota, index, now))
			break;
		pop_waiting(state, quota, now);
		admit_with_token(state, index, now, out);
	}
	refuse_waiting(state, quota, PAUSE_MIN_MS << PAUSE_DOUBLINGS_MAX, now,
		       out);
}

static void refuse_waiting(struct state *state, struct customer_quota *quota,
			   uint32_t wait_ms, struct instant now,
			   struct event_list *out)
{
	uint32_t index;

	while (quota->waiting->len > 0) {
		index = pop_waiting(state, quota, now);
		refuse(state, index, wait_ms, now, out);
	}
}

static void answer_ask(struct state *state, const struct peer_message *message,
		       struct instant now, struct event_list *out)
{
	const struct peer_quota *ask = &message->quota;
	const struct customer *customer =
		quota_customer(state, ask->customer_hash);
	struct token_grant grant = { 0 };
	struct peer_message *answer;
	bool declined = true;

	if (!membership_find(&state->membership, message->sender))
		return;
	if (customer)
		grant = grant_tokens(state, customer, ask, now, &declined);
	state->quotas.counters.lent_tokens += grant.tokens;
	state->quotas.counters.empty_answers += grant.tokens <
						ask->wanted_tokens;
	answer = g_new0(struct peer_message, 1);
	answer->kind = PEER_QUOTA_GRANT;
	answer->quota.customer_hash = ask->customer_hash;
	answer->quota.sequence = ask->sequence;
	answer->quota.granted_tokens = grant.tokens;
	answer->quota.wait_ms = grant.wait_ms;
	answer->quota.declined = declined;
	if (customer)
		answer->quota.ttl_ms =
			(uint32_t)quota_token_ttl_ms(state->settings, customer);
	member_send(state, message->sender, answer, out);
}

/*
 * Takes tokens from the bucket of this instance's role. @declined is cleared if
 * that is the owner's bucket: the requester then asks no other instance.
 */
static struct token_grant grant_tokens(struct state *state,
				       const struct customer *customer,
				       const struct peer_quota *ask,
				       struct instant now, bool *declined)
{
	struct customer_quota *quota =
		quotas_add(&state->quotas, customer->hash);
	struct token_ask tokens = { .wanted_tokens = ask->wanted_tokens };
	enum quota_role role = own_role(state, quota, now);
	const struct token_grant none = { 0 };
	uint64_t until_us = DEADLINE_NONE_US;

	*declined = true;
	quota->last_used_us = now.mono_us;
	if (role == ROLE_NONE)
		return none;
	if (role == ROLE_STANDBY &&
	    !(ask->owner_declined && was_owner(state, quota, now))) {
		quota_standby_update(state, customer, &quota->standby_bucket,
				     now);
		return quota_bucket_take(customer, &quota->standby_bucket,
					 &tokens);
	}
	*declined = false;
	tokens.spare_tokens = ask->spare_tokens;
	if (role == ROLE_STANDBY)
		until_us = now.mono_us + ACTING_US;
	quota_bucket_update(state, customer, &quota->bucket, until_us, now);
	quota_bucket_add(customer, &quota->bucket, ask->returned_tokens);
	return quota_bucket_take(customer, &quota->bucket, &tokens);
}

static void accept_grant(struct state *state, const struct peer_quota *grant,
			 struct instant now, struct event_list *out)
{
	struct customer_quota *quota =
		quotas_find(&state->quotas, grant->customer_hash);
	enum quota_stage stage = grant->sequence % QUOTA_STAGES;
	struct quota_ask *ask;
	uint32_t wait_ms;
	bool current;

	if (!quota || !is_expected(quota, grant))
		return;
	ask = &quota->ask;
	current = ask->stage == stage;
	ask->answered |= UINT32_C(1) << stage;
	add_tokens(state, quota, grant, now);
	serve_waiting(state, quota, now, out);
	if (ask->stage == QUOTA_STAGE_NONE)
		return;
	if (quota->waiting->len == 0) {
		quota->refusals = 0;
		end_ask(state, quota);
		return;
	}
	if (!current)
		return;
	if (stage != QUOTA_STAGE_STANDBY && grant->declined)
		ask->owner_declined = true;
	if (grant->declined) {
		next_stage(state, quota, now, out);
		return;
	}
	end_ask(state, quota);
	if (grant->granted_tokens >= ask->asked_tokens) {
		/* Further requests have come since the ask. */
		begin_ask(state, quota, now, out);
		return;
	}
	wait_ms = pause_ms(quota, grant);
	quota->refused_until_us = now.mono_us + wait_ms * US_PER_MS;
	refuse_waiting(state, quota, wait_ms, now, out);
}

/* Return: time without asks after an answer with too few tokens. */
static uint32_t pause_ms(struct customer_quota *quota,
			 const struct peer_quota *grant)
{
	uint32_t doublings = MIN(quota->refusals, PAUSE_DOUBLINGS_MAX);

	if (quota->refusals++ == 0)
		return grant->wait_ms;
	return MAX(grant->wait_ms, PAUSE_MIN_MS << doublings);
}

/* Return: whether it answers a datagram of the last ask for the first time. */
static bool is_expected(const struct customer_quota *quota,
			const struct peer_quota *grant)
{
	enum quota_stage stage = grant->sequence % QUOTA_STAGES;

	return grant->sequence / QUOTA_STAGES == quota->ask.round &&
	       stage != QUOTA_STAGE_NONE && quota->ask.asked_us[stage] != 0 &&
	       !(quota->ask.answered & UINT32_C(1) << stage);
}

static void add_tokens(struct state *state, struct customer_quota *quota,
		       const struct peer_quota *grant, struct instant now)
{
	uint64_t until_us =
		quota->ask.asked_us[grant->sequence % QUOTA_STAGES] +
		grant->ttl_ms * US_PER_MS;

	if (grant->granted_tokens == 0 || now.mono_us >= until_us)
		return;
	state->quotas.counters.granted_tokens += grant->granted_tokens;
	hold_tokens(quota, grant->granted_tokens, until_us, now);
}

/* Tokens that are held already and @tokens get the earlier end of the two. */
static void hold_tokens(struct customer_quota *quota, uint32_t tokens,
			uint64_t until_us, struct instant now)
{
	if (quota->tokens == 0 || now.mono_us >= quota->tokens_until_us) {
		quota->tokens = 0;
		quota->tokens_until_us = until_us;
	}
	quota->tokens += tokens;
	quota->tokens_until_us = MIN(quota->tokens_until_us, until_us);
}

static void tick_customer(struct state *state, struct customer_quota *quota,
			  struct instant now, struct event_list *out)
{
	if (quota->ask.stage == QUOTA_STAGE_NONE ||
	    now.mono_us < quota->ask.due_us)
		return;
	if (quota->waiting->len == 0) {
		end_ask(state, quota);
		return;
	}
	next_stage(state, quota, now, out);
}

/*
 * A bucket that is dropped begins with a level as of a first use, which is not
 * above that of a bucket unused for so long.
 */
static void drop_unused(struct state *state, struct instant now)
{
	const struct customer_quota *quota;
	GHashTableIter iter;
	gpointer value;

	state->quotas.drop_due_us = now.mono_us + DROP_INTERVAL_US;
	g_hash_table_iter_init(&iter, state->quotas.customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		quota = value;
		if (quota->ask.stage == QUOTA_STAGE_NONE &&
		    now.mono_us > quota->last_used_us + DROP_UNUSED_US)
			g_hash_table_iter_remove(&iter);
	}
}
