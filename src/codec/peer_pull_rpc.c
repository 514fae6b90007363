#include "codec/peer_rpc.h"

#include <string.h>

#include "codec/peer_wire.h"
#include "codec/text_pack.h"

#define RECORD_BUFFER_BYTES 4096

/**
 * struct record_reader - received bytes from which an RPC record is decoded
 * @data: bytes that have not been read yet, not owned
 * @left_bytes: length of @data
 */
struct record_reader {
	const uint8_t *data;
	uint32_t left_bytes;
};

static int read_record(void *handle, void *buffer, int bytes);
static int write_record(void *handle, void *buffer, int bytes);
static void open_record(XDR *xdrs, struct record_reader *reader);
static GByteArray *encode_reply(uint32_t xid, xdrproc_t proc, void *result);
static bool decode_reply(const uint8_t *data, uint32_t data_bytes, uint32_t xid,
			 xdrproc_t proc, void *result, GError **error);
static bool decode_call_body(XDR *xdrs, uint32_t procedure,
			     struct peer_call *out);
static uint32_t call_procedure(enum peer_call_kind kind);
static void set_malformed(GError **error);

GByteArray *peer_call_encode(const struct peer_call *call)
{
	GByteArray *out = g_byte_array_new();
	struct call_header header;
	wire_offer offer;
	XDR xdrs;

	memset(&xdrs, 0, sizeof(xdrs));
	xdrrec_create(&xdrs, RECORD_BUFFER_BYTES, RECORD_BUFFER_BYTES, out,
		      read_record, write_record);
	xdrs.x_op = XDR_ENCODE;
	call_header_init(&header, call->xid, call_procedure(call->kind));
	xdr_callmsg(&xdrs, &header.msg);
	if (call->kind == PEER_CALL_DOCUMENT) {
		offer = wire_offer_write(&call->offer);
		xdr_wire_offer(&xdrs, &offer);
	}
	xdrrec_endofrecord(&xdrs, TRUE);
	xdr_destroy(&xdrs);
	return out;
}

bool peer_call_decode(const uint8_t *data, uint32_t data_bytes,
		      struct peer_call *out, GError **error)
{
	struct record_reader reader = { data, data_bytes };
	struct call_header header;
	bool valid = false;
	XDR xdrs;

	memset(out, 0, sizeof(*out));
	open_record(&xdrs, &reader);
	if (xdrrec_skiprecord(&xdrs) && call_header_read(&xdrs, &header)) {
		out->xid = header.msg.rm_xid;
		valid = decode_call_body(&xdrs, header.msg.rm_call.cb_proc,
					 out);
	}
	xdr_destroy(&xdrs);
	if (!valid)
		set_malformed(error);
	return valid;
}

GByteArray *peer_document_encode(uint32_t xid,
				 const struct held_document *document)
{
	wire_pull_result wire;
	wire_document *body = &wire.wire_pull_result_u.document;
	GByteArray *packed = NULL;
	GByteArray *out;

	memset(&wire, 0, sizeof(wire));
	if (document->text)
		packed = text_pack(document->text);
	if (packed) {
		wire.found = TRUE;
		body->doc_version = document->version;
		body->hash = document->hash;
		body->text_bytes = (u_int)g_bytes_get_size(document->text);
		body->packed.packed_val = (char *)packed->data;
		body->packed.packed_len = packed->len;
	}
	out = encode_reply(xid, (xdrproc_t)xdr_wire_pull_result, &wire);
	if (packed)
		g_byte_array_unref(packed);
	return out;
}

bool peer_document_decode(const uint8_t *data, uint32_t data_bytes,
			  uint32_t xid, struct held_document *out,
			  GError **error)
{
	const wire_document *document;
	wire_pull_result wire;
	bool found = false;

	memset(&wire, 0, sizeof(wire));
	memset(out, 0, sizeof(*out));
	if (!decode_reply(data, data_bytes, xid,
			  (xdrproc_t)xdr_wire_pull_result, &wire, error))
		return false;
	if (wire.found) {
		document = &wire.wire_pull_result_u.document;
		out->version = document->doc_version;
		out->hash = document->hash;
		out->text = text_unpack(document->packed.packed_val,
					document->packed.packed_len,
					document->text_bytes, error);
		found = out->text != NULL;
	} else {
		g_set_error_literal(error, PEER_ERROR, PEER_ERROR_ABSENT,
				    "the peer does not hold the document");
	}
	xdr_free((xdrproc_t)xdr_wire_pull_result, (char *)&wire);
	return found;
}

GByteArray *peer_offers_encode(uint32_t xid, const GArray *offers)
{
	uint32_t count = MIN(offers->len, PEER_OFFER_LIST_MAX);
	wire_offer *list = g_new0(wire_offer, count + 1);
	wire_offers wire;
	GByteArray *out;
	uint32_t i;

	for (i = 0; i < count; i++)
		list[i] = wire_offer_write(
			&g_array_index(offers, struct config_offer, i));
	wire.offers.offers_len = count;
	wire.offers.offers_val = list;
	out = encode_reply(xid, (xdrproc_t)xdr_wire_offers, &wire);
	g_free(list);
	return out;
}

GArray *peer_offers_decode(const uint8_t *data, uint32_t data_bytes,
			   uint32_t xid, GError **error)
{
	struct config_offer offer;
	wire_offers wire;
	GArray *out;
	u_int i;

	memset(&wire, 0, sizeof(wire));
	if (!decode_reply(data, data_bytes, xid, (xdrproc_t)xdr_wire_offers,
			  &wire, error))
		return NULL;
	out = g_array_new(FALSE, TRUE, sizeof(struct config_offer));
	for (i = 0; i < wire.offers.offers_len && out; i++) {
		memset(&offer, 0, sizeof(offer));
		if (wire_offer_read(&wire.offers.offers_val[i], &offer)) {
			g_array_append_val(out, offer);
			continue;
		}
		g_array_unref(g_steal_pointer(&out));
		set_malformed(error);
	}
	xdr_free((xdrproc_t)xdr_wire_offers, (char *)&wire);
	return out;
}

GByteArray *peer_instances_encode(uint32_t xid, const GArray *instances)
{
	uint32_t count = MIN(instances->len, WIRE_INSTANCES_MAX);
	wire_instance *list = g_new0(wire_instance, count + 1);
	const struct instance_doc *instance;
	wire_instances wire;
	GByteArray *out;
	uint32_t i;

	for (i = 0; i < count; i++) {
		instance = &g_array_index(instances, struct instance_doc, i);
		list[i].caller = wire_addr_write(instance->caller);
		list[i].peer = wire_addr_write(instance->peer);
		list[i].domain = (char *)instance->domain.text;
		list[i].status = instance->status;
		list[i].self_report =
			wire_self_report_write(&instance->self_report);
	}
	wire.instances.instances_len = count;
	wire.instances.instances_val = list;
	out = encode_reply(xid, (xdrproc_t)xdr_wire_instances, &wire);
	g_free(list);
	return out;
}

GArray *peer_instances_decode(const uint8_t *data, uint32_t data_bytes,
			      uint32_t xid, GError **error)
{
	struct instance_doc instance;
	const wire_instance *from;
	wire_instances wire;
	GArray *out;
	u_int i;

	memset(&wire, 0, sizeof(wire));
	if (!decode_reply(data, data_bytes, xid, (xdrproc_t)xdr_wire_instances,
			  &wire, error))
		return NULL;
	out = g_array_new(FALSE, TRUE, sizeof(struct instance_doc));
	for (i = 0; i < wire.instances.instances_len && out; i++) {
		from = &wire.instances.instances_val[i];
		memset(&instance, 0, sizeof(instance));
		instance.status = (enum instance_status)from->status;
		wire_self_report_read(&from->self_report,
				      &instance.self_report);
		if (wire_addr_read(&from->caller, &instance.caller) &&
		    wire_addr_read(&from->peer, &instance.peer) &&
		    name_set(&instance.domain, from->domain) &&
		    from->status <= INSTANCE_LEAVING) {
			g_array_append_val(out, instance);
			continue;
		}
		g_array_unref(g_steal_pointer(&out));
		set_malformed(error);
	}
	xdr_free((xdrproc_t)xdr_wire_instances, (char *)&wire);
	return out;
}

static int read_record(void *handle, void *buffer, int bytes)
{
	struct record_reader *reader = handle;
	uint32_t count = MIN((uint32_t)bytes, reader->left_bytes);

	if (count == 0)
		return -1;
	memcpy(buffer, reader->data, count);
	reader->data += count;
	reader->left_bytes -= count;
	return (int)count;
}

static int write_record(void *handle, void *buffer, int bytes)
{
	GByteArray *out = handle;

	g_byte_array_append(out, buffer, (guint)bytes);
	return bytes;
}

static void open_record(XDR *xdrs, struct record_reader *reader)
{
	memset(xdrs, 0, sizeof(*xdrs));
	xdrrec_create(xdrs, RECORD_BUFFER_BYTES, RECORD_BUFFER_BYTES, reader,
		      read_record, write_record);
	xdrs->x_op = XDR_DECODE;
}

static GByteArray *encode_reply(uint32_t xid, xdrproc_t proc, void *result)
{
	GByteArray *out = g_byte_array_new();
	struct rpc_msg msg;
	XDR xdrs;

	memset(&xdrs, 0, sizeof(xdrs));
	memset(&msg, 0, sizeof(msg));
	xdrrec_create(&xdrs, RECORD_BUFFER_BYTES, RECORD_BUFFER_BYTES, out,
		      read_record, write_record);
	xdrs.x_op = XDR_ENCODE;
	msg.rm_xid = xid;
	msg.rm_direction = REPLY;
	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_verf = _null_auth;
	msg.acpted_rply.ar_stat = SUCCESS;
	msg.acpted_rply.ar_results.where = result;
	msg.acpted_rply.ar_results.proc = proc;
	xdr_replymsg(&xdrs, &msg);
	xdrrec_endofrecord(&xdrs, TRUE);
	xdr_destroy(&xdrs);
	return out;
}

static bool decode_reply(const uint8_t *data, uint32_t data_bytes, uint32_t xid,
			 xdrproc_t proc, void *result, GError **error)
{
	struct record_reader reader = { data, data_bytes };
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg;
	bool valid;
	XDR xdrs;

	memset(&msg, 0, sizeof(msg));
	msg.acpted_rply.ar_verf.oa_base = verf;
	msg.acpted_rply.ar_results.where = result;
	msg.acpted_rply.ar_results.proc = proc;
	open_record(&xdrs, &reader);
	valid = xdrrec_skiprecord(&xdrs) && xdr_replymsg(&xdrs, &msg) &&
		msg.rm_xid == xid && msg.rm_direction == REPLY &&
		msg.rm_reply.rp_stat == MSG_ACCEPTED &&
		msg.acpted_rply.ar_stat == SUCCESS;
	xdr_destroy(&xdrs);
	if (valid)
		return true;
	xdr_free(proc, (char *)result);
	set_malformed(error);
	return false;
}

static bool decode_call_body(XDR *xdrs, uint32_t procedure,
			     struct peer_call *out)
{
	wire_offer offer = { NULL, 0, 0 };
	bool valid;

	switch (procedure) {
	case WIRE_PULL:
		out->kind = PEER_CALL_DOCUMENT;
		valid = xdr_wire_offer(xdrs, &offer) &&
			wire_offer_read(&offer, &out->offer);
		xdr_free((xdrproc_t)xdr_wire_offer, (char *)&offer);
		return valid;
	case WIRE_OFFERS:
		out->kind = PEER_CALL_OFFERS;
		return true;
	case WIRE_INSTANCES:
		out->kind = PEER_CALL_INSTANCES;
		return true;
	default:
		return false;
	}
}

static uint32_t call_procedure(enum peer_call_kind kind)
{
	switch (kind) {
	case PEER_CALL_DOCUMENT:
		return WIRE_PULL;
	case PEER_CALL_OFFERS:
		return WIRE_OFFERS;
	case PEER_CALL_INSTANCES:
		return WIRE_INSTANCES;
	}
	return 0;
}

static void set_malformed(GError **error)
{
	g_set_error_literal(error, PEER_ERROR, PEER_ERROR_MALFORMED,
			    "malformed, incomplete or unexpected RPC record");
}
