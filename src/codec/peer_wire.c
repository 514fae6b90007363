#include "codec/peer_wire.h"

#include <string.h>

void call_header_init(struct call_header *header, uint32_t xid,
		      uint32_t procedure)
{
	memset(header, 0, sizeof(*header));
	header->msg.rm_xid = xid;
	header->msg.rm_direction = CALL;
	header->msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	header->msg.rm_call.cb_prog = NUTMEGCRANK_PEER;
	header->msg.rm_call.cb_vers = NUTMEGCRANK_PEER_V1;
	header->msg.rm_call.cb_proc = procedure;
	header->msg.rm_call.cb_cred = _null_auth;
	header->msg.rm_call.cb_verf = _null_auth;
}

bool call_header_read(XDR *xdrs, struct call_header *header)
{
	struct rpc_msg *msg = &header->msg;

	memset(msg, 0, sizeof(*msg));
	msg->rm_call.cb_cred.oa_base = header->cred;
	msg->rm_call.cb_verf.oa_base = header->verf;
	if (!xdr_callmsg(xdrs, msg))
		return false;
	return msg->rm_direction == CALL &&
	       msg->rm_call.cb_rpcvers == RPC_MSG_VERSION &&
	       msg->rm_call.cb_prog == NUTMEGCRANK_PEER &&
	       msg->rm_call.cb_vers == NUTMEGCRANK_PEER_V1;
}

wire_self_report
wire_self_report_write(const struct instance_self_report *self_report)
{
	wire_self_report wire = { .cpu_permille = self_report->cpu_permille };

	if (self_report->aside)
		wire.flags |= WIRE_SELF_REPORT_WITHDRAWN;
	switch (self_report->platform) {
	case PLATFORM_CONTACT_NONE:
		break;
	case PLATFORM_CONTACT_READING:
		wire.flags |= WIRE_SELF_REPORT_PLATFORM_READ;
		break;
	case PLATFORM_CONTACT_LOST:
		wire.flags |= WIRE_SELF_REPORT_PLATFORM_LOST;
		break;
	case PLATFORM_CONTACT_BACKOFF:
		wire.flags |= WIRE_SELF_REPORT_PLATFORM_LOST |
			      WIRE_SELF_REPORT_PLATFORM_BACKOFF;
		break;
	}
	return wire;
}

static enum platform_contact read_contact(u_int flags)
{
	if (flags & WIRE_SELF_REPORT_PLATFORM_BACKOFF)
		return PLATFORM_CONTACT_BACKOFF;
	if (flags & WIRE_SELF_REPORT_PLATFORM_LOST)
		return PLATFORM_CONTACT_LOST;
	if (flags & WIRE_SELF_REPORT_PLATFORM_READ)
		return PLATFORM_CONTACT_READING;
	return PLATFORM_CONTACT_NONE;
}

void wire_self_report_read(const wire_self_report *wire,
			   struct instance_self_report *out)
{
	out->cpu_permille = wire->cpu_permille;
	out->aside = wire->flags & WIRE_SELF_REPORT_WITHDRAWN;
	out->platform = read_contact(wire->flags);
}

wire_addr wire_addr_write(struct net_addr addr)
{
	wire_addr wire = { .ip = addr.ip, .port = addr.port };

	return wire;
}

bool wire_addr_read(const wire_addr *wire, struct net_addr *out)
{
	if (wire->ip == 0 || wire->port == 0 || wire->port > UINT16_MAX)
		return false;
	out->ip = wire->ip;
	out->port = (uint16_t)wire->port;
	return true;
}

wire_offer wire_offer_write(const struct config_offer *offer)
{
	wire_offer wire = {
		.key = (char *)offer->key.text,
		.doc_version = offer->version,
		.hash = offer->hash,
	};

	return wire;
}

bool wire_offer_read(const wire_offer *wire, struct config_offer *out)
{
	if (!name_set(&out->key, wire->key) || wire->doc_version == 0)
		return false;
	out->version = wire->doc_version;
	out->hash = wire->hash;
	return true;
}
