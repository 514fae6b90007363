#ifndef BENCH_STATS_H
#define BENCH_STATS_H

/**
 * DOC: figures of a run
 */

#include "load.h"

#define STATS_ALL_STREAMS UINT32_MAX

/**
 * struct stats - requests of one stream in one span of time
 * @count: by end
 * @all: sum of @count
 * @p50_us: of served ones
 * @p99_us: of served ones
 */
struct stats {
	uint32_t count[LOAD_ENDS];
	uint32_t all;
	uint64_t p50_us;
	uint64_t p99_us;
};

/**
 * stats_of() - figures of requests that were due in a span
 * @samples: array of struct load_sample
 * @stream: which, or STATS_ALL_STREAMS
 * @from_ms: start of the span
 * @until_ms: its end
 *
 * Return: the figures.
 */
struct stats stats_of(const GArray *samples, uint32_t stream, uint32_t from_ms,
		      uint32_t until_ms);

/**
 * stats_served_in() - requests that ended well in a span
 * @samples: array of struct load_sample
 * @from_ms: start of the span
 * @until_ms: its end
 *
 * Return: how many answers came in it.
 */
uint32_t stats_served_in(const GArray *samples, uint32_t from_ms,
			 uint32_t until_ms);

#endif
