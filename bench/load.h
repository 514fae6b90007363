#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

/**
 * DOC: open-loop load
 *
 * Requests start by a schedule drawn from a seed, whatever becomes of earlier
 * ones; latency counts from the scheduled time. Callers have addresses of
 * their own, ask for entries, spread over them and keep them until they
 * expire.
 */

#include <glib.h>

#include "core/ids.h"

#define LOAD_POINTS_MAX 8
#define LOAD_STREAMS_MAX 4

/**
 * struct load_point - rate at one time; between points it changes evenly
 * @at_ms: since the start
 * @rate_per_s: requests a second
 */
struct load_point {
	uint32_t at_ms;
	double rate_per_s;
};

/**
 * struct load_stream - requests of one kind
 * @target: path and query
 * @points: rates over time
 * @point_count: used entries of @points
 */
struct load_stream {
	const char *target;
	struct load_point points[LOAD_POINTS_MAX];
	uint32_t point_count;
};

/**
 * struct load_plan - what to send where
 * @service: asked for in entries; NULL to use @servers as they are
 * @servers: instances, or servers to talk to directly
 * @server_count: entries of @servers
 * @streams: kinds of requests
 * @stream_count: used entries of @streams
 * @span_ms: no request starts after this
 * @budget_ms: callers' deadline
 * @callers: how many callers
 * @seed: of the schedule and the callers' choices
 */
struct load_plan {
	const char *service;
	const struct net_addr *servers;
	uint32_t server_count;
	struct load_stream streams[LOAD_STREAMS_MAX];
	uint32_t stream_count;
	uint32_t span_ms;
	uint32_t budget_ms;
	uint32_t callers;
	uint32_t seed;
};

/**
 * enum load_end - how a request ended
 * @LOAD_SERVED: its own whole answer with status 200 in time
 * @LOAD_REFUSED: refused as not run
 * @LOAD_FAILED: any other status, or the connection broke
 * @LOAD_LATE: no answer within the budget
 * @LOAD_WRONG: somebody else's answer
 * @LOAD_ENDS: count
 */
enum load_end {
	LOAD_SERVED,
	LOAD_REFUSED,
	LOAD_FAILED,
	LOAD_LATE,
	LOAD_WRONG,
	LOAD_ENDS,
};

/**
 * struct load_sample - one request
 * @at_us: scheduled start, since the start of the run
 * @latency_us: from the scheduled start to the end
 * @stream: its kind
 * @end: how it ended
 */
struct load_sample {
	uint64_t at_us;
	uint64_t latency_us;
	uint32_t stream;
	enum load_end end;
};

/**
 * load_run() - send the load and wait for all answers
 * @plan: the plan
 *
 * Return: owned array of struct load_sample, by scheduled start.
 */
GArray *load_run(const struct load_plan *plan);

#endif
