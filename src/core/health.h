#ifndef CORE_HEALTH_H
#define CORE_HEALTH_H

/**
 * DOC: health of one backend server as one home sees it
 */

#include "core/ids.h"

#define HEALTH_BUCKETS 12
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
 * @failed_requests: failures
 * @slow_requests: whole answers, slow against the other backend servers
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
 * @fresh_until_us: not to be used after this
 * @ok_requests: in its window
 * @failed_requests: in its window
 * @slow_requests: in its window
 * @ejected: it gives no work
 */
struct health_view {
	struct net_addr home;
	uint64_t fresh_until_us;
	uint32_t ok_requests;
	uint32_t failed_requests;
	uint32_t slow_requests;
	bool ejected;
};

/**
 * struct health - all that is known of one backend server's health
 * @state: what work it gets
 * @buckets: own evidence, a circle
 * @views: other homes' evidence
 * @next_step_us: when an ejection, a ramp step or a back-off ends
 * @relapses: how often in a row it was ejected, doubles the back-off
 * @relapse_forgotten_us: when @relapses goes back to 0
 * @trickle_ok: whole answers in a row while in HEALTH_TRICKLE
 * @ramp_permille: open part of its slots while in HEALTH_RAMP
 * @charged: this home's floor budget pays for the ejection
 * @withheld_until_us: a withheld ejection is not audited again before this
 */
struct health {
	enum health_state state;
	struct health_bucket buckets[HEALTH_BUCKETS];
	struct health_view views[HOMES_MAX];
	uint64_t next_step_us;
	uint32_t relapses;
	uint64_t relapse_forgotten_us;
	uint32_t trickle_ok;
	uint32_t ramp_permille;
	bool charged;
	uint64_t withheld_until_us;
};

#endif
