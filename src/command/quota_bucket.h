#ifndef COMMAND_QUOTA_BUCKET_H
#define COMMAND_QUOTA_BUCKET_H

/**
 * DOC: token buckets of the owner and the standby of a customer
 *
 * The headroom above the quota is split: a quarter for the life of tokens, an
 * eighth for the reserve, a quarter for the standby (three sixteenths at once,
 * the rest as its rate), and three sixteenths for each of two changes of the
 * owner within a window.
 */

#include "core/state.h"

/**
 * struct token_ask - tokens that an instance asks for
 * @wanted_tokens: tokens for requests that wait
 * @spare_tokens: further tokens, given if the bucket is at least half full
 */
struct token_ask {
	uint32_t wanted_tokens;
	uint32_t spare_tokens;
};

/**
 * struct token_grant - tokens taken from a bucket
 * @tokens: number of tokens
 * @wait_ms: time until the next token, if there are fewer than wanted
 */
struct token_grant {
	uint32_t tokens;
	uint32_t wait_ms;
};

/**
 * quota_bucket_update() - refill the bucket of the owner before its use
 * @state: routing state
 * @customer: customer with a rate limit
 * @bucket: its bucket
 * @until_us: the bucket is refilled until this time without another use
 * @now: current time
 */
void quota_bucket_update(const struct state *state,
			 const struct customer *customer,
			 struct quota_bucket *bucket, uint64_t until_us,
			 struct instant now);

/**
 * quota_standby_update() - refill the bucket of the standby before its use
 * @state: routing state
 * @customer: customer with a rate limit
 * @bucket: its bucket
 * @now: current time
 */
void quota_standby_update(const struct state *state,
			  const struct customer *customer,
			  struct quota_bucket *bucket, struct instant now);

/**
 * quota_bucket_take() - take tokens from a bucket that has been refilled
 * @customer: customer with a rate limit
 * @bucket: its bucket
 * @ask: tokens asked for
 *
 * Return: the tokens taken.
 */
struct token_grant quota_bucket_take(const struct customer *customer,
				     struct quota_bucket *bucket,
				     const struct token_ask *ask);

/**
 * quota_bucket_add() - put back tokens that were not used
 * @customer: customer with a rate limit
 * @bucket: its bucket
 * @tokens: number of tokens
 */
void quota_bucket_add(const struct customer *customer,
		      struct quota_bucket *bucket, uint32_t tokens);

#endif
