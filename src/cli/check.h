#ifndef CLI_CHECK_H
#define CLI_CHECK_H

/**
 * DOC: check: settings files and service documents
 */

#include "cli/parse.h"

/**
 * check_main() - check files, write each error to stderr
 * @order: the files
 *
 * Return: exit status; 0 when all are accepted.
 */
int check_main(const struct check_args *order);

#endif
