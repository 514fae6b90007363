#ifndef CLI_RUN_H
#define CLI_RUN_H

/**
 * DOC: run: one entry instance in the foreground
 */

#include "core/document.h"

/**
 * run_main() - start the duties, wait for the end of a planned stop
 * @settings: checked settings
 * @settings_path: where they came from
 *
 * SIGTERM and SIGINT begin a planned stop; a second one hurries it.
 *
 * Return: exit status.
 */
int run_main(const struct settings *settings, const char *settings_path);

#endif
