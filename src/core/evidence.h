#ifndef CORE_EVIDENCE_H
#define CORE_EVIDENCE_H

/**
 * DOC: evidence
 *
 * What one exchange with a backend server showed. The exchange duty fills it,
 * the decisions judge it.
 */

#include "core/ids.h"

/**
 * enum evidence_kind - how an exchange ended
 * @EVIDENCE_OK: a whole answer that is not a server error
 * @EVIDENCE_SERVER_ERROR: a whole answer with status 5xx that is no shed
 * @EVIDENCE_SHED: a whole answer with the service's shed marker
 * @EVIDENCE_CONNECT: no connection was made
 * @EVIDENCE_TIMEOUT: the deadline came first
 * @EVIDENCE_RESET: the connection ended before a whole head
 * @EVIDENCE_TRUNCATED: the connection ended in the body
 * @EVIDENCE_BAD_ANSWER: not a valid HTTP answer, or above a bound
 * @EVIDENCE_CANCELLED: stopped because the caller is gone
 * @EVIDENCE_LATE: its time was over through no fault of the backend server,
 *	as when it was too late to send or the process was paused
 */
enum evidence_kind {
	EVIDENCE_OK,
	EVIDENCE_SERVER_ERROR,
	EVIDENCE_SHED,
	EVIDENCE_CONNECT,
	EVIDENCE_TIMEOUT,
	EVIDENCE_RESET,
	EVIDENCE_TRUNCATED,
	EVIDENCE_BAD_ANSWER,
	EVIDENCE_CANCELLED,
	EVIDENCE_LATE,
};

/**
 * struct backend_notice - what an answer's head says of its backend server
 * @draining: it wants no new work any more
 * @pause_until_us: it wants no request until then, 0 when it did not say so
 */
struct backend_notice {
	bool draining;
	uint64_t pause_until_us;
};

/**
 * backend_notice_given() - whether it says anything
 * @notice: the word
 *
 * Return: true when the backend server wants less than before.
 */
bool backend_notice_given(const struct backend_notice *notice);

/**
 * struct evidence - the end of one exchange
 * @kind: how it ended
 * @request_sent: a byte of the request may have reached the backend server
 * @head_given: the answer has begun to go to the caller
 * @notice: what the answer's head said of the backend server
 * @status: HTTP status, 0 when there was none
 * @service_us: time from send to the end of the answer
 * @sent_us: when the request began to go out, 0 when it did not
 */
struct evidence {
	enum evidence_kind kind;
	bool request_sent;
	bool head_given;
	struct backend_notice notice;
	uint32_t status;
	uint64_t service_us;
	uint64_t sent_us;
};

/**
 * evidence_not_run() - whether it is proved that the work did not run
 * @evidence: the end of an exchange
 *
 * Return: true when no byte was sent or the backend server said it shed it.
 */
bool evidence_not_run(const struct evidence *evidence);

/**
 * evidence_failed() - whether the end speaks against the backend server
 * @evidence: the end of an exchange
 *
 * Return: false for whole answers, sheds and cancellations.
 */
bool evidence_failed(const struct evidence *evidence);

/**
 * evidence_kind_text() - stable machine-readable word for a kind
 * @kind: the kind
 *
 * Return: static text such as "timeout".
 */
const char *evidence_kind_text(enum evidence_kind kind);

#endif
