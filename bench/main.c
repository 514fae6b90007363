#include <argp.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"

static error_t parse_option(int key, char *arg, struct argp_state *state);
static enum bench_kind parse_kind(const char *text);
static uint32_t parse_seed(const char *text, struct argp_state *state);
static int run_bench(const struct bench_args *args);

static const struct argp_option options[] = {
	{ "seed", 's', "N", 0, "seed of all random numbers, 1 unless given",
	  0 },
	{ 0 },
};

static const struct argp bench_argp = {
	.options = options,
	.parser = parse_option,
	.args_doc = "peak|blocking|latency|detection|failover|control",
	.doc = "Measure nutmegcrank; prints a table and JSON lines.",
};

int main(int argc, char **argv)
{
	struct bench_args args = { .kind = BENCH_NONE, .seed = 1 };
	error_t error = argp_parse(&bench_argp, argc, argv, 0, NULL, &args);

	if (error != 0)
		return EXIT_FAILURE;
	return run_bench(&args);
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct bench_args *args = state->input;

	switch (key) {
	case 's':
		args->seed = parse_seed(arg, state);
		return 0;
	case ARGP_KEY_ARG:
		args->kind = parse_kind(arg);
		if (state->arg_num > 0 || args->kind == BENCH_NONE)
			argp_usage(state);
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static enum bench_kind parse_kind(const char *text)
{
	if (strcmp(text, "peak") == 0)
		return BENCH_PEAK;
	if (strcmp(text, "blocking") == 0)
		return BENCH_BLOCKING;
	if (strcmp(text, "latency") == 0)
		return BENCH_LATENCY;
	if (strcmp(text, "detection") == 0)
		return BENCH_DETECTION;
	if (strcmp(text, "failover") == 0)
		return BENCH_FAILOVER;
	if (strcmp(text, "control") == 0)
		return BENCH_CONTROL;
	return BENCH_NONE;
}

static uint32_t parse_seed(const char *text, struct argp_state *state)
{
	unsigned long seed;
	char *end;

	errno = 0;
	seed = strtoul(text, &end, 10);
	if (errno != 0 || end == text || *end != '\0' || seed > UINT32_MAX)
		argp_error(state, "seed must be a number from 0 to %u",
			   UINT32_MAX);
	return (uint32_t)seed;
}

static int run_bench(const struct bench_args *args)
{
	switch (args->kind) {
	case BENCH_PEAK:
		return bench_peak(args);
	case BENCH_BLOCKING:
		return bench_blocking(args);
	case BENCH_LATENCY:
		return bench_latency(args);
	case BENCH_DETECTION:
		return bench_detection(args);
	case BENCH_FAILOVER:
		return bench_failover(args);
	case BENCH_CONTROL:
		return bench_control(args);
	case BENCH_NONE:
		break;
	}
	return EXIT_FAILURE;
}
