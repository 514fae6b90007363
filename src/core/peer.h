#ifndef CORE_PEER_H
#define CORE_PEER_H

/**
 * DOC: messages between instances
 *
 * All messages are one-way datagrams with bounded arrays; an answer is a
 * separate message. Documents are pulled over TCP by (key, version, hash).
 */

#include "core/document.h"

#define PEER_RUMOURS_MAX 8
#define PEER_OFFERS_MAX 8
#define PEER_DIGEST_ENTRIES_MAX 192
#define PEER_LEASES_MAX 32
#define PEER_LEFT_STARTS_MAX 16

/**
 * enum member_status - status of an instance
 * @MEMBER_ALIVE: it answers probes, or is listed and has not been probed yet
 * @MEMBER_SUSPECT: it answered neither direct nor indirect probes
 * @MEMBER_DEAD: it did not refute the suspicion in time
 * @MEMBER_LEAVING: it is in a planned stop
 */
enum member_status {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEAVING,
};

/**
 * struct rumour - gossiped status of one instance
 * @peer: peer address of the instance
 * @caller: address at which callers connect to it
 * @domain: its failure domain
 * @incarnation: raised by the instance itself to refute a suspicion and when
 *	its self-report changes
 * @status: status of the instance
 * @self_report: state that it reports about itself
 */
struct rumour {
	struct net_addr peer;
	struct net_addr caller;
	struct name domain;
	uint32_t incarnation;
	enum member_status status;
	struct instance_self_report self_report;
};

/**
 * struct config_offer - announces a document that the sender has
 * @key: service of the document, or ROUTING_KEY
 * @version: version of the document
 * @hash: hash of its text
 */
struct config_offer {
	struct name key;
	uint64_t version;
	uint64_t hash;
};

/**
 * struct held_document - text of a document as published
 * @version: version of the document
 * @hash: hash of @text
 * @text: owned, NULL for none
 */
struct held_document {
	uint64_t version;
	uint64_t hash;
	GBytes *text;
};

/**
 * struct digest_entry - recent evidence of one home about one backend server
 * @backend: address of the backend server
 * @ok_requests: successful requests in the sender's window
 * @failed_requests: failed requests in the sender's window
 * @slow_requests: slow requests in the sender's window
 * @ejected: the sender has ejected it as unhealthy or not fully readmitted it
 * @charged: the ejection is charged to the sender's part of the ejection budget
 * @draining: the sender knows that it drains
 * @cold: the sender's probe found that it has just started and is still slow
 * @avoided: the sender prefers other backend servers, as requests to this one
 *	have failed or hang
 */
struct digest_entry {
	struct net_addr backend;
	uint32_t ok_requests;
	uint32_t failed_requests;
	uint32_t slow_requests;
	bool ejected;
	bool charged;
	bool draining;
	bool cold;
	bool avoided;
};

/**
 * struct lease - slots of one backend server lent to another instance
 * @backend: address of the backend server
 * @slots: number of slots
 */
struct lease {
	struct net_addr backend;
	uint32_t slots;
};

enum peer_message_kind {
	PEER_PING,
	PEER_ACK,
	PEER_PING_REQUEST,
	PEER_DIGEST,
	PEER_LEASE_REQUEST,
	PEER_LEASE_GRANT,
	PEER_LEASE_RETURN,
	PEER_QUOTA_REQUEST,
	PEER_QUOTA_GRANT,
	PEER_LEFT_STARTS,
};

/**
 * struct peer_ping - probe, acknowledgement or request for an indirect probe
 * @sequence: sequence number of the probe
 * @target: peer address of the instance to probe, or of the one that answered
 */
struct peer_ping {
	uint64_t sequence;
	struct net_addr target;
};

/**
 * struct peer_digest - evidence and load of one home for one service
 * @service: name of the service
 * @version: document version that the sender has in force
 * @load_permille: slots in use at the sender, in thousandths of those it may
 *	use
 * @queue_requests: requests that wait at the sender
 * @entries: evidence about the backend servers with something to report
 * @entry_count: used entries of @entries
 */
struct peer_digest {
	struct name service;
	uint64_t version;
	uint32_t load_permille;
	uint32_t queue_requests;
	struct digest_entry entries[PEER_DIGEST_ENTRIES_MAX];
	uint32_t entry_count;
};

/**
 * struct peer_lease - request for, grant of or return of leased slots
 * @service: name of the service
 * @sequence: sequence number of the lease request
 * @wanted_slots: with PEER_LEASE_REQUEST, number of slots requested
 * @ttl_ms: with PEER_LEASE_GRANT, duration of the lease; the borrower counts it
 *	from its request, the lender from its grant
 * @leases: with PEER_LEASE_GRANT and PEER_LEASE_RETURN, slots by backend server
 * @lease_count: used entries of @leases
 */
struct peer_lease {
	struct name service;
	uint64_t sequence;
	uint32_t wanted_slots;
	uint32_t ttl_ms;
	struct lease leases[PEER_LEASES_MAX];
	uint32_t lease_count;
};

/**
 * struct peer_quota - request for or grant of tokens of one customer
 * @customer_hash: hash of the customer's name
 * @sequence: sequence number of the request
 * @wanted_tokens: with PEER_QUOTA_REQUEST, number of requests that wait
 * @spare_tokens: with PEER_QUOTA_REQUEST, further tokens that the sender
 *	expects to use within their time to live
 * @returned_tokens: with PEER_QUOTA_REQUEST, unused tokens given back
 * @owner_declined: with PEER_QUOTA_REQUEST, the owner has answered that it may
 *	not grant; the receiver is asked as the standby
 * @granted_tokens: with PEER_QUOTA_GRANT, number of tokens
 * @ttl_ms: with PEER_QUOTA_GRANT, duration for which the tokens may be used,
 *	counted from the request
 * @wait_ms: with PEER_QUOTA_GRANT of fewer tokens than wanted, time until the
 *	next token
 * @declined: with PEER_QUOTA_GRANT, the sender may not grant tokens of this
 *	customer now
 */
struct peer_quota {
	uint64_t customer_hash;
	uint64_t sequence;
	uint32_t wanted_tokens;
	uint32_t spare_tokens;
	uint32_t returned_tokens;
	bool owner_declined;
	uint32_t granted_tokens;
	uint32_t ttl_ms;
	uint32_t wait_ms;
	bool declined;
};

/**
 * struct left_start - start of a backend server that had left in a state that
 *	the sender has seen
 * @service: name of the service
 * @start: the start
 * @version: version of that state, not 0
 */
struct left_start {
	struct name service;
	struct start_id start;
	uint64_t version;
};

/**
 * struct peer_left_starts - starts that the sender does not use any more
 * @era_begun_version: lowest version that the sender has seen of the newest era
 *	of the platform's store, 0 for none
 * @starts: the starts, or some of them
 * @start_count: used entries of @starts
 */
struct peer_left_starts {
	uint64_t era_begun_version;
	struct left_start starts[PEER_LEFT_STARTS_MAX];
	uint32_t start_count;
};

/**
 * struct peer_message - one datagram
 * @sender: peer address of the sender
 * @caller: address at which callers connect to the sender
 * @domain: failure domain of the sender
 * @incarnation: incarnation of the sender
 * @status: MEMBER_ALIVE or MEMBER_LEAVING
 * @self_report: state that the sender reports about itself
 * @members_digest: hash over all instances that the sender holds alive or
 *	suspected, itself included unless it is leaving
 * @config_digest: hash over (key, version, hash) of all documents of the sender
 * @rumours: piggybacked status changes of instances
 * @rumour_count: used entries of @rumours
 * @offers: piggybacked offers of documents that have changed
 * @offer_count: used entries of @offers
 * @kind: which member of the union is valid
 * @ping: with PEER_PING, PEER_ACK, PEER_PING_REQUEST
 * @digest: with PEER_DIGEST
 * @lease: with PEER_LEASE_*
 * @quota: with PEER_QUOTA_*
 * @left_starts: with PEER_LEFT_STARTS
 */
struct peer_message {
	struct net_addr sender;
	struct net_addr caller;
	struct name domain;
	uint32_t incarnation;
	enum member_status status;
	struct instance_self_report self_report;
	uint64_t members_digest;
	uint64_t config_digest;
	struct rumour rumours[PEER_RUMOURS_MAX];
	uint32_t rumour_count;
	struct config_offer offers[PEER_OFFERS_MAX];
	uint32_t offer_count;
	enum peer_message_kind kind;
	union {
		struct peer_ping ping;
		struct peer_digest digest;
		struct peer_lease lease;
		struct peer_quota quota;
		struct peer_left_starts left_starts;
	};
};

#endif
