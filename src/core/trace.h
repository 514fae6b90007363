#ifndef CORE_TRACE_H
#define CORE_TRACE_H

/**
 * DOC: request trace
 *
 * One record for each decision that touches a request, with what decided it.
 * The decisions fill it, the audit duty logs it.
 */

#include "core/evidence.h"
#include "core/request.h"

/**
 * enum trace_kind - tag of struct trace_record
 * @TRACE_GRANTED: it goes to a backend server
 * @TRACE_ENDED: an exchange has ended
 * @TRACE_REFUSED: its caller gets no backend server's answer
 */
enum trace_kind { TRACE_GRANTED, TRACE_ENDED, TRACE_REFUSED };

/**
 * enum trace_follow - what comes after the end of an exchange
 * @FOLLOW_ANSWER: its answer goes to the caller
 * @FOLLOW_RETRY: another backend server is tried
 * @FOLLOW_REFUSAL: the caller is told what is known
 * @FOLLOW_NOTHING: the caller is gone
 * @FOLLOW_CHOOSE_AGAIN: nothing was sent; a backend server is chosen again
 */
enum trace_follow {
	FOLLOW_ANSWER,
	FOLLOW_RETRY,
	FOLLOW_REFUSAL,
	FOLLOW_NOTHING,
	FOLLOW_CHOOSE_AGAIN,
};

/**
 * struct trace_choice - the backend servers of a service at the choice
 * @trusted: had room, and nothing spoke against them
 * @trial: had room, and get work that may be repeated only
 * @avoided: had room, and failed or hung a moment ago
 * @full: had no room
 * @closed: drain, are out of service, or were tried before
 */
struct trace_choice {
	uint32_t trusted;
	uint32_t trial;
	uint32_t avoided;
	uint32_t full;
	uint32_t closed;
};

/**
 * struct trace_grant - why this backend server
 * @backend: which
 * @instance: which start of it
 * @own_slots: this instance's share of it
 * @in_use_slots: used before this request
 * @borrowed: the slot is another instance's
 * @waited_us: time in the queue
 * @choice: what else there was
 */
struct trace_grant {
	struct net_addr backend;
	struct name instance;
	uint32_t own_slots;
	uint32_t in_use_slots;
	bool borrowed;
	uint64_t waited_us;
	struct trace_choice choice;
};

/**
 * struct trace_end - what an exchange showed and what follows
 * @backend: with whom
 * @instance: which start of it
 * @kind: how it ended
 * @sent: a byte of the request may have gone out
 * @status: HTTP status, 0 for none
 * @service_us: time from send to end
 * @unsent_us: time from the choice to the send, 0 when nothing was sent
 * @closed_us: time from when the backend server was known to want no new work
 *	to the send, 0 when it was sent before
 * @follow: what comes next
 */
struct trace_end {
	struct net_addr backend;
	struct name instance;
	enum evidence_kind kind;
	bool sent;
	uint32_t status;
	uint64_t service_us;
	uint64_t unsent_us;
	uint64_t closed_us;
	enum trace_follow follow;
};

/**
 * struct trace_refusal - why there is no answer
 * @cause: why
 * @outcome: what is known of the work
 * @retry_ms: advice, 0 for none
 */
struct trace_refusal {
	enum refusal_cause cause;
	enum outcome outcome;
	uint32_t retry_ms;
};

/**
 * struct trace_record - one decision
 * @kind: which member of the union holds
 * @unix_ms: when
 * @request_id: as the caller gave it, empty when it gave none
 * @service: its service, empty when none was found
 * @routes_version: routing table in force, 0 for none
 * @document_version: the service's document in force, 0 for none
 * @left_us: time the request has left
 * @tries: backend servers tried before
 * @waiting_requests: of the service at this instance
 * @running_requests: the same
 * @granted: with TRACE_GRANTED
 * @ended: with TRACE_ENDED
 * @refused: with TRACE_REFUSED
 */
struct trace_record {
	enum trace_kind kind;
	uint64_t unix_ms;
	char request_id[NAME_BYTES_MAX];
	struct name service;
	uint64_t routes_version;
	uint64_t document_version;
	uint64_t left_us;
	uint32_t tries;
	uint32_t waiting_requests;
	uint32_t running_requests;
	union {
		struct trace_grant granted;
		struct trace_end ended;
		struct trace_refusal refused;
	};
};

/**
 * trace_is_routine() - whether nobody would ask for this record
 * @record: the record
 *
 * Return: true for grants and for whole answers that go to the caller.
 */
bool trace_is_routine(const struct trace_record *record);

/**
 * trace_follow_text() - stable word for what follows
 * @follow: what follows
 *
 * Return: static text.
 */
const char *trace_follow_text(enum trace_follow follow);

#endif
