#ifndef CORE_PEER_H
#define CORE_PEER_H

/**
 * DOC: messages between instances
 *
 * All are one-way datagrams with bounded arrays; an answer is a message of
 * its own. Documents are pulled over TCP by (key, version, hash).
 */

#include "core/document.h"

#define PEER_RUMOURS_MAX 8
#define PEER_OFFERS_MAX 8
#define PEER_DIGEST_ENTRIES_MAX 192
#define PEER_LEASES_MAX 32

/**
 * enum member_status - what is believed of an instance
 * @MEMBER_ALIVE: answers, or was listed and not yet probed
 * @MEMBER_SUSPECT: did not answer direct or indirect probes
 * @MEMBER_DEAD: suspicion went unanswered
 * @MEMBER_LEAVING: is in a planned stop
 */
enum member_status {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEAVING,
};

/**
 * struct rumour - one belief about an instance
 * @peer: the instance
 * @caller: where callers connect to it
 * @domain: its failure domain
 * @incarnation: raised by the instance itself to refute, and when what it says
 *	of itself changes
 * @status: the belief
 * @self_report: what it says of itself
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
 * struct config_offer - a document the sender holds
 * @key: service
 * @version: its version
 * @hash: hash of its text
 */
struct config_offer {
	struct name key;
	uint64_t version;
	uint64_t hash;
};

/**
 * struct held_document - a document as it was published
 * @version: its version
 * @hash: hash of @text
 * @text: owned, NULL for none
 */
struct held_document {
	uint64_t version;
	uint64_t hash;
	GBytes *text;
};

/**
 * struct digest_entry - what a home saw of one backend server of late
 * @backend: the backend server
 * @ok_requests: whole answers in the window
 * @failed_requests: failures in the window
 * @slow_requests: slow ones in the window
 * @ejected: the sender gives it no work, or not yet all, because it is sick
 * @charged: the sender's part of the ejection budget pays for that
 * @draining: the sender knows that it drains
 * @cold: the sender's probe says that it starts cold
 * @avoided: the sender prefers others, for work there failed or hangs now
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
 * @backend: the backend server
 * @slots: how many
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
};

/**
 * struct peer_ping - probe, its acknowledgement, or the wish for a probe
 * @sequence: tells probes apart
 * @target: whom to probe, or who answered
 */
struct peer_ping {
	uint64_t sequence;
	struct net_addr target;
};

/**
 * struct peer_digest - evidence of one home for one service
 * @service: the service
 * @version: document version the sender has in force
 * @load_permille: its slots in use, of those it may use
 * @queue_requests: requests waiting at it
 * @entries: backend servers with something to tell
 * @entry_count: used entries
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
 * struct peer_lease - wish for, grant or return of slots
 * @service: the service
 * @sequence: tells wishes apart
 * @wanted_slots: with PEER_LEASE_REQUEST
 * @ttl_ms: with PEER_LEASE_GRANT; each side makes a deadline of its own from it,
 *	the borrower from when it asked, the lender from when it gave
 * @leases: with PEER_LEASE_GRANT and PEER_LEASE_RETURN
 * @lease_count: used entries
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
 * struct peer_message - one datagram
 * @sender: the sending instance's peer address
 * @caller: where callers connect to the sender
 * @domain: the sender's failure domain
 * @incarnation: the sender's incarnation
 * @status: MEMBER_ALIVE or MEMBER_LEAVING
 * @self_report: what the sender says of itself
 * @members_digest: hash over all instances that the sender holds to be there
 * @config_digest: hash over all (key, version, hash) that the sender holds
 * @rumours: piggybacked beliefs
 * @rumour_count: used entries
 * @offers: documents that changed last
 * @offer_count: used entries
 * @kind: which member of the union holds
 * @ping: with PEER_PING, PEER_ACK, PEER_PING_REQUEST
 * @digest: with PEER_DIGEST
 * @lease: with PEER_LEASE_*
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
	};
};

#endif
