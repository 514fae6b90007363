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
#define DEMAND_SHARE 0.85
#define BEFORE_END_MS 4000
#define KILL_MS 5000
/*
 * By this time probes have found the killed instance dead, and the entries that
 * callers received before have expired.
 */
#define SETTLED_MS 15000
#define SPAN_MS 25000
#define CALLERS 24

/**
 * struct kill_plan - instance to kill while the platform still lists it
 * @pid: process id of the instance
 * @at_us: value of clock_now_us() at which it is killed
 */
struct kill_plan {
	int32_t pid;
	uint64_t at_us;
};

static const char document_members[] =
	"\"classes\":[{\"name\":\"judge\",\"priority\":0,\"queue\":64}],"
	"\"routes\":[{\"methods\":[\"GET\"],\"path_prefix\":\"/judge\","
	"\"class\":\"judge\",\"budget_ms\":2000}],\"default_budget_ms\":2000";

static void *kill_at_time(void *data);
static int32_t find_home_pid(const struct fleet *fleet, const char *service);
static void print_span(const char *name, const GArray *samples,
		       uint32_t from_ms, uint32_t until_ms, uint32_t seed);

int bench_failover(const struct bench_args *args)
{
	const struct fleet_plan plan = {
		.service = "failover",
		.instances = 6,
		.domains = 3,
		.backends = 10,
		.slots = 6,
		.work_ms = WORK_MS,
		.policy = "leased",
		.document_members = document_members,
		.seed = args->seed,
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
		.seed = args->seed,
	};
	struct kill_plan kill_plan;
	pthread_t kill_thread;
	GArray *samples;

	load.streams[0].target = "/judge/a";
	load.streams[0].point_count = 1;
	load.streams[0].points[0].rate_per_s = DEMAND_SHARE * capacity;
	kill_plan.pid = find_home_pid(fleet, plan.service);
	kill_plan.at_us = clock_now_us() + KILL_MS * US_PER_MS;
	if (pthread_create(&kill_thread, NULL, kill_at_time, &kill_plan) != 0)
		return EXIT_FAILURE;
	samples = load_run(&load);
	pthread_join(kill_thread, NULL);
	printf("failover: seed %u, one of three homes killed, still listed; "
	       "demand %.2f of capacity\n%-8s %8s %8s %8s %10s\n",
	       args->seed, DEMAND_SHARE, "span", "served%", "refused%",
	       "failed%", "p99");
	print_span("before", samples, 1000, BEFORE_END_MS, args->seed);
	print_span("at once", samples, KILL_MS, SETTLED_MS, args->seed);
	print_span("settled", samples, SETTLED_MS, SPAN_MS, args->seed);
	g_array_unref(samples);
	fleet_stop(fleet);
	return EXIT_SUCCESS;
}

static void *kill_at_time(void *data)
{
	const struct kill_plan *kill_plan = data;
	struct timespec until;

	clock_monotonic_deadline(kill_plan->at_us, &until);
	while (clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &until, NULL) ==
	       EINTR)
		;
	if (kill(kill_plan->pid, SIGKILL) != 0)
		perror("failover: cannot kill the home");
	return NULL;
}

/*
 * Returns the process id of a home of the service: an instance that is among
 * the entries that instance 0 gives to callers.
 */
static int32_t find_home_pid(const struct fleet *fleet, const char *service)
{
	char ip[ADDR_TEXT_BYTES];
	char addr[ADDR_TEXT_BYTES];
	char *quoted;
	char *url;
	char *text;
	int32_t pid = 0;
	uint32_t i;

	url = g_strdup_printf("http://%s/.nutmegcrank/entries?service=%s",
			      addr_format(fleet->instances[0], addr), service);
	text = http_get_text(url);
	for (i = 0; text && i < fleet->instance_count; i++) {
		quoted = g_strdup_printf(
			"\"%s\"", addr_ip_format(fleet->instances[i].ip, ip));
		if (strstr(text, quoted))
			pid = fleet->instance_pids[i];
		g_free(quoted);
	}
	g_free(text);
	g_free(url);
	if (pid == 0)
		g_error("failover: entries of instance 0 name no instance");
	return pid;
}

static void print_span(const char *name, const GArray *samples,
		       uint32_t from_ms, uint32_t until_ms, uint32_t seed)
{
	struct stats stats =
		stats_compute(samples, STATS_ALL_STREAMS, from_ms, until_ms);
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
