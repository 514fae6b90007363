#ifndef CODEC_PEER_RPC_H
#define CODEC_PEER_RPC_H

/**
 * DOC: ONC RPC between instances
 *
 * Datagrams are one-way calls over UDP; nobody replies to them. Pulls are calls
 * over TCP in RPC records, one call for each connection. Every field that comes
 * in is checked; errors are of PEER_ERROR. Nothing here opens a socket.
 */

#include "core/error.h"
#include "core/peer.h"

#define PEER_DATAGRAM_BYTES_MAX 8192
#define PEER_CALL_BYTES_MAX 512
/* Room for the headers and for the mark of each fragment of a record. */
#define PEER_REPLY_BYTES_MAX (DOC_BYTES_MAX + DOC_BYTES_MAX / 512)
#define PEER_OFFER_LIST_MAX 4096

/**
 * enum peer_call_kind - what is pulled
 * @PEER_CALL_DOCUMENT: one document
 * @PEER_CALL_OFFERS: what documents the other instance holds
 * @PEER_CALL_INSTANCES: the list of instances it knows
 */
enum peer_call_kind {
	PEER_CALL_DOCUMENT,
	PEER_CALL_OFFERS,
	PEER_CALL_INSTANCES,
};

/**
 * struct peer_call - one pull
 * @kind: what is pulled
 * @xid: names the call in its reply
 * @offer: with PEER_CALL_DOCUMENT
 */
struct peer_call {
	enum peer_call_kind kind;
	uint32_t xid;
	struct config_offer offer;
};

/**
 * peer_message_encode() - write a datagram
 * @message: the message
 * @xid: transaction id
 * @out: room for the datagram
 * @out_bytes: its size
 *
 * Return: length in bytes, 0 when it does not fit.
 */
uint32_t peer_message_encode(const struct peer_message *message, uint32_t xid,
			     uint8_t *out, uint32_t out_bytes);

/**
 * peer_message_decode() - read and check a datagram
 * @data: the datagram
 * @data_bytes: its length
 * @out: filled on success
 * @error: set on failure
 *
 * Return: whether it is accepted.
 */
bool peer_message_decode(const uint8_t *data, uint32_t data_bytes,
			 struct peer_message *out, GError **error);

/**
 * peer_call_encode() - write a pull
 * @call: the pull
 *
 * Return: an owned record.
 */
GByteArray *peer_call_encode(const struct peer_call *call);

/**
 * peer_call_decode() - read and check a pull
 * @data: what came so far
 * @data_bytes: its length
 * @out: filled on success
 * @error: set on failure, also when more bytes are needed
 *
 * Return: whether it is whole and accepted.
 */
bool peer_call_decode(const uint8_t *data, uint32_t data_bytes,
		      struct peer_call *out, GError **error);

/**
 * peer_document_encode() - write the reply to PEER_CALL_DOCUMENT
 * @xid: of the call
 * @document: the document; without a text it is absent
 *
 * Return: an owned record.
 */
GByteArray *peer_document_encode(uint32_t xid,
				 const struct held_document *document);

/**
 * peer_document_decode() - read and check the reply to PEER_CALL_DOCUMENT
 * @data: the reply
 * @data_bytes: its length
 * @xid: of the call
 * @out: filled on success
 * @error: set on failure, PEER_ERROR_ABSENT when the peer does not hold it
 *
 * Return: whether it is accepted.
 */
bool peer_document_decode(const uint8_t *data, uint32_t data_bytes,
			  uint32_t xid, struct held_document *out,
			  GError **error);

/**
 * peer_offers_encode() - write the reply to PEER_CALL_OFFERS
 * @xid: of the call
 * @offers: array of struct config_offer
 *
 * Return: an owned record.
 */
GByteArray *peer_offers_encode(uint32_t xid, const GArray *offers);

/**
 * peer_offers_decode() - read and check the reply to PEER_CALL_OFFERS
 * @data: the reply
 * @data_bytes: its length
 * @xid: of the call
 * @error: set on failure
 *
 * Return: an owned array of struct config_offer, or NULL.
 */
GArray *peer_offers_decode(const uint8_t *data, uint32_t data_bytes,
			   uint32_t xid, GError **error);

/**
 * peer_instances_encode() - write the reply to PEER_CALL_INSTANCES
 * @xid: of the call
 * @instances: array of struct instance_doc
 *
 * Return: an owned record.
 */
GByteArray *peer_instances_encode(uint32_t xid, const GArray *instances);

/**
 * peer_instances_decode() - read and check the reply to PEER_CALL_INSTANCES
 * @data: the reply
 * @data_bytes: its length
 * @xid: of the call
 * @error: set on failure
 *
 * Return: an owned array of struct instance_doc, or NULL.
 */
GArray *peer_instances_decode(const uint8_t *data, uint32_t data_bytes,
			      uint32_t xid, GError **error);

#endif
