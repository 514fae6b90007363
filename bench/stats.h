#ifndef BENCH_STATS_H
#define BENCH_STATS_H

/**
 * DOC: counts and percentiles of the requests of a run
 */

#include "load.h"

/* Value of a stream argument that selects all streams. */
#define STATS_ALL_STREAMS UINT32_MAX

/**
 * struct stats - requests of a stream in a period of time
 * @count: requests by outcome
 * @all: sum of @count
 * @p50_us: median latency of served requests, 0 if there are none
 * @p99_us: 99th percentile of their latency, 0 if there are none
 */
struct stats {
	uint32_t count[LOAD_OUTCOMES];
	uint32_t all;
	uint64_t p50_us;
	uint64_t p99_us;
};

/**
 * stats_compute() - count requests that were scheduled in a period
 * @samples: array of struct load_sample
 * @stream: index of the stream, or STATS_ALL_STREAMS
 * @from_ms: start of the period, since the start of the run
 * @until_ms: end of the period (exclusive)
 *
 * Return: counts and percentiles.
 */
struct stats stats_compute(const GArray *samples, uint32_t stream,
			   uint32_t from_ms, uint32_t until_ms);

/**
 * stats_count_served() - count requests that were served in a period
 * @samples: array of struct load_sample
 * @from_ms: start of the period, since the start of the run
 * @until_ms: end of the period (exclusive)
 *
 * Return: number of requests whose answer was complete in the period,
 * whenever they were scheduled.
 */
uint32_t stats_count_served(const GArray *samples, uint32_t from_ms,
			    uint32_t until_ms);

#endif
