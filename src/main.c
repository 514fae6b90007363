#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>

#include "cli/audit.h"
#include "cli/check.h"
#include "cli/entries.h"
#include "cli/log.h"
#include "cli/parse.h"
#include "cli/run.h"
#include "cli/status.h"
#include "codec/document_json.h"

static int run_instance(const struct run_args *args);
static int run_subcommand(const struct cli_args *args);

int main(int argc, char **argv)
{
	struct cli_args args;
	int status;

	cli_parse(argc, argv, &args);
	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
		fputs("nutmegcrank: cannot initialize the HTTP client\n",
		      stderr);
		return EXIT_FAILURE;
	}
	status = run_subcommand(&args);
	curl_global_cleanup();
	return status;
}

static int run_subcommand(const struct cli_args *args)
{
	switch (args->kind) {
	case CLI_RUN:
		return run_instance(&args->run);
	case CLI_CHECK:
		return check_main(&args->check);
	case CLI_STATUS:
		return status_main(&args->status);
	case CLI_AUDIT:
		return audit_main(&args->audit);
	case CLI_ENTRIES:
		return entries_main(&args->entries);
	}
	return EXIT_FAILURE;
}

static int run_instance(const struct run_args *args)
{
	/* Static, as the log thread may use them until the process ends. */
	static struct settings settings;
	GError *error = NULL;
	uint64_t ends_us;
	int status;

	if (!settings_load(args->settings_path, &settings, &error) ||
	    !log_setup(&settings, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	if (settings.random_seed == 0)
		settings.random_seed = g_random_int();
	g_message("settings accepted, random seed %u", settings.random_seed);
	status = run_main(&settings, args->settings_path, &ends_us);
	log_stop(ends_us);
	return status;
}
