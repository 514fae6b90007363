#include "bench.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "model/fleet_model.h"

#define RUNS_PER_ROW 10
#define FAULT_START_US (20 * US_PER_S)
#define OBSERVED_US (20 * US_PER_S)
#define HEALTHY_RUN_US (600 * US_PER_S)
#define FAULTY_BACKEND 4

/**
 * struct detection_size - sizes of a service
 * @name: name printed in the table
 * @homes: size of the home set
 * @domains: failure domains of homes and backend servers
 * @backends: number of backend servers
 * @slots: slots of each backend server
 */
struct detection_size {
	const char *name;
	uint32_t homes;
	uint32_t domains;
	uint32_t backends;
	uint32_t slots;
};

/**
 * struct fault_case - a fault that probes do not show
 * @name: name printed in the table
 * @kind: kind of fault
 * @amount: permille of the requests that the fault affects; with MODEL_SLOW,
 *	multiple of the service time
 */
struct fault_case {
	const char *name;
	enum model_fault_kind kind;
	uint32_t amount;
};

/**
 * struct detection_times - times to detection of all runs of a fault case
 * @ms: for each run in which all homes stopped sending requests to the faulty
 *	backend server, time from the start of the fault until the last one did
 * @count: used entries of @ms
 * @missed: runs in which some home never stopped sending requests
 * @wrong: ejections of other backend servers
 */
struct detection_times {
	uint64_t ms[RUNS_PER_ROW];
	uint32_t count;
	uint32_t missed;
	uint32_t wrong;
};

/**
 * struct report - rows for the JSON line, which is printed after the tables
 * @json: text of the rows so far
 */
struct report {
	GString *json;
};

static const struct detection_size sizes[] = {
	{ "gallery", 3, 3, 10, 6 },
	{ "roster", 4, 4, 15, 3 },
};

static const struct fault_case fault_cases[] = {
	{ "fails 10 %", MODEL_FAIL, 100 },   { "fails 30 %", MODEL_FAIL, 300 },
	{ "fails 100 %", MODEL_FAIL, 1000 }, { "3x slow", MODEL_SLOW, 3 },
	{ "10x slow", MODEL_SLOW, 10 },	     { "hangs 30 %", MODEL_HANG, 300 },
	{ "hangs 100 %", MODEL_HANG, 1000 },
};

static const char *const ejector_names[] = { "none", "consecutive",
					     "nutmegcrank" };

static void init_config(struct model_config *config,
			const struct detection_size *size,
			enum model_ejector ejector, uint32_t seed);
static void measure_fault(struct report *report,
			  const struct detection_size *size,
			  const struct fault_case *fault_case,
			  enum model_ejector ejector, uint32_t seed);
static void record_run(struct detection_times *times,
		       const struct model_config *config,
		       const struct model_result *result);
static void measure_healthy(struct report *report,
			    const struct detection_size *size,
			    enum model_ejector ejector, uint32_t seed);
static void add_fault(struct model_config *config, enum model_fault_kind kind,
		      uint32_t backend, uint32_t amount);
static int compare_ms(const void *a, const void *b);

int bench_detection(const struct bench_args *args)
{
	struct report report = { .json = g_string_new(NULL) };
	enum model_ejector ejector;
	uint32_t i;
	uint32_t j;

	printf("detection, seed %u, %u runs a row, all probes healthy,\n"
	       "20 requests/s for each backend server, mean 50 ms\n\n"
	       "%-8s %-12s %-12s %9s %8s %7s %6s %8s\n",
	       args->seed, (uint32_t)RUNS_PER_ROW, "service", "fault",
	       "ejector", "median ms", "worst ms", "missed", "wrong",
	       "failed %");
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (j = 0; j < G_N_ELEMENTS(fault_cases); j++) {
			for (ejector = MODEL_EJECT_NONE;
			     ejector <= MODEL_EJECT_HEALTH; ejector++)
				measure_fault(&report, &sizes[i],
					      &fault_cases[j], ejector,
					      args->seed);
		}
	}
	printf("\n10 minutes, no fault: 2 %% stragglers of 30x, 0.1 %% "
	       "errors, one sheds 30 %%\n\n%-8s %-12s %9s %20s %9s %9s\n",
	       "service", "ejector", "ejections", "per backend and hour",
	       "digests/s", "entries/s");
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (ejector = MODEL_EJECT_NONE; ejector <= MODEL_EJECT_HEALTH;
		     ejector++)
			measure_healthy(&report, &sizes[i], ejector,
					args->seed);
	}
	printf("\n{\"bench\":\"detection\",\"seed\":%u,\"rows\":[%s]}\n",
	       args->seed, report.json->str);
	g_string_free(report.json, TRUE);
	return EXIT_SUCCESS;
}

static void init_config(struct model_config *config,
			const struct detection_size *size,
			enum model_ejector ejector, uint32_t seed)
{
	memset(config, 0, sizeof(*config));
	config->seed = seed;
	config->ejector = ejector;
	config->homes = size->homes;
	config->domains = size->domains;
	config->backends = size->backends;
	config->slots = size->slots;
	config->floor_percent = 60;
	config->requests_per_s = 20;
	config->typical_us = 50 * US_PER_MS;
	config->error_permille = 1;
	config->digest_delay_us = 5 * US_PER_MS;
}

static void measure_fault(struct report *report,
			  const struct detection_size *size,
			  const struct fault_case *fault_case,
			  enum model_ejector ejector, uint32_t seed)
{
	struct detection_times times = { 0 };
	struct model_result result;
	struct model_config config;
	uint64_t requests = 0;
	uint64_t failed = 0;
	uint64_t worst;
	uint64_t median;
	uint32_t run;

	for (run = 0; run < RUNS_PER_ROW; run++) {
		init_config(&config, size, ejector, seed * RUNS_PER_ROW + run);
		config.run_us = FAULT_START_US + OBSERVED_US;
		add_fault(&config, fault_case->kind, FAULTY_BACKEND,
			  fault_case->amount);
		model_run(&config, &result);
		record_run(&times, &config, &result);
		requests += result.requests;
		failed += result.failed_requests;
	}
	qsort(times.ms, times.count, sizeof(times.ms[0]), compare_ms);
	median = times.count > 0 ? times.ms[times.count / 2] : 0;
	worst = times.count > 0 ? times.ms[times.count - 1] : 0;
	printf("%-8s %-12s %-12s %9" PRIu64 " %8" PRIu64 " %7u %6u %8.2f\n",
	       size->name, fault_case->name, ejector_names[ejector], median,
	       worst, times.missed, times.wrong, 100.0 * failed / requests);
	g_string_append_printf(
		report->json,
		"%s{\"service\":\"%s\",\"fault\":\"%s\",\"ejector\":\"%s\","
		"\"median_ms\":%" PRIu64 ",\"worst_ms\":%" PRIu64
		",\"missed\":%u,\"wrong\":%u}",
		report->json->len > 0 ? "," : "", size->name, fault_case->name,
		ejector_names[ejector], median, worst, times.missed,
		times.wrong);
}

/*
 * A fault counts as detected when the last home has no open slots on the
 * faulty backend server.
 */
static void record_run(struct detection_times *times,
		       const struct model_config *config,
		       const struct model_result *result)
{
	uint64_t last_us = 0;
	uint32_t i;

	for (i = 0; i < config->homes; i++)
		last_us = MAX(last_us, result->no_slots_us[i][FAULTY_BACKEND]);
	for (i = 0; i < config->backends; i++)
		times->wrong += i == FAULTY_BACKEND ? 0 : result->ejections[i];
	if (last_us == MODEL_NEVER_US)
		times->missed++;
	else
		times->ms[times->count++] =
			(last_us - FAULT_START_US) / US_PER_MS;
}

static void measure_healthy(struct report *report,
			    const struct detection_size *size,
			    enum model_ejector ejector, uint32_t seed)
{
	struct model_result result;
	struct model_config config;
	double hours = (double)HEALTHY_RUN_US / (3600 * US_PER_S);
	double home_s = (double)HEALTHY_RUN_US / US_PER_S * size->homes;
	double rate;

	init_config(&config, size, ejector, seed);
	config.run_us = HEALTHY_RUN_US;
	config.straggler_permille = 20;
	config.straggler_factor = 30;
	add_fault(&config, MODEL_SHED, FAULTY_BACKEND, 300);
	model_run(&config, &result);
	rate = model_ejections(&result) / (hours * size->backends);
	printf("%-8s %-12s %9u %20.2f %9.1f %9.1f\n", size->name,
	       ejector_names[ejector], model_ejections(&result), rate,
	       result.digests / home_s, result.digest_entries / home_s);
	g_string_append_printf(
		report->json,
		",{\"service\":\"%s\",\"fault\":\"none\",\"ejector\":\"%s\","
		"\"ejections\":%u,\"per_backend_hour\":%.2f}",
		size->name, ejector_names[ejector], model_ejections(&result),
		rate);
}

static void add_fault(struct model_config *config, enum model_fault_kind kind,
		      uint32_t backend, uint32_t amount)
{
	struct model_fault *fault = &config->faults[config->fault_count++];

	fault->kind = kind;
	fault->from_us = FAULT_START_US;
	fault->until_us = MODEL_NEVER_US;
	fault->backend = backend;
	fault->home = MODEL_ALL;
	fault->permille = amount;
}

static int compare_ms(const void *a, const void *b)
{
	const uint64_t *left = a;
	const uint64_t *right = b;

	return (*left > *right) - (*left < *right);
}
