#ifndef CORE_STATE_H
#define CORE_STATE_H

/**
 * DOC: routing state
 *
 * Owned by the dispatch thread alone, so it has no locks. src/command changes
 * it, src/query reads it; both get the time passed in.
 */

#include "core/event.h"
#include "core/health.h"
#include "core/member.h"
#include "core/metrics.h"
#include "core/routing.h"

#define TICKETS_MAX 4096
#define TICKET_TRIES_MAX 4
#define TICKET_NONE UINT32_MAX
#define BORROWED_MAX 64
#define LENT_MAX 64
#define START_NOTICES_MAX 128

/**
 * enum sharing_kind - how homes share a backend server's slots
 * @SHARING_NONE: every home sees all of them, the backend server sheds
 * @SHARING_FIXED: each home has a computed share
 * @SHARING_LEASED: shares, and unused ones are lent
 * @SHARING_DOMAIN: all slots of a backend server belong to the homes in its own
 *	failure domain; every other instance may use a small part besides, so
 *	the backend server sheds or queues what they use at the same time
 */
enum sharing_kind {
	SHARING_NONE,
	SHARING_FIXED,
	SHARING_LEASED,
	SHARING_DOMAIN,
};

/**
 * enum picking_kind - how a backend server is picked
 */
enum picking_kind { PICKING_LEAST_LOADED, PICKING_ROUND_ROBIN };

/**
 * enum queueing_kind - how waiting requests are ordered
 */
enum queueing_kind { QUEUEING_CLASSES, QUEUEING_FIFO };

/**
 * struct policy - the ways that are measured against each other
 * @sharing: slots
 * @picking: backend servers
 * @queueing: waiting requests
 * @ejecting: whether sick backend servers lose their work
 */
struct policy {
	enum sharing_kind sharing;
	enum picking_kind picking;
	enum queueing_kind queueing;
	bool ejecting;
};

/**
 * enum ticket_state - where an admitted request is
 */
enum ticket_state { TICKET_FREE, TICKET_QUEUED, TICKET_RUNNING };

/**
 * struct ticket - one admitted request
 * @state: where it is
 * @generation: see struct exchange_id
 * @service: its service
 * @class_index: its class
 * @route_index: its route, DOC_ROUTES_MAX when none covers it
 * @idempotent: may run more than once
 * @long_work: runs many times longer than the rest
 * @caller_hash: its caller
 * @deadline_us: its end
 * @objective_us: an answer until then is worth most
 * @late: it waits behind those that may still meet their objective
 * @queued_us: when it began to wait
 * @granted_us: when it got its slot
 * @request: token, holds a reference
 * @backend_index: whose slot it holds while running
 * @on_long_slot: it holds a slot that long work may use
 * @borrowed_index: entry of the service's borrowed slots, TICKET_NONE for own
 * @tries_max: backend servers it may be sent to
 * @retry_reserved: a retry is paid for, should this work hang
 * @sends: backend servers it was sent to before
 * @tried: backend servers tried before
 * @tried_count: used entries of @tried
 * @outcome: what is known of its earlier tries
 * @cancelled: its caller is gone
 * @recalled: its grant was taken back unless it was sent
 */
struct ticket {
	enum ticket_state state;
	uint32_t generation;
	struct service *service;
	uint32_t class_index;
	uint32_t route_index;
	bool idempotent;
	bool long_work;
	uint64_t caller_hash;
	uint64_t deadline_us;
	uint64_t objective_us;
	bool late;
	uint64_t queued_us;
	uint64_t granted_us;
	struct request *request;
	uint32_t backend_index;
	bool on_long_slot;
	uint32_t borrowed_index;
	uint32_t tries_max;
	bool retry_reserved;
	uint32_t sends;
	struct net_addr tried[TICKET_TRIES_MAX];
	uint32_t tried_count;
	enum outcome outcome;
	bool cancelled;
	bool recalled;
};

/**
 * struct start_notice - what one start of a backend server said of itself
 * @start: which
 * @notice: what
 */
struct start_notice {
	struct start_id start;
	struct backend_notice notice;
};

/**
 * struct backend - one backend server of a service, this instance's part
 * @addr: where it listens
 * @start: which start of it
 * @domain: its failure domain
 * @capacity_slots: requests it works on at once, for the whole fleet
 * @connections_max: connections this instance may hold
 * @own_slots: this home's share
 * @own_long_slots: part of @own_slots that long work may use
 * @next_own_slots: share it will have from @next_own_at_us on
 * @next_own_long_slots: part of @next_own_slots that long work may use
 * @next_own_at_us: when the share grows, DEADLINE_NONE_US for never
 * @in_other_domain: its slots belong to homes in another failure domain
 * @lent_slots: part of @own_slots lent now
 * @in_use_slots: own slots in use
 * @in_use_long_slots: own slots in use by long work
 * @drain_document: the document says that it drains
 * @drain_seen_until_us: its answers or load report said so; 0 when not,
 *	DEADLINE_NONE_US for a named start whose answers said so
 * @pause_until_us: it refused work and wants none until then, 0 when not
 * @slow_start_slots: open slots after a pause, doubled by each whole answer; 0 for all
 * @closed_us: since when it shall get no new work, 0 while it may
 * @cold: its load report or its document says so
 * @health: its health
 */
struct backend {
	struct net_addr addr;
	struct start_id start;
	struct name domain;
	uint32_t capacity_slots;
	uint32_t connections_max;
	uint32_t own_slots;
	uint32_t own_long_slots;
	uint32_t next_own_slots;
	uint32_t next_own_long_slots;
	uint64_t next_own_at_us;
	bool in_other_domain;
	uint32_t lent_slots;
	uint32_t in_use_slots;
	uint32_t in_use_long_slots;
	bool drain_document;
	uint64_t drain_seen_until_us;
	uint64_t pause_until_us;
	uint32_t slow_start_slots;
	uint64_t closed_us;
	bool cold;
	struct health health;
};

/**
 * struct borrowed - slots of another home in use here
 * @lender: peer address, port 0 for an unused entry
 * @backend_index: whose slots
 * @slots: how many
 * @in_use_slots: how many are in use
 * @expires_us: no work starts on them after this
 */
struct borrowed {
	struct net_addr lender;
	uint32_t backend_index;
	uint32_t slots;
	uint32_t in_use_slots;
	uint64_t expires_us;
};

/**
 * struct lent - own slots in use elsewhere
 * @borrower: peer address, port 0 for an unused entry
 * @backend_index: whose slots
 * @slots: how many
 * @expires_us: they come back then
 */
struct lent {
	struct net_addr borrower;
	uint32_t backend_index;
	uint32_t slots;
	uint64_t expires_us;
};

/**
 * struct class_queue - requests of one class that wait
 * @short_tickets: array of uint32_t, short work, earliest objective first
 * @long_tickets: array of uint32_t, long work, earliest objective first
 * @late_tickets: array of uint32_t, work that misses its objective, earliest
 *	deadline first
 */
struct class_queue {
	GArray *short_tickets;
	GArray *long_tickets;
	GArray *late_tickets;
};

/**
 * class_queue_init() - make empty queues
 * @queue: filled
 */
void class_queue_init(struct class_queue *queue);

/**
 * struct home - one instance of a service's home set
 * @peer: names it
 * @domain: its failure domain
 * @cpu_permille: processor time it has, in thousandths of a core
 * @load_permille: its last digest's load
 * @queue_requests: its last digest's queue
 * @dead: it is held to be dead, so the others use its shares
 * @fresh_until_us: its last digest counts until then
 */
struct home {
	struct net_addr peer;
	struct name domain;
	uint32_t cpu_permille;
	uint32_t load_permille;
	uint32_t queue_requests;
	bool dead;
	uint64_t fresh_until_us;
};

/**
 * struct service - one service, this instance's part
 * @doc: document in force, holds a reference
 * @backends: array of @backend_count
 * @backend_count: as in @doc
 * @queues: by class
 * @waiting_requests: in all queues
 * @running_requests: on slots
 * @running_long_requests: long ones among them
 * @short_peak_requests: most short requests that ran or waited at once, in this
 *	window and in the one before
 * @short_window_ends_us: end of this window
 * @callers: caller_hash to count of its requests here
 * @homes: home set, same order on every instance
 * @home_count: used entries of @homes
 * @self_home: own place in @homes, HOMES_MAX when this is no home
 * @share_inputs_hash: hash of what the shares were computed from
 * @borrowed: slots of other homes
 * @lent: slots given to others
 * @lease_request_after_us: no wish for slots before this
 * @lease_requested_us: when the last wish went out
 * @lease_sequence: of the last wish
 * @lease_next_home: whom to ask next
 * @retry_budget_permille: a retry costs 1000
 * @retry_filled_us: up to then the allowance is in the budget
 * @mean_service_us: moving mean of short work's time on a slot
 * @route_typical_us: typical time on a slot by route, last for uncovered ones
 * @backlog_grant_us: when a slot was last given while others waited, 0 when
 *	nobody waited since
 * @backlog_gap_us: moving mean between such grants
 * @backlog_grants: such grants since somebody waits
 * @grants: count, gives the lowest class its turn
 * @round_robin_next: with PICKING_ROUND_ROBIN
 * @overload: requests were refused for want of slots of late
 * @overload_ends_us: when it ends unless renewed
 * @overload_refused: refused since it began
 * @digest_due_us: when the next digest goes out
 * @eject_inputs_hash: hash of home set and document version that split the budget
 * @eject_after_us: no ejection is begun before this, others may still hold an
 *	older basis
 * @start_notices: what named starts said in their answers
 * @start_notice_next: the oldest of @start_notices
 * @counters: metrics
 */
struct service {
	struct service_doc *doc;
	struct backend *backends;
	uint32_t backend_count;
	struct class_queue queues[DOC_CLASSES_MAX];
	uint32_t waiting_requests;
	uint32_t running_requests;
	uint32_t running_long_requests;
	uint32_t short_peak_requests[2];
	uint64_t short_window_ends_us;
	GHashTable *callers;
	struct home homes[HOMES_MAX];
	uint32_t home_count;
	uint32_t self_home;
	uint64_t share_inputs_hash;
	struct borrowed borrowed[BORROWED_MAX];
	struct lent lent[LENT_MAX];
	uint64_t lease_request_after_us;
	uint64_t lease_requested_us;
	uint64_t lease_sequence;
	uint32_t lease_next_home;
	uint32_t retry_budget_permille;
	uint64_t retry_filled_us;
	uint64_t mean_service_us;
	uint64_t *route_typical_us;
	uint64_t backlog_grant_us;
	uint64_t backlog_gap_us;
	uint32_t backlog_grants;
	uint64_t grants;
	uint32_t round_robin_next;
	bool overload;
	uint64_t overload_ends_us;
	uint64_t overload_refused;
	uint64_t digest_due_us;
	uint64_t eject_inputs_hash;
	uint64_t eject_after_us;
	struct start_notice start_notices[START_NOTICES_MAX];
	uint32_t start_notice_next;
	struct service_counters counters;
};

/**
 * struct state - the whole routing state of one instance
 * @settings: checked settings, not owned
 * @policy: ways in force
 * @rand: seeded random numbers
 * @services: owned name text to owned struct service
 * @by_host: owned Host text to struct service, not owned
 * @routes: routing table in force, holds a reference, NULL while none is known
 * @tickets: array of TICKETS_MAX
 * @free_tickets: array of uint32_t indices
 * @ticket_by_request: request token to index
 * @membership: what is known of the other instances
 * @audit: the kept records, array of AUDIT_KEPT_RECORDS
 * @audit_next: sequence of the next record; the first is 1
 * @long_requests_max: requests in progress that long work may have
 * @long_requests: long requests admitted now
 * @admitted_requests: requests admitted now
 * @refused_early: refusals before a class was known, by cause
 * @platform_reachable: last call to the platform went well
 * @last_received_us: when platform or a peer was last heard
 * @stepped_back: does not name itself in entries
 * @leaving: in a planned stop
 * @leave_hurried: answers to entries are not waited for
 * @leave_accept_until_us: answers to entries that named this instance are over
 * @leave_deadline_us: end of the planned stop
 * @leave_bounded_from_us: from then on only what is sure to end before it is begun
 * @left: EVENT_LEFT was given
 * @reader_role: whether this instance reads the platform itself
 * @homes_dirty: home sets must be computed again
 * @probes_dirty: the probe plan must be computed again
 */
struct state {
	const struct settings *settings;
	struct policy policy;
	GRand *rand;
	GHashTable *services;
	GHashTable *by_host;
	struct routing_table *routes;
	struct ticket *tickets;
	GArray *free_tickets;
	GHashTable *ticket_by_request;
	struct membership membership;
	struct audit_record *audit;
	uint64_t audit_next;
	uint32_t long_requests_max;
	uint32_t long_requests;
	uint32_t admitted_requests;
	uint64_t refused_early[REFUSAL_COUNT];
	bool platform_reachable;
	uint64_t last_received_us;
	bool stepped_back;
	bool leaving;
	bool leave_hurried;
	uint64_t leave_accept_until_us;
	uint64_t leave_deadline_us;
	uint64_t leave_bounded_from_us;
	bool left;
	enum reader_role reader_role;
	bool homes_dirty;
	bool probes_dirty;
};

/**
 * state_new() - make an empty routing state
 * @settings: must outlive the state
 *
 * Return: a state to be freed with state_free().
 */
struct state *state_new(const struct settings *settings);

/**
 * state_free() - free a state and all it owns
 * @state: the state, or NULL
 */
void state_free(struct state *state);

/**
 * service_new() - make a service without homes
 * @doc: document in force; the service takes a reference
 *
 * Return: a service to be freed with service_free().
 */
struct service *service_new(struct service_doc *doc);

/**
 * service_free() - free a service and all it owns
 * @data: a struct service, or NULL
 */
void service_free(gpointer data);

/**
 * service_lookup() - find a service by name
 * @state: the state
 * @name: its name
 *
 * Return: the service or NULL.
 */
struct service *service_lookup(const struct state *state,
			       const struct name *name);

/**
 * service_backend() - find a backend server of a service
 * @service: the service
 * @addr: its address
 *
 * Return: the backend server or NULL.
 */
struct backend *service_backend(struct service *service, struct net_addr addr);

/**
 * state_audit() - append an audit record and the event that logs it
 * @state: the state
 * @record: all but sequence and time
 * @now: the time
 * @out: gets EVENT_AUDIT
 */
void state_audit(struct state *state, struct audit_record *record,
		 struct instant now, struct event_list *out);

#endif
