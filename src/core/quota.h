#ifndef CORE_QUOTA_H
#define CORE_QUOTA_H

/**
 * DOC: quotas of customers over the whole fleet
 *
 * Each customer's tokens come from one instance, its owner, which the other
 * instances ask. A token allows one request to be sent to a backend server.
 */

#include <glib.h>

#include "core/ids.h"
#include "core/metrics.h"

/**
 * enum quota_stage - which instance an ask for tokens has been sent to
 * @QUOTA_STAGE_NONE: no ask is unanswered
 * @QUOTA_STAGE_OWNER: the owner
 * @QUOTA_STAGE_STANDBY: the standby, as the owner did not answer or declined
 * @QUOTA_STAGE_OWNER_AGAIN: the owner once more, as one of its datagrams may
 *	have been lost
 * @QUOTA_STAGES: number of stages
 */
enum quota_stage {
	QUOTA_STAGE_NONE,
	QUOTA_STAGE_OWNER,
	QUOTA_STAGE_STANDBY,
	QUOTA_STAGE_OWNER_AGAIN,
	QUOTA_STAGES,
};

/**
 * struct quota_ask - tokens that this instance asks for
 * @round: number of asks so far; one has a datagram for each of its stages
 * @stage: enum quota_stage
 * @asked_tokens: tokens wanted by the last datagram
 * @asked_us: when the datagram of each stage was sent
 * @answered: bit mask of the stages whose datagram was answered
 * @due_us: when the next stage begins without an answer
 * @owner_declined: the owner may not grant tokens now
 */
struct quota_ask {
	uint64_t round;
	enum quota_stage stage;
	uint32_t asked_tokens;
	uint64_t asked_us[QUOTA_STAGES];
	uint32_t answered;
	uint64_t due_us;
	bool owner_declined;
};

/**
 * struct quota_bucket - token bucket
 * @level_milli: tokens in it, in thousandths
 * @filled_us: time up to which it has been refilled, 0 before its first use
 * @until_us: it is refilled for the time up to this one; a later use begins
 *	with a reduced level, as another instance may have granted since
 */
struct quota_bucket {
	uint64_t level_milli;
	uint64_t filled_us;
	uint64_t until_us;
};

/**
 * struct customer_quota - quota of one customer as seen by this instance
 * @customer_hash: hash of the customer's name
 * @ranked: @owner and @standby are valid for @ranked_hash
 * @ranked_hash: hash of the alive instances that @owner and @standby are of
 * @ranked_us: since when at the latest @owner has been the same
 * @owner: peer address of the owner, port 0 for none
 * @standby: peer address of the standby, port 0 for none
 * @bucket: tokens that this instance grants as the owner
 * @standby_bucket: tokens that it grants as the standby
 * @reserve_tokens: tokens left for times without owner and standby
 * @reserve_due_us: when @reserve_tokens is filled again
 * @tokens: granted tokens that are not in use
 * @tokens_until_us: these tokens are not used after this time
 * @returned_tokens: tokens that are given back to the owner with the next ask
 * @used_tokens: tokens used in the current and in the previous second
 * @used_until_us: end of the current second
 * @waiting: array of uint32_t, tickets of the requests that wait for a token
 * @ask: ask for tokens
 * @refused_until_us: requests are refused without an ask until this time, as
 *	the owner had no tokens left
 * @refusals: such answers of the owner in a row
 * @last_used_us: when a request or an ask last came
 */
struct customer_quota {
	uint64_t customer_hash;
	bool ranked;
	uint64_t ranked_hash;
	uint64_t ranked_us;
	struct net_addr owner;
	struct net_addr standby;
	struct quota_bucket bucket;
	struct quota_bucket standby_bucket;
	uint32_t reserve_tokens;
	uint64_t reserve_due_us;
	uint32_t tokens;
	uint64_t tokens_until_us;
	uint32_t returned_tokens;
	uint32_t used_tokens[2];
	uint64_t used_until_us;
	GArray *waiting;
	struct quota_ask ask;
	uint64_t refused_until_us;
	uint32_t refusals;
	uint64_t last_used_us;
};

/**
 * struct quota_counters - counters of the quotas of all customers
 * @asks: datagrams that asked for tokens
 * @granted_tokens: tokens received in answers
 * @lent_tokens: tokens granted to other instances
 * @own_tokens: tokens taken from own buckets
 * @empty_answers: asks of other instances answered with fewer tokens than
 *	wanted
 * @reserve_tokens: tokens taken from the reserve
 * @owner_changes: times that an owner or standby in use changed
 * @wait_us: time that requests waited for tokens
 */
struct quota_counters {
	uint64_t asks;
	uint64_t granted_tokens;
	uint64_t lent_tokens;
	uint64_t own_tokens;
	uint64_t empty_answers;
	uint64_t reserve_tokens;
	uint64_t owner_changes;
	struct histogram wait_us;
};

/**
 * struct quotas - quotas of all customers in use at this instance
 * @customers: customer hash, within the value, to struct customer_quota, owned
 * @begun_us: when this instance began to watch the other instances, 0 before
 * @alive_hash: as in struct fleet_view (query/quota_owner.h)
 * @alive_since_us: since when @alive_hash is unchanged and this instance has
 *	been allowed to own customers
 * @alive: alive instances, this one included
 * @known: all instances that are known, this one included
 * @settled_alive: value of @alive when it last changed by more than a few
 * @moved_us: when @alive last changed by more than a few
 * @view_due_us: when the instances are counted next
 * @may_own: this instance has contact with enough others to own customers
 * @unanswered: customers with an unanswered ask
 * @drop_due_us: when unused entries of @customers are dropped next
 * @counters: counters for metrics
 */
struct quotas {
	GHashTable *customers;
	uint64_t begun_us;
	uint64_t alive_hash;
	uint64_t alive_since_us;
	uint32_t alive;
	uint32_t known;
	uint32_t settled_alive;
	uint64_t moved_us;
	uint64_t view_due_us;
	bool may_own;
	uint32_t unanswered;
	uint64_t drop_due_us;
	struct quota_counters counters;
};

/**
 * quotas_init() - initialize without customers
 * @quotas: filled
 */
void quotas_init(struct quotas *quotas);

/**
 * quotas_clear() - free what the quotas own
 * @quotas: quotas to clear
 */
void quotas_clear(struct quotas *quotas);

/**
 * quotas_find() - find the quota of a customer
 * @quotas: quotas to search
 * @customer_hash: hash of the customer's name
 *
 * Return: the quota or NULL.
 */
struct customer_quota *quotas_find(const struct quotas *quotas,
				   uint64_t customer_hash);

/**
 * quotas_add() - find or add the quota of a customer
 * @quotas: quotas to search
 * @customer_hash: hash of the customer's name
 *
 * Return: the quota.
 */
struct customer_quota *quotas_add(struct quotas *quotas,
				  uint64_t customer_hash);

#endif
