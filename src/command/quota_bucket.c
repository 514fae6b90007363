#include "command/quota_bucket.h"

#include "query/quota_owner.h"

/* Longest time for which a bucket is refilled at once, against overflow. */
#define REFILL_MAX_US (3600 * US_PER_S)
/* Parts of the headroom, see quota_bucket.h. */
#define START_HEADROOM_SIXTEENTHS 3
#define STANDBY_HEADROOM_SIXTEENTHS 3
#define STANDBY_RATE_DIVISOR 16

static uint64_t capacity_milli(const struct customer *customer);
static uint64_t first_level_milli(const struct state *state,
				  const struct customer *customer,
				  struct instant now);
static void refill(struct quota_bucket *bucket, uint64_t rate_milli,
		   uint64_t capacity, uint64_t to_us);

void quota_bucket_update(const struct state *state,
			 const struct customer *customer,
			 struct quota_bucket *bucket, uint64_t until_us,
			 struct instant now)
{
	uint64_t window_us = state->settings->quota_window_ms * US_PER_MS;
	uint64_t start = quota_headroom_milli(state->settings, customer) *
			 START_HEADROOM_SIXTEENTHS / 16;

	if (bucket->filled_us == 0 ||
	    (now.mono_us > bucket->until_us &&
	     now.mono_us - bucket->until_us > window_us)) {
		bucket->level_milli = first_level_milli(state, customer, now);
		bucket->filled_us = now.mono_us;
	} else if (now.mono_us > bucket->until_us) {
		/* Another instance may have granted since @until_us. */
		refill(bucket, customer->rate_milli, capacity_milli(customer),
		       bucket->until_us);
		bucket->level_milli = MIN(bucket->level_milli, start);
		bucket->filled_us = now.mono_us;
	}
	refill(bucket, customer->rate_milli, capacity_milli(customer),
	       now.mono_us);
	bucket->until_us = until_us;
}

void quota_standby_update(const struct state *state,
			  const struct customer *customer,
			  struct quota_bucket *bucket, struct instant now)
{
	uint64_t capacity = quota_headroom_milli(state->settings, customer) *
			    STANDBY_HEADROOM_SIXTEENTHS / 16;
	uint64_t rate_milli = (uint64_t)customer->rate_milli *
			      state->settings->quota_overshoot_permille /
			      PERMILLE_ONE / STANDBY_RATE_DIVISOR;

	if (bucket->filled_us == 0) {
		bucket->level_milli = capacity;
		bucket->filled_us = now.mono_us;
	}
	refill(bucket, rate_milli, capacity, now.mono_us);
}

struct token_grant quota_bucket_take(const struct customer *customer,
				     struct quota_bucket *bucket,
				     const struct token_ask *ask)
{
	uint64_t half = capacity_milli(customer) / 2;
	struct token_grant grant = { 0 };
	uint64_t spare;

	grant.tokens = (uint32_t)MIN(ask->wanted_tokens,
				     bucket->level_milli / PERMILLE_ONE);
	bucket->level_milli -= (uint64_t)grant.tokens * PERMILLE_ONE;
	if (grant.tokens < ask->wanted_tokens) {
		grant.wait_ms = (uint32_t)MIN(
			(PERMILLE_ONE - bucket->level_milli) * MS_PER_S /
					customer->rate_milli +
				1,
			REFILL_MAX_US / US_PER_MS);
		return grant;
	}
	if (bucket->level_milli < half)
		return grant;
	spare = MIN(ask->spare_tokens,
		    (bucket->level_milli - half) / PERMILLE_ONE);
	bucket->level_milli -= spare * PERMILLE_ONE;
	grant.tokens += (uint32_t)spare;
	return grant;
}

void quota_bucket_add(const struct customer *customer,
		      struct quota_bucket *bucket, uint32_t tokens)
{
	bucket->level_milli =
		MIN(bucket->level_milli + (uint64_t)tokens * PERMILLE_ONE,
		    capacity_milli(customer));
}

/* A bucket below one token would never grant any. */
static uint64_t capacity_milli(const struct customer *customer)
{
	return (uint64_t)MAX(customer->burst_requests, 1) * PERMILLE_ONE;
}

/*
 * Level of a bucket that is used for the first time or after a long time: a
 * part of the headroom, and what has flowed in since the owner can have been
 * another instance.
 */
static uint64_t first_level_milli(const struct state *state,
				  const struct customer *customer,
				  struct instant now)
{
	struct quota_bucket bucket = {
		.level_milli = quota_headroom_milli(state->settings, customer) *
			       START_HEADROOM_SIXTEENTHS / 16,
		.filled_us = MIN(state->quotas.alive_since_us, now.mono_us),
	};

	bucket.level_milli = MIN(bucket.level_milli, capacity_milli(customer));
	refill(&bucket, customer->rate_milli, capacity_milli(customer),
	       now.mono_us);
	return bucket.level_milli;
}

static void refill(struct quota_bucket *bucket, uint64_t rate_milli,
		   uint64_t capacity, uint64_t to_us)
{
	uint64_t time_us;
	uint64_t added;

	if (to_us > bucket->filled_us && rate_milli > 0) {
		time_us = MIN(to_us - bucket->filled_us, REFILL_MAX_US);
		added = rate_milli * time_us / US_PER_S;
		bucket->level_milli += added;
		/* Keeps the time of the part of a thousandth that is left. */
		bucket->filled_us += added * US_PER_S / rate_milli;
	}
	if (bucket->level_milli < capacity)
		return;
	bucket->level_milli = capacity;
	bucket->filled_us = MAX(bucket->filled_us, to_us);
}
