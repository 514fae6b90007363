#ifndef CORE_REPORT_H
#define CORE_REPORT_H

/**
 * DOC: reports
 *
 * Copies of the routing state for operators. Queries create them and src/codec
 * formats them, so that formatting does not access the routing state.
 */

#include "core/audit.h"
#include "core/crossing.h"
#include "core/health.h"
#include "core/metrics.h"
#include "core/peer.h"
#include "core/quota.h"

/**
 * struct backend_report - status of one backend server; the fields that are not
 *	described here are those of struct backend and struct health
 * @state_cause: cause in the latest audit record on a change of its state,
 *	CAUSE_NONE if no such record is kept
 * @ok_requests: complete answers in this home's evidence window
 * @failed_requests: failed requests in the same window
 * @slow_requests: slow requests in the same window
 * @draining: result of backend_draining()
 * @paused: result of backend_paused()
 */
struct backend_report {
	struct net_addr addr;
	struct name domain;
	enum health_state state;
	enum audit_cause state_cause;
	uint32_t capacity_slots;
	uint32_t own_slots;
	uint32_t in_use_slots;
	uint32_t lent_slots;
	uint32_t ok_requests;
	uint32_t failed_requests;
	uint32_t slow_requests;
	bool draining;
	bool paused;
	bool cold;
};

/**
 * struct service_report - status of one service; the fields that are not
 *	described here are those of struct service and its document
 * @home: this instance is a home of the service
 * @borrowed_slots: slots borrowed from other homes
 * @lent_slots: slots lent to other homes
 * @floor_slots: healthy floor
 * @in_service_slots: slots of the backend servers in service, of the whole
 *	fleet
 * @homes: peer addresses of the homes
 * @backends: status of the backend servers, owned
 */
struct service_report {
	struct name service;
	uint64_t version;
	uint64_t hash;
	bool home;
	bool overload;
	uint32_t waiting_requests;
	uint32_t running_requests;
	uint32_t borrowed_slots;
	uint32_t lent_slots;
	uint32_t floor_slots;
	uint32_t in_service_slots;
	struct net_addr homes[HOMES_MAX];
	uint32_t home_count;
	struct backend_report *backends;
	uint32_t backend_count;
};

/**
 * struct member_report - status of one other instance; its fields are those of
 *	struct member and of its entry in the list
 */
struct member_report {
	struct net_addr peer;
	struct net_addr caller;
	struct name domain;
	enum member_status status;
	uint32_t incarnation;
	bool in_list;
};

/**
 * struct quota_report - quota of one customer in use at this instance
 * @customer: name of the customer
 * @owner: peer address of its owner, port 0 for none
 * @granting: this instance grants its tokens as the owner
 * @level_tokens: with @granting, tokens in the bucket at its last use
 * @waiting_requests: requests that wait for a token
 */
struct quota_report {
	struct name customer;
	struct net_addr owner;
	bool granting;
	uint32_t level_tokens;
	uint32_t waiting_requests;
};

/**
 * struct status_report - content of the status output; arrays are owned
 * @self: peer address of this instance
 * @domain: failure domain of this instance
 * @ready: this instance accepts requests
 * @leaving: a planned stop is in progress
 * @platform_reachable: the last call to the platform succeeded
 * @config_reader: this instance reads the configuration from the platform
 * @customers: number of customers in force
 * @customer_keys: number of their keys in force
 * @services: status of the services, by name, owned
 * @service_count: number of entries of @services
 * @members: status of the other instances, owned
 * @member_count: number of entries of @members
 * @quotas: customers with a rate limit in use at this instance, owned
 * @quota_count: number of entries of @quotas
 */
struct status_report {
	struct net_addr self;
	struct name domain;
	bool ready;
	bool leaving;
	bool platform_reachable;
	bool config_reader;
	uint32_t customers;
	uint32_t customer_keys;
	struct service_report *services;
	uint32_t service_count;
	struct member_report *members;
	uint32_t member_count;
	struct quota_report *quotas;
	uint32_t quota_count;
};

/**
 * struct service_metrics - counters and class names of one service
 * @crossing: requests sent to other failure domains; only the domains are used
 * @trial_backends: backend servers on trial, see enum caution_level
 * @avoided_backends: backend servers that are avoided, see enum caution_level
 * @shedding: 1 while shed_window_active(), else 0
 */
struct service_metrics {
	struct name service;
	uint64_t version;
	struct name classes[DOC_CLASSES_MAX];
	uint32_t class_count;
	struct service_counters counters;
	struct crossing crossing;
	uint32_t waiting_requests;
	uint32_t running_requests;
	uint32_t draining_backends;
	uint32_t paused_backends;
	uint32_t trial_backends;
	uint32_t avoided_backends;
	uint32_t left_out_backends;
	uint32_t shedding;
};

/**
 * struct metrics_report - content of the metrics path
 * @services: counters by service, owned
 * @service_count: number of entries of @services
 * @refused_early: requests refused before their class was known, by cause
 * @dispatch_ring_refused: messages refused by the full ring of the dispatch
 *	duty
 * @dispatch_wait_us: time that messages spent in that ring
 * @connections: connections to backend servers
 * @members_alive: other instances held alive
 * @members_suspect: other instances under suspicion
 * @members_dead: other instances held dead
 * @rejecting_routes: routes of the routing table that reject requests
 * @left_out: items of the platform's configuration that have no effect
 * @quotas: counters of the quotas of all customers
 * @audit_records: audit records since the start of the process
 */
struct metrics_report {
	struct service_metrics *services;
	uint32_t service_count;
	uint64_t refused_early[REFUSAL_COUNT];
	uint64_t dispatch_ring_refused;
	struct histogram dispatch_wait_us;
	struct connection_counters connections;
	uint32_t members_alive;
	uint32_t members_suspect;
	uint32_t members_dead;
	uint32_t rejecting_routes;
	uint32_t left_out;
	struct quota_counters quotas;
	uint64_t audit_records;
};

/**
 * status_report_free() - free a status report and what it owns
 * @report: report to free, or NULL
 */
void status_report_free(struct status_report *report);

/**
 * metrics_report_free() - free a metrics report and what it owns
 * @report: report to free, or NULL
 */
void metrics_report_free(struct metrics_report *report);

#endif
