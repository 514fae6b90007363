#ifndef CLI_AUDIT_H
#define CLI_AUDIT_H

/**
 * DOC: subcommand audit: print an instance's audit trail
 */

#include "cli/parse.h"

/**
 * audit_main() - fetch an instance's audit trail and print it
 * @args: address of the instance, first record, output format
 *
 * Return: EXIT_SUCCESS, or EXIT_FAILURE with the error on stderr.
 */
int audit_main(const struct audit_args *args);

#endif
