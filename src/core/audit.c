#include "core/audit.h"

const char *audit_kind_text(enum audit_kind kind)
{
	static const char *const texts[AUDIT_KIND_COUNT] = {
		[AUDIT_STARTED] = "started",
		[AUDIT_CONFIG_ACCEPTED] = "config_accepted",
		[AUDIT_CONFIG_REFUSED] = "config_refused",
		[AUDIT_EJECTED] = "ejected",
		[AUDIT_EJECTION_WITHHELD] = "ejection_withheld",
		[AUDIT_PATH_AVOIDED] = "path_avoided",
		[AUDIT_TRICKLE] = "trickle",
		[AUDIT_RAMP] = "ramp",
		[AUDIT_READMITTED] = "readmitted",
		[AUDIT_DRAIN_BEGUN] = "drain_begun",
		[AUDIT_DRAIN_ENDED] = "drain_ended",
		[AUDIT_PAUSE_BEGUN] = "pause_begun",
		[AUDIT_PAUSE_ENDED] = "pause_ended",
		[AUDIT_MEMBER] = "member",
		[AUDIT_HOME_SET] = "home_set",
		[AUDIT_LEASE_REFUSED] = "lease_refused",
		[AUDIT_OVERLOAD_BEGUN] = "overload_begun",
		[AUDIT_OVERLOAD_ENDED] = "overload_ended",
		[AUDIT_CROSSING_BEGUN] = "crossing_begun",
		[AUDIT_CROSSING_ENDED] = "crossing_ended",
		[AUDIT_STEPPED_BACK] = "stepped_back",
		[AUDIT_STEPPED_IN] = "stepped_in",
		[AUDIT_LEAVING] = "leaving",
	};

	return kind < AUDIT_KIND_COUNT ? texts[kind] : "invalid";
}

const char *audit_cause_text(enum audit_cause cause)
{
	static const char *const texts[CAUSE_COUNT] = {
		[CAUSE_NONE] = "none",
		[CAUSE_FAILURES] = "failures",
		[CAUSE_SLOWNESS] = "slowness",
		[CAUSE_PEER_EVIDENCE] = "peer_evidence",
		[CAUSE_PATH] = "path",
		[CAUSE_FLOOR] = "floor",
		[CAUSE_BACKOFF_OVER] = "backoff_over",
		[CAUSE_TRICKLE_OK] = "trickle_ok",
		[CAUSE_RAMP_OVER] = "ramp_over",
		[CAUSE_RELAPSE] = "relapse",
		[CAUSE_COLD_START] = "cold_start",
		[CAUSE_DOCUMENT] = "document",
		[CAUSE_DRAIN_ANSWER] = "drain_answer",
		[CAUSE_RETRY_AFTER] = "retry_after",
		[CAUSE_LOAD_REPORT] = "load_report",
		[CAUSE_START_LEFT] = "start_left",
		[CAUSE_PLATFORM] = "platform",
		[CAUSE_PEER] = "peer",
		[CAUSE_OLDER_VERSION] = "older_version",
		[CAUSE_SAME_VERSION_OTHER_CONTENT] =
			"same_version_other_content",
		[CAUSE_MALFORMED] = "malformed",
		[CAUSE_LIST] = "list",
		[CAUSE_PROBE] = "probe",
		[CAUSE_SILENCE] = "silence",
		[CAUSE_QUEUE] = "queue",
		[CAUSE_SIGNAL] = "signal",
		[CAUSE_NO_SERVER] = "no_server",
		[CAUSE_UNHEALTHY] = "unhealthy",
		[CAUSE_WAITING] = "waiting",
	};

	return cause < CAUSE_COUNT ? texts[cause] : "invalid";
}
