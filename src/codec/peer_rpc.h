#ifndef CODEC_PEER_RPC_H
#define CODEC_PEER_RPC_H

/**
 * DOC: encoding of the ONC RPC messages between instances
 *
 * Datagrams are one-way calls over UDP without a reply. Pulls are calls over
 * TCP in RPC records, one call per connection. All decoded fields are checked;
 * the error domain is PEER_ERROR. The functions do no I/O.
 */

#include "core/error.h"
#include "core/peer.h"

#define PEER_DATAGRAM_BYTES_MAX 8192
#define PEER_CALL_BYTES_MAX 512
/*
 * Longest reply to a pull: the largest document, RPC headers and the record
 * marks of all fragments.
 */
#define PEER_REPLY_BYTES_MAX (ROUTING_BYTES_MAX + ROUTING_BYTES_MAX / 512)
#define PEER_OFFER_LIST_MAX 4096

/**
 * enum peer_call_kind - what a pull asks for
 * @PEER_CALL_DOCUMENT: one document
 * @PEER_CALL_OFFERS: list of the documents that the other instance holds
 * @PEER_CALL_INSTANCES: list of the instances that the other instance knows
 */
enum peer_call_kind {
	PEER_CALL_DOCUMENT,
	PEER_CALL_OFFERS,
	PEER_CALL_INSTANCES,
};

/**
 * struct peer_call - one pull
 * @kind: what the pull asks for
 * @xid: transaction id, repeated in the reply
 * @offer: document that is asked for, with PEER_CALL_DOCUMENT
 */
struct peer_call {
	enum peer_call_kind kind;
	uint32_t xid;
	struct config_offer offer;
};

/**
 * peer_message_encode() - encode a message as a datagram
 * @message: message to send
 * @xid: transaction id
 * @out: buffer for the datagram
 * @out_bytes: size of @out
 *
 * Return: length in bytes, 0 if the message does not fit.
 */
uint32_t peer_message_encode(const struct peer_message *message, uint32_t xid,
			     uint8_t *out, uint32_t out_bytes);

/**
 * peer_message_decode() - decode and check a datagram
 * @data: received datagram
 * @data_bytes: length of @data
 * @out: filled on success
 * @error: set on failure
 *
 * Return: whether the message is valid.
 */
bool peer_message_decode(const uint8_t *data, uint32_t data_bytes,
			 struct peer_message *out, GError **error);

/**
 * peer_call_encode() - encode the call of a pull
 * @call: call to send
 *
 * Return: owned RPC record.
 */
GByteArray *peer_call_encode(const struct peer_call *call);

/**
 * peer_call_decode() - decode and check the call of a pull
 * @data: bytes received so far
 * @data_bytes: length of @data
 * @out: filled on success
 * @error: set on failure, also if the record is not complete yet
 *
 * Return: whether the call is complete and valid.
 */
bool peer_call_decode(const uint8_t *data, uint32_t data_bytes,
		      struct peer_call *out, GError **error);

/**
 * peer_document_encode() - encode the reply to PEER_CALL_DOCUMENT
 * @xid: transaction id of the call
 * @document: document to send; if its text is NULL, the reply says that the
 *	document is absent
 *
 * Return: owned RPC record.
 */
GByteArray *peer_document_encode(uint32_t xid,
				 const struct held_document *document);

/**
 * peer_document_decode() - decode and check the reply to PEER_CALL_DOCUMENT
 * @data: received reply
 * @data_bytes: length of @data
 * @xid: transaction id of the call
 * @out: filled on success
 * @error: set on failure, to PEER_ERROR_ABSENT if the peer does not hold the
 *	document
 *
 * Return: whether the reply is valid and contains the document.
 */
bool peer_document_decode(const uint8_t *data, uint32_t data_bytes,
			  uint32_t xid, struct held_document *out,
			  GError **error);

/**
 * peer_offers_encode() - encode the reply to PEER_CALL_OFFERS
 * @xid: transaction id of the call
 * @offers: array of struct config_offer; entries beyond PEER_OFFER_LIST_MAX are
 *	left out
 *
 * Return: owned RPC record.
 */
GByteArray *peer_offers_encode(uint32_t xid, const GArray *offers);

/**
 * peer_offers_decode() - decode and check the reply to PEER_CALL_OFFERS
 * @data: received reply
 * @data_bytes: length of @data
 * @xid: transaction id of the call
 * @error: set on failure
 *
 * Return: owned array of struct config_offer, NULL on failure.
 */
GArray *peer_offers_decode(const uint8_t *data, uint32_t data_bytes,
			   uint32_t xid, GError **error);

/**
 * peer_instances_encode() - encode the reply to PEER_CALL_INSTANCES
 * @xid: transaction id of the call
 * @instances: array of struct instance_doc; entries beyond WIRE_INSTANCES_MAX
 *	are left out
 *
 * Return: owned RPC record.
 */
GByteArray *peer_instances_encode(uint32_t xid, const GArray *instances);

/**
 * peer_instances_decode() - decode and check the reply to PEER_CALL_INSTANCES
 * @data: received reply
 * @data_bytes: length of @data
 * @xid: transaction id of the call
 * @error: set on failure
 *
 * Return: owned array of struct instance_doc, NULL on failure.
 */
GArray *peer_instances_decode(const uint8_t *data, uint32_t data_bytes,
			      uint32_t xid, GError **error);

#endif
