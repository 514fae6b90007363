#ifndef CLI_RUN_H
#define CLI_RUN_H

/**
 * DOC: subcommand run: run one entry instance in the foreground
 */

#include "core/document.h"

/**
 * run_main() - start all duties and wait for the end of a planned stop
 * @settings: valid settings, not owned
 * @settings_path: file that they were read from, read again on a reload
 * @ends_us: filled with the boot time by which the process must have ended
 *
 * SIGTERM and SIGINT begin a planned stop; a second signal hurries it.
 *
 * Return: EXIT_SUCCESS after a planned stop, EXIT_FAILURE with a log line when
 * a duty cannot start.
 */
int run_main(const struct settings *settings, const char *settings_path,
	     uint64_t *ends_us);

#endif
