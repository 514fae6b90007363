#ifndef QUERY_READERS_H
#define QUERY_READERS_H

/**
 * DOC: selection of the instances that read from the platform
 *
 * The readers fetch documents and the instance list from the platform for all
 * instances. There is one reader in each failure domain, or several when there
 * are few domains; a reader that has lost the platform is replaced by the next
 * instance. The platform's load thus grows with the number of failure domains
 * and not with the number of instances.
 */

#include "core/state.h"

/**
 * readers_own_role() - reader role of this instance
 * @state: read only
 * @now: current time
 *
 * Return: READER_FIRST for one instance of the fleet, READER_STANDBY for the
 * other readers; READER_NONE for the rest, and while no instance list is known.
 */
enum reader_role readers_own_role(const struct state *state,
				  struct instant now);

#endif
