#ifndef QUERY_KEEP_H
#define QUERY_KEEP_H

/**
 * DOC: which connections to backend servers are kept
 *
 * A late second answer on a kept connection must not reach another caller, so
 * a connection is kept only after an answer whose request and length are
 * certain.
 */

#include "core/metrics.h"

/* Longest idle time of a kept connection. */
#define KEEP_IDLE_MAX_US (5 * US_PER_S)
/* Exchanges on one connection; their request ids are remembered. */
#define KEEP_USES_MAX 64

/**
 * struct keep_request - what a request says about its connection
 * @keep_max: idle connections that may be kept to its backend server
 * @may_repeat: the request may be sent more than once
 * @id: its request id, NULL or empty if it has none
 * @has_host: it has a Host field
 */
struct keep_request {
	uint32_t keep_max;
	bool may_repeat;
	const char *id;
	bool has_host;
};

/**
 * struct keep_answer - what an exchange says about its connection
 * @whole: the answer is complete
 * @id_echoed: the answer has the id of the request
 * @chunked: the body is chunked
 * @has_length: the body has a length
 * @idle_max_s: idle time that the backend server allows, 0 if it closes the
 *	connection, UINT32_MAX if it names none
 * @draining: the backend server accepts no new requests
 * @head_bytes: length of all head and trailer lines
 * @body_bytes: length of the body
 * @received_bytes: bytes received on the connection during the exchange
 * @uses: exchanges that the connection has served
 * @backend_failed: another exchange with the backend server has failed since
 *	the connection was opened
 */
struct keep_answer {
	bool whole;
	bool id_echoed;
	bool chunked;
	bool has_length;
	uint32_t idle_max_s;
	bool draining;
	uint64_t head_bytes;
	uint64_t body_bytes;
	uint64_t received_bytes;
	uint32_t uses;
	bool backend_failed;
};

/**
 * struct keep_decision - whether a connection is kept
 * @idle_until_us: time until which it is kept, 0 to close it
 * @cause: why it is closed
 */
struct keep_decision {
	uint64_t idle_until_us;
	enum connection_drop cause;
};

/**
 * keep_wanted() - whether a request's connection may be kept, or be a kept one
 * @request: what is known of the request
 *
 * Return: false when the request needs a connection of its own.
 */
bool keep_wanted(const struct keep_request *request);

/**
 * keep_head_allows() - whether the head of an answer lets its connection be kept
 * @answer: what is known once the head is complete
 *
 * Return: false if keep_decide() will close it whatever follows.
 */
bool keep_head_allows(const struct keep_answer *answer);

/**
 * keep_has_extra_bytes() - whether bytes followed the answer
 * @answer: what is known of the exchange
 *
 * Return: true if the answer has a length and more bytes were received.
 */
bool keep_has_extra_bytes(const struct keep_answer *answer);

/**
 * keep_decide() - decide whether a connection is kept after an exchange
 * @answer: what is known of the exchange
 * @now_us: current time
 *
 * Return: the decision.
 */
struct keep_decision keep_decide(const struct keep_answer *answer,
				 uint64_t now_us);

#endif
