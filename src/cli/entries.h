#ifndef CLI_ENTRIES_H
#define CLI_ENTRIES_H

/**
 * DOC: subcommand entries: print which instances a caller should use
 */

#include "cli/parse.h"

/**
 * entries_main() - fetch the entry instances for a service and print them
 * @args: address of the instance, service, output format
 *
 * Return: EXIT_SUCCESS, or EXIT_FAILURE with the error on stderr.
 */
int entries_main(const struct entries_args *args);

#endif
