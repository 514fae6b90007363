#ifndef CORE_AUDIT_H
#define CORE_AUDIT_H

/**
 * DOC: audit trail
 *
 * Each change of state is recorded by a typed audit record. Commands create the
 * records; the routing state keeps the last AUDIT_KEPT_RECORDS of them, and the
 * audit duty logs them.
 */

#include "core/document.h"

#define AUDIT_KEPT_RECORDS 4096

/**
 * enum audit_kind - state change that is recorded
 *
 * AUDIT_STEPPED_BACK and AUDIT_STEPPED_IN: the instance stops or resumes naming
 * itself in answers to entries, or withdraws from or returns to the home sets.
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
	AUDIT_CROSSING_BEGUN,
	AUDIT_CROSSING_ENDED,
	AUDIT_STEPPED_BACK,
	AUDIT_STEPPED_IN,
	AUDIT_LEAVING,
	AUDIT_KIND_COUNT,
};

/**
 * enum audit_cause - reason for a state change
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
	CAUSE_START_LEFT,
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
	CAUSE_NO_SERVER,
	CAUSE_UNHEALTHY,
	CAUSE_WAITING,
	CAUSE_COUNT,
};

/**
 * struct audit_evidence - details of a change to a backend server
 * @ok_requests: complete answers in the evidence window, over all homes whose
 *	digests are fresh
 * @failed_requests: failed requests in the window, over the same homes
 * @slow_requests: slow requests in the window, over the same homes
 * @observers: number of homes that had failed or slow requests to it
 * @in_service_slots: slots of the service that are in service after the change
 * @floor_slots: healthy floor of the service
 * @until_unix_ms: wall-clock time of the next step or of the end of the pause;
 *	0 for none
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
 * struct audit_config - details of an accepted or refused document
 * @version: version of the document received
 * @in_force: version in force before
 * @hash: hash of the text received
 */
struct audit_config {
	uint64_t version;
	uint64_t in_force;
	uint64_t hash;
};

/**
 * struct audit_member - details of a membership change
 * @status: new status of the instance, enum member_status
 * @incarnation: incarnation that the status refers to
 * @aside: the instance reports that it cannot reach most backend servers
 */
struct audit_member {
	uint32_t status;
	uint32_t incarnation;
	bool aside;
};

/**
 * struct audit_homes - details of a change of a home set
 * @home: this instance is a home of the service after the change
 * @home_count: number of homes of the service after the change
 */
struct audit_homes {
	bool home;
	uint32_t home_count;
};

/**
 * struct audit_queue - details of the start or end of overload
 * @queue_requests: requests of the service that wait on this instance
 * @slots_in_use: slots in use by this instance
 * @refused_requests: requests refused since the overload began
 */
struct audit_queue {
	uint32_t queue_requests;
	uint32_t slots_in_use;
	uint64_t refused_requests;
};

/**
 * struct audit_crossing - details of the start or end of a crossing
 * @queue_requests: requests of the service that wait on this instance
 * @here_ms: expected time of one more request in the own failure domain
 * @there_ms: expected time elsewhere, as @there_us of struct crossing_plan
 * @part_requests: requests that this instance may have in other domains
 */
struct audit_crossing {
	uint32_t queue_requests;
	uint64_t here_ms;
	uint64_t there_ms;
	uint32_t part_requests;
};

enum audit_detail_kind {
	AUDIT_DETAIL_NONE,
	AUDIT_DETAIL_EVIDENCE,
	AUDIT_DETAIL_CONFIG,
	AUDIT_DETAIL_MEMBER,
	AUDIT_DETAIL_HOMES,
	AUDIT_DETAIL_QUEUE,
	AUDIT_DETAIL_CROSSING,
};

/**
 * struct audit_record - one audited state change
 * @sequence: sequence number, counted by each instance for itself
 * @unix_ms: wall-clock time of the change
 * @kind: what changed
 * @cause: why it changed
 * @service: service concerned, empty for none
 * @subject: backend server or instance concerned, port 0 for none
 * @detail_kind: which member of the union is valid
 * @evidence: with AUDIT_DETAIL_EVIDENCE
 * @config: with AUDIT_DETAIL_CONFIG
 * @member: with AUDIT_DETAIL_MEMBER
 * @homes: with AUDIT_DETAIL_HOMES
 * @queue: with AUDIT_DETAIL_QUEUE
 * @crossing: with AUDIT_DETAIL_CROSSING
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
		struct audit_crossing crossing;
	};
};

/**
 * audit_kind_text() - name of an audit kind in logs and JSON
 * @kind: audit kind
 *
 * Return: static text such as "ejected".
 */
const char *audit_kind_text(enum audit_kind kind);

/**
 * audit_cause_text() - name of an audit cause in logs and JSON
 * @cause: audit cause
 *
 * Return: static text such as "failures".
 */
const char *audit_cause_text(enum audit_cause cause);

#endif
