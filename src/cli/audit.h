#ifndef CLI_AUDIT_H
#define CLI_AUDIT_H

/**
 * DOC: audit: an instance's audit trail
 */

#include "cli/parse.h"

/**
 * audit_main() - show an instance's audit trail
 * @order: which instance, from where on
 *
 * Return: exit status.
 */
int audit_main(const struct audit_args *order);

#endif
