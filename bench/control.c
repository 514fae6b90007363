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

#define MEASURED_US (10 * US_PER_S)
#define PROPAGATION_TIMEOUT_US (10 * US_PER_S)
#define PROPAGATION_POLL_US 5000
#define FLEET_SIZE_COUNT 5
#define SERVICE "gallery"
#define URL_BYTES 128

static const uint32_t fleet_sizes[FLEET_SIZE_COUNT] = { 3, 6, 12, 24, 40 };

/**
 * struct process_cost - cost of an idle fleet of real processes
 * @instances: size of the fleet
 * @cpu_us_per_s: CPU time of an instance per second, average
 * @rss_bytes: resident memory of an instance, average
 * @reads_per_s: reads from the platform per second, by the whole fleet
 * @propagation_us: time until a new version was in force on all instances
 */
struct process_cost {
	uint32_t instances;
	double cpu_us_per_s;
	double rss_bytes;
	double reads_per_s;
	uint64_t propagation_us;
};

static void print_control_costs(uint32_t seed);
static void print_control_cost(const struct control_plan *plan);
static void print_state_costs(uint32_t seed);
static void print_process_costs(uint32_t seed);
static struct process_cost measure_processes(uint32_t instances, uint32_t seed);
static uint64_t platform_reads(uint16_t platform_port);
static uint64_t measure_propagation_us(const struct fleet *fleet,
				       uint16_t platform_port);
static bool status_contains(const struct fleet *fleet, uint32_t index,
			    const char *version);
static uint64_t rss_bytes(int32_t pid);
static void print_linear_fit(const double *x, const double *y, uint32_t count,
			     const char *what);

int bench_control(const struct bench_args *args)
{
	print_control_costs(args->seed);
	print_state_costs(args->seed);
	print_process_costs(args->seed);
	return EXIT_SUCCESS;
}

static void print_control_costs(uint32_t seed)
{
	struct control_plan plan = { .backends = 22, .seed = seed };
	uint32_t busy;
	uint32_t i;

	printf("simulated fleets, for each instance and second\n"
	       "%9s %8s %5s %9s %9s %9s\n",
	       "instances", "services", "busy", "datagrams", "bytes", "cpu us");
	for (busy = 0; busy < 2; busy++) {
		plan.busy = busy != 0;
		for (i = 0; i < FLEET_SIZE_COUNT; i++) {
			plan.instances = fleet_sizes[i];
			plan.services = 4;
			print_control_cost(&plan);
		}
		for (i = 0; i < FLEET_SIZE_COUNT; i++) {
			plan.instances = fleet_sizes[i];
			/* 350 services for 660 instances, in proportion. */
			plan.services = (fleet_sizes[i] * 350 + 659) / 660;
			print_control_cost(&plan);
		}
	}
}

static void print_control_cost(const struct control_plan *plan)
{
	struct control_cost cost = control_model_run(plan);

	printf("%9u %8u %5s %9.1f %9.0f %9.0f\n", plan->instances,
	       plan->services, plan->busy ? "yes" : "no", cost.datagrams_per_s,
	       cost.bytes_per_s, cost.cpu_us_per_s);
	printf("{\"bench\":\"control_model\",\"seed\":%u,\"instances\":%u,"
	       "\"services\":%u,\"busy\":%s,\"datagrams_per_s\":%.2f,"
	       "\"bytes_per_s\":%.1f,\"cpu_us_per_s\":%.1f}\n",
	       plan->seed, plan->instances, plan->services,
	       plan->busy ? "true" : "false", cost.datagrams_per_s,
	       cost.bytes_per_s, cost.cpu_us_per_s);
}

static void print_state_costs(uint32_t seed)
{
	static const uint32_t services[] = { 35, 88, 175, 350 };
	struct control_plan plan = { .instances = 660,
				     .backends = 22,
				     .seed = seed };
	struct state_cost cost;
	uint32_t i;

	printf("one instance's state among 660\n%8s %12s %9s %9s\n", "services",
	       "state bytes", "tick us", "list us");
	for (i = 0; i < G_N_ELEMENTS(services); i++) {
		plan.services = services[i];
		cost = control_model_state(&plan);
		printf("%8u %12" G_GUINT64_FORMAT " %9.0f %9.0f\n",
		       plan.services, cost.state_bytes, cost.tick_us,
		       cost.list_us);
		printf("{\"bench\":\"control_state\",\"seed\":%u,"
		       "\"instances\":660,\"services\":%u,\"state_bytes\":"
		       "%" G_GUINT64_FORMAT ",\"tick_us\":%.1f,"
		       "\"list_us\":%.1f}\n",
		       seed, plan.services, cost.state_bytes, cost.tick_us,
		       cost.list_us);
	}
}

static void print_process_costs(uint32_t seed)
{
	struct process_cost cost;
	double x[FLEET_SIZE_COUNT];
	double cpu[FLEET_SIZE_COUNT];
	double rss[FLEET_SIZE_COUNT];
	double reads[FLEET_SIZE_COUNT];
	uint32_t i;

	printf("real processes, idle, one service\n%9s %9s %9s %9s %9s\n",
	       "instances", "cpu us/s", "rss KB", "reads/s", "spread ms");
	for (i = 0; i < FLEET_SIZE_COUNT; i++) {
		cost = measure_processes(fleet_sizes[i], seed);
		x[i] = cost.instances;
		cpu[i] = cost.cpu_us_per_s;
		rss[i] = cost.rss_bytes / 1024;
		reads[i] = cost.reads_per_s;
		printf("%9u %9.0f %9.0f %9.2f %9.0f\n", cost.instances,
		       cost.cpu_us_per_s, rss[i], cost.reads_per_s,
		       (double)cost.propagation_us / US_PER_MS);
		printf("{\"bench\":\"control\",\"seed\":%u,\"instances\":%u,"
		       "\"cpu_us_per_s\":%.1f,\"rss_bytes\":%.0f,"
		       "\"reads_per_s\":%.2f,\"spread_us\":%" G_GUINT64_FORMAT
		       "}\n",
		       seed, cost.instances, cost.cpu_us_per_s, cost.rss_bytes,
		       cost.reads_per_s, cost.propagation_us);
		fflush(stdout);
	}
	print_linear_fit(x, cpu, FLEET_SIZE_COUNT, "cpu us/s of an instance");
	print_linear_fit(x, rss, FLEET_SIZE_COUNT, "rss KB of an instance");
	print_linear_fit(x, reads, FLEET_SIZE_COUNT, "reads/s of the fleet");
}

static struct process_cost measure_processes(uint32_t instances, uint32_t seed)
{
	struct fleet_plan plan = {
		.service = SERVICE,
		.instances = instances,
		.domains = 3,
		.backends = 10,
		.slots = 6,
		.work_ms = 10,
		.policy = "leased",
		.document_members =
			"\"classes\":[{\"name\":\"judge\",\"priority\":0,"
			"\"queue\":64}],\"routes\":[],"
			"\"default_budget_ms\":2000",
		.seed = seed,
	};
	struct fleet *fleet = fleet_start(&plan);
	/* fleet_start() places the platform four ports before the servers. */
	uint16_t platform_port = (uint16_t)(fleet->backends[0].port - 4);
	struct process_cost cost = { .instances = instances };
	uint64_t cpu_us = fleet_cpu_us(fleet);
	uint64_t reads = platform_reads(platform_port);
	double measured_s = (double)MEASURED_US / US_PER_S;
	uint32_t i;

	g_usleep(MEASURED_US);
	cost.cpu_us_per_s =
		(double)(fleet_cpu_us(fleet) - cpu_us) / instances / measured_s;
	cost.reads_per_s =
		(double)(platform_reads(platform_port) - reads) / measured_s;
	for (i = 0; i < instances; i++)
		cost.rss_bytes +=
			(double)rss_bytes(fleet->instance_pids[i]) / instances;
	cost.propagation_us = measure_propagation_us(fleet, platform_port);
	fleet_stop(fleet);
	return cost;
}

static uint64_t platform_reads(uint16_t platform_port)
{
	char url[URL_BYTES];
	const char *digits;
	uint64_t reads = 0;
	char *text;

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/standin/reads",
		 platform_port);
	text = http_get_text(url);
	digits = text ? strpbrk(text, "0123456789") : NULL;
	if (digits)
		reads = g_ascii_strtoull(digits, NULL, 10);
	g_free(text);
	return reads;
}

/*
 * Time until all instances have a new version in force. It includes the time
 * of the status requests that show it.
 */
static uint64_t measure_propagation_us(const struct fleet *fleet,
				       uint16_t platform_port)
{
	char url[URL_BYTES];
	uint64_t began_us;
	uint32_t index = 0;
	char *text;

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/config/" SERVICE,
		 platform_port);
	text = http_get_text(url);
	snprintf(url, sizeof(url),
		 "http://127.0.0.1:%u/standin/config/" SERVICE "?version=2",
		 platform_port);
	began_us = clock_now_us();
	if (!text || !http_put_text(url, text))
		g_error("control: cannot read or publish document " SERVICE);
	g_free(text);
	while (index < fleet->instance_count &&
	       clock_now_us() < began_us + PROPAGATION_TIMEOUT_US) {
		if (status_contains(fleet, index, "\"version\":2"))
			index++;
		else
			g_usleep(PROPAGATION_POLL_US);
	}
	return clock_now_us() - began_us;
}

static bool status_contains(const struct fleet *fleet, uint32_t index,
			    const char *version)
{
	char url[URL_BYTES];
	bool found;
	char *text;

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/status",
		 fleet->first_operator_port + index);
	text = http_get_text(url);
	found = text && strstr(text, version);
	g_free(text);
	return found;
}

static uint64_t rss_bytes(int32_t pid)
{
	unsigned long size = 0;
	unsigned long resident = 0;
	char path[64];
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/statm", pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	if (fscanf(file, "%lu %lu", &size, &resident) != 2)
		resident = 0;
	fclose(file);
	return (uint64_t)resident * (uint64_t)sysconf(_SC_PAGESIZE);
}

/* Prints the least-squares line of y over x, the number of instances. */
static void print_linear_fit(const double *x, const double *y, uint32_t count,
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
