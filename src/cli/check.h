#ifndef CLI_CHECK_H
#define CLI_CHECK_H

/**
 * DOC: subcommand check: validate settings files and service documents
 */

#include "cli/parse.h"

/**
 * check_main() - validate files and write each error to stderr
 * @args: the files
 *
 * Return: EXIT_SUCCESS when all files are valid, else EXIT_FAILURE.
 */
int check_main(const struct check_args *args);

#endif
