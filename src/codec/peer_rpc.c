#include "codec/peer_rpc.h"

#include <string.h>

#include "codec/peer_wire.h"

#define LEASE_TTL_MAX_MS 60000
#define LEASE_WANTED_SLOTS_MAX (DOC_SLOTS_MAX * DOC_BACKENDS_MAX)

#define QUOTA_TOKENS_MAX 1000000
#define QUOTA_TIME_MAX_MS 3600000

/* Flags of wire_quota. */
#define QUOTA_OWNER_DECLINED 1
#define QUOTA_DECLINED 2
#define QUOTA_FLAGS (QUOTA_OWNER_DECLINED | QUOTA_DECLINED)

/* Flags of wire_digest_entry. */
#define DIGEST_EJECTED 1
#define DIGEST_CHARGED 2
#define DIGEST_DRAINING 4
#define DIGEST_COLD 8
#define DIGEST_AVOIDED 16
#define DIGEST_FLAGS                                                       \
	(DIGEST_EJECTED | DIGEST_CHARGED | DIGEST_DRAINING | DIGEST_COLD | \
	 DIGEST_AVOIDED)

/**
 * struct wire_arrays - storage for the arrays that a wire_message points to
 * @rumours: for wire_message.rumours
 * @offers: for wire_message.offers
 * @entries: for wire_digest.entries
 * @leases: for wire_lease.leases
 * @left_starts: for wire_left_starts.starts
 */
struct wire_arrays {
	wire_rumour rumours[PEER_RUMOURS_MAX];
	wire_offer offers[PEER_OFFERS_MAX];
	wire_digest_entry entries[PEER_DIGEST_ENTRIES_MAX];
	wire_slots leases[PEER_LEASES_MAX];
	wire_left_start left_starts[PEER_LEFT_STARTS_MAX];
};

static void write_message(const struct peer_message *message,
			  struct wire_arrays *arrays, wire_message *wire);
static void write_ping(const struct peer_ping *ping, wire_ping *wire);
static void write_digest(const struct peer_digest *digest,
			 struct wire_arrays *arrays, wire_digest *wire);
static u_int digest_flags(const struct digest_entry *entry);
static void write_lease(const struct peer_lease *lease,
			struct wire_arrays *arrays, wire_lease *wire);
static void write_quota(const struct peer_quota *quota, wire_quota *wire);
static void write_left_starts(const struct peer_left_starts *left_starts,
			      struct wire_arrays *arrays,
			      wire_left_starts *wire);
static bool read_message(const wire_message *wire, struct peer_message *out);
static bool read_rumours(const wire_message *wire, struct peer_message *out);
static bool read_offers(const wire_message *wire, struct peer_message *out);
static bool read_body(const wire_body *wire, struct peer_message *out);
static bool read_ping(const wire_ping *wire, struct peer_ping *out);
static bool read_digest(const wire_digest *wire, struct peer_digest *out);
static bool read_lease(const wire_lease *wire, struct peer_lease *out);
static bool read_quota(const wire_quota *wire, struct peer_quota *out);
static bool read_left_starts(const wire_left_starts *wire,
			     struct peer_left_starts *out);

uint32_t peer_message_encode(const struct peer_message *message, uint32_t xid,
			     uint8_t *out, uint32_t out_bytes)
{
	struct call_header header;
	struct wire_arrays arrays;
	wire_message wire;
	uint32_t length = 0;
	XDR xdrs;

	write_message(message, &arrays, &wire);
	call_header_init(&header, xid, WIRE_MESSAGE);
	xdrmem_create(&xdrs, (char *)out, out_bytes, XDR_ENCODE);
	if (xdr_callmsg(&xdrs, &header.msg) && xdr_wire_message(&xdrs, &wire))
		length = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return length;
}

bool peer_message_decode(const uint8_t *data, uint32_t data_bytes,
			 struct peer_message *out, GError **error)
{
	struct call_header header;
	wire_message wire;
	bool valid = false;
	XDR xdrs;

	memset(&wire, 0, sizeof(wire));
	memset(out, 0, sizeof(*out));
	xdrmem_create(&xdrs, (char *)data, data_bytes, XDR_DECODE);
	if (call_header_read(&xdrs, &header) &&
	    header.msg.rm_call.cb_proc == WIRE_MESSAGE &&
	    xdr_wire_message(&xdrs, &wire) && xdr_getpos(&xdrs) == data_bytes)
		valid = read_message(&wire, out);
	xdr_destroy(&xdrs);
	xdr_free((xdrproc_t)xdr_wire_message, (char *)&wire);
	if (!valid)
		g_set_error_literal(error, PEER_ERROR, PEER_ERROR_MALFORMED,
				    "malformed peer datagram");
	return valid;
}

static void write_message(const struct peer_message *message,
			  struct wire_arrays *arrays, wire_message *wire)
{
	const struct rumour *rumour;
	uint32_t i;

	memset(wire, 0, sizeof(*wire));
	wire->sender = wire_addr_write(message->sender);
	wire->caller = wire_addr_write(message->caller);
	wire->domain = (char *)message->domain.text;
	wire->members_digest = message->members_digest;
	wire->incarnation = message->incarnation;
	wire->status = message->status;
	wire->self_report = wire_self_report_write(&message->self_report);
	wire->config_digest = message->config_digest;
	for (i = 0; i < message->rumour_count; i++) {
		rumour = &message->rumours[i];
		arrays->rumours[i].peer = wire_addr_write(rumour->peer);
		arrays->rumours[i].caller = wire_addr_write(rumour->caller);
		arrays->rumours[i].domain = (char *)rumour->domain.text;
		arrays->rumours[i].incarnation = rumour->incarnation;
		arrays->rumours[i].status = rumour->status;
		arrays->rumours[i].self_report =
			wire_self_report_write(&rumour->self_report);
	}
	wire->rumours.rumours_len = message->rumour_count;
	wire->rumours.rumours_val = arrays->rumours;
	for (i = 0; i < message->offer_count; i++)
		arrays->offers[i] = wire_offer_write(&message->offers[i]);
	wire->offers.offers_len = message->offer_count;
	wire->offers.offers_val = arrays->offers;
	wire->body.kind = (wire_kind)message->kind;
	switch (message->kind) {
	case PEER_PING:
	case PEER_ACK:
	case PEER_PING_REQUEST:
		write_ping(&message->ping, &wire->body.wire_body_u.ping);
		break;
	case PEER_DIGEST:
		write_digest(&message->digest, arrays,
			     &wire->body.wire_body_u.digest);
		break;
	case PEER_LEASE_REQUEST:
	case PEER_LEASE_GRANT:
	case PEER_LEASE_RETURN:
		write_lease(&message->lease, arrays,
			    &wire->body.wire_body_u.lease);
		break;
	case PEER_QUOTA_REQUEST:
	case PEER_QUOTA_GRANT:
		write_quota(&message->quota, &wire->body.wire_body_u.quota);
		break;
	case PEER_LEFT_STARTS:
		write_left_starts(&message->left_starts, arrays,
				  &wire->body.wire_body_u.left_starts);
		break;
	}
}

static void write_ping(const struct peer_ping *ping, wire_ping *wire)
{
	wire->sequence = ping->sequence;
	wire->target = wire_addr_write(ping->target);
}

static void write_digest(const struct peer_digest *digest,
			 struct wire_arrays *arrays, wire_digest *wire)
{
	const struct digest_entry *entry;
	uint32_t i;

	wire->service = (char *)digest->service.text;
	wire->doc_version = digest->version;
	wire->load_permille = digest->load_permille;
	wire->queue_requests = digest->queue_requests;
	for (i = 0; i < digest->entry_count; i++) {
		entry = &digest->entries[i];
		arrays->entries[i].backend = wire_addr_write(entry->backend);
		arrays->entries[i].ok_requests = entry->ok_requests;
		arrays->entries[i].failed_requests = entry->failed_requests;
		arrays->entries[i].slow_requests = entry->slow_requests;
		arrays->entries[i].flags = digest_flags(entry);
	}
	wire->entries.entries_len = digest->entry_count;
	wire->entries.entries_val = arrays->entries;
}

static u_int digest_flags(const struct digest_entry *entry)
{
	u_int flags = 0;

	if (entry->ejected)
		flags |= DIGEST_EJECTED;
	if (entry->charged)
		flags |= DIGEST_CHARGED;
	if (entry->draining)
		flags |= DIGEST_DRAINING;
	if (entry->cold)
		flags |= DIGEST_COLD;
	if (entry->avoided)
		flags |= DIGEST_AVOIDED;
	return flags;
}

static void write_lease(const struct peer_lease *lease,
			struct wire_arrays *arrays, wire_lease *wire)
{
	uint32_t i;

	wire->service = (char *)lease->service.text;
	wire->sequence = lease->sequence;
	wire->wanted_slots = lease->wanted_slots;
	wire->ttl_ms = lease->ttl_ms;
	for (i = 0; i < lease->lease_count; i++) {
		arrays->leases[i].backend =
			wire_addr_write(lease->leases[i].backend);
		arrays->leases[i].slots = lease->leases[i].slots;
	}
	wire->leases.leases_len = lease->lease_count;
	wire->leases.leases_val = arrays->leases;
}

static void write_quota(const struct peer_quota *quota, wire_quota *wire)
{
	wire->customer = quota->customer_hash;
	wire->sequence = quota->sequence;
	wire->wanted_tokens = quota->wanted_tokens;
	wire->spare_tokens = quota->spare_tokens;
	wire->returned_tokens = quota->returned_tokens;
	wire->granted_tokens = quota->granted_tokens;
	wire->ttl_ms = quota->ttl_ms;
	wire->wait_ms = quota->wait_ms;
	if (quota->owner_declined)
		wire->flags |= QUOTA_OWNER_DECLINED;
	if (quota->declined)
		wire->flags |= QUOTA_DECLINED;
}

static void write_left_starts(const struct peer_left_starts *left_starts,
			      struct wire_arrays *arrays,
			      wire_left_starts *wire)
{
	const struct left_start *left;
	uint32_t i;

	for (i = 0; i < left_starts->start_count; i++) {
		left = &left_starts->starts[i];
		arrays->left_starts[i].service = (char *)left->service.text;
		arrays->left_starts[i].instance =
			(char *)left->start.instance.text;
		arrays->left_starts[i].started_unix_ms =
			left->start.started_unix_ms;
		arrays->left_starts[i].seen_version = left->version;
	}
	wire->era_begun_version = left_starts->era_begun_version;
	wire->starts.starts_len = left_starts->start_count;
	wire->starts.starts_val = arrays->left_starts;
}

static bool read_message(const wire_message *wire, struct peer_message *out)
{
	if (!wire_addr_read(&wire->sender, &out->sender) ||
	    !wire_addr_read(&wire->caller, &out->caller) ||
	    !name_set(&out->domain, wire->domain))
		return false;
	out->members_digest = wire->members_digest;
	if (wire->status != MEMBER_ALIVE && wire->status != MEMBER_LEAVING)
		return false;
	out->incarnation = wire->incarnation;
	out->status = (enum member_status)wire->status;
	wire_self_report_read(&wire->self_report, &out->self_report);
	out->config_digest = wire->config_digest;
	return read_rumours(wire, out) && read_offers(wire, out) &&
	       read_body(&wire->body, out);
}

static bool read_rumours(const wire_message *wire, struct peer_message *out)
{
	const wire_rumour *from;
	struct rumour *to;
	u_int i;

	for (i = 0; i < wire->rumours.rumours_len; i++) {
		from = &wire->rumours.rumours_val[i];
		to = &out->rumours[out->rumour_count++];
		if (!wire_addr_read(&from->peer, &to->peer) ||
		    !wire_addr_read(&from->caller, &to->caller) ||
		    !name_set(&to->domain, from->domain))
			return false;
		if (from->status > MEMBER_LEAVING)
			return false;
		to->incarnation = from->incarnation;
		to->status = (enum member_status)from->status;
		wire_self_report_read(&from->self_report, &to->self_report);
	}
	return true;
}

static bool read_offers(const wire_message *wire, struct peer_message *out)
{
	u_int i;

	for (i = 0; i < wire->offers.offers_len; i++) {
		if (!wire_offer_read(&wire->offers.offers_val[i],
				     &out->offers[out->offer_count++]))
			return false;
	}
	return true;
}

static bool read_body(const wire_body *wire, struct peer_message *out)
{
	out->kind = (enum peer_message_kind)wire->kind;
	switch (wire->kind) {
	case WIRE_PING:
	case WIRE_ACK:
	case WIRE_PING_REQUEST:
		return read_ping(&wire->wire_body_u.ping, &out->ping);
	case WIRE_DIGEST:
		return read_digest(&wire->wire_body_u.digest, &out->digest);
	case WIRE_LEASE_REQUEST:
	case WIRE_LEASE_GRANT:
	case WIRE_LEASE_RETURN:
		return read_lease(&wire->wire_body_u.lease, &out->lease);
	case WIRE_QUOTA_REQUEST:
	case WIRE_QUOTA_GRANT:
		return read_quota(&wire->wire_body_u.quota, &out->quota);
	case WIRE_LEFT_STARTS:
		return read_left_starts(&wire->wire_body_u.left_starts,
					&out->left_starts);
	}
	return false;
}

static bool read_ping(const wire_ping *wire, struct peer_ping *out)
{
	out->sequence = wire->sequence;
	return wire_addr_read(&wire->target, &out->target);
}

static bool read_digest(const wire_digest *wire, struct peer_digest *out)
{
	const wire_digest_entry *from;
	struct digest_entry *to;
	u_int i;

	if (!name_set(&out->service, wire->service) ||
	    wire->load_permille > PERMILLE_ONE)
		return false;
	out->version = wire->doc_version;
	out->load_permille = wire->load_permille;
	out->queue_requests = wire->queue_requests;
	for (i = 0; i < wire->entries.entries_len; i++) {
		from = &wire->entries.entries_val[i];
		to = &out->entries[out->entry_count++];
		if (!wire_addr_read(&from->backend, &to->backend) ||
		    (from->flags & ~(u_int)DIGEST_FLAGS) != 0)
			return false;
		to->ok_requests = from->ok_requests;
		to->failed_requests = from->failed_requests;
		to->slow_requests = from->slow_requests;
		to->ejected = (from->flags & DIGEST_EJECTED) != 0;
		to->charged = (from->flags & DIGEST_CHARGED) != 0;
		to->draining = (from->flags & DIGEST_DRAINING) != 0;
		to->cold = (from->flags & DIGEST_COLD) != 0;
		to->avoided = (from->flags & DIGEST_AVOIDED) != 0;
	}
	return true;
}

static bool read_lease(const wire_lease *wire, struct peer_lease *out)
{
	const wire_slots *from;
	struct lease *to;
	u_int i;

	if (!name_set(&out->service, wire->service) ||
	    wire->wanted_slots > LEASE_WANTED_SLOTS_MAX ||
	    wire->ttl_ms > LEASE_TTL_MAX_MS)
		return false;
	out->sequence = wire->sequence;
	out->wanted_slots = wire->wanted_slots;
	out->ttl_ms = wire->ttl_ms;
	for (i = 0; i < wire->leases.leases_len; i++) {
		from = &wire->leases.leases_val[i];
		to = &out->leases[out->lease_count++];
		if (!wire_addr_read(&from->backend, &to->backend) ||
		    from->slots == 0 || from->slots > DOC_SLOTS_MAX)
			return false;
		to->slots = from->slots;
	}
	return true;
}

static bool read_quota(const wire_quota *wire, struct peer_quota *out)
{
	if (wire->wanted_tokens > QUOTA_TOKENS_MAX ||
	    wire->spare_tokens > QUOTA_TOKENS_MAX ||
	    wire->returned_tokens > QUOTA_TOKENS_MAX ||
	    wire->granted_tokens > 2 * QUOTA_TOKENS_MAX ||
	    wire->ttl_ms > QUOTA_TIME_MAX_MS ||
	    wire->wait_ms > QUOTA_TIME_MAX_MS ||
	    (wire->flags & ~(u_int)QUOTA_FLAGS) != 0)
		return false;
	out->customer_hash = wire->customer;
	out->sequence = wire->sequence;
	out->wanted_tokens = wire->wanted_tokens;
	out->spare_tokens = wire->spare_tokens;
	out->returned_tokens = wire->returned_tokens;
	out->granted_tokens = wire->granted_tokens;
	out->ttl_ms = wire->ttl_ms;
	out->wait_ms = wire->wait_ms;
	out->owner_declined = (wire->flags & QUOTA_OWNER_DECLINED) != 0;
	out->declined = (wire->flags & QUOTA_DECLINED) != 0;
	return true;
}

static bool read_left_starts(const wire_left_starts *wire,
			     struct peer_left_starts *out)
{
	const wire_left_start *from;
	struct left_start *to;
	u_int i;

	out->era_begun_version = wire->era_begun_version;
	for (i = 0; i < wire->starts.starts_len; i++) {
		from = &wire->starts.starts_val[i];
		to = &out->starts[out->start_count++];
		if (!name_set(&to->service, from->service) ||
		    !name_set(&to->start.instance, from->instance) ||
		    from->started_unix_ms > DOC_STARTED_MAX_UNIX_MS ||
		    from->seen_version == 0)
			return false;
		to->start.started_unix_ms = from->started_unix_ms;
		to->version = from->seen_version;
	}
	return true;
}
