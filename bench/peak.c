#include "bench.h"

#include <stdio.h>
#include <stdlib.h>

#include "fleet.h"
#include "stats.h"

#define WORK_MS 50
#define BUDGET_MS 2000
/* Part of the requests that belong to the first class. */
#define FIRST_CLASS_SHARE 0.2
/* Demand as a multiple of the capacity of all slots. */
#define LOW_DEMAND 0.3
#define HIGH_DEMAND 3.0
#define RISE_START_MS 4000
#define RISE_END_MS 6000
#define FALL_START_MS 12000
#define FALL_END_MS 14000
#define SPAN_MS 18000
/* Goodput leaves out the first second of the peak, while queues fill. */
#define GOODPUT_START_MS 7000
#define WINDOW_MS 250
#define CALLERS 24
#define RECOVERED_P99_FACTOR 2

/**
 * struct peak_size - sizes of a service and its fleet
 * @name: name printed in the table
 * @instances: number of instances
 * @domains: number of failure domains
 * @backends: number of backend servers
 * @slots: slots of each backend server
 */
struct peak_size {
	const char *name;
	uint32_t instances;
	uint32_t domains;
	uint32_t backends;
	uint32_t slots;
};

/**
 * struct peak_result - results of a run
 * @goodput_percent: served requests per second at the peak, of the capacity of
 *	all slots
 * @first_percent: requests of the first class at the peak that were served
 * @rest_percent: requests of the other class at the peak that were served
 * @first_p99_us: 99th percentile of the latency of the first class at the peak
 * @normal_p99_us: 99th percentile of the latency of all requests before the
 *	rise
 * @recovered_ms: time from the end of the fall until latency was normal again,
 *	UINT32_MAX for never
 * @wrong: answers that belonged to another request
 */
struct peak_result {
	double goodput_percent;
	double first_percent;
	double rest_percent;
	uint64_t first_p99_us;
	uint64_t normal_p99_us;
	uint32_t recovered_ms;
	uint32_t wrong;
};

static const struct peak_size sizes[] = {
	{ "vranic-gallery", 6, 3, 10, 6 },
	{ "huon-roll", 8, 4, 10, 3 },
};

static const char *const policies[] = { "leased", "fixed", "open", "baseline" };

static const char document_members[] =
	"\"classes\":[{\"name\":\"judge\",\"priority\":0,\"queue\":64},"
	"{\"name\":\"visitor\",\"priority\":1,\"queue\":64}],"
	"\"routes\":[{\"methods\":[\"GET\"],\"path_prefix\":\"/judge\","
	"\"class\":\"judge\",\"budget_ms\":2000},{\"methods\":[\"GET\"],"
	"\"path_prefix\":\"/visitor\",\"class\":\"visitor\","
	"\"budget_ms\":2000}],\"default_budget_ms\":2000";

static struct peak_result measure(const struct peak_size *size,
				  const char *policy, uint32_t seed);
static void set_stream(struct load_stream *stream, const char *target,
		       double capacity, double share);
static struct peak_result compute_result(const GArray *samples,
					 double capacity);
static uint32_t recovery_time_ms(const GArray *samples, uint64_t normal_p99_us);
static double percent(uint32_t part, uint32_t whole);

int bench_peak(const struct bench_args *args)
{
	struct peak_result result;
	size_t i;
	size_t k;

	printf("peak: seed %u, work %d ms, demand %.1f to %.1f of capacity\n"
	       "%-15s %-9s %9s %7s %7s %10s %10s %10s %6s\n",
	       args->seed, WORK_MS, LOW_DEMAND, HIGH_DEMAND, "service",
	       "policy", "goodput%", "first%", "rest%", "first p99", "calm p99",
	       "recovered", "wrong");
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (k = 0; k < G_N_ELEMENTS(policies); k++) {
			result = measure(&sizes[i], policies[k], args->seed);
			printf("%-15s %-9s %9.1f %7.1f %7.1f %7.1f ms %7.1f ms "
			       "%7d ms %6u\n",
			       sizes[i].name, policies[k],
			       result.goodput_percent, result.first_percent,
			       result.rest_percent,
			       (double)result.first_p99_us / US_PER_MS,
			       (double)result.normal_p99_us / US_PER_MS,
			       (int)result.recovered_ms, result.wrong);
			printf("{\"bench\":\"peak\",\"service\":\"%s\","
			       "\"instances\":%u,\"policy\":\"%s\",\"seed\":%u,"
			       "\"goodput_percent\":%.1f,"
			       "\"first_percent\":%.1f,"
			       "\"rest_percent\":%.1f,\"first_p99_ms\":%.1f,"
			       "\"calm_p99_ms\":%.1f,\"recovered_ms\":%d,"
			       "\"wrong\":%u}\n",
			       sizes[i].name, sizes[i].instances, policies[k],
			       args->seed, result.goodput_percent,
			       result.first_percent, result.rest_percent,
			       (double)result.first_p99_us / US_PER_MS,
			       (double)result.normal_p99_us / US_PER_MS,
			       (int)result.recovered_ms, result.wrong);
			fflush(stdout);
		}
	}
	return EXIT_SUCCESS;
}

static struct peak_result measure(const struct peak_size *size,
				  const char *policy, uint32_t seed)
{
	const struct fleet_plan plan = {
		.service = "peak",
		.instances = size->instances,
		.domains = size->domains,
		.backends = size->backends,
		.slots = size->slots,
		.work_ms = WORK_MS,
		.policy = policy,
		.document_members = document_members,
		.seed = seed,
	};
	double capacity =
		(double)size->backends * size->slots * MS_PER_S / WORK_MS;
	struct fleet *fleet = fleet_start(&plan);
	struct load_plan load = {
		.service = plan.service,
		.servers = fleet->instances,
		.server_count = fleet->instance_count,
		.stream_count = 2,
		.span_ms = SPAN_MS,
		.budget_ms = BUDGET_MS,
		.callers = CALLERS,
		.seed = seed,
	};
	struct peak_result result;
	GArray *samples;

	set_stream(&load.streams[0], "/judge/a", capacity, FIRST_CLASS_SHARE);
	set_stream(&load.streams[1], "/visitor/a", capacity,
		   1 - FIRST_CLASS_SHARE);
	samples = load_run(&load);
	result = compute_result(samples, capacity);
	g_array_unref(samples);
	fleet_stop(fleet);
	return result;
}

static void set_stream(struct load_stream *stream, const char *target,
		       double capacity, double share)
{
	const struct load_point points[] = {
		{ 0, LOW_DEMAND },
		{ RISE_START_MS, LOW_DEMAND },
		{ RISE_END_MS, HIGH_DEMAND },
		{ FALL_START_MS, HIGH_DEMAND },
		{ FALL_END_MS, LOW_DEMAND },
		{ SPAN_MS, LOW_DEMAND },
	};
	uint32_t i;

	stream->target = target;
	stream->point_count = G_N_ELEMENTS(points);
	for (i = 0; i < stream->point_count; i++) {
		stream->points[i] = points[i];
		stream->points[i].rate_per_s *= capacity * share;
	}
}

static struct peak_result compute_result(const GArray *samples, double capacity)
{
	struct stats first =
		stats_compute(samples, 0, RISE_END_MS, FALL_START_MS);
	struct stats others =
		stats_compute(samples, 1, RISE_END_MS, FALL_START_MS);
	struct stats before =
		stats_compute(samples, STATS_ALL_STREAMS, 1000, RISE_START_MS);
	struct stats all =
		stats_compute(samples, STATS_ALL_STREAMS, 0, SPAN_MS);
	struct peak_result result = {
		.first_percent = percent(first.count[LOAD_SERVED], first.all),
		.rest_percent = percent(others.count[LOAD_SERVED], others.all),
		.first_p99_us = first.p99_us,
		.normal_p99_us = before.p99_us,
		.recovered_ms = recovery_time_ms(samples, before.p99_us),
		.wrong = all.count[LOAD_WRONG],
	};

	result.goodput_percent =
		100.0 *
		stats_count_served(samples, GOODPUT_START_MS, FALL_START_MS) *
		MS_PER_S / (FALL_START_MS - GOODPUT_START_MS) / capacity;
	fprintf(stderr,
		"  outcomes at the peak: first served %u refused %u failed %u "
		"late %u; "
		"rest served %u refused %u failed %u late %u\n",
		first.count[LOAD_SERVED], first.count[LOAD_REFUSED],
		first.count[LOAD_FAILED], first.count[LOAD_LATE],
		others.count[LOAD_SERVED], others.count[LOAD_REFUSED],
		others.count[LOAD_FAILED], others.count[LOAD_LATE]);
	return result;
}

/*
 * Time after the fall from which on every window is normal: all its requests
 * are served, and the 99th percentile of their latency is at most
 * RECOVERED_P99_FACTOR times the one before the rise.
 */
static uint32_t recovery_time_ms(const GArray *samples, uint64_t normal_p99_us)
{
	uint32_t recovered_ms = UINT32_MAX;
	struct stats window;
	uint32_t at_ms;

	for (at_ms = FALL_END_MS; at_ms + WINDOW_MS <= SPAN_MS;
	     at_ms += WINDOW_MS) {
		window = stats_compute(samples, STATS_ALL_STREAMS, at_ms,
				       at_ms + WINDOW_MS);
		if (window.count[LOAD_SERVED] < window.all ||
		    window.p99_us > normal_p99_us * RECOVERED_P99_FACTOR)
			recovered_ms = UINT32_MAX;
		else if (recovered_ms == UINT32_MAX)
			recovered_ms = at_ms - FALL_END_MS;
	}
	return recovered_ms;
}

static double percent(uint32_t part, uint32_t whole)
{
	return whole == 0 ? 0 : 100.0 * part / whole;
}
