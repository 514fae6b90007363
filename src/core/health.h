#ifndef CORE_HEALTH_H
#define CORE_HEALTH_H

/**
 * DOC: health of one backend server as seen by one home
 */

#include "core/ids.h"

#define HEALTH_BUCKETS 24
#define HEALTH_BUCKET_US (250 * US_PER_MS)
#define HOMES_MAX 16

/**
 * enum health_state - which requests a backend server gets from this home
 * @HEALTH_IN_SERVICE: all
 * @HEALTH_EJECTED: none, as it is unhealthy
 * @HEALTH_AVOIDED: none, as only this instance cannot reach it
 * @HEALTH_TRICKLE: one request at a time, as a trial, idempotent if there is any
 * @HEALTH_RAMP: as many as fit into a growing part of its slots
 */
enum health_state {
	HEALTH_IN_SERVICE,
	HEALTH_EJECTED,
	HEALTH_AVOIDED,
	HEALTH_TRICKLE,
	HEALTH_RAMP,
};

/**
 * struct health_bucket - results of requests within HEALTH_BUCKET_US
 * @begins_us: start of the interval
 * @ok_requests: complete answers in time
 * @failed_requests: failures, including time-outs
 * @slow_requests: requests that took too long compared with other backend
 *	servers
 */
struct health_bucket {
	uint64_t begins_us;
	uint32_t ok_requests;
	uint32_t failed_requests;
	uint32_t slow_requests;
};

/**
 * struct health_view - last digest of another home about this backend server
 * @home: peer address of that home, port 0 for an unused entry
 * @domain_hash: hash of that home's failure domain
 * @fresh_until_us: time after which the view is ignored
 * @ok_requests: successful requests in that home's window
 * @failed_requests: failed requests in that home's window
 * @slow_requests: slow requests in that home's window
 * @ejected: that home has ejected the backend server or not fully readmitted it
 * @charged: the ejection is charged to that home's part of the ejection budget
 * @draining: that home knows that the backend server drains
 * @cold: that home's probe found that the backend server has just started
 * @avoided: that home prefers other backend servers, as requests to this one
 *	have failed or hang
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
 * struct health - health of one backend server
 * @state: which requests it gets
 * @failures_since_trusted: failed or slow requests since it was last trusted;
 *	reset by several successes in a row
 * @last_granted_us: grant time of the latest request, whatever came of it
 * @last_success_granted_us: grant time of the latest request that succeeded
 * @consecutive_successes: successful requests since the latest failed or slow
 *	one
 * @caution_until_us: time until which it gets no new request while other
 *	backend servers have free slots
 * @trial_until_us: time until which idempotent requests are sent to it first,
 *	to find out whether it has recovered
 * @buckets: own evidence, a circular buffer
 * @overdue_requests: running requests that count as slow already, as of the
 *	last tick
 * @lagging_requests: running requests that take longer than is typical, as of
 *	the last tick
 * @views: last digest of each other home
 * @next_step_us: end of the back-off, of a trickle without requests or of the
 *	ramp step, depending on @state; 0 in HEALTH_IN_SERVICE
 * @relapses: ejections in a row; each doubles the back-off
 * @relapses_reset_us: time at which @relapses is reset to 0
 * @trickle_ok: successful requests in a row while in HEALTH_TRICKLE
 * @trickle_slow: slow requests while in HEALTH_TRICKLE
 * @ramp_permille: usable part of its slots while in HEALTH_RAMP
 * @connect_failed: the latest request could not connect
 * @ejected: unhealthy and not yet fully readmitted; does not count as capacity
 * @charged: the ejection is charged to this home's part of the ejection budget
 * @charge_ends_us: time until which a released charge still counts against the
 *	budget, as other homes may still rely on it
 * @path_failed: this instance cannot reach it, and has not yet proved that it
 *	can again
 * @cold_start: it is in HEALTH_RAMP because it is new or has just started
 * @cold_until_us: time until which reports of a cold start are believed; 0
 *	without one
 * @suspected: it is in service but may be unhealthy; part of its slots stay
 *	unused
 * @suspected_since_us: start of the current suspicion, 0 for none
 * @threshold_exceeded_since_us: since when the evidence has exceeded the
 *	threshold without being confirmed, 0 if it does not exceed it
 * @unhealthy_since_us: since when the verdict has been unhealthy, 0 if it is
 *	not
 * @probe_bad_until_us: time until which a failure of the last probe counts, 0
 *	if it succeeded
 * @drain_audited: AUDIT_DRAIN_BEGUN has been recorded
 * @pause_audited: AUDIT_PAUSE_BEGUN has been recorded
 * @unhealthy_permille: share of failed and slow requests when it was ejected
 * @withheld_until_us: a withheld ejection is not audited again before this time
 * @evaluated_us: time of the last evaluation
 * @evidence_since_us: evidence of requests granted before this time is ignored
 */
struct health {
	enum health_state state;
	uint32_t failures_since_trusted;
	uint32_t consecutive_successes;
	uint64_t last_granted_us;
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
	bool ejected;
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
	uint64_t evidence_since_us;
};

#endif
