#ifndef COMMAND_START_RECORD_H
#define COMMAND_START_RECORD_H

/**
 * DOC: what is known of starts of backend servers beside the document in force
 *
 * The platform's store may come back from an older copy, whose entries list
 * starts as they were. An entry of the copy is no sign of life; a write after it
 * is. So a start that was not there, or was draining, in a state that this
 * instance has seen is out of use until its entry is known to have been written
 * after that state, whoever publishes the document.
 */

#include "core/state.h"

/**
 * start_records_see_version() - learn of a version of a service document
 * @state: routing state
 * @version: version that an instance has put in force
 *
 * The lowest version of an era is at or above the state that the copy had, so
 * what was written above it was written in that era.
 *
 * Return: whether it is the lowest one seen of the newest era.
 */
bool start_records_see_version(struct state *state, uint64_t version);

/**
 * start_records_review() - judge the document in force once more
 * @state: routing state, whose era is known to have begun earlier
 * @service: service to judge
 *
 * Return: whether a backend server is back in use by it.
 */
bool start_records_review(const struct state *state, struct service *service);

/**
 * start_records_follow() - learn from the replaced document, judge the new one
 * @state: routing state
 * @service: service with its new document and the backend servers of that
 * @old_doc: document that was in force before, not owned
 *
 * Sets the field left of each listed backend server, and their number.
 */
void start_records_follow(const struct state *state, struct service *service,
			  const struct service_doc *old_doc);

/**
 * start_record_hear() - learn what a peer has seen of a start
 * @state: routing state
 * @service: service of the start
 * @heard: the start as the peer has seen it
 *
 * Return: true if a listed backend server is known to have left by it.
 */
bool start_record_hear(const struct state *state, struct service *service,
		       const struct left_start *heard);

/**
 * start_record_left() - by what a listed start is known to have left
 * @service: service that lists it
 * @listed: entry of its document
 *
 * Return: the record, owned by the service, or NULL if it has not left.
 */
const struct start_record *start_record_left(const struct service *service,
					     const struct backend_doc *listed);

#endif
