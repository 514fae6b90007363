/* Stand-ins for the external systems that an instance talks to. */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

/**
 * struct mode - one stand-in
 * @name: first argument, selects the mode
 * @run: runs the mode with the remaining arguments
 */
struct mode {
	const char *name;
	int (*run)(int argc, char **argv);
};

static const struct mode modes[] = {
	{ "config", config_main },
	{ "backend", backend_main },
	{ "store", store_main },
	{ "fault", fault_main },
};

static sigset_t termination_signals;

static error_t parse_option(int key, char *text, struct argp_state *state);

static const struct argp parser = {
	.parser = parse_option,
	.args_doc = "MODE [OPTION...]",
	.doc = "Simulates an external system for tests.\v"
	       "MODE is config, store, backend or fault; see MODE --help.",
};

int main(int argc, char **argv)
{
	const struct mode *mode = NULL;

	if (sigemptyset(&termination_signals) != 0 ||
	    sigaddset(&termination_signals, SIGTERM) != 0 ||
	    sigaddset(&termination_signals, SIGINT) != 0 ||
	    pthread_sigmask(SIG_BLOCK, &termination_signals, NULL) != 0 ||
	    signal(SIGPIPE, SIG_IGN) == SIG_ERR)
		return EXIT_FAILURE;
	if (argp_parse(&parser, argc, argv, ARGP_IN_ORDER, NULL, &mode) != 0 ||
	    mode == NULL)
		return EXIT_FAILURE;
	return mode->run(argc - 1, argv + 1);
}

void wait_for_termination(void)
{
	int number;

	if (sigwait(&termination_signals, &number) != 0)
		fputs("standin: cannot wait for signals\n", stderr);
}

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	const struct mode **mode = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		for (size_t i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
			if (strcmp(modes[i].name, text) == 0)
				*mode = &modes[i];
		}
		if (*mode == NULL)
			argp_error(state, "unknown mode %s", text);
		/* The remaining arguments are parsed by the mode. */
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}
