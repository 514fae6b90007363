#include "core/evidence.h"

bool backend_notice_given(const struct backend_notice *notice)
{
	return notice->draining || notice->pause_until_us > 0;
}

bool evidence_not_run(const struct evidence *evidence)
{
	return evidence->kind == EVIDENCE_SHED || !evidence->request_sent;
}

bool evidence_overloaded(const struct evidence *evidence)
{
	return evidence->kind == EVIDENCE_SHED && !evidence->notice.draining;
}

bool evidence_failed(const struct evidence *evidence)
{
	switch (evidence->kind) {
	case EVIDENCE_OK:
	case EVIDENCE_SHED:
	case EVIDENCE_CANCELLED:
	case EVIDENCE_STALE:
	case EVIDENCE_LATE:
		return false;
	case EVIDENCE_SERVER_ERROR:
	case EVIDENCE_CONNECT:
	case EVIDENCE_TIMEOUT:
	case EVIDENCE_RESET:
	case EVIDENCE_TRUNCATED:
	case EVIDENCE_BAD_ANSWER:
		return true;
	}
	return true;
}

const char *evidence_kind_text(enum evidence_kind kind)
{
	switch (kind) {
	case EVIDENCE_OK:
		return "ok";
	case EVIDENCE_SERVER_ERROR:
		return "server_error";
	case EVIDENCE_SHED:
		return "shed";
	case EVIDENCE_CONNECT:
		return "connect";
	case EVIDENCE_TIMEOUT:
		return "timeout";
	case EVIDENCE_RESET:
		return "reset";
	case EVIDENCE_TRUNCATED:
		return "truncated";
	case EVIDENCE_BAD_ANSWER:
		return "bad_answer";
	case EVIDENCE_CANCELLED:
		return "cancelled";
	case EVIDENCE_STALE:
		return "stale";
	case EVIDENCE_LATE:
		return "late";
	}
	return "";
}
