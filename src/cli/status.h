#ifndef CLI_STATUS_H
#define CLI_STATUS_H

/**
 * DOC: subcommand status: print an instance's state
 */

#include "cli/parse.h"

/**
 * status_main() - fetch an instance's state and print it
 * @args: address of the instance, service or all, output format
 *
 * Return: EXIT_SUCCESS, or EXIT_FAILURE with the error on stderr.
 */
int status_main(const struct status_args *args);

#endif
