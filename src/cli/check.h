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
 * Return: exit status; 0 when all are accepted.
 */
int check_main(const struct check_args *args);

#endif
