#ifndef CLI_ENTRIES_H
#define CLI_ENTRIES_H

/**
 * DOC: entries: the answer a caller gets
 */

#include "cli/parse.h"

/**
 * entries_main() - show which instances a caller should use
 * @order: which instance, which service
 *
 * Return: exit status.
 */
int entries_main(const struct entries_args *order);

#endif
