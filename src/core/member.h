#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

/**
 * DOC: membership
 */

#include "core/peer.h"

#define MEMBERS_MAX 1024
#define MEMBER_RELAYS_MAX 32
#define MEMBER_PULL_BACKOFFS_MAX 64

/**
 * struct member - one other instance
 * @listed: as the platform's list last had it
 * @in_list: it is in the list now
 * @status: what is believed of it
 * @incarnation: of that belief
 * @suspect_until_us: it is dead when it does not refute by then
 * @last_received_us: when it was last heard itself
 * @dead_expires_us: a dead one is not tried any more from then on
 */
struct member {
	struct instance_doc listed;
	bool in_list;
	enum member_status status;
	uint32_t incarnation;
	uint64_t suspect_until_us;
	uint64_t last_received_us;
	uint64_t dead_expires_us;
};

/**
 * struct probe - the probe of the running period
 * @target: who is probed; port 0 for nobody
 * @sequence: names the probe in answers
 * @sent_us: when it went out
 * @indirect_due_us: others are asked to probe then; DEADLINE_NONE_US once done
 * @answered: it was heard since
 */
struct probe {
	struct net_addr target;
	uint64_t sequence;
	uint64_t sent_us;
	uint64_t indirect_due_us;
	bool answered;
};

/**
 * struct probe_relay - a probe made for another instance
 * @origin: who asked; port 0 for an unused entry
 * @origin_sequence: its name for the probe
 * @target: who is probed
 * @sequence: own name for the probe
 * @expires_us: an answer after this is of no use
 */
struct probe_relay {
	struct net_addr origin;
	uint64_t origin_sequence;
	struct net_addr target;
	uint64_t sequence;
	uint64_t expires_us;
};

/**
 * struct rumour_task - a belief that still has to be spread
 * @peer: about whom
 * @sends_left: datagrams that will still carry it
 */
struct rumour_task {
	struct net_addr peer;
	uint32_t sends_left;
};

/**
 * struct offer_task - a document whose change still has to be spread
 * @key: service
 * @sends_left: datagrams that will still carry it
 */
struct offer_task {
	struct name key;
	uint32_t sends_left;
};

/**
 * struct pull_backoff - a version that is not to be pulled for a while
 * @key: service, empty for an unused entry
 * @version: up to this version
 * @hash: of its text
 * @until_us: when it may be pulled again
 * @refused: it was refused, and that is in the audit trail
 */
struct pull_backoff {
	struct name key;
	uint64_t version;
	uint64_t hash;
	uint64_t until_us;
	bool refused;
};

/**
 * struct membership - this instance and the others
 * @self: own entry as settings and list give it
 * @withdrawn_until_us: it stays aside until then, while it is
 * @withdrawal_count: how often in a row it stepped aside, doubles the time
 * @self_listed: the list has this instance
 * @incarnation: own incarnation
 * @members: array of struct member, by peer address
 * @list_known: a list was read at least once, or none is published
 * @seed_discovery: no list is published; members are those that were heard of
 * @seeds: peers to begin with
 * @seed_count: used entries of @seeds
 * @seed_due_us: when the seeds are called next
 * @members_digest: hash over the members that are not dead, and this one
 * @offers_due: a document changed and peers are to be told with the next tick
 * @started: the first tick was seen
 * @request_before_config: a request came while nothing was known
 * @platform_read_after_us: until then peers have time to bring what they read
 * @last_tick_us: when time was last looked at, tells a pause of the process
 * @probe: the running probe
 * @probe_due_us: when the next period begins
 * @probe_order: array of struct net_addr, the shuffled round
 * @probe_next: next of @probe_order
 * @probe_periods: periods begun
 * @sequence: last name given to a probe
 * @relays: probes made for others
 * @rumours: array of struct rumour_task, a queue
 * @offers: array of struct offer_task, a queue
 * @pull_backoffs: versions not to be pulled now
 * @config_digest: hash over all documents held
 * @list_pull_attempts: pulls of whole lists in a row that ended no difference
 * @list_pull_due_us: no pull of a whole list before this
 * @announces_left: how often what changed here is still announced
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
	bool offers_due;
	bool started;
	bool request_before_config;
	uint64_t platform_read_after_us;
	uint64_t last_tick_us;
	struct probe probe;
	uint64_t probe_due_us;
	GArray *probe_order;
	uint32_t probe_next;
	uint64_t probe_periods;
	uint64_t sequence;
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
 * membership_init() - make the membership of an instance that knows nobody
 * @membership: filled
 * @settings: own addresses and failure domain
 */
void membership_init(struct membership *membership,
		     const struct settings *settings);

/**
 * membership_clear() - free what a membership owns
 * @membership: the membership
 */
void membership_clear(struct membership *membership);

/**
 * membership_find() - find another instance
 * @membership: the membership
 * @peer: its peer address
 *
 * Return: the member or NULL; valid until members are added or dropped.
 */
struct member *membership_find(const struct membership *membership,
			       struct net_addr peer);

#endif
