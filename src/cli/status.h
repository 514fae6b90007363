#ifndef CLI_STATUS_H
#define CLI_STATUS_H

/**
 * DOC: status: an instance's state
 */

#include "cli/parse.h"

/**
 * status_main() - show an instance's state
 * @order: which instance, which service
 *
 * Return: exit status.
 */
int status_main(const struct status_args *order);

#endif
