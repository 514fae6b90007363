#ifndef CORE_REPORT_H
#define CORE_REPORT_H

/**
 * DOC: reports
 *
 * Copies of the routing state for operators. Queries create them and src/codec
 * formats them, so that formatting does not access the routing state.
 */

#include "core/audit.h"
#include "core/health.h"
#include "core/metrics.h"
#include "core/peer.h"

/**
 * struct backend_report - status of one backend server
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
 * struct service_report - status of one service; arrays are owned
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
 * struct member_report - status of one other instance
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
 * struct status_report - content of the status output; arrays are owned
 */
struct status_report {
	struct net_addr self;
	struct name domain;
	bool ready;
	bool leaving;
	bool platform_reachable;
	bool config_reader;
	struct service_report *services;
	uint32_t service_count;
	struct member_report *members;
	uint32_t member_count;
};

/**
 * struct service_metrics - counters and class names of one service
 */
struct service_metrics {
	struct name service;
	uint64_t version;
	struct name classes[DOC_CLASSES_MAX];
	uint32_t class_count;
	struct service_counters counters;
	uint32_t waiting_requests;
	uint32_t running_requests;
	uint32_t draining_backends;
	uint32_t paused_backends;
};

/**
 * struct metrics_report - content of the metrics path; arrays are owned
 */
struct metrics_report {
	struct service_metrics *services;
	uint32_t service_count;
	uint64_t refused_early[REFUSAL_COUNT];
	uint64_t dispatch_ring_refused;
	struct histogram dispatch_wait_us;
	uint32_t members_alive;
	uint32_t members_suspect;
	uint32_t members_dead;
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
