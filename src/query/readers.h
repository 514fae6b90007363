#ifndef QUERY_READERS_H
#define QUERY_READERS_H

/**
 * DOC: which instances watch the platform
 *
 * A few in each failure domain do, so that the platform's load grows with the
 * failure domains and not with the instances.
 */

#include "core/state.h"

#define READERS_PER_DOMAIN 2

/**
 * readers_include_self() - whether this instance watches the platform itself
 * @state: only read
 *
 * Return: true when it ranks among the first of its failure domain's live
 * instances; never while no list is known.
 */
bool readers_include_self(const struct state *state);

#endif
