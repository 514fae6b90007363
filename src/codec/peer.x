/*
 * RPC protocol between instances, version 1. WIRE_MESSAGE is a one-way datagram
 * over UDP, the other procedures are called over TCP. rpcgen generates
 * src/codec/gen from this file; see docs/DEVELOPERS.md.
 */

const WIRE_NAME_MAX = 63;
const WIRE_RUMOURS_MAX = 8;
const WIRE_OFFERS_MAX = 8;
const WIRE_DIGEST_ENTRIES_MAX = 192;
const WIRE_LEASES_MAX = 32;
const WIRE_LEFT_STARTS_MAX = 16;
const WIRE_OFFER_LIST_MAX = 4096;
const WIRE_INSTANCES_MAX = 1025;
const WIRE_PACKED_MAX = 33600000;

struct wire_addr {
	unsigned int ip;
	unsigned int port;
};

typedef string wire_name<WIRE_NAME_MAX>;

struct wire_self_report {
	unsigned int cpu_permille;
	unsigned int flags;
};

struct wire_rumour {
	wire_addr peer;
	wire_addr caller;
	wire_name domain;
	unsigned int incarnation;
	unsigned int status;
	wire_self_report self_report;
};

struct wire_offer {
	wire_name key;
	unsigned hyper doc_version;
	unsigned hyper hash;
};

struct wire_ping {
	unsigned hyper sequence;
	wire_addr target;
};

struct wire_digest_entry {
	wire_addr backend;
	unsigned int ok_requests;
	unsigned int failed_requests;
	unsigned int slow_requests;
	unsigned int flags;
};

struct wire_digest {
	wire_name service;
	unsigned hyper doc_version;
	unsigned int load_permille;
	unsigned int queue_requests;
	wire_digest_entry entries<WIRE_DIGEST_ENTRIES_MAX>;
};

struct wire_slots {
	wire_addr backend;
	unsigned int slots;
};

struct wire_lease {
	wire_name service;
	unsigned hyper sequence;
	unsigned int wanted_slots;
	unsigned int ttl_ms;
	wire_slots leases<WIRE_LEASES_MAX>;
};

struct wire_quota {
	unsigned hyper customer;
	unsigned hyper sequence;
	unsigned int wanted_tokens;
	unsigned int spare_tokens;
	unsigned int returned_tokens;
	unsigned int granted_tokens;
	unsigned int ttl_ms;
	unsigned int wait_ms;
	unsigned int flags;
};

struct wire_left_start {
	wire_name service;
	wire_name instance;
	unsigned hyper started_unix_ms;
	unsigned hyper seen_version;
};

struct wire_left_starts {
	unsigned hyper era_begun_version;
	wire_left_start starts<WIRE_LEFT_STARTS_MAX>;
};

enum wire_kind {
	WIRE_PING = 0,
	WIRE_ACK = 1,
	WIRE_PING_REQUEST = 2,
	WIRE_DIGEST = 3,
	WIRE_LEASE_REQUEST = 4,
	WIRE_LEASE_GRANT = 5,
	WIRE_LEASE_RETURN = 6,
	WIRE_QUOTA_REQUEST = 7,
	WIRE_QUOTA_GRANT = 8,
	WIRE_LEFT_STARTS = 9
};

union wire_body switch (wire_kind kind) {
case WIRE_PING:
case WIRE_ACK:
case WIRE_PING_REQUEST:
	wire_ping ping;
case WIRE_DIGEST:
	wire_digest digest;
case WIRE_LEASE_REQUEST:
case WIRE_LEASE_GRANT:
case WIRE_LEASE_RETURN:
	wire_lease lease;
case WIRE_QUOTA_REQUEST:
case WIRE_QUOTA_GRANT:
	wire_quota quota;
case WIRE_LEFT_STARTS:
	wire_left_starts left_starts;
};

struct wire_message {
	wire_addr sender;
	unsigned int incarnation;
	unsigned int status;
	wire_self_report self_report;
	wire_addr caller;
	wire_name domain;
	unsigned hyper members_digest;
	unsigned hyper config_digest;
	wire_rumour rumours<WIRE_RUMOURS_MAX>;
	wire_offer offers<WIRE_OFFERS_MAX>;
	wire_body body;
};

struct wire_document {
	unsigned hyper doc_version;
	unsigned hyper hash;
	unsigned int text_bytes;
	opaque packed<WIRE_PACKED_MAX>;
};

union wire_pull_result switch (bool found) {
case TRUE:
	wire_document document;
case FALSE:
	void;
};

struct wire_offers {
	wire_offer offers<WIRE_OFFER_LIST_MAX>;
};

struct wire_instance {
	wire_addr caller;
	wire_addr peer;
	wire_name domain;
	unsigned int status;
	wire_self_report self_report;
};

struct wire_instances {
	wire_instance instances<WIRE_INSTANCES_MAX>;
};

program NUTMEGCRANK_PEER {
	version NUTMEGCRANK_PEER_V1 {
		void WIRE_MESSAGE(wire_message) = 1;
		wire_pull_result WIRE_PULL(wire_offer) = 2;
		wire_offers WIRE_OFFERS(void) = 3;
		wire_instances WIRE_INSTANCES(void) = 4;
	} = 1;
} = 0x20006e63;
