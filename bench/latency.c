#include "bench.h"

#include <stdio.h>
#include <stdlib.h>

#include "fleet.h"
#include "stats.h"

#define WORK_MS 20
#define BUDGET_MS 2000
#define SPAN_MS 6000
#define WARMUP_MS 1000
#define CALLERS 16
#define BACKENDS 10
#define SLOTS 6
#define INSTANCES 3
#define DOMAINS 3

/* Request rates as parts of the capacity of all slots. */
static const double load_shares[] = { 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6 };

static const char document_members[] =
	"\"classes\":[{\"name\":\"all\",\"priority\":0,\"queue\":64}],"
	"\"routes\":[{\"methods\":[\"GET\"],\"path_prefix\":\"/\","
	"\"class\":\"all\",\"budget_ms\":2000}],"
	"\"default_budget_ms\":2000";

static struct stats measure(const struct fleet *fleet, bool direct,
			    double rate_per_s, uint32_t seed);

int bench_latency(const struct bench_args *args)
{
	const struct fleet_plan plan = {
		.service = "latency",
		.instances = INSTANCES,
		.domains = DOMAINS,
		.backends = BACKENDS,
		.slots = SLOTS,
		.work_ms = WORK_MS,
		.policy = "leased",
		.document_members = document_members,
		.seed = args->seed,
	};
	struct fleet *fleet = fleet_start(&plan);
	double capacity = (double)BACKENDS * SLOTS * MS_PER_S / WORK_MS;
	struct stats direct;
	struct stats proxied;
	uint64_t cpu_us;
	double added_p50_ms;
	double added_p99_ms;
	size_t i;

	printf("latency: seed %u, work %d ms, %d instances\n"
	       "%6s %8s %11s %11s %11s %11s %10s %10s %9s %7s\n",
	       args->seed, WORK_MS, INSTANCES, "load", "rate/s", "direct p50",
	       "direct p99", "through p50", "through p99", "added p50",
	       "added p99", "CPU us", "served%");
	for (i = 0; i < G_N_ELEMENTS(load_shares); i++) {
		direct = measure(fleet, true, load_shares[i] * capacity,
				 args->seed);
		cpu_us = fleet_cpu_us(fleet);
		proxied = measure(fleet, false, load_shares[i] * capacity,
				  args->seed);
		cpu_us = fleet_cpu_us(fleet) - cpu_us;
		added_p50_ms =
			((double)proxied.p50_us - (double)direct.p50_us) /
			US_PER_MS;
		added_p99_ms =
			((double)proxied.p99_us - (double)direct.p99_us) /
			US_PER_MS;
		printf("%5.2fx %8.0f %8.2f ms %8.2f ms %8.2f ms %8.2f ms "
		       "%7.2f ms %7.2f ms %9.0f %7.1f\n",
		       load_shares[i], load_shares[i] * capacity,
		       (double)direct.p50_us / US_PER_MS,
		       (double)direct.p99_us / US_PER_MS,
		       (double)proxied.p50_us / US_PER_MS,
		       (double)proxied.p99_us / US_PER_MS, added_p50_ms,
		       added_p99_ms,
		       (double)cpu_us /
			       (load_shares[i] * capacity * SPAN_MS / MS_PER_S),
		       100.0 * proxied.count[LOAD_SERVED] / proxied.all);
		printf("{\"bench\":\"latency\",\"seed\":%u,\"load\":%.2f,"
		       "\"rate_per_s\":%.0f,\"added_p50_ms\":%.2f,"
		       "\"added_p99_ms\":%.2f,\"cpu_us_per_request\":%.0f,"
		       "\"served_percent\":%.1f}\n",
		       args->seed, load_shares[i], load_shares[i] * capacity,
		       added_p50_ms, added_p99_ms,
		       (double)cpu_us /
			       (load_shares[i] * capacity * SPAN_MS / MS_PER_S),
		       100.0 * proxied.count[LOAD_SERVED] / proxied.all);
		fflush(stdout);
	}
	fleet_stop(fleet);
	return EXIT_SUCCESS;
}

static struct stats measure(const struct fleet *fleet, bool direct,
			    double rate_per_s, uint32_t seed)
{
	struct load_plan load = {
		.service = direct ? NULL : "latency",
		.servers = direct ? fleet->backends : fleet->instances,
		.server_count = direct ? fleet->backend_count :
					 fleet->instance_count,
		.streams = { { "/a", { { 0, rate_per_s } }, 1 } },
		.stream_count = 1,
		.span_ms = SPAN_MS,
		.budget_ms = BUDGET_MS,
		.callers = CALLERS,
		.seed = seed,
	};
	GArray *samples = load_run(&load);
	struct stats stats = stats_compute(samples, 0, WARMUP_MS, SPAN_MS);

	g_array_unref(samples);
	return stats;
}
