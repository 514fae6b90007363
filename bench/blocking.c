#include "bench.h"

#include <stdio.h>
#include <stdlib.h>

#include "fleet.h"
#include "stats.h"

#define SHORT_MS 20
#define LONG_MS 1000
#define BUDGET_MS 5000
/* Part of all slots that short requests occupy on average. */
#define SHORT_SHARE 0.25
/*
 * Long requests may occupy at most LONG_SHARE of the slots. They are offered at
 * LONG_OVERLOAD times the rate that would fill these.
 */
#define LONG_SHARE (2.0 / 3.0)
#define LONG_OVERLOAD 3
#define SPAN_MS 10000
#define WARMUP_MS 3000
#define CALLERS 24

/**
 * struct blocking_size - sizes of a service and its fleet
 * @name: name printed in the table
 * @instances: number of instances
 * @domains: number of failure domains
 * @backends: number of backend servers
 * @slots: slots of each backend server
 */
struct blocking_size {
	const char *name;
	uint32_t instances;
	uint32_t domains;
	uint32_t backends;
	uint32_t slots;
};

static const struct blocking_size sizes[] = {
	{ "huon-roster", 8, 4, 15, 3 },
	{ "vranic-gallery", 6, 3, 10, 6 },
};

static const char *const policies[] = { "leased", "baseline" };

static const char document_members[] =
	"\"classes\":[{\"name\":\"lookup\",\"priority\":0,\"queue\":64},"
	"{\"name\":\"browse\",\"priority\":1,\"queue\":64}],"
	"\"routes\":[{\"methods\":[\"GET\"],\"path_prefix\":\"/lookup\","
	"\"class\":\"lookup\",\"budget_ms\":2000},{\"methods\":[\"GET\"],"
	"\"path_prefix\":\"/browse\",\"class\":\"browse\",\"long\":true,"
	"\"budget_ms\":5000}],\"default_budget_ms\":2000";

static struct stats measure(const struct blocking_size *size,
			    const char *policy, bool with_long, uint32_t seed,
			    struct stats *long_stats);

int bench_blocking(const struct bench_args *args)
{
	const struct blocking_size *size;
	struct stats long_stats;
	struct stats alone;
	struct stats mixed;
	double ratio;
	size_t i;
	size_t k;

	printf("blocking: seed %u, short %d ms, long %d ms\n"
	       "%-15s %-9s %10s %10s %10s %10s %6s %7s %6s\n",
	       args->seed, SHORT_MS, LONG_MS, "service", "policy", "alone p50",
	       "alone p99", "with p50", "with p99", "ratio", "served%",
	       "long%");
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		size = &sizes[i];
		for (k = 0; k < G_N_ELEMENTS(policies); k++) {
			alone = measure(size, policies[k], false, args->seed,
					&long_stats);
			mixed = measure(size, policies[k], true, args->seed,
					&long_stats);
			ratio = alone.p99_us == 0 ?
					0 :
					(double)mixed.p99_us /
						(double)alone.p99_us;
			printf("%-15s %-9s %7.1f ms %7.1f ms %7.1f ms %7.1f ms "
			       "%6.2f %7.1f %6.1f\n",
			       size->name, policies[k],
			       (double)alone.p50_us / US_PER_MS,
			       (double)alone.p99_us / US_PER_MS,
			       (double)mixed.p50_us / US_PER_MS,
			       (double)mixed.p99_us / US_PER_MS, ratio,
			       100.0 * mixed.count[LOAD_SERVED] / mixed.all,
			       100.0 * long_stats.count[LOAD_SERVED] /
				       MAX(long_stats.all, 1));
			printf("{\"bench\":\"blocking\",\"service\":\"%s\","
			       "\"instances\":%u,\"policy\":\"%s\",\"seed\":%u,"
			       "\"alone_p50_ms\":%.1f,\"alone_p99_ms\":%.1f,"
			       "\"with_p50_ms\":%.1f,\"with_p99_ms\":%.1f,"
			       "\"ratio\":%.2f,\"served_percent\":%.1f,"
			       "\"long_served_percent\":%.1f}\n",
			       size->name, size->instances, policies[k],
			       args->seed, (double)alone.p50_us / US_PER_MS,
			       (double)alone.p99_us / US_PER_MS,
			       (double)mixed.p50_us / US_PER_MS,
			       (double)mixed.p99_us / US_PER_MS, ratio,
			       100.0 * mixed.count[LOAD_SERVED] / mixed.all,
			       100.0 * long_stats.count[LOAD_SERVED] /
				       MAX(long_stats.all, 1));
			fflush(stdout);
		}
	}
	return EXIT_SUCCESS;
}

/* Returns the results of short requests; long_stats gets those of long ones. */
static struct stats measure(const struct blocking_size *size,
			    const char *policy, bool with_long, uint32_t seed,
			    struct stats *long_stats)
{
	const struct fleet_plan plan = {
		.service = "blocking",
		.instances = size->instances,
		.domains = size->domains,
		.backends = size->backends,
		.slots = size->slots,
		.work_ms = SHORT_MS,
		.policy = policy,
		.document_members = document_members,
		.seed = seed,
	};
	double slots = (double)size->backends * size->slots;
	struct fleet *fleet = fleet_start(&plan);
	struct load_plan load = {
		.service = plan.service,
		.servers = fleet->instances,
		.server_count = fleet->instance_count,
		.streams = {
			{ "/lookup/a",
			  { { 0, slots * SHORT_SHARE * MS_PER_S / SHORT_MS } },
			  1 },
			{ "/browse/a?work_ms=1000",
			  { { 0, slots * LONG_SHARE * LONG_OVERLOAD * MS_PER_S /
					 LONG_MS } },
			  1 },
		},
		.stream_count = with_long ? 2 : 1,
		.span_ms = SPAN_MS,
		.budget_ms = BUDGET_MS,
		.callers = CALLERS,
		.seed = seed,
	};
	GArray *samples = load_run(&load);
	struct stats stats = stats_compute(samples, 0, WARMUP_MS, SPAN_MS);

	*long_stats = stats_compute(samples, 1, WARMUP_MS, SPAN_MS);
	fprintf(stderr,
		"  %s: short served %u refused %u failed %u late %u wrong %u; "
		"long served %u refused %u failed %u late %u\n",
		policy, stats.count[LOAD_SERVED], stats.count[LOAD_REFUSED],
		stats.count[LOAD_FAILED], stats.count[LOAD_LATE],
		stats.count[LOAD_WRONG], long_stats->count[LOAD_SERVED],
		long_stats->count[LOAD_REFUSED], long_stats->count[LOAD_FAILED],
		long_stats->count[LOAD_LATE]);
	g_array_unref(samples);
	fleet_stop(fleet);
	return stats;
}
