#ifndef CORE_METRICS_H
#define CORE_METRICS_H

/**
 * DOC: counters and fixed-bucket histograms
 */

#include "core/request.h"

#define HISTOGRAM_BUCKETS 16

/**
 * struct histogram - durations in buckets whose upper bounds double from 250 us
 * @count: number of values in each bucket; the last bucket has no upper bound
 * @sum_us: sum of all values
 */
struct histogram {
	uint64_t count[HISTOGRAM_BUCKETS];
	uint64_t sum_us;
};

/**
 * struct class_counters - counters of one class
 * @admitted_requests: requests admitted
 * @refused_requests: requests refused, by cause
 * @outcome_requests: requests ended, by outcome, including refused ones
 * @queue_us: time spent in the queue
 * @slot_us: time for which a slot was held
 * @unsent_us: time from the choice of a backend server to sending the request
 */
struct class_counters {
	uint64_t admitted_requests;
	uint64_t refused_requests[REFUSAL_COUNT];
	uint64_t outcome_requests[3];
	struct histogram queue_us;
	struct histogram slot_us;
	struct histogram unsent_us;
};

/**
 * struct service_counters - counters of one service
 * @classes: counters by class
 * @retries: requests retried
 * @retries_denied: retries not made because of overload or lack of retry
 *	budget
 * @idle_requests: requests sent to a backend server because caution or chance
 *	had left it without work
 * @ejections: backend servers ejected
 * @ejections_withheld: ejections withheld because of the healthy floor
 * @leases_requested: lease requests sent to other homes
 * @leased_slots: slots borrowed in total
 * @shed_answers: answers of backend servers that shed a request for overload
 * @shed_refused: requests not admitted while most arrivals were shed
 * @load_reports: load reports in answers that were used
 * @sent_closed_requests: requests sent to a backend server although it was
 *	known to drain or pause
 */
struct service_counters {
	struct class_counters classes[DOC_CLASSES_MAX];
	uint64_t retries;
	uint64_t retries_denied;
	uint64_t idle_requests;
	uint64_t ejections;
	uint64_t ejections_withheld;
	uint64_t leases_requested;
	uint64_t leased_slots;
	uint64_t shed_answers;
	uint64_t shed_refused;
	uint64_t load_reports;
	uint64_t sent_closed_requests;
};

/**
 * enum connection_drop - why a connection to a backend server was not kept
 * @CONNECTION_DROP_ANSWER: the answer does not allow it or is not whole
 * @CONNECTION_DROP_USES: it has served as many exchanges as one may
 * @CONNECTION_DROP_LIMIT: as many connections as allowed are open
 * @CONNECTION_DROP_IDLE: its idle time has ended
 * @CONNECTION_DROP_CLOSED: the backend server closed it or sent bytes on it
 *	while it was idle
 * @CONNECTION_DROP_STALE: it had no answer or the answer to another request
 * @CONNECTION_DROP_START: it was opened to another start of the backend server
 * @CONNECTION_DROP_FAILURE: another exchange with the backend server timed out,
 *	could not connect or had a stale connection
 * @CONNECTION_DROP_COUNT: number of causes
 */
enum connection_drop {
	CONNECTION_DROP_ANSWER,
	CONNECTION_DROP_USES,
	CONNECTION_DROP_LIMIT,
	CONNECTION_DROP_IDLE,
	CONNECTION_DROP_CLOSED,
	CONNECTION_DROP_STALE,
	CONNECTION_DROP_START,
	CONNECTION_DROP_FAILURE,
	CONNECTION_DROP_COUNT,
};

/**
 * struct connection_counters - connections to backend servers
 * @opened: connections that the exchange duty began to open
 * @reused: requests sent on a kept connection
 * @dropped: connections of requests that may be repeated, closed instead of
 *	kept, by cause; only with backend_keep_max above 0
 */
struct connection_counters {
	uint64_t opened;
	uint64_t reused;
	uint64_t dropped[CONNECTION_DROP_COUNT];
};

/**
 * connection_drop_text() - name of a cause in metrics
 * @cause: below CONNECTION_DROP_COUNT
 *
 * Return: static text such as "idle".
 */
const char *connection_drop_text(enum connection_drop cause);

/**
 * histogram_add() - count a value
 * @histogram: histogram to add to
 * @value_us: duration to count
 */
void histogram_add(struct histogram *histogram, uint64_t value_us);

/**
 * histogram_bound_us() - upper bound of a bucket
 * @bucket: index of the bucket, below HISTOGRAM_BUCKETS
 *
 * Return: bound in microseconds, UINT64_MAX for the last bucket.
 */
uint64_t histogram_bound_us(uint32_t bucket);

#endif
