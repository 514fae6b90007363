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

static int run(const struct run_args *order);
static int hand_over(const struct cli_args *order);

int main(int argc, char **argv)
{
	struct cli_args order;
	int status;

	cli_parse(argc, argv, &order);
	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
		fputs("nutmegcrank: the HTTP client does not start\n", stderr);
		return EXIT_FAILURE;
	}
	status = hand_over(&order);
	curl_global_cleanup();
	return status;
}

static int hand_over(const struct cli_args *order)
{
	switch (order->kind) {
	case CLI_RUN:
		return run(&order->run);
	case CLI_CHECK:
		return check_main(&order->check);
	case CLI_STATUS:
		return status_main(&order->status);
	case CLI_AUDIT:
		return audit_main(&order->audit);
	case CLI_ENTRIES:
		return entries_main(&order->entries);
	}
	return EXIT_FAILURE;
}

static int run(const struct run_args *order)
{
	/* The log reads them until the process has ended. */
	static struct settings settings;
	GError *error = NULL;
	int status;

	if (!settings_load(order->settings_path, &settings, &error) ||
	    !log_setup(&settings, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	if (settings.random_seed == 0)
		settings.random_seed = g_random_int();
	g_message("settings accepted, random seed %u", settings.random_seed);
	status = run_main(&settings, order->settings_path);
	log_stop();
	return status;
}
