#ifndef CORE_METRICS_H
#define CORE_METRICS_H

/**
 * DOC: counters and fixed-bucket histograms
 */

#include "core/request.h"

#define HISTOGRAM_BUCKETS 16

/**
 * struct histogram - times in buckets whose bounds double from 250 us
 * @count: values in each bucket; the last has no upper bound
 * @sum_us: sum of all values
 */
struct histogram {
	uint64_t count[HISTOGRAM_BUCKETS];
	uint64_t sum_us;
};

/**
 * struct class_counters - what happened to requests of one class
 * @admitted_requests: taken in
 * @refused_requests: by cause
 * @outcome_requests: by outcome, refusals included
 * @queue_us: time in the queue
 * @slot_us: time on a slot
 * @unsent_us: time from the choice of a backend server to the send
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
 * struct service_counters - what happened in one service
 * @classes: by class
 * @retries: exchanges repeated
 * @retries_denied: not repeated for want of budget or time
 * @ejections: backend servers taken out
 * @ejections_withheld: not taken out because of the floor
 * @leases_requested: wishes sent to other homes
 * @leased_slots: slots borrowed so far
 * @sent_closed_requests: requests sent to a backend server that was known to
 *	want no new work
 */
struct service_counters {
	struct class_counters classes[DOC_CLASSES_MAX];
	uint64_t retries;
	uint64_t retries_denied;
	uint64_t ejections;
	uint64_t ejections_withheld;
	uint64_t leases_requested;
	uint64_t leased_slots;
	uint64_t sent_closed_requests;
};

/**
 * histogram_add() - count a value
 * @histogram: the histogram
 * @value_us: the value
 */
void histogram_add(struct histogram *histogram, uint64_t value_us);

/**
 * histogram_bound_us() - upper bound of a bucket
 * @bucket: below HISTOGRAM_BUCKETS
 *
 * Return: microseconds; UINT64_MAX for the last.
 */
uint64_t histogram_bound_us(uint32_t bucket);

#endif
