#ifndef CODEC_PEER_WIRE_H
#define CODEC_PEER_WIRE_H

/**
 * DOC: wire types that datagrams and pulls share
 *
 * A function that checks what it reads returns false if any field is out of
 * bounds.
 */

#include "codec/gen/peer.h"
#include "core/peer.h"

/* Flags of wire_self_report. */
#define WIRE_SELF_REPORT_WITHDRAWN 1u
#define WIRE_SELF_REPORT_PLATFORM_LOST 2u
#define WIRE_SELF_REPORT_PLATFORM_READ 4u
/* Together with WIRE_SELF_REPORT_PLATFORM_LOST. */
#define WIRE_SELF_REPORT_PLATFORM_BACKOFF 8u

/**
 * struct call_header - header of an RPC call with the buffers it points to
 * @msg: RPC header
 * @cred: buffer for the credentials, which are ignored
 * @verf: buffer for the verifier, which is ignored
 */
struct call_header {
	struct rpc_msg msg;
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
};

/**
 * call_header_init() - fill in the header of a call
 * @header: filled
 * @xid: transaction id
 * @procedure: number of the procedure called
 */
void call_header_init(struct call_header *header, uint32_t xid,
		      uint32_t procedure);

/**
 * call_header_read() - decode and check the header of a call
 * @xdrs: stream to decode from
 * @header: filled
 *
 * Return: whether it is a call of this program and version.
 */
bool call_header_read(XDR *xdrs, struct call_header *header);

/**
 * wire_self_report_write() - convert a self-report to its wire type
 * @self_report: state that an instance reports about itself
 *
 * Return: the self-report as its wire type.
 */
wire_self_report
wire_self_report_write(const struct instance_self_report *self_report);

/**
 * wire_self_report_read() - convert a self-report from its wire type
 * @wire: wire type; flags of later versions are ignored
 * @out: its fields are set, its padding is left as it is
 */
void wire_self_report_read(const wire_self_report *wire,
			   struct instance_self_report *out);

/**
 * wire_addr_write() - convert an address to its wire type
 * @addr: IP address and port
 *
 * Return: the address as its wire type.
 */
wire_addr wire_addr_write(struct net_addr addr);

/**
 * wire_addr_read() - check an address and convert it from its wire type
 * @wire: wire type
 * @out: filled on success
 *
 * Return: false if IP address or port is 0 or the port is out of bounds.
 */
bool wire_addr_read(const wire_addr *wire, struct net_addr *out);

/**
 * wire_offer_write() - convert an offer to its wire type
 * @offer: offer of a document; the result points to its key
 *
 * Return: the offer as its wire type.
 */
wire_offer wire_offer_write(const struct config_offer *offer);

/**
 * wire_offer_read() - check an offer and convert it from its wire type
 * @wire: wire type
 * @out: filled on success
 *
 * Return: false if the key is not a valid name or the version is 0.
 */
bool wire_offer_read(const wire_offer *wire, struct config_offer *out);

#endif
