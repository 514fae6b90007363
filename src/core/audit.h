#ifndef CORE_AUDIT_H
#define CORE_AUDIT_H

/**
 * DOC: audit trail
 *
 * One typed record for every change of state. Records are made by commands,
 * kept in a bounded ring in memory and logged by the audit duty.
 */

#include "core/document.h"

#define AUDIT_KEPT_RECORDS 4096

/**
 * enum audit_kind - what changed
 */
enum audit_kind {
	AUDIT_STARTED,
	AUDIT_CONFIG_ACCEPTED,
	AUDIT_CONFIG_REFUSED,
	AUDIT_EJECTED,
	AUDIT_EJECTION_WITHHELD,
	AUDIT_PATH_AVOIDED,
	AUDIT_TRICKLE,
	AUDIT_RAMP,
	AUDIT_READMITTED,
	AUDIT_DRAIN_BEGUN,
	AUDIT_DRAIN_ENDED,
	AUDIT_PAUSE_BEGUN,
	AUDIT_PAUSE_ENDED,
	AUDIT_MEMBER,
	AUDIT_HOME_SET,
	AUDIT_LEASE_REFUSED,
	AUDIT_OVERLOAD_BEGUN,
	AUDIT_OVERLOAD_ENDED,
	AUDIT_STEPPED_BACK,
	AUDIT_STEPPED_IN,
	AUDIT_LEAVING,
	AUDIT_KIND_COUNT,
};

/**
 * enum audit_cause - why it changed
 */
enum audit_cause {
	CAUSE_NONE,
	CAUSE_FAILURES,
	CAUSE_SLOWNESS,
	CAUSE_PEER_EVIDENCE,
	CAUSE_PATH,
	CAUSE_FLOOR,
	CAUSE_BACKOFF_OVER,
	CAUSE_TRICKLE_OK,
	CAUSE_RAMP_OVER,
	CAUSE_RELAPSE,
	CAUSE_COLD_START,
	CAUSE_DOCUMENT,
	CAUSE_DRAIN_ANSWER,
	CAUSE_RETRY_AFTER,
	CAUSE_LOAD_REPORT,
	CAUSE_PLATFORM,
	CAUSE_PEER,
	CAUSE_OLDER_VERSION,
	CAUSE_SAME_VERSION_OTHER_CONTENT,
	CAUSE_MALFORMED,
	CAUSE_LIST,
	CAUSE_PROBE,
	CAUSE_SILENCE,
	CAUSE_QUEUE,
	CAUSE_SIGNAL,
	CAUSE_COUNT,
};

/**
 * struct audit_evidence - figures behind a change of a backend server
 * @ok_requests: whole answers in the window, all fresh homes
 * @failed_requests: failures in the window
 * @slow_requests: slow ones in the window
 * @observers: homes that saw it fail
 * @in_service_slots: capacity in service after the change
 * @floor_slots: the floor it was held against
 * @until_unix_ms: when the next step is due, 0 for none
 */
struct audit_evidence {
	uint32_t ok_requests;
	uint32_t failed_requests;
	uint32_t slow_requests;
	uint32_t observers;
	uint32_t in_service_slots;
	uint32_t floor_slots;
	uint64_t until_unix_ms;
};

/**
 * struct audit_config - figures behind an accepted or refused version
 * @version: the version offered
 * @in_force: the version in force before
 * @hash: hash of the text offered
 */
struct audit_config {
	uint64_t version;
	uint64_t in_force;
	uint64_t hash;
};

/**
 * struct audit_member - figures behind a change of membership
 * @status: enum member_status
 * @incarnation: its incarnation
 * @aside: it says that it cannot reach most backend servers
 */
struct audit_member {
	uint32_t status;
	uint32_t incarnation;
	bool aside;
};

/**
 * struct audit_homes - figures behind a change of a home set
 * @home: this instance is a home
 * @home_count: homes of the service after the change
 */
struct audit_homes {
	bool home;
	uint32_t home_count;
};

/**
 * struct audit_queue - figures behind overload
 * @queue_requests: requests waiting
 * @slots_in_use: slots in use
 * @refused_requests: refused since the overload began
 */
struct audit_queue {
	uint32_t queue_requests;
	uint32_t slots_in_use;
	uint64_t refused_requests;
};

enum audit_detail_kind {
	AUDIT_DETAIL_NONE,
	AUDIT_DETAIL_EVIDENCE,
	AUDIT_DETAIL_CONFIG,
	AUDIT_DETAIL_MEMBER,
	AUDIT_DETAIL_HOMES,
	AUDIT_DETAIL_QUEUE,
};

/**
 * struct audit_record - one change
 * @sequence: rises by one on each instance
 * @unix_ms: when
 * @kind: what
 * @cause: why
 * @service: of which service, may be empty
 * @subject: backend server or instance, port 0 for none
 * @detail_kind: which member of the union holds
 * @evidence: with AUDIT_DETAIL_EVIDENCE
 * @config: with AUDIT_DETAIL_CONFIG
 * @member: with AUDIT_DETAIL_MEMBER
 * @homes: with AUDIT_DETAIL_HOMES
 * @queue: with AUDIT_DETAIL_QUEUE
 */
struct audit_record {
	uint64_t sequence;
	uint64_t unix_ms;
	enum audit_kind kind;
	enum audit_cause cause;
	struct name service;
	struct net_addr subject;
	enum audit_detail_kind detail_kind;
	union {
		struct audit_evidence evidence;
		struct audit_config config;
		struct audit_member member;
		struct audit_homes homes;
		struct audit_queue queue;
	};
};

/**
 * audit_kind_text() - stable word for a kind
 * @kind: the kind
 *
 * Return: static text such as "ejected".
 */
const char *audit_kind_text(enum audit_kind kind);

/**
 * audit_cause_text() - stable word for a cause
 * @cause: the cause
 *
 * Return: static text such as "failures".
 */
const char *audit_cause_text(enum audit_cause cause);

#endif
