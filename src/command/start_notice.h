#ifndef COMMAND_START_NOTICE_H
#define COMMAND_START_NOTICE_H

/**
 * DOC: what starts of backend servers said of themselves, kept
 *
 * A backend server's entry may lapse and come back, and its place in the state goes
 * with it. What a named start said holds all the while.
 */

#include "core/state.h"

/**
 * start_notice_store() - keep what a start said
 * @service: its service
 * @start: the start; nothing is kept of one without a name
 * @notice: what it said; adds to what is kept
 * @now: the time
 *
 * The oldest word goes when there is no room and all still hold.
 */
void start_notice_store(struct service *service, const struct start_id *start,
			const struct backend_notice *notice,
			struct instant now);

/**
 * start_notice_find() - what a start said
 * @service: its service
 * @start: the start
 *
 * Return: what is kept of it, owned by @service, or NULL.
 */
const struct backend_notice *start_notice_find(const struct service *service,
					       const struct start_id *start);

#endif
