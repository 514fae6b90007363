#ifndef CORE_DOCUMENT_H
#define CORE_DOCUMENT_H

/**
 * DOC: service document and instance settings
 *
 * A service document is immutable once parsed and is shared between threads
 * by reference count. Its time limits are durations ("_ms"), as it cannot know
 * when requests arrive; they become deadlines when a request arrives.
 */

#include <glib.h>

#include "core/ids.h"

/* Documents in force at the same time, the routing table included. */
#define DOCUMENTS_MAX 4096
#define DOC_BACKENDS_MAX 8192
#define DOC_ROUTES_MAX 256
#define DOC_CLASSES_MAX 8
#define DOC_HOSTS_MAX 16
#define DOC_BYTES_MAX UINT32_C(4194304)
/*
 * Longest text of a routing table: CUSTOMERS_MAX customers with
 * CUSTOMER_KEYS_MAX keys and 7,000 routes take 31 MB.
 */
#define ROUTING_BYTES_MAX UINT32_C(33554432)
#define DOC_SLOTS_MAX 1024
#define DOC_CONNECTIONS_MAX 100000
/* End of the year 9999. */
#define DOC_STARTED_MAX_UNIX_MS UINT64_C(253402300799999)
#define SEEDS_MAX 8

/**
 * enum request_method - request methods that are forwarded
 */
enum request_method {
	METHOD_GET,
	METHOD_HEAD,
	METHOD_OPTIONS,
	METHOD_POST,
	METHOD_PUT,
	METHOD_PATCH,
	METHOD_DELETE,
	METHOD_COUNT,
};

/**
 * struct backend_doc - one backend server in a service document
 * @addr: address at which it listens
 * @domain: its failure domain
 * @capacity_slots: requests that it can process at the same time
 * @connections_max: connections that it accepts from the whole fleet
 * @draining: no new requests may be sent to it
 * @warming: it has just started and is still slow
 * @written_version: version of the platform's state at which its entry was last
 *	written (core/document_version.h); 0 if the document does not give it
 * @start: identifies one start of the server, so that a request does not reach
 *	a different one at the same address
 */
struct backend_doc {
	struct net_addr addr;
	struct name domain;
	uint32_t capacity_slots;
	uint32_t connections_max;
	bool draining;
	bool warming;
	uint64_t written_version;
	struct start_id start;
};

/**
 * struct route_doc - one route of a service document
 * @path_prefix: prefix of the paths it matches; the longest matching prefix
 *	wins
 * @method_mask: bit (1 << enum request_method) for each method it matches
 * @class_index: index into the classes of the document
 * @budget_ms: time limit of a request whose caller gives no deadline
 * @idempotent: requests may be executed more than once
 * @long_work: requests take many times longer than those of other routes
 */
struct route_doc {
	char path_prefix[PATH_BYTES_MAX];
	uint32_t method_mask;
	uint32_t class_index;
	uint32_t budget_ms;
	bool idempotent;
	bool long_work;
};

/**
 * struct class_doc - a priority class
 * @name: name, unique in the document
 * @priority: 0 is served first
 * @queue_max_requests: requests of the class that may wait on one instance
 */
struct class_doc {
	struct name name;
	uint32_t priority;
	uint32_t queue_max_requests;
};

/**
 * enum floor_kind - unit of the healthy floor
 */
enum floor_kind { FLOOR_SLOTS, FLOOR_PERCENT };

/**
 * struct floor_doc - healthy floor: capacity that ejections must leave in
 *	service
 * @kind: which member of the union is valid
 * @slots: with FLOOR_SLOTS
 * @percent: with FLOOR_PERCENT, of all slots in the document, rounded up
 */
struct floor_doc {
	enum floor_kind kind;
	union {
		uint32_t slots;
		uint32_t percent;
	};
};

/**
 * struct marker_doc - answer header by which a backend server signals a state
 * @header: header name, empty if the service has no such marker
 * @value: expected value, compared case-insensitively
 * @any_status: for the shed marker: valid with every status from 400 on, not
 *	only with 503
 */
struct marker_doc {
	char header[NAME_BYTES_MAX];
	char value[NAME_BYTES_MAX];
	bool any_status;
};

/**
 * struct service_doc - one accepted service document
 * @refs: reference count, atomic
 * @service: name of the service, key of the document
 * @version: version assigned by the platform
 * @hash: hash of @text
 * @text: document as published, owned; sent to peers
 * @text_bytes: length of @text
 * @store_era: era of the platform's store that the document describes, 0 for
 *	none
 * @hosts: Host names that select the service
 * @host_count: used entries of @hosts
 * @path_prefix: path prefix that selects the service, empty for none
 * @routed: the routing table selects the service; @hosts and @path_prefix may
 *	both be empty
 * @home_group: services of the same group have the same home set; empty for a
 *	group of its own
 * @backends: backend servers, owned
 * @backend_count: number of entries of @backends
 * @left_out_backends: backend servers of the service that are not listed, for
 *	lack of room
 * @routes: routes, owned
 * @route_count: number of entries of @routes
 * @classes: priority classes, at least one
 * @class_count: used entries of @classes
 * @floor: healthy floor
 * @shed: marker of a request that was refused for overload and not executed;
 *	valid with status 503
 * @drain: marker of a backend server that drains and accepts no new requests
 * @probe_path: path of the health check, empty for none
 * @load_path: path of the load report, empty for none
 * @default_budget_ms: time limit of requests that match no route
 */
struct service_doc {
	gint refs;
	struct name service;
	uint64_t version;
	uint64_t hash;
	char *text;
	uint32_t text_bytes;
	uint64_t store_era;
	struct name hosts[DOC_HOSTS_MAX];
	uint32_t host_count;
	char path_prefix[PATH_BYTES_MAX];
	bool routed;
	struct name home_group;
	struct backend_doc *backends;
	uint32_t backend_count;
	uint32_t left_out_backends;
	struct route_doc *routes;
	uint32_t route_count;
	struct class_doc classes[DOC_CLASSES_MAX];
	uint32_t class_count;
	struct floor_doc floor;
	struct marker_doc shed;
	struct marker_doc drain;
	char probe_path[PATH_BYTES_MAX];
	char load_path[PATH_BYTES_MAX];
	uint32_t default_budget_ms;
};

/**
 * enum log_format - format of log lines
 */
enum log_format { LOG_TEXT, LOG_JSON };

/**
 * enum log_requests - which trace records of requests are logged
 * @LOG_REQUESTS_NONE: none
 * @LOG_REQUESTS_FAILED: all but those for which trace_is_routine() is true
 * @LOG_REQUESTS_ALL: all
 */
enum log_requests {
	LOG_REQUESTS_NONE,
	LOG_REQUESTS_FAILED,
	LOG_REQUESTS_ALL,
};

/**
 * enum policy_choice - scheduling policies that benchmarks compare
 * @POLICY_LEASED: homes have shares of the slots and lend unused ones
 * @POLICY_DOMAIN: slots go to the homes in the failure domain of the backend
 *	server, and a small part to all other instances
 * @POLICY_FIXED: homes have shares of the slots and lend none
 * @POLICY_OPEN: every home may use all slots; the backend servers shed load
 * @POLICY_BASELINE: like @POLICY_OPEN, with round robin, a single queue and no
 *	ejection
 */
enum policy_choice {
	POLICY_LEASED,
	POLICY_DOMAIN,
	POLICY_FIXED,
	POLICY_OPEN,
	POLICY_BASELINE,
};

/**
 * enum platform_kind - source of the configuration
 * @PLATFORM_DOCUMENTS: HTTP service with an index of documents
 * @PLATFORM_STORE: key-value store, translated to documents by platform/
 */
enum platform_kind { PLATFORM_DOCUMENTS, PLATFORM_STORE };

/**
 * struct header_names - names of configurable header fields, empty if not used
 * @request_id: request id, forwarded in both directions; an answer with a
 *	different id belongs to another request
 * @time_left_ms: time left for a request, received from callers and sent to
 *	backend servers, in place of the system's own deadline field
 * @instance: start of the backend server that the request is for; any other
 *	start answers 421 without executing the request
 * @signature: field that every successful answer of a backend server has
 * @customer: name of the customer, sent to backend servers; never taken from
 *	callers
 * @load: load of a backend server in its answers, "running,waiting,slots"; not
 *	forwarded
 */
struct header_names {
	char request_id[NAME_BYTES_MAX];
	char time_left_ms[NAME_BYTES_MAX];
	char instance[NAME_BYTES_MAX];
	char signature[NAME_BYTES_MAX];
	char customer[NAME_BYTES_MAX];
	char load[NAME_BYTES_MAX];
};

/**
 * struct settings - settings file of one instance
 * @caller_listen: address at which callers connect
 * @peer_listen: address at which peers connect, UDP and TCP
 * @peer_bind: address to which the peer sockets are bound; differs from
 *	@peer_listen only behind address translation
 * @operator_listen: address at which operators connect, loopback unless set
 * @domain: failure domain of this instance
 * @platform: address of the platform's configuration service
 * @platform_kind: enum platform_kind
 * @platform_poll_ms: time for which the platform may delay its answer to a long
 *	poll until a version changes
 * @platform_answer_ms: time limit of a call to the platform, in addition to
 *	@platform_poll_ms
 * @platform_value_bytes: longest value of an entry, with a key-value store
 * @directory_listen: address at which callers that know only the platform ask
 *	for entries, port 0 for none
 * @ready_listen: address at which the platform checks whether this instance is
 *	ready, port 0 for none
 * @seeds: peers to contact first if no list of instances is published; some may
 *	be down or no longer exist
 * @seed_count: used entries of @seeds
 * @headers: configurable header field names
 * @not_run_is_503: every well-formed request that is refused without being
 *	executed gets status 503 and Retry-After with millisecond precision
 * @answer_margin_ms: a request's deadline is this much earlier than the one its
 *	caller gave
 * @close_ends_answer: an answer without a length ends when its connection
 *	closes
 * @retry_min_ms: earliest time after which refused callers are told to retry
 * @retry_max_ms: latest time after which refused callers are told to retry
 * @retry_earned_permille: thousandths of a retry that each request adds to the
 *	retry budget of its service
 * @retry_allowance_permille: retries beyond the earned ones, in thousandths,
 *	for each service in each window over the whole fleet
 * @retry_window_ms: length of the window of @retry_allowance_permille
 * @healthy_floor_permille: part of a service's slots that ejections leave in
 *	service, with a platform whose documents are generated here
 * @cross_domain_cost_ms: time that a request may lose before sending it to
 *	another failure domain is worth the cost of the traffic; 0 if such
 *	traffic has no cost
 * @reduce_cross_domain_traffic: exchange less with instances in other failure
 *	domains
 * @quota_window_ms: window of the bound on what a customer's requests may
 *	exceed its quota, 0 if quotas are not enforced
 * @quota_overshoot_permille: part by which they may exceed it within a window
 * @quota_slack_requests: requests by which they may exceed it beyond that
 * @cpu_share_permille: share of one core's time that this instance gets
 * @cpu_speed_permille: speed of that core relative to other cores of the fleet
 * @idle_max_ms: time after which an idle caller connection is closed
 * @requests_max: limit of requests in progress at the same time
 * @connections_max: limit of caller connections open at the same time
 * @backend_keep_max: idle connections kept open to each backend server; 0 opens
 *	one for each exchange
 * @body_max_bytes: size limit of a request body
 * @head_max_bytes: size limit of a request head
 * @hold_max_bytes: answers up to this size are received completely before they
 *	are sent to the caller
 * @entries_ttl_ms: how long callers may cache an answer to entries
 * @stop_grace_ms: time after a SIGTERM at which the process is killed, if it has
 *	not ended
 * @log_format: text or JSON
 * @log_requests: enum log_requests
 * @log_level: mask of the GLib log levels that are logged
 * @random_seed: seed of the random numbers used in commands; 0 generates one
 *	and logs it
 * @policy: enum policy_choice, for benchmarks
 */
struct settings {
	struct net_addr caller_listen;
	struct net_addr peer_listen;
	struct net_addr peer_bind;
	struct net_addr operator_listen;
	struct name domain;
	struct net_addr platform;
	uint32_t platform_kind;
	uint32_t platform_poll_ms;
	uint32_t platform_answer_ms;
	uint32_t platform_value_bytes;
	struct net_addr directory_listen;
	struct net_addr ready_listen;
	struct net_addr seeds[SEEDS_MAX];
	uint32_t seed_count;
	struct header_names headers;
	bool not_run_is_503;
	uint32_t answer_margin_ms;
	bool close_ends_answer;
	uint32_t retry_min_ms;
	uint32_t retry_max_ms;
	uint32_t retry_earned_permille;
	uint32_t retry_allowance_permille;
	uint32_t retry_window_ms;
	uint32_t healthy_floor_permille;
	uint32_t cross_domain_cost_ms;
	bool reduce_cross_domain_traffic;
	uint32_t quota_window_ms;
	uint32_t quota_overshoot_permille;
	uint32_t quota_slack_requests;
	uint32_t cpu_share_permille;
	uint32_t cpu_speed_permille;
	uint32_t idle_max_ms;
	uint32_t requests_max;
	uint32_t connections_max;
	uint32_t backend_keep_max;
	uint32_t body_max_bytes;
	uint32_t head_max_bytes;
	uint32_t hold_max_bytes;
	uint32_t entries_ttl_ms;
	uint32_t stop_grace_ms;
	enum log_format log_format;
	uint32_t log_requests;
	uint32_t log_level;
	uint32_t random_seed;
	uint32_t policy;
};

/**
 * settings_instance_list_published() - whether the platform lists the instances
 * @settings: settings of this instance
 *
 * Return: false if instances discover each other through seeds or the platform
 * is a key-value store.
 */
bool settings_instance_list_published(const struct settings *settings);

/**
 * enum instance_status - status of an instance in the platform's list
 */
enum instance_status { INSTANCE_LIVE, INSTANCE_LEAVING };

/**
 * enum platform_contact - what an instance reports of the platform
 * @PLATFORM_CONTACT_NONE: it does not read the platform, or has had no result
 * @PLATFORM_CONTACT_READING: it reads the platform, which answers
 * @PLATFORM_CONTACT_LOST: it reads the platform, which does not answer it
 * @PLATFORM_CONTACT_BACKOFF: the platform did not answer it, and it leaves the
 *	next tries to others
 */
enum platform_contact {
	PLATFORM_CONTACT_NONE,
	PLATFORM_CONTACT_READING,
	PLATFORM_CONTACT_LOST,
	PLATFORM_CONTACT_BACKOFF,
};

/**
 * struct instance_self_report - state that an instance reports about itself
 * @cpu_permille: CPU time that it may use, in thousandths of a core; 0 if it
 *	has not been reported
 * @aside: it cannot reach most backend servers
 * @platform: whether it reads the platform and gets answers
 */
struct instance_self_report {
	uint32_t cpu_permille;
	bool aside;
	enum platform_contact platform;
};

/**
 * struct instance_doc - one entry of the list of instances
 * @caller: address at which callers connect
 * @peer: address at which peers connect; identifies the instance
 * @domain: its failure domain
 * @status: live or leaving
 * @self_report: state that it reports about itself
 */
struct instance_doc {
	struct net_addr caller;
	struct net_addr peer;
	struct name domain;
	enum instance_status status;
	struct instance_self_report self_report;
};

/**
 * instance_cpu_permille() - CPU time that an instance is assumed to have
 * @instance: instance
 *
 * Return: thousandths of a core; 1000 if the instance has not reported any.
 */
uint32_t instance_cpu_permille(const struct instance_doc *instance);

/**
 * instance_self_report_equal() - compare two self-reports
 * @a: first self-report
 * @b: second self-report
 *
 * Return: true if all fields are equal.
 */
bool instance_self_report_equal(const struct instance_self_report *a,
				const struct instance_self_report *b);

/**
 * service_doc_ref() - take a reference
 * @doc: service document
 *
 * Return: @doc.
 */
struct service_doc *service_doc_ref(struct service_doc *doc);

/**
 * service_doc_unref() - drop a reference; the last one frees the document
 * @doc: service document, or NULL
 */
void service_doc_unref(struct service_doc *doc);

/**
 * service_doc_slots() - capacity of a service
 * @doc: service document
 *
 * Return: sum of the slots of all backend servers.
 */
uint32_t service_doc_slots(const struct service_doc *doc);

/**
 * service_doc_floor_slots() - healthy floor of a service
 * @doc: service document
 *
 * Return: slots that must stay in service.
 */
uint32_t service_doc_floor_slots(const struct service_doc *doc);

#endif
