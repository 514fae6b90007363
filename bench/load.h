#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

/**
 * DOC: open-loop load
 *
 * Requests start on a schedule drawn from a seed, whether earlier ones have
 * ended or not; latency is measured from the scheduled start. Each caller has
 * an IP address of its own. It requests its list of entries, uses the entries
 * in turn, and requests them anew before they expire.
 */

#include <glib.h>

#include "core/ids.h"

#define LOAD_POINTS_MAX 8
#define LOAD_STREAMS_MAX 4

/**
 * struct load_point - request rate at a point in time
 * @at_ms: time since the start of the run
 * @rate_per_s: requests per second
 *
 * Between two points the rate changes linearly; after the last it is constant.
 */
struct load_point {
	uint32_t at_ms;
	double rate_per_s;
};

/**
 * struct load_stream - requests with the same target
 * @target: path and query
 * @points: rate over time, in ascending order of time
 * @point_count: used entries of @points
 */
struct load_stream {
	const char *target;
	struct load_point points[LOAD_POINTS_MAX];
	uint32_t point_count;
};

/**
 * struct load_plan - parameters of a run
 * @service: service whose entries callers request; NULL if callers use
 *	@servers without requesting entries
 * @servers: instances, or backend servers to send to directly; borrowed
 * @server_count: entries of @servers
 * @streams: streams of requests
 * @stream_count: used entries of @streams
 * @span_ms: duration of the schedule; no request is scheduled later
 * @budget_ms: time that callers allow for a request
 * @callers: number of callers
 * @seed: seed of the schedule and of the choice of callers
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
 * enum load_outcome - how a request ended
 * @LOAD_SERVED: complete answer to this request, status 200, within the budget
 * @LOAD_REFUSED: answer that says that the request was not run or was shed
 * @LOAD_FAILED: any other status, or the connection was lost
 * @LOAD_LATE: no complete answer within the budget
 * @LOAD_WRONG: status 200 with the answer to another request
 * @LOAD_OUTCOMES: number of outcomes
 */
enum load_outcome {
	LOAD_SERVED,
	LOAD_REFUSED,
	LOAD_FAILED,
	LOAD_LATE,
	LOAD_WRONG,
	LOAD_OUTCOMES,
};

/**
 * struct load_sample - a scheduled request and how it ended
 * @at_us: scheduled start, since the start of the run
 * @latency_us: time from the scheduled start to the end of the request
 * @stream: index of its stream
 * @outcome: how it ended
 */
struct load_sample {
	uint64_t at_us;
	uint64_t latency_us;
	uint32_t stream;
	enum load_outcome outcome;
};

/**
 * load_run() - send all requests of a plan and wait until they have ended
 * @plan: parameters of the run
 *
 * Aborts the program when sockets cannot be created or when the entries do not
 * arrive within 5 s.
 *
 * Return: array of struct load_sample in order of scheduled start; the caller
 * owns it.
 */
GArray *load_run(const struct load_plan *plan);

#endif
