#ifndef CORE_TRACE_H
#define CORE_TRACE_H

/**
 * DOC: request trace
 *
 * One record for each decision about a request, with the data it was based on.
 * Commands create the records and the audit duty logs them.
 */

#include "core/evidence.h"
#include "core/request.h"

/**
 * enum trace_kind - kind of a trace record
 * @TRACE_GRANTED: the request is sent to a backend server
 * @TRACE_ENDED: an exchange of the request has ended
 * @TRACE_REFUSED: the request is refused
 */
enum trace_kind { TRACE_GRANTED, TRACE_ENDED, TRACE_REFUSED };

/**
 * enum trace_follow - next step after the end of an exchange
 * @FOLLOW_ANSWER: the caller gets the answer
 * @FOLLOW_RETRY: the request is retried on another backend server
 * @FOLLOW_REFUSAL: the request is refused
 * @FOLLOW_NOTHING: none, as the caller has disconnected
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
 * struct trace_choice - number of backend servers by state when one was chosen
 * @trusted: free slots and no recent failures
 * @trial: free slots, but on trial, so that this request prefers trusted ones
 * @avoided: free slots, but recent failures or hanging requests
 * @full: no free slot
 * @closed: no slots open to this request: draining, paused, out of service,
 *	unreachable or tried before
 */
struct trace_choice {
	uint32_t trusted;
	uint32_t trial;
	uint32_t avoided;
	uint32_t full;
	uint32_t closed;
};

/**
 * struct trace_grant - choice of a backend server
 * @backend: address of the backend server
 * @instance: name of its start, may be empty
 * @own_slots: slots in this instance's share
 * @in_use_slots: own slots in use before this request
 * @borrowed: the slot is borrowed from another home
 * @waited_us: time spent in the queue
 * @choice: backend servers of the service by state
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
 * struct trace_end - result of an exchange
 * @backend: address of the backend server
 * @instance: name of its start, may be empty
 * @kind: how the exchange ended
 * @sent: part of the request may have been sent
 * @status: HTTP status, 0 for none
 * @service_us: time from sending the request to the end of the exchange
 * @unsent_us: time from the choice of the backend server to sending the
 *	request, 0 if nothing was sent
 * @closed_us: time from when the backend server was known to drain or pause to
 *	sending the request, 0 if it was sent before
 * @follow: next step
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
 * struct trace_refusal - refusal of a request
 * @cause: why it was refused
 * @outcome: whether it has been executed
 * @retry_ms: time after which the caller should retry, 0 for no advice
 */
struct trace_refusal {
	enum refusal_cause cause;
	enum outcome outcome;
	uint32_t retry_ms;
};

/**
 * struct trace_record - one decision about a request
 * @kind: which member of the union is valid
 * @unix_ms: wall-clock time of the decision
 * @request_id: request id given by the caller, empty for none
 * @customer: name of the customer, empty if none is known
 * @service: service of the request, empty if none was found
 * @routes_version: version of the routing table in force, 0 for none
 * @document_version: version of the service document in force, 0 for none
 * @left_us: time until the deadline of the request, 0 if it has passed or is
 *	not known
 * @tries: number of backend servers tried before
 * @waiting_requests: requests of the service that wait on this instance
 * @running_requests: requests of the service that hold a slot on this instance
 * @granted: with TRACE_GRANTED
 * @ended: with TRACE_ENDED
 * @refused: with TRACE_REFUSED
 */
struct trace_record {
	enum trace_kind kind;
	uint64_t unix_ms;
	char request_id[NAME_BYTES_MAX];
	struct name customer;
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
 * trace_is_routine() - whether a record shows nothing unusual
 * @record: trace record
 *
 * Return: true for the first grant of a request and for complete answers.
 */
bool trace_is_routine(const struct trace_record *record);

/**
 * trace_follow_text() - name of a next step in logs and JSON
 * @follow: next step
 *
 * Return: static text such as "retry".
 */
const char *trace_follow_text(enum trace_follow follow);

#endif
