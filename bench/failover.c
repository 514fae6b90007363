#include "bench.h"

#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/clock.h"
#include "fleet.h"
#include "process.h"
#include "stats.h"

#define WORK_MS 50
#define BUDGET_MS 2000
#define DEMAND 0.85
#define BEFORE_MS 4000
#define KILL_MS 5000
/* Probes have found the dead one and answers to entries have expired by now. */
#define SETTLED_MS 15000
#define SPAN_MS 25000
#define CALLERS 24

/**
 * struct failure - one instance that dies while the list goes on naming it
 * @instance_id: its process
 * @at_us: when it is killed
 */
struct failure {
	int32_t instance_id;
	uint64_t at_us;
};

static const char rest[] =
	"\"classes\":[{\"name\":\"judge\",\"priority\":0,\"queue\":64}],"
	"\"routes\":[{\"methods\":[\"GET\"],\"path_prefix\":\"/judge\","
	"\"class\":\"judge\",\"budget_ms\":2000}],\"default_budget_ms\":2000";

static void *kill_later(void *data);
static int32_t home_process(const struct fleet *fleet, const char *service);
static void print_span(const char *name, const GArray *samples,
		       uint32_t from_ms, uint32_t until_ms, uint32_t seed);

int bench_failover(const struct bench_order *order)
{
	const struct fleet_plan plan = {
		.service = "failover",
		.instances = 6,
		.domains = 3,
		.backends = 10,
		.slots = 6,
		.work_ms = WORK_MS,
		.policy = "leased",
		.rest = rest,
		.seed = order->seed,
	};
	double capacity = 10.0 * 6 * MS_PER_S / WORK_MS;
	struct fleet *fleet = fleet_start(&plan);
	struct load_plan load = {
		.service = plan.service,
		.servers = fleet->instances,
		.server_count = fleet->instance_count,
		.stream_count = 1,
		.span_ms = SPAN_MS,
		.budget_ms = BUDGET_MS,
		.callers = CALLERS,
		.seed = order->seed,
	};
	struct failure failure;
	pthread_t killer;
	GArray *samples;

	load.streams[0].target = "/judge/a";
	load.streams[0].point_count = 1;
	load.streams[0].points[0].rate_per_s = DEMAND * capacity;
	failure.instance_id = home_process(fleet, plan.service);
	failure.at_us = clock_now_us() + KILL_MS * US_PER_MS;
	if (pthread_create(&killer, NULL, kill_later, &failure) != 0)
		return EXIT_FAILURE;
	samples = load_run(&load);
	pthread_join(killer, NULL);
	printf("failover: seed %u, one of three homes killed, still listed; "
	       "demand %.2f of capacity\n%-8s %8s %8s %8s %10s\n",
	       order->seed, DEMAND, "span", "served%", "refused%", "failed%",
	       "p99");
	print_span("before", samples, 1000, BEFORE_MS, order->seed);
	print_span("at once", samples, KILL_MS, SETTLED_MS, order->seed);
	print_span("settled", samples, SETTLED_MS, SPAN_MS, order->seed);
	g_array_unref(samples);
	fleet_stop(fleet);
	return EXIT_SUCCESS;
}

static void *kill_later(void *data)
{
	const struct failure *failure = data;
	struct timespec until;

	clock_monotonic_deadline(failure->at_us, &until);
	while (clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &until, NULL) ==
	       EINTR)
		;
	if (kill(failure->instance_id, SIGKILL) != 0)
		perror("kill");
	return NULL;
}

/* The process of an instance that callers of the service are sent to. */
static int32_t home_process(const struct fleet *fleet, const char *service)
{
	char ip[ADDR_TEXT_BYTES];
	char addr[ADDR_TEXT_BYTES];
	char *quoted;
	char *url;
	char *text;
	int32_t id = 0;
	uint32_t i;

	url = g_strdup_printf("http://%s/.nutmegcrank/entries?service=%s",
			      addr_format(fleet->instances[0], addr), service);
	text = http_get_text(url);
	for (i = 0; text && i < fleet->instance_count; i++) {
		quoted = g_strdup_printf(
			"\"%s\"", addr_ip_format(fleet->instances[i].ip, ip));
		if (strstr(text, quoted))
			id = fleet->instance_ids[i];
		g_free(quoted);
	}
	g_free(text);
	g_free(url);
	if (id == 0)
		g_error("failover: no home found");
	return id;
}

static void print_span(const char *name, const GArray *samples,
		       uint32_t from_ms, uint32_t until_ms, uint32_t seed)
{
	struct stats stats =
		stats_of(samples, STATS_ALL_STREAMS, from_ms, until_ms);
	double all = MAX(stats.all, 1) / 100.0;
	uint32_t failed = stats.count[LOAD_FAILED] + stats.count[LOAD_LATE] +
			  stats.count[LOAD_WRONG];

	printf("%-8s %8.1f %8.1f %8.1f %7.1f ms\n", name,
	       stats.count[LOAD_SERVED] / all, stats.count[LOAD_REFUSED] / all,
	       failed / all, (double)stats.p99_us / US_PER_MS);
	printf("{\"bench\":\"failover\",\"span\":\"%s\",\"seed\":%u,"
	       "\"served_percent\":%.1f,\"refused_percent\":%.1f,"
	       "\"failed_percent\":%.1f,\"p99_ms\":%.1f}\n",
	       name, seed, stats.count[LOAD_SERVED] / all,
	       stats.count[LOAD_REFUSED] / all, failed / all,
	       (double)stats.p99_us / US_PER_MS);
}
