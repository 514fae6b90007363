#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

/**
 * DOC: membership
 *
 * The other instances of the fleet, the probes that this instance sends to them
 * and the gossip that it still has to send.
 */

#include "core/peer.h"

#define MEMBERS_MAX 1024
#define MEMBER_RELAYS_MAX 32
#define MEMBER_PULL_BACKOFFS_MAX 64

/**
 * struct member - one other instance
 * @listed: its last entry in the list of instances
 * @in_list: it is in the current list; with seed discovery, it is not dead
 * @status: its status as known here
 * @incarnation: incarnation that @status refers to
 * @suspect_until_us: while suspected, it is declared dead at this time unless
 *	it refutes the suspicion; 0 otherwise
 * @last_received_us: when the last message was received from it
 * @reader_rank: its rank among the instances that read the platform
 * @reading_until_us: it counts as a reader of the platform until this time,
 *	unless it says again that the platform answers it
 * @dead_expires_us: if dead, it is no longer probed from this time on
 */
struct member {
	struct instance_doc listed;
	bool in_list;
	enum member_status status;
	uint32_t incarnation;
	uint64_t suspect_until_us;
	uint64_t last_received_us;
	uint64_t reader_rank;
	uint64_t reading_until_us;
	uint64_t dead_expires_us;
};

/**
 * struct probe - probe of the current probe period
 * @target: peer address of the probed instance, port 0 for none
 * @sequence: sequence number that identifies the probe in acknowledgements
 * @sent_us: when the probe was sent
 * @indirect_due_us: when other instances are asked to probe the target;
 *	DEADLINE_NONE_US once they have been asked
 * @answered: a message from the target has been received since the probe was
 *	sent
 */
struct probe {
	struct net_addr target;
	uint64_t sequence;
	uint64_t sent_us;
	uint64_t indirect_due_us;
	bool answered;
};

/**
 * struct probe_relay - indirect probe sent for another instance
 * @origin: peer address of the requesting instance, port 0 for an unused entry
 * @origin_sequence: sequence number of the requesting instance's probe
 * @target: peer address of the probed instance
 * @sequence: sequence number of the indirect probe
 * @expires_us: an acknowledgement is ignored after this time
 */
struct probe_relay {
	struct net_addr origin;
	uint64_t origin_sequence;
	struct net_addr target;
	uint64_t sequence;
	uint64_t expires_us;
};

/**
 * struct rumour_task - status change that still has to be gossiped
 * @peer: peer address of the instance whose status changed
 * @sends_left: number of datagrams that will still carry the change
 */
struct rumour_task {
	struct net_addr peer;
	uint32_t sends_left;
};

/**
 * struct offer_task - document change that still has to be gossiped
 * @key: service of the document, or ROUTING_KEY
 * @sends_left: number of datagrams that will still carry the offer
 */
struct offer_task {
	struct name key;
	uint32_t sends_left;
};

/**
 * struct pull_backoff - document version that is not to be pulled for a while
 * @key: service of the document, or ROUTING_KEY; empty for an unused entry
 * @version: this version and older ones are not pulled
 * @hash: hash of the text of @version
 * @until_us: when the version may be pulled again
 * @refused: the version was refused, and the refusal has been audited
 * @from: unless refused, the peer that it is being pulled from
 * @other: another peer that has offered it since, port 0 for none
 * @other_due_us: when it may be pulled from another peer, since @from has not
 *	sent it
 */
struct pull_backoff {
	struct name key;
	uint64_t version;
	uint64_t hash;
	uint64_t until_us;
	bool refused;
	struct net_addr from;
	struct net_addr other;
	uint64_t other_due_us;
};

/**
 * struct reader_duty - this instance's part in reading the platform
 * @read_after_us: the platform is not read before this time, so that peers can
 *	send the documents that they have
 * @judge_after_us: readers that were not heard of count as such until this
 *	time, since this instance has not listened long enough
 * @due_us: when this instance begins to read if nobody else has until then, 0
 *	while enough others read
 * @trying_until_us: with a lost platform, end of this instance's tries
 * @backoff_until_us: this instance does not read the platform before this time
 * @heartbeat_due_us: when the instances that would take over are told next whether
 *	the platform answers
 */
struct reader_duty {
	uint64_t read_after_us;
	uint64_t judge_after_us;
	uint64_t due_us;
	uint64_t trying_until_us;
	uint64_t backoff_until_us;
	uint64_t heartbeat_due_us;
};

/**
 * struct membership - this instance and the other instances
 * @self: own entry, from the settings and the list of instances
 * @withdrawn_until_us: while withdrawn from the home sets, time of the return
 * @withdrawal_count: withdrawals in a row; each doubles the duration
 * @self_listed: the list contains this instance
 * @incarnation: own incarnation
 * @members: array of struct member, ordered by peer address
 * @list_known: a list has been received, or none is published
 * @seed_discovery: no list is published; members are discovered through seeds
 *	and gossip
 * @seeds: peer addresses to contact first
 * @seed_count: used entries of @seeds
 * @seed_due_us: when the seeds are contacted next
 * @members_digest: hash over this instance, unless it is leaving, and all
 *	members that are alive or suspected
 * @offers_next_us: a changed document is not offered to further peers before
 *	this time
 * @offers_calm_until_us: it is offered to further peers until this time
 * @offers_loss_until_us: the same while peers may be lost
 * @offers_due: a document has changed; it is offered to peers at the next tick
 * @offers_may_be_lost: peers may be lost now, and it was changed shortly before
 * @started: the first tick has been handled
 * @request_before_config: a request arrived before any document was known
 * @reader: this instance's part in reading the platform
 * @last_tick_us: time of the last tick; a large gap shows that the process was
 *	paused
 * @probe: current probe
 * @probe_due_us: when the next probe period begins
 * @probe_order: array of struct net_addr, members in the shuffled order of this
 *	round
 * @probe_next: index into @probe_order of the member to probe next
 * @probe_periods: number of probe periods so far
 * @sequence: last sequence number given to a probe
 * @probe_answered_us: when a probe of this instance was last answered, which
 *	shows that datagrams pass in both directions
 * @relays: indirect probes sent for other instances
 * @rumours: array of struct rumour_task, a queue
 * @offers: array of struct offer_task, a queue
 * @pull_backoffs: document versions that are not to be pulled now
 * @config_digest: hash over all documents held
 * @list_pull_attempts: consecutive pulls of a whole list after which the
 *	digests still differed
 * @list_pull_due_us: no whole list is pulled before this time
 * @announces_left: number of times that the last change of this instance is
 *	still to be announced
 * @announce_due_us: when it is announced next
 */
struct membership {
	struct instance_doc self;
	uint64_t withdrawn_until_us;
	uint32_t withdrawal_count;
	bool self_listed;
	uint32_t incarnation;
	GArray *members;
	bool list_known;
	bool seed_discovery;
	struct net_addr seeds[SEEDS_MAX];
	uint32_t seed_count;
	uint64_t seed_due_us;
	uint64_t members_digest;
	uint64_t offers_next_us;
	uint64_t offers_calm_until_us;
	uint64_t offers_loss_until_us;
	bool offers_due;
	bool offers_may_be_lost;
	bool started;
	bool request_before_config;
	struct reader_duty reader;
	uint64_t last_tick_us;
	struct probe probe;
	uint64_t probe_due_us;
	GArray *probe_order;
	uint32_t probe_next;
	uint64_t probe_periods;
	uint64_t sequence;
	uint64_t probe_answered_us;
	struct probe_relay relays[MEMBER_RELAYS_MAX];
	GArray *rumours;
	GArray *offers;
	struct pull_backoff pull_backoffs[MEMBER_PULL_BACKOFFS_MAX];
	uint64_t config_digest;
	uint32_t list_pull_attempts;
	uint64_t list_pull_due_us;
	uint32_t announces_left;
	uint64_t announce_due_us;
};

/**
 * membership_init() - initialize the membership without other instances
 * @membership: filled
 * @settings: settings with the own addresses, failure domain and seeds
 */
void membership_init(struct membership *membership,
		     const struct settings *settings);

/**
 * membership_clear() - free what a membership owns
 * @membership: membership to clear
 */
void membership_clear(struct membership *membership);

/**
 * membership_find() - find another instance
 * @membership: membership to search
 * @peer: peer address of the instance
 *
 * Return: the member or NULL; valid until members are added or removed.
 */
struct member *membership_find(const struct membership *membership,
			       struct net_addr peer);

#endif
