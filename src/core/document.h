#ifndef CORE_DOCUMENT_H
#define CORE_DOCUMENT_H

/**
 * DOC: service document and instance settings
 *
 * A service document is immutable once parsed and is shared between threads
 * by reference count. A document cannot name a point in time, so its limits
 * are spans ("_ms"); they become deadlines when a request comes in.
 */

#include <glib.h>

#include "core/ids.h"

#define DOC_BACKENDS_MAX 4096
#define DOC_ROUTES_MAX 256
#define DOC_CLASSES_MAX 8
#define DOC_HOSTS_MAX 16
#define DOC_BYTES_MAX UINT32_C(4194304)
#define DOC_SLOTS_MAX 1024
#define SEEDS_MAX 8

/**
 * enum request_method - request methods that are passed on
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
 * struct backend_doc - one backend server as its service team states it
 * @addr: where it listens
 * @domain: its failure domain
 * @capacity_slots: requests it works on at once
 * @connections_max: connections it takes from the whole fleet
 * @draining: it shall get no new work
 * @warming: it has just started and is slow for now
 * @start: which start of it, so that a request never reaches another one at the
 *	same address
 */
struct backend_doc {
	struct net_addr addr;
	struct name domain;
	uint32_t capacity_slots;
	uint32_t connections_max;
	bool draining;
	bool warming;
	struct start_id start;
};

/**
 * struct route_doc - how requests of one kind are treated
 * @path_prefix: longest matching prefix wins
 * @method_mask: bit (1 << enum request_method) for each method it covers
 * @class_index: index into the document's classes
 * @budget_ms: time a request has when its caller names no deadline
 * @idempotent: may run more than once
 * @long_work: runs many times longer than the rest
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
 * @name: unique in the document
 * @priority: 0 goes first
 * @queue_max_requests: requests that may wait at one instance
 */
struct class_doc {
	struct name name;
	uint32_t priority;
	uint32_t queue_max_requests;
};

/**
 * enum floor_kind - how a team states its healthy floor
 */
enum floor_kind { FLOOR_SLOTS, FLOOR_PERCENT };

/**
 * struct floor_doc - healthy capacity that ejections must leave
 * @kind: which member of the union holds
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
 * struct marker_doc - answer header by which a backend server says something
 * @header: header name, empty when the service has none
 * @value: expected value, compared without case
 * @any_status: counts with every status from 400 on, not with 503 alone; for
 *	the shed marker
 */
struct marker_doc {
	char header[NAME_BYTES_MAX];
	char value[NAME_BYTES_MAX];
	bool any_status;
};

/**
 * struct service_doc - one accepted service document
 * @refs: reference count, atomic
 * @service: its key
 * @version: version the platform gave it
 * @hash: hash of @text
 * @text: body as published, for peers
 * @text_bytes: length of @text
 * @hosts: Host names that select the service
 * @host_count: used entries of @hosts
 * @path_prefix: path that selects the service, empty for none
 * @routed: the routing table selects the service, so neither of the two need to
 * @home_group: services of one group have the same home set; empty for a group
 *	of its own
 * @backends: backend servers
 * @backend_count: entries of @backends
 * @routes: routes
 * @route_count: entries of @routes
 * @classes: classes; there is at least one
 * @class_count: used entries of @classes
 * @floor: healthy floor
 * @shed: says "not run, I am full"; with a 503 status
 * @drain: says "no new work"
 * @probe_path: health path, empty for none
 * @load_path: load report path, empty for none
 * @default_budget_ms: for requests that no route covers
 */
struct service_doc {
	gint refs;
	struct name service;
	uint64_t version;
	uint64_t hash;
	char *text;
	uint32_t text_bytes;
	struct name hosts[DOC_HOSTS_MAX];
	uint32_t host_count;
	char path_prefix[PATH_BYTES_MAX];
	bool routed;
	struct name home_group;
	struct backend_doc *backends;
	uint32_t backend_count;
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
 * enum log_format - how log lines look
 */
enum log_format { LOG_TEXT, LOG_JSON };

/**
 * enum log_requests - which decisions on requests are logged
 * @LOG_REQUESTS_NONE: none
 * @LOG_REQUESTS_FAILED: those that somebody may ask for later
 * @LOG_REQUESTS_ALL: all
 */
enum log_requests {
	LOG_REQUESTS_NONE,
	LOG_REQUESTS_FAILED,
	LOG_REQUESTS_ALL,
};

/**
 * enum policy_choice - ways of deciding that are measured side by side
 * @POLICY_LEASED: shares of slots, unused ones are lent
 * @POLICY_DOMAIN: slots go to homes of the backend server's own failure domain,
 *	and a small part to everybody else
 * @POLICY_FIXED: shares of slots
 * @POLICY_OPEN: every home sees all slots, the backend servers shed
 * @POLICY_BASELINE: as open, round robin, one queue, no ejection
 */
enum policy_choice {
	POLICY_LEASED,
	POLICY_DOMAIN,
	POLICY_FIXED,
	POLICY_OPEN,
	POLICY_BASELINE,
};

/**
 * enum platform_kind - what the configuration is read from
 * @PLATFORM_DOCUMENTS: a service with an index of documents
 * @PLATFORM_STORE: a key-value store, translated by platform/
 */
enum platform_kind { PLATFORM_DOCUMENTS, PLATFORM_STORE };

/**
 * struct header_names - header fields whose names the users choose; empty for
 *	none
 * @request_id: a request's id, passed on both ways; an answer with another id
 *	belongs to another request
 * @time_left_ms: what is left of a request's time, from callers and to backend
 *	servers, in place of this system's own deadline field
 * @instance: names the start of the backend server that is meant; any other
 *	one answers 421 and has not run the request
 * @signature: each successful answer of a backend server has it
 */
struct header_names {
	char request_id[NAME_BYTES_MAX];
	char time_left_ms[NAME_BYTES_MAX];
	char instance[NAME_BYTES_MAX];
	char signature[NAME_BYTES_MAX];
};

/**
 * struct settings - one instance's settings file
 * @caller_listen: where callers connect
 * @peer_listen: where peers connect, UDP and TCP
 * @peer_bind: where the peers' sockets are opened, @peer_listen unless the
 *	peers' address is mapped onto another one on its way here
 * @operator_listen: where operators connect, loopback unless set
 * @domain: own failure domain
 * @platform: the platform's configuration service
 * @platform_kind: enum platform_kind
 * @platform_poll_ms: how long a reader lets the platform wait for news
 * @platform_answer_ms: longest time to an answer, beside that
 * @directory_listen: where callers that know the platform alone ask for
 *	entries, port 0 for none
 * @ready_listen: where the platform asks whether this instance is ready, port 0
 *	for none
 * @seeds: peers to begin with when no list of instances is published; they may
 *	be down or gone
 * @seed_count: used entries of @seeds
 * @headers: header fields with names of the users' choice
 * @not_run_is_503: every refusal of proper requests that did not run has status
 *	503 and says when to come back, to the millisecond
 * @answer_margin_ms: answers go out this long before their caller gives up
 * @close_ends_answer: an answer without a length ends with its connection
 * @retry_min_ms: refused callers come back after this at the earliest
 * @retry_max_ms: and after this at the latest
 * @retry_earned_permille: part of a retry that each request earns its service
 * @retry_allowance_permille: thousandths of retries beyond those earned, for each
 *	service in each window, over the whole fleet
 * @retry_window_ms: that window
 * @cpu_share_permille: part of the time of its core that this instance has
 * @cpu_speed_permille: how fast that core is, against others of the fleet
 * @idle_max_ms: how long a caller's connection may be idle
 * @requests_max: callers' requests in progress at once
 * @connections_max: callers' connections at once
 * @body_max_bytes: largest request body
 * @head_max_bytes: largest request head
 * @hold_max_bytes: answers up to this are held whole before they go out
 * @entries_ttl_ms: how long callers may keep an answer to entries
 * @drain_max_ms: longest planned stop
 * @log_format: text or JSON
 * @log_requests: enum log_requests
 * @log_level: GLib log level mask that is shown
 * @random_seed: seed of the decisions' random numbers; 0 takes one and logs it
 * @policy: enum policy_choice, for measurements
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
	uint32_t cpu_share_permille;
	uint32_t cpu_speed_permille;
	uint32_t idle_max_ms;
	uint32_t requests_max;
	uint32_t connections_max;
	uint32_t body_max_bytes;
	uint32_t head_max_bytes;
	uint32_t hold_max_bytes;
	uint32_t entries_ttl_ms;
	uint32_t drain_max_ms;
	enum log_format log_format;
	uint32_t log_requests;
	uint32_t log_level;
	uint32_t random_seed;
	uint32_t policy;
};

/**
 * settings_instance_list_published() - whether the platform publishes who is there
 * @settings: the settings
 *
 * Return: false where instances find each other.
 */
bool settings_instance_list_published(const struct settings *settings);

/**
 * enum instance_status - what the platform's list says of an instance
 */
enum instance_status { INSTANCE_LIVE, INSTANCE_LEAVING };

/**
 * struct instance_self_report - what an instance says of itself
 * @cpu_permille: processor time it has, in thousandths of a core; 0 when it has
 *	not told
 * @aside: it cannot reach most backend servers
 * @platform_lost: it cannot read the platform
 */
struct instance_self_report {
	uint32_t cpu_permille;
	bool aside;
	bool platform_lost;
};

/**
 * struct instance_doc - one entry of the platform's list
 * @caller: where callers connect
 * @peer: where peers connect; names the instance
 * @domain: its failure domain
 * @status: live or leaving
 * @self_report: what it says of itself
 */
struct instance_doc {
	struct net_addr caller;
	struct net_addr peer;
	struct name domain;
	enum instance_status status;
	struct instance_self_report self_report;
};

/**
 * instance_cpu_permille() - processor time to reckon with
 * @instance: the instance
 *
 * Return: thousandths of a core; a whole one when it has not told.
 */
uint32_t instance_cpu_permille(const struct instance_doc *instance);

/**
 * instance_self_report_equal() - compare
 * @a: one
 * @b: the other
 *
 * Return: whether both say the same.
 */
bool instance_self_report_equal(const struct instance_self_report *a,
				const struct instance_self_report *b);

/**
 * service_doc_ref() - take a reference
 * @doc: the document
 *
 * Return: @doc.
 */
struct service_doc *service_doc_ref(struct service_doc *doc);

/**
 * service_doc_unref() - give a reference back; the last one frees
 * @doc: the document, or NULL
 */
void service_doc_unref(struct service_doc *doc);

/**
 * service_doc_slots() - all slots that the document states
 * @doc: the document
 *
 * Return: the sum, in slots.
 */
uint32_t service_doc_slots(const struct service_doc *doc);

/**
 * service_doc_floor_slots() - the floor in slots
 * @doc: the document
 *
 * Return: slots that must stay in service.
 */
uint32_t service_doc_floor_slots(const struct service_doc *doc);

#endif
