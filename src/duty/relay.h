#ifndef DUTY_RELAY_H
#define DUTY_RELAY_H

/**
 * DOC: documents and lists on their way to the dispatch duty
 *
 * Shared by the duties that read them from the platform and from peers.
 */

#include "core/error.h"
#include "core/event.h"

/**
 * relay_document() - check a document's text and offer it to the decisions
 * @dispatch: ring of struct message
 * @key: the key under which it was read
 * @version: version it came with
 * @text: the text
 * @text_bytes: its length
 * @from_peer: a peer relayed it
 *
 * One that cannot be accepted is offered as refused.
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result relay_document(struct ring *dispatch, const struct name *key,
				uint64_t version, const char *text,
				size_t text_bytes, bool from_peer);

/**
 * relay_instances() - offer a list of instances to the decisions
 * @dispatch: ring of struct message
 * @list: array of struct instance_doc
 * @from_peer: a peer relayed it
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result relay_instances(struct ring *dispatch, const GArray *list,
				 bool from_peer);

/**
 * relay_query_offers() - ask what documents are in force
 * @dispatch: ring of struct message
 *
 * Return: an owned array of struct config_offer, or NULL without an answer.
 */
GArray *relay_query_offers(struct ring *dispatch);

/**
 * relay_needs_fetch() - whether a document is worth fetching
 * @held: array of struct config_offer that are in force
 * @offer: the document
 *
 * Return: true for a newer version and for other text of the same version,
 * which is fetched to be refused and audited.
 */
bool relay_needs_fetch(const GArray *held, const struct config_offer *offer);

#endif
