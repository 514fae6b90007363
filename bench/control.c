#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench.h"
#include "control_model.h"
#include "core/clock.h"
#include "fleet.h"
#include "process.h"

#define SPAN_US (10 * US_PER_S)
#define SPREAD_MAX_US (10 * US_PER_S)
#define SPREAD_STEP_US 5000
#define SIZES 5
#define SERVICE "gallery"
#define URL_BYTES 128

static const uint32_t sizes[SIZES] = { 3, 6, 12, 24, 40 };

/**
 * struct control_row - real processes of one size
 * @instances: how many
 * @cpu_us: CPU time of an instance in a second
 * @rss_bytes: resident memory of an instance
 * @reads: calls to the platform in a second, whole fleet
 * @spread_us: until a new version was in force on all
 */
struct control_row {
	uint32_t instances;
	double cpu_us;
	double rss_bytes;
	double reads;
	uint64_t spread_us;
};

static void print_models(uint32_t seed);
static void print_model(const struct control_plan *plan);
static void print_state(uint32_t seed);
static void print_processes(uint32_t seed);
static struct control_row run_processes(uint32_t instances, uint32_t seed);
static uint64_t platform_reads(uint16_t platform);
static uint64_t spread_us(const struct fleet *fleet, uint16_t platform);
static bool in_force(const struct fleet *fleet, uint32_t index,
		     const char *version);
static uint64_t rss_bytes(int32_t id);
static void fit(const double *x, const double *y, uint32_t count,
		const char *what);

int bench_control(const struct bench_order *order)
{
	print_models(order->seed);
	print_state(order->seed);
	print_processes(order->seed);
	return EXIT_SUCCESS;
}

static void print_models(uint32_t seed)
{
	struct control_plan plan = { .backends = 22, .seed = seed };
	uint32_t busy;
	uint32_t i;

	printf("fleets in memory, for each instance and second\n"
	       "%9s %8s %5s %9s %9s %9s\n",
	       "instances", "services", "busy", "datagrams", "bytes", "cpu us");
	for (busy = 0; busy < 2; busy++) {
		plan.busy = busy != 0;
		for (i = 0; i < SIZES; i++) {
			plan.instances = sizes[i];
			plan.services = 4;
			print_model(&plan);
		}
		for (i = 0; i < SIZES; i++) {
			plan.instances = sizes[i];
			plan.services = (sizes[i] * 350 + 659) / 660;
			print_model(&plan);
		}
	}
}

static void print_model(const struct control_plan *plan)
{
	struct control_figures figures = control_model_run(plan);

	printf("%9u %8u %5s %9.1f %9.0f %9.0f\n", plan->instances,
	       plan->services, plan->busy ? "yes" : "no", figures.datagrams,
	       figures.bytes, figures.cpu_us);
	printf("{\"bench\":\"control_model\",\"seed\":%u,\"instances\":%u,"
	       "\"services\":%u,\"busy\":%s,\"datagrams_per_s\":%.2f,"
	       "\"bytes_per_s\":%.1f,\"cpu_us_per_s\":%.1f}\n",
	       plan->seed, plan->instances, plan->services,
	       plan->busy ? "true" : "false", figures.datagrams, figures.bytes,
	       figures.cpu_us);
}

static void print_state(uint32_t seed)
{
	static const uint32_t services[] = { 35, 88, 175, 350 };
	struct control_plan plan = { .instances = 660,
				     .backends = 22,
				     .seed = seed };
	struct state_figures figures;
	uint32_t i;

	printf("one instance's state among 660\n%8s %12s %9s %9s\n", "services",
	       "state bytes", "tick us", "list us");
	for (i = 0; i < G_N_ELEMENTS(services); i++) {
		plan.services = services[i];
		figures = control_model_state(&plan);
		printf("%8u %12" G_GUINT64_FORMAT " %9.0f %9.0f\n",
		       plan.services, figures.state_bytes, figures.tick_us,
		       figures.list_us);
		printf("{\"bench\":\"control_state\",\"seed\":%u,"
		       "\"instances\":660,\"services\":%u,\"state_bytes\":"
		       "%" G_GUINT64_FORMAT ",\"tick_us\":%.1f,"
		       "\"list_us\":%.1f}\n",
		       seed, plan.services, figures.state_bytes,
		       figures.tick_us, figures.list_us);
	}
}

static void print_processes(uint32_t seed)
{
	struct control_row row;
	double x[SIZES];
	double cpu[SIZES];
	double rss[SIZES];
	double reads[SIZES];
	uint32_t i;

	printf("real processes, idle, one service\n%9s %9s %9s %9s %9s\n",
	       "instances", "cpu us/s", "rss KB", "reads/s", "spread ms");
	for (i = 0; i < SIZES; i++) {
		row = run_processes(sizes[i], seed);
		x[i] = row.instances;
		cpu[i] = row.cpu_us;
		rss[i] = row.rss_bytes / 1024;
		reads[i] = row.reads;
		printf("%9u %9.0f %9.0f %9.2f %9.0f\n", row.instances,
		       row.cpu_us, rss[i], row.reads,
		       (double)row.spread_us / US_PER_MS);
		printf("{\"bench\":\"control\",\"seed\":%u,\"instances\":%u,"
		       "\"cpu_us_per_s\":%.1f,\"rss_bytes\":%.0f,"
		       "\"reads_per_s\":%.2f,\"spread_us\":%" G_GUINT64_FORMAT
		       "}\n",
		       seed, row.instances, row.cpu_us, row.rss_bytes,
		       row.reads, row.spread_us);
		fflush(stdout);
	}
	fit(x, cpu, SIZES, "cpu us/s of an instance");
	fit(x, rss, SIZES, "rss KB of an instance");
	fit(x, reads, SIZES, "reads/s of the fleet");
}

static struct control_row run_processes(uint32_t instances, uint32_t seed)
{
	struct fleet_plan plan = {
		.service = SERVICE,
		.instances = instances,
		.domains = 3,
		.backends = 10,
		.slots = 6,
		.work_ms = 10,
		.policy = "leased",
		.rest = "\"classes\":[{\"name\":\"judge\",\"priority\":0,"
			"\"queue\":64}],\"routes\":[],\"default_budget_ms\":2000",
		.seed = seed,
	};
	struct fleet *fleet = fleet_start(&plan);
	uint16_t platform = (uint16_t)(fleet->backends[0].port - 4);
	struct control_row row = { .instances = instances };
	uint64_t cpu_us = fleet_cpu_us(fleet);
	uint64_t reads = platform_reads(platform);
	double span_s = (double)SPAN_US / US_PER_S;
	uint32_t i;

	g_usleep(SPAN_US);
	row.cpu_us =
		(double)(fleet_cpu_us(fleet) - cpu_us) / instances / span_s;
	row.reads = (double)(platform_reads(platform) - reads) / span_s;
	for (i = 0; i < instances; i++)
		row.rss_bytes +=
			(double)rss_bytes(fleet->instance_ids[i]) / instances;
	row.spread_us = spread_us(fleet, platform);
	fleet_stop(fleet);
	return row;
}

static uint64_t platform_reads(uint16_t platform)
{
	char url[URL_BYTES];
	const char *digits;
	uint64_t reads = 0;
	char *text;

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/standin/reads",
		 platform);
	text = http_get_text(url);
	digits = text ? strpbrk(text, "0123456789") : NULL;
	if (digits)
		reads = g_ascii_strtoull(digits, NULL, 10);
	g_free(text);
	return reads;
}

/* Includes the reads of status by which it is seen. */
static uint64_t spread_us(const struct fleet *fleet, uint16_t platform)
{
	char url[URL_BYTES];
	uint64_t began_us;
	uint32_t index = 0;
	char *text;

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/config/" SERVICE,
		 platform);
	text = http_get_text(url);
	snprintf(url, sizeof(url),
		 "http://127.0.0.1:%u/standin/config/" SERVICE "?version=2",
		 platform);
	began_us = clock_now_us();
	if (!text || !http_put_text(url, text))
		g_error("control: the platform takes no document");
	g_free(text);
	while (index < fleet->instance_count &&
	       clock_now_us() < began_us + SPREAD_MAX_US) {
		if (in_force(fleet, index, "\"version\":2"))
			index++;
		else
			g_usleep(SPREAD_STEP_US);
	}
	return clock_now_us() - began_us;
}

static bool in_force(const struct fleet *fleet, uint32_t index,
		     const char *version)
{
	char url[URL_BYTES];
	bool found;
	char *text;

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/status",
		 fleet->operator_port + index);
	text = http_get_text(url);
	found = text && strstr(text, version);
	g_free(text);
	return found;
}

static uint64_t rss_bytes(int32_t id)
{
	unsigned long size = 0;
	unsigned long resident = 0;
	char path[64];
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/statm", id);
	file = fopen(path, "r");
	if (!file)
		return 0;
	if (fscanf(file, "%lu %lu", &size, &resident) != 2)
		resident = 0;
	fclose(file);
	return (uint64_t)resident * (uint64_t)sysconf(_SC_PAGESIZE);
}

/* Least squares. */
static void fit(const double *x, const double *y, uint32_t count,
		const char *what)
{
	double sum_x = 0;
	double sum_y = 0;
	double sum_xx = 0;
	double sum_xy = 0;
	double slope;
	uint32_t i;

	for (i = 0; i < count; i++) {
		sum_x += x[i];
		sum_y += y[i];
		sum_xx += x[i] * x[i];
		sum_xy += x[i] * y[i];
	}
	slope = (count * sum_xy - sum_x * sum_y) /
		(count * sum_xx - sum_x * sum_x);
	printf("fit: %s = %.2f + %.4f * instances\n", what,
	       (sum_y - slope * sum_x) / count, slope);
}
