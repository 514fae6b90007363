#ifndef CORE_STATE_H
#define CORE_STATE_H

/**
 * DOC: routing state
 *
 * Only the dispatch thread accesses the routing state, so that it needs no
 * locks. Commands (src/command) change it and queries (src/query) read it; both
 * get the current time as an argument.
 */

#include "core/crossing.h"
#include "core/event.h"
#include "core/health.h"
#include "core/member.h"
#include "core/metrics.h"
#include "core/quota.h"
#include "core/routing.h"
#include "core/stop.h"

#define TICKETS_MAX 4096
#define TICKET_TRIES_MAX 4
/* In place of an index: no ticket, or no borrowed slots. */
#define TICKET_NONE UINT32_MAX
#define BORROWED_MAX 64
#define LENT_MAX 64
#define START_NOTICES_MAX 128

/**
 * enum sharing_kind - how homes share the slots of a backend server
 * @SHARING_NONE: every home may use all slots; the backend server sheds load
 * @SHARING_FIXED: each home has a computed share
 * @SHARING_LEASED: each home has a computed share and lends unused slots
 * @SHARING_DOMAIN: all slots of a backend server belong to the homes in its own
 *	failure domain; every other instance may use a small part in addition,
 *	so the backend server sheds or queues what exceeds its capacity
 */
enum sharing_kind {
	SHARING_NONE,
	SHARING_FIXED,
	SHARING_LEASED,
	SHARING_DOMAIN,
};

/**
 * enum picking_kind - how a backend server is chosen for a request
 */
enum picking_kind { PICKING_LEAST_LOADED, PICKING_ROUND_ROBIN };

/**
 * enum queueing_kind - how waiting requests are ordered
 */
enum queueing_kind { QUEUEING_CLASSES, QUEUEING_FIFO };

/**
 * struct policy - scheduling policy in force
 * @sharing: how slots are shared
 * @picking: how backend servers are chosen
 * @queueing: how waiting requests are ordered
 * @ejecting: whether unhealthy backend servers are ejected
 */
struct policy {
	enum sharing_kind sharing;
	enum picking_kind picking;
	enum queueing_kind queueing;
	bool ejecting;
};

/**
 * enum ticket_state - state of an entry of the ticket table
 * @TICKET_FREE: not in use
 * @TICKET_ASKING: waits for a token of its customer's quota, is in no queue
 * @TICKET_QUEUED: waits for a slot
 * @TICKET_RUNNING: holds a slot
 */
enum ticket_state {
	TICKET_FREE,
	TICKET_ASKING,
	TICKET_QUEUED,
	TICKET_RUNNING,
};

/**
 * struct ticket - one admitted request
 * @state: enum ticket_state
 * @generation: how often this entry of the table has been used
 * @service: service of the request, not owned
 * @class_index: index of its class in the service document
 * @route_index: index of its route, DOC_ROUTES_MAX if it matches none
 * @idempotent: it may be executed more than once
 * @long_work: it takes many times longer than other requests
 * @has_token: a token of the customer's quota was taken and the request has not
 *	been sent yet, so that the token is given back if it never is
 * @drop_credentials: the backend server must not get its credentials
 * @weight_milli: weight of its customer in fair queueing, 0 if no customers are
 *	configured
 * @caller_hash: identifies its caller
 * @customer: name of its customer, empty if none is known
 * @customer_hash: hash of the name, 0 if none is known
 * @token_until_us: the token may be used for another request until this time
 * @deadline_us: its deadline
 * @objective_us: time until which an answer has the most value
 * @queued_us: when it was queued
 * @granted_us: when it got its slot
 * @request: the request; the ticket owns a reference
 * @backend_index: backend server whose slot it holds while running
 * @late: it can no longer meet its objective and waits behind those that can
 * @on_long_slot: the slot is one of those that long work may use
 * @across: the slot belongs to homes in another failure domain
 * @crossing_domain: with @across, index of that domain in the service's
 *	crossing
 * @borrowed_index: index of the borrowed slots it runs on, TICKET_NONE for own
 *	slots
 * @tries_max: limit of backend servers it may be sent to
 * @retry_reserved: the retry budget has been charged for a retry, in case the
 *	exchange hangs
 * @shed: a backend server has shed it for overload, and the settings name the
 *	load field
 * @connection_stale: an earlier try was sent on a kept connection that proved
 *	stale; further ones get a connection of their own
 * @sends: number of backend servers it was sent to before
 * @tried: backend servers tried before
 * @tried_count: used entries of @tried
 * @outcome: whether earlier tries executed it
 * @cancelled: its caller has disconnected
 * @recalled: its grant was recalled, which has no effect once it has been sent
 */
struct ticket {
	enum ticket_state state;
	uint32_t generation;
	struct service *service;
	uint32_t class_index;
	uint32_t route_index;
	bool idempotent;
	bool long_work;
	bool has_token;
	bool drop_credentials;
	uint32_t weight_milli;
	uint64_t caller_hash;
	struct name customer;
	uint64_t customer_hash;
	uint64_t token_until_us;
	uint64_t deadline_us;
	uint64_t objective_us;
	uint64_t queued_us;
	uint64_t granted_us;
	struct request *request;
	uint32_t backend_index;
	bool late;
	bool on_long_slot;
	bool across;
	uint32_t crossing_domain;
	uint32_t borrowed_index;
	uint32_t tries_max;
	bool retry_reserved;
	bool shed;
	bool connection_stale;
	uint32_t sends;
	struct net_addr tried[TICKET_TRIES_MAX];
	uint32_t tried_count;
	enum outcome outcome;
	bool cancelled;
	bool recalled;
};

/**
 * struct start_notice - last notice of one start of a backend server
 * @start: start that the notice is from
 * @notice: drain or pause notice
 */
struct start_notice {
	struct start_id start;
	struct backend_notice notice;
};

/**
 * struct start_record - a start that has left, where the document in force may
 *	show an older state of it (command/start_record.h)
 * @start: the start
 * @version: version of a state in which it was not listed, or draining
 * @noted: number of the note, rises with each one of the service
 */
struct start_record {
	struct start_id start;
	uint64_t version;
	uint64_t noted;
};

/**
 * struct backend_load - last load report of a backend server
 * @others_permille: requests of other instances that it works on or queues, in
 *	thousandths of its slots
 * @expires_us: time from which the report no longer counts, 0 without one
 */
struct backend_load {
	uint32_t others_permille;
	uint64_t expires_us;
};

/* Length of the window over which shed arrivals are counted, and its parts. */
#define SHED_WINDOW_US US_PER_S
#define SHED_BUCKETS 10
#define SHED_BUCKET_US (SHED_WINDOW_US / SHED_BUCKETS)

/**
 * struct shed_bucket - arrivals at backend servers that ended in one part of
 *	the window
 * @begins_us: begin of the part
 * @arrivals: requests that arrived, each try counted
 * @shed: those of them that were shed for overload
 */
struct shed_bucket {
	uint64_t begins_us;
	uint32_t arrivals;
	uint32_t shed;
};

/**
 * struct shed_window - how much of a service's work its backend servers shed
 * @buckets: latest arrivals, a circular buffer
 * @admit_due_us: while most arrivals are shed, no new request is admitted
 *	before this time
 */
struct shed_window {
	struct shed_bucket buckets[SHED_BUCKETS];
	uint64_t admit_due_us;
};

/**
 * struct backend - one backend server of a service, as used by this instance
 * @addr: address at which it listens
 * @start: identifies its current start
 * @domain: its failure domain
 * @capacity_slots: requests that it can process at the same time, for the whole
 *	fleet
 * @connections_max: connections that it accepts from the whole fleet
 * @own_slots: slots in this home's share
 * @own_long_slots: part of @own_slots that long work may use
 * @next_own_slots: slots in this home's share from @next_own_at_us on
 * @next_own_long_slots: part of @next_own_slots that long work may use
 * @next_own_at_us: when the share grows, DEADLINE_NONE_US for never
 * @in_other_domain: with SHARING_DOMAIN, its slots belong to homes in another
 *	failure domain
 * @crossing_domain: index of its domain in the service's crossing,
 *	CROSSING_DOMAIN_NONE if using it is no crossing
 * @lent_slots: part of @own_slots that is lent to other homes
 * @in_use_slots: own slots in use
 * @in_use_long_slots: own slots in use by long work
 * @drain_document: the document says that it drains
 * @left: it is known to drain or to have ended, and the document lists an
 *	earlier state of it
 * @alive_version: version at which its entry was last known to be written by
 *	the start itself, 0 if it is not known; a state before that tells nothing
 * @drain_seen_until_us: time until which a drain notice of its answers or its
 *	load report holds; 0 for none, DEADLINE_NONE_US for a notice of a named
 *	start
 * @pause_until_us: it refused a request and accepts none before this time, 0
 *	for no pause
 * @slow_start_slots: usable slots after a pause, doubled by each complete
 *	answer; 0 for all
 * @closed_us: since when it has been draining or paused, 0 if neither
 * @cold: its load report or its document says that it has just started
 * @load: its last load report
 * @health: its health as seen by this instance
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
	uint32_t crossing_domain;
	uint32_t lent_slots;
	uint32_t in_use_slots;
	uint32_t in_use_long_slots;
	bool drain_document;
	bool left;
	uint64_t alive_version;
	uint64_t drain_seen_until_us;
	uint64_t pause_until_us;
	uint32_t slow_start_slots;
	uint64_t closed_us;
	bool cold;
	struct backend_load load;
	struct health health;
};

/**
 * struct borrowed - slots borrowed from another home
 * @lender: peer address of the lender, port 0 for an unused entry
 * @backend_index: backend server that the slots belong to
 * @slots: number of slots
 * @in_use_slots: number of these slots in use
 * @expires_us: no request is started on them after this time
 */
struct borrowed {
	struct net_addr lender;
	uint32_t backend_index;
	uint32_t slots;
	uint32_t in_use_slots;
	uint64_t expires_us;
};

/**
 * struct lent - own slots lent to another home
 * @borrower: peer address of the borrower, port 0 for an unused entry
 * @backend_index: backend server that the slots belong to
 * @slots: number of slots
 * @expires_us: end of the lease, after which this home uses them again
 */
struct lent {
	struct net_addr borrower;
	uint32_t backend_index;
	uint32_t slots;
	uint64_t expires_us;
};

/**
 * struct fair_flow - requests of one customer in one queue
 * @customer_hash: hash of the customer, or of the caller of a request without
 *	one; 0 where no customers are configured; key in the table of flows
 * @waiting_requests: number of its requests in the queue
 * @weight_milli: its weight, never 0
 * @arrivals: its requests for the queue, admitted or not, halved every second
 * @turn: virtual time at which its next request is due
 */
struct fair_flow {
	uint64_t customer_hash;
	uint32_t waiting_requests;
	uint32_t weight_milli;
	uint32_t arrivals;
	uint64_t turn;
};

/**
 * struct fair_share - customers of one queue (command/fair_share.h)
 * @flows: customer's hash to struct fair_flow, owned; NULL until it is used
 * @waiting_flows: number of flows with waiting requests
 * @waiting_requests: number of requests in the queue
 * @turn: virtual time, the turn of the request granted last
 * @decay_us: time at which arrivals are halved next
 */
struct fair_share {
	GHashTable *flows;
	uint32_t waiting_flows;
	uint32_t waiting_requests;
	uint64_t turn;
	uint64_t decay_us;
};

/**
 * enum ticket_list - list of a class in which a ticket waits
 * @LIST_SHORT: short_tickets of struct class_queue
 * @LIST_LONG: long_tickets
 * @LIST_LATE: late_tickets
 * @LIST_COUNT: number of lists
 */
enum ticket_list { LIST_SHORT, LIST_LONG, LIST_LATE, LIST_COUNT };

/**
 * struct class_queue - waiting requests of one class, as ticket indices
 * @short_tickets: array of uint32_t, short work, earliest objective first
 * @long_tickets: array of uint32_t, long work, earliest objective first
 * @late_tickets: array of uint32_t, requests that cannot meet their objective,
 *	earliest deadline first
 * @shares: customers of each of these, by enum ticket_list
 */
struct class_queue {
	GArray *short_tickets;
	GArray *long_tickets;
	GArray *late_tickets;
	struct fair_share shares[LIST_COUNT];
};

/**
 * class_queue_init() - initialize empty queues
 * @queue: filled
 */
void class_queue_init(struct class_queue *queue);

/**
 * class_queue_clear() - free what queues own
 * @queue: queues to clear
 */
void class_queue_clear(struct class_queue *queue);

/**
 * struct home - one instance of a service's home set
 * @peer: its peer address
 * @domain: its failure domain
 * @cpu_permille: CPU time that it may use, in thousandths of a core
 * @load_permille: slots in use according to its last digest, in thousandths of
 *	those it may use
 * @queue_requests: waiting requests according to its last digest
 * @dead: it is believed dead, so that the other homes use its shares
 * @full_since_us: since when its digests have said that all its slots are in
 *	use, 0 if the last one did not
 * @fresh_until_us: time until which its last digest is valid
 */
struct home {
	struct net_addr peer;
	struct name domain;
	uint32_t cpu_permille;
	uint32_t load_permille;
	uint32_t queue_requests;
	bool dead;
	uint64_t full_since_us;
	uint64_t fresh_until_us;
};

/**
 * struct service - one service, as served by this instance
 * @doc: document in force; the service owns a reference
 * @backends: backend servers, owned
 * @backend_count: number of entries of @backends: those of @doc in its order,
 *	then those that it lacks but that had running requests when it was
 *	accepted
 * @queues: waiting requests by class
 * @waiting_requests: number of requests in all queues
 * @running_requests: number of requests that hold a slot
 * @running_long_requests: number of long requests among @running_requests
 * @short_peak_requests: maximum number of short requests that ran or waited at
 *	the same time, in the current window and in the previous one
 * @short_window_ends_us: end of the current window
 * @callers: caller_hash to the number of the caller's requests on this instance
 * @homes: home set, in the same order on every instance
 * @home_count: used entries of @homes
 * @self_home: own index in @homes, HOMES_MAX if this instance is not a home
 * @share_inputs_hash: hash of the inputs from which the shares were computed
 * @borrowed: slots borrowed from other homes
 * @lent: slots lent to other homes
 * @lease_request_after_us: no lease request is sent before this time
 * @lease_requested_us: when the last lease request was sent
 * @lease_sequence: sequence number of the last lease request
 * @lease_next_home: index of the home that gets the next lease request
 * @retry_budget_permille: retry budget; a retry costs 1000
 * @retry_filled_us: time up to which the retry allowance has been added to the
 *	budget
 * @mean_service_us: moving average of the time that short work holds a slot
 * @route_typical_us: typical time that a request holds a slot, by route; the
 *	last entry is for requests that match no route
 * @backlog_grant_us: when a slot was last granted while other requests waited,
 *	0 if none has waited since
 * @backlog_gap_us: moving average of the time between such grants
 * @backlog_grants: number of such grants since requests began to wait
 * @grants: number of grants; at regular intervals of this count, the class of
 *	the lowest priority is served first
 * @round_robin_next: next backend server with PICKING_ROUND_ROBIN
 * @overload: requests have recently been refused for lack of slots
 * @overload_ends_us: end of the overload if no further request is refused
 * @overload_refused: requests refused since the overload began
 * @slots_short_until_us: requests have recently been refused because no slot
 *	would be free in time; other causes of an overload do not count
 * @load_mean_permille: moving average of the load that its backend servers
 *	report, as in struct backend_load
 * @shed: arrivals that its backend servers shed
 * @digest_due_us: when the next digest is sent
 * @digests_sent: number of rounds of digests sent
 * @eject_inputs_hash: hash of the home set and document version from which the
 *	ejection budget of each home was computed
 * @eject_after_us: no ejection begins before this time, as other homes may
 *	still use an older home set or document
 * @crossing: requests that go to other failure domains
 * @start_notices: notices of named starts, a circular buffer
 * @start_notice_next: index of the oldest entry of @start_notices
 * @start_records: owned map of starts to owned struct start_record, NULL until
 *	the first one
 * @start_notes: number of notes made in @start_records
 * @listed_peak: most backend servers that a document in force has listed
 * @left_backends: number of backend servers that have left
 * @counters: counters for metrics
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
	uint64_t slots_short_until_us;
	uint32_t load_mean_permille;
	struct shed_window shed;
	uint64_t digest_due_us;
	uint64_t digests_sent;
	uint64_t eject_inputs_hash;
	uint64_t eject_after_us;
	struct crossing crossing;
	struct start_notice start_notices[START_NOTICES_MAX];
	uint32_t start_notice_next;
	GHashTable *start_records;
	uint64_t start_notes;
	uint32_t listed_peak;
	uint32_t left_backends;
	struct service_counters counters;
};

/**
 * struct state - routing state of one instance
 * @settings: validated settings, not owned
 * @policy: scheduling policy in force
 * @rand: random number generator, seeded from the settings
 * @services: service name to struct service, both owned
 * @by_host: value of the Host field, owned, to struct service, not owned
 * @routes: routing table in force, NULL while none is known; the state owns a
 *	reference
 * @documents_awaited_until_us: until then, this instance is not ready while it
 *	lacks the document of a service that the first routing table named
 * @tickets: table of TICKETS_MAX tickets
 * @free_tickets: array of uint32_t, indices of the free tickets
 * @ticket_by_request: struct request pointer to ticket index
 * @membership: this instance and the other instances
 * @audit: circular buffer of AUDIT_KEPT_RECORDS audit records
 * @audit_next: sequence number of the next record; the first is 1
 * @long_requests_max: limit of long requests in progress
 * @long_requests: long requests in progress
 * @admitted_requests: requests in progress
 * @refused_early: requests refused before their class was known, by cause
 * @platform_reachable: the last call to the platform succeeded
 * @last_received_us: when the platform last answered or a peer last sent a
 *	message
 * @stepped_back: nothing has been received from the platform or a peer for some
 *	time, so that this instance does not name itself in answers to entries
 * @leaving: a planned stop is in progress
 * @leave_hurried: the planned stop does not wait for answers to entries to
 *	expire
 * @leave_accept_until_us: the planned stop accepts requests at least until this
 *	time, at which answers to entries that name this instance have expired;
 *	each request prolongs it
 * @stop: deadlines of the planned stop
 * @left: EVENT_LEFT has been sent
 * @reader_role: whether this instance reads the configuration from the platform
 * @quotas: quotas of the customers
 * @era_begun_version: lowest version of a service document seen in the newest
 *	era of the platform's store, 0 before the first one
 * @left_starts_due_us: when peers are told next of listed starts that have left
 * @homes_dirty: the home sets must be recomputed
 * @probes_dirty: the probe plan must be recomputed
 */
struct state {
	const struct settings *settings;
	struct policy policy;
	GRand *rand;
	GHashTable *services;
	GHashTable *by_host;
	struct routing_table *routes;
	uint64_t documents_awaited_until_us;
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
	struct stop_times stop;
	bool left;
	enum reader_role reader_role;
	struct quotas quotas;
	uint64_t era_begun_version;
	uint64_t left_starts_due_us;
	bool homes_dirty;
	bool probes_dirty;
};

/**
 * state_new() - create an empty routing state
 * @settings: validated settings, must outlive the state
 *
 * Return: a state to be freed with state_free().
 */
struct state *state_new(const struct settings *settings);

/**
 * state_free() - free a state and all it owns
 * @state: state to free, or NULL
 */
void state_free(struct state *state);

/**
 * service_new() - create a service without homes
 * @doc: document in force; the service takes a reference
 *
 * Return: a service to be freed with service_free().
 */
struct service *service_new(struct service_doc *doc);

/**
 * service_free() - free a service and all it owns
 * @data: struct service to free, or NULL
 */
void service_free(gpointer data);

/**
 * service_lookup() - find a service by name
 * @state: state to search
 * @name: name of the service
 *
 * Return: the service or NULL.
 */
struct service *service_lookup(const struct state *state,
			       const struct name *name);

/**
 * service_backend() - find a backend server of a service
 * @service: service to search
 * @addr: address of the backend server
 *
 * Return: the backend server or NULL.
 */
struct backend *service_backend(struct service *service, struct net_addr addr);

/**
 * state_audit() - record a state change and have it logged
 * @state: state to add the record to
 * @record: record; sequence number and time are filled in
 * @now: current time
 * @out: gets EVENT_AUDIT
 */
void state_audit(struct state *state, struct audit_record *record,
		 struct instant now, struct event_list *out);

#endif
