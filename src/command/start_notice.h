#ifndef COMMAND_START_NOTICE_H
#define COMMAND_START_NOTICE_H

/**
 * DOC: stored drain and pause notices of backend servers, by start
 *
 * A document may omit a backend server for a while and list it again; its
 * struct backend is lost in between. The notice of a named start is stored
 * apart from it and stays in force.
 */

#include "core/state.h"

/**
 * start_notice_store() - store the notice of a start
 * @service: service of the backend server
 * @start: the start; nothing is stored for a start without a name
 * @notice: the notice, merged with the stored one
 * @now: current time
 *
 * When all stored notices are in force and there is no room, the oldest is
 * replaced.
 */
void start_notice_store(struct service *service, const struct start_id *start,
			const struct backend_notice *notice,
			struct instant now);

/**
 * start_notice_find() - find the notice of a start
 * @service: service of the backend server
 * @start: the start
 *
 * Return: the stored notice, owned by @service, or NULL.
 */
const struct backend_notice *start_notice_find(const struct service *service,
					       const struct start_id *start);

#endif
