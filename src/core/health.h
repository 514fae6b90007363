#ifndef CORE_HEALTH_H
#define CORE_HEALTH_H

/**
 * DOC: health of one backend server as one home sees it
 */

#include "core/ids.h"

#define HEALTH_BUCKETS 24
#define HEALTH_BUCKET_US (250 * US_PER_MS)
#define HOMES_MAX 16

/**
 * enum health_state - what work a backend server gets from this home
 * @HEALTH_IN_SERVICE: all
 * @HEALTH_EJECTED: none, it is sick
 * @HEALTH_AVOIDED: none, only this instance's path to it is cut
 * @HEALTH_TRICKLE: one idempotent request at a time
 * @HEALTH_RAMP: a growing part of its slots
 */
enum health_state {
	HEALTH_IN_SERVICE,
	HEALTH_EJECTED,
	HEALTH_AVOIDED,
	HEALTH_TRICKLE,
	HEALTH_RAMP,
};

/**
 * struct health_bucket - evidence of one short span
 * @begins_us: start of the span
 * @ok_requests: whole answers in time
 * @failed_requests: failures, timeouts too
 * @slow_requests: work that came late against the other backend servers
 */
struct health_bucket {
	uint64_t begins_us;
	uint32_t ok_requests;
	uint32_t failed_requests;
	uint32_t slow_requests;
};

/**
 * struct health_view - what another home told of this backend server
 * @home: peer address of that home, port 0 for an unused view
 * @domain_hash: of that home's failure domain
 * @fresh_until_us: not to be used after this
 * @ok_requests: in its window
 * @failed_requests: in its window
 * @slow_requests: in its window
 * @ejected: it gives no work, or not yet all
 * @charged: its part of the ejection budget pays for that
 * @draining: it knows that the backend server drains
 * @cold: its probe says that the backend server starts cold
 * @avoided: it prefers others, for work there failed or hangs now
 */
struct health_view {
	struct net_addr home;
	uint64_t domain_hash;
	uint64_t fresh_until_us;
	uint32_t ok_requests;
	uint32_t failed_requests;
	uint32_t slow_requests;
	bool ejected;
	bool charged;
	bool draining;
	bool cold;
	bool avoided;
};

/**
 * struct health - all that is known of one backend server's health
 * @state: what work it gets
 * @failures_since_trusted: failed or hanging work since it was last trusted
 * @last_success_granted_us: when the latest work was given to it that went well
 * @consecutive_successes: whole answers since the last such work
 * @caution_until_us: no new work before this while others have room
 * @trial_until_us: until then work that may be repeated goes there first
 * @buckets: own evidence, a circle
 * @overdue_requests: running work that is late already, at the last tick
 * @lagging_requests: running work that takes longer than it should
 * @views: other homes' evidence
 * @next_step_us: when a back-off, a trickle without work or a ramp step ends
 * @relapses: how often in a row it was ejected, doubles the back-off
 * @relapses_reset_us: when @relapses goes back to 0
 * @trickle_ok: whole answers in time in a row while in HEALTH_TRICKLE
 * @trickle_slow: slow answers while in HEALTH_TRICKLE
 * @ramp_permille: open part of its slots while in HEALTH_RAMP
 * @connect_failed: the latest work found no way to it
 * @out: sick and not yet fully readmitted; does not count as capacity
 * @charged: this home's part of the ejection budget pays for @out
 * @charge_ends_us: a charge given back still binds the budget until then, for
 *	other homes may still rely on it
 * @path_failed: the path from here is cut, and not yet proved whole again
 * @cold_start: it is in HEALTH_RAMP because it is new or cold
 * @cold_until_us: a cold report counts until then; 0 when there was none
 * @suspected: it gets fewer new requests
 * @suspected_since_us: when evidence began to speak against it, 0 for not
 * @threshold_exceeded_since_us: since when evidence suffices but for its confirmation, 0 for
 *	not
 * @unhealthy_since_us: when the verdict became sick, 0 for not
 * @probe_bad_until_us: the last probe spoke against it
 * @drain_audited: AUDIT_DRAIN_BEGUN was given
 * @pause_audited: AUDIT_PAUSE_BEGUN was given
 * @unhealthy_permille: failed and slow share when it was ejected
 * @withheld_until_us: a withheld ejection is not audited again before this
 * @evaluated_us: last judgement
 * @resumed_us: evidence of work begun before this is ignored
 */
struct health {
	enum health_state state;
	uint32_t failures_since_trusted;
	uint32_t consecutive_successes;
	uint64_t last_success_granted_us;
	uint64_t caution_until_us;
	uint64_t trial_until_us;
	struct health_bucket buckets[HEALTH_BUCKETS];
	uint32_t overdue_requests;
	uint32_t lagging_requests;

	struct health_view views[HOMES_MAX];
	uint64_t next_step_us;
	uint32_t relapses;
	uint64_t relapses_reset_us;
	uint32_t trickle_ok;
	uint32_t trickle_slow;
	uint32_t ramp_permille;
	bool connect_failed;
	bool out;
	bool charged;
	uint64_t charge_ends_us;
	bool path_failed;
	bool cold_start;
	uint64_t cold_until_us;
	bool suspected;
	uint64_t suspected_since_us;

	uint64_t threshold_exceeded_since_us;
	uint64_t unhealthy_since_us;
	uint64_t probe_bad_until_us;
	bool drain_audited;
	bool pause_audited;
	uint32_t unhealthy_permille;
	uint64_t withheld_until_us;
	uint64_t evaluated_us;
	uint64_t resumed_us;
};

#endif
