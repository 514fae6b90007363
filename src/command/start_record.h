#ifndef COMMAND_START_RECORD_H
#define COMMAND_START_RECORD_H

/**
 * DOC: what is known of starts of backend servers beside the document in force
 *
 * A document may come from a reader that knows less than this instance: one
 * that has started since, or whose view is older, after the platform's store
 * has come back from a copy. A start that has ended or drains stays so until a
 * document lists a later write of its entry.
 */

#include "core/state.h"

/**
 * start_records_follow() - learn from the replaced document, judge the new one
 * @service: service with its new document and the backend servers of that
 * @old_doc: document that was in force before, not owned
 *
 * Sets the field left of each listed backend server, and their number.
 */
void start_records_follow(struct service *service,
			  const struct service_doc *old_doc);

/**
 * start_record_hear() - learn what a peer has seen of a start
 * @service: service of the start
 * @heard: the start as the peer has seen it
 *
 * Return: true if a listed backend server is known to have left by it.
 */
bool start_record_hear(struct service *service, const struct left_start *heard);

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
