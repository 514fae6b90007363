#ifndef CODEC_PEER_WIRE_H
#define CODEC_PEER_WIRE_H

/**
 * DOC: parts that datagrams and pulls share on the wire
 *
 * A function that reads returns whether every field is in its bounds.
 */

#include "codec/gen/peer.h"
#include "core/peer.h"

/* Flags of a wire_self_report. */
#define WIRE_SELF_REPORT_WITHDRAWN 1u
#define WIRE_SELF_REPORT_PLATFORM_LOST 2u

/**
 * struct call_header - header of an RPC call with room for what it points at
 * @msg: the header
 * @cred: room for credentials, which are not used
 * @verf: room for a verifier, which is not used
 */
struct call_header {
	struct rpc_msg msg;
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
};

/**
 * call_header_init() - make the header of a call
 * @header: filled
 * @xid: transaction id
 * @procedure: which
 */
void call_header_init(struct call_header *header, uint32_t xid,
		      uint32_t procedure);

/**
 * call_header_read() - read and check the header of a call
 * @xdrs: to read from
 * @header: filled
 *
 * Return: whether it is a call of this program and version.
 */
bool call_header_read(XDR *xdrs, struct call_header *header);

/**
 * wire_self_report_write() - convert what an instance says of itself
 * @self_report: its word
 *
 * Return: the same on the wire.
 */
wire_self_report
wire_self_report_write(const struct instance_self_report *self_report);

/**
 * wire_self_report_read() - convert what an instance says of itself
 * @wire: on the wire; flags of a later version are left out
 *
 * Return: its word.
 */
struct instance_self_report wire_self_report_read(const wire_self_report *wire);

/**
 * wire_addr_write() - convert an address
 * @addr: the address
 *
 * Return: the same on the wire.
 */
wire_addr wire_addr_write(struct net_addr addr);

/**
 * wire_addr_read() - convert and check an address
 * @wire: on the wire
 * @out: filled on success
 *
 * Return: false when IP or port is 0 or out of bounds.
 */
bool wire_addr_read(const wire_addr *wire, struct net_addr *out);

/**
 * wire_offer_write() - convert an offer
 * @offer: the offer; the result points at its key
 *
 * Return: the same on the wire.
 */
wire_offer wire_offer_write(const struct config_offer *offer);

/**
 * wire_offer_read() - convert and check an offer
 * @wire: on the wire
 * @out: filled on success
 *
 * Return: false when its key is no name or its version is 0.
 */
bool wire_offer_read(const wire_offer *wire, struct config_offer *out);

#endif
