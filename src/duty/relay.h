#ifndef DUTY_RELAY_H
#define DUTY_RELAY_H

/**
 * DOC: passing documents and instance lists to the dispatch duty
 *
 * Shared by the duties that read them from the platform and from peers.
 */

#include "core/error.h"
#include "core/event.h"

/**
 * relay_document() - parse a document and send it to the dispatch duty
 * @dispatch: ring of struct message
 * @key: key under which the document was read
 * @version: version that the platform or peer gave for it
 * @text: JSON text, not owned
 * @text_bytes: length of @text
 * @from_peer: the document came from a peer, not from the platform
 *
 * A document that does not parse is logged and reported as refused.
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result relay_document(struct ring *dispatch, const struct name *key,
				uint64_t version, const char *text,
				size_t text_bytes, bool from_peer);

/**
 * relay_instances() - send a list of instances to the dispatch duty
 * @dispatch: ring of struct message
 * @list: array of struct instance_doc, copied
 * @from_peer: the list came from a peer, not from the platform
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result relay_instances(struct ring *dispatch, const GArray *list,
				 bool from_peer);

/**
 * relay_query_offers() - query the versions of the documents in force
 * @dispatch: ring of struct message
 *
 * Return: an owned array of struct config_offer, or NULL when the dispatch duty
 * did not reply in time.
 */
GArray *relay_query_offers(struct ring *dispatch);

/**
 * relay_find_offer() - find the offer of a document
 * @offers: array of struct config_offer
 * @key: key of the document
 *
 * Return: the offer, owned by @offers, or NULL.
 */
const struct config_offer *relay_find_offer(const GArray *offers,
					    const struct name *key);

/**
 * relay_needs_fetch() - whether a document should be fetched
 * @held: array of struct config_offer, the documents in force
 * @offer: key, version and hash of the document
 *
 * Return: true for an unknown key, for a newer version, and for a different
 * text of the same version, which is fetched to be refused and audited.
 */
bool relay_needs_fetch(const GArray *held, const struct config_offer *offer);

#endif
