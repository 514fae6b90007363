#ifndef CORE_EVIDENCE_H
#define CORE_EVIDENCE_H

/**
 * DOC: evidence
 *
 * The result of one exchange with a backend server. The exchange duty fills it
 * in; commands derive the health of the backend server from it.
 */

#include "core/ids.h"

/**
 * enum evidence_kind - how an exchange ended
 * @EVIDENCE_OK: complete answer that is not a server error
 * @EVIDENCE_SERVER_ERROR: complete answer with status 5xx and no shed marker
 * @EVIDENCE_SHED: complete answer with the shed marker of the service
 * @EVIDENCE_CONNECT: the connection could not be established
 * @EVIDENCE_TIMEOUT: the deadline passed before the answer was complete
 * @EVIDENCE_RESET: the connection closed before the head was complete
 * @EVIDENCE_TRUNCATED: the connection closed within the body
 * @EVIDENCE_BAD_ANSWER: invalid HTTP answer, or one larger than its limit
 * @EVIDENCE_CANCELLED: cancelled because the caller has disconnected
 * @EVIDENCE_STALE: the kept connection that the request was sent on had no
 *	answer or the answer to another request; the request may have run
 * @EVIDENCE_LATE: ended for a reason that is no fault of the backend server,
 *	such as a request that could not be sent in time or a paused process
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
	EVIDENCE_STALE,
	EVIDENCE_LATE,
};

/**
 * struct backend_notice - drain or pause notice in the head of an answer
 * @draining: the backend server drains and accepts no new requests
 * @pause_until_us: the backend server accepts no requests before this time; 0
 *	for no pause
 */
struct backend_notice {
	bool draining;
	uint64_t pause_until_us;
};

/**
 * backend_notice_given() - whether a notice is set
 * @notice: notice to check
 *
 * Return: true if the notice announces a drain or a pause.
 */
bool backend_notice_given(const struct backend_notice *notice);

/**
 * struct load_notice - load that a backend server reports in an answer's head
 * @given: there is a report
 * @running_requests: requests that it works on
 * @waiting_requests: requests in its queue
 * @slots: requests that it can work on at the same time, at least 1
 * @received_us: when the report was received
 */
struct load_notice {
	bool given;
	uint32_t running_requests;
	uint32_t waiting_requests;
	uint32_t slots;
	uint64_t received_us;
};

/**
 * struct evidence - result of one exchange
 * @kind: how it ended
 * @request_sent: part of the request may have reached the backend server
 * @head_given: the head of the answer has been passed on to the caller
 * @notice: drain or pause notice in the head of the answer
 * @load: load report in the head of the answer
 * @status: HTTP status, 0 without an answer
 * @service_us: time from sending the request to the end of the answer
 * @sent_us: time at which sending began, 0 if it did not
 */
struct evidence {
	enum evidence_kind kind;
	bool request_sent;
	bool head_given;
	struct backend_notice notice;
	struct load_notice load;
	uint32_t status;
	uint64_t service_us;
	uint64_t sent_us;
};

/**
 * evidence_not_run() - whether the request certainly was not executed
 * @evidence: result of an exchange
 *
 * Return: true if no byte was sent or the backend server shed the request.
 */
bool evidence_not_run(const struct evidence *evidence);

/**
 * evidence_overloaded() - whether the backend server was too busy
 * @evidence: result of an exchange
 *
 * Return: true if it shed the request; false if it did so because it drains or
 * the request was for another start of it.
 */
bool evidence_overloaded(const struct evidence *evidence);

/**
 * evidence_failed() - whether an exchange counts as a failure
 * @evidence: result of an exchange
 *
 * Return: false for complete answers below 500, shed, cancelled, stale and
 * late exchanges; true for all others.
 */
bool evidence_failed(const struct evidence *evidence);

/**
 * evidence_kind_text() - name of an evidence kind in logs and JSON
 * @kind: evidence kind
 *
 * Return: static text such as "timeout".
 */
const char *evidence_kind_text(enum evidence_kind kind);

#endif
