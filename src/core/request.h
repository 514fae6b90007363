#ifndef CORE_REQUEST_H
#define CORE_REQUEST_H

/**
 * DOC: request
 *
 * A caller's request on its way from the front to the dispatch and the exchange
 * duty, and the parts of its answer on the way back. Commands and queries read
 * only struct request_facts and treat struct request as opaque.
 */

#include "core/customer.h"
#include "core/document.h"
#include "ring/ring.h"

#define REQUEST_HEADERS_MAX 100
#define ANSWER_RING_PARTS 8

/**
 * enum outcome - whether a request has been executed
 * @OUTCOME_COMPLETE: it has been executed and its answer is complete
 * @OUTCOME_NOT_RUN: it certainly has not been executed
 * @OUTCOME_UNKNOWN: it may have been executed
 */
enum outcome { OUTCOME_COMPLETE, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN };

/**
 * enum refusal_cause - why a request got no answer from a backend server
 */
enum refusal_cause {
	REFUSAL_BAD_REQUEST,
	REFUSAL_TOO_LARGE,
	REFUSAL_NO_SERVICE,
	REFUSAL_NO_BACKEND,
	REFUSAL_NOT_READY,
	REFUSAL_UNUSABLE_ROUTE,
	REFUSAL_UNKNOWN_KEY,
	REFUSAL_OVER_QUOTA,
	REFUSAL_LEAVING,
	REFUSAL_QUEUE_FULL,
	REFUSAL_CALLER_SHARE,
	REFUSAL_LONG_SHARE,
	REFUSAL_DEADLINE,
	REFUSAL_OVERLOAD,
	REFUSAL_SHED,
	REFUSAL_CONNECT,
	REFUSAL_BACKEND_TIMEOUT,
	REFUSAL_BACKEND_BROKEN,
	REFUSAL_BAD_ANSWER,
	REFUSAL_CALLER_GONE,
	REFUSAL_COUNT,
};

/**
 * struct refusal - refusal of a request
 * @cause: why it was refused
 * @outcome: whether it has been executed
 * @retry_at_unix_ms: wall-clock time at which the caller should retry, 0 for no
 *	advice
 */
struct refusal {
	enum refusal_cause cause;
	enum outcome outcome;
	uint64_t retry_at_unix_ms;
};

/**
 * struct header - one header field
 * @name: field name, owned
 * @value: field value, owned
 */
struct header {
	char *name;
	char *value;
};

/**
 * struct answer_head - status and headers of a backend server's answer
 * @status: HTTP status
 * @headers: end-to-end headers, without hop-by-hop ones
 * @header_count: used entries of @headers
 * @body_bytes: length of the body, UINT64_MAX if not known
 */
struct answer_head {
	uint32_t status;
	struct header headers[REQUEST_HEADERS_MAX];
	uint32_t header_count;
	uint64_t body_bytes;
};

/**
 * struct answer_held - complete answer that is held until the dispatch duty
 *	decides whether to deliver it or to retry the request
 * @head: status and headers, owned
 * @body: body, owned; may be NULL if empty
 */
struct answer_held {
	struct answer_head *head;
	GBytes *body;
};

/**
 * enum answer_part_kind - kind of an answer part
 * @PART_REFUSED: the request was refused; last part
 * @PART_HEAD: head of the answer; first part
 * @PART_CHUNK: part of the body
 * @PART_END: the answer is complete; last part
 * @PART_BROKEN: the answer is truncated; last part
 */
enum answer_part_kind {
	PART_REFUSED,
	PART_HEAD,
	PART_CHUNK,
	PART_END,
	PART_BROKEN,
};

/**
 * struct answer_part - one part of an answer; the receiver owns its contents
 * @kind: which member of the union is valid
 * @refusal: with PART_REFUSED
 * @head: with PART_HEAD
 * @chunk: with PART_CHUNK
 */
struct answer_part {
	enum answer_part_kind kind;
	union {
		struct refusal refusal;
		struct answer_head *head;
		GBytes *chunk;
	};
};

/**
 * struct request - one caller's request, shared by reference count
 * @refs: reference count, atomic
 * @caller_gone: set by the front duty when the caller has disconnected, atomic
 * @recalled: set by the dispatch duty if the request must no longer be sent to
 *	the chosen backend server, cleared with each grant, atomic
 * @answer_paused: set by the exchange duty when it waits for space in @answer,
 *	cleared by the sender of EXCHANGE_OP_RESUME, atomic
 * @id: request id given by the caller, empty for none
 * @method: request method
 * @target: path and query as received, owned
 * @path: path as received, owned
 * @headers: end-to-end headers, without hop-by-hop ones
 * @header_count: used entries of @headers
 * @body: complete body, owned; NULL if there is none
 * @answer: ring of struct answer_part, owned; the front duty is its only reader
 */
struct request {
	gint refs;
	gint caller_gone;
	gint recalled;
	gint answer_paused;
	char id[NAME_BYTES_MAX];
	enum request_method method;
	char *target;
	char *path;
	struct header headers[REQUEST_HEADERS_MAX];
	uint32_t header_count;
	GBytes *body;
	struct ring *answer;
};

/**
 * struct request_facts - properties of a request that routing depends on
 * @host: Host without port in lower case, empty if absent
 * @path: path without query, owned by the request
 * @method: request method
 * @credential: credentials of the customer
 * @caller_hash: identifies the caller, so that each gets its share of the
 *	service
 * @deadline_us: deadline given by the caller, DEADLINE_NONE_US for none
 */
struct request_facts {
	struct host_name host;
	const char *path;
	enum request_method method;
	struct credential credential;
	uint64_t caller_hash;
	uint64_t deadline_us;
};

/**
 * request_new() - create an empty request with its answer ring
 *
 * Return: a request with one reference.
 */
struct request *request_new(void);

/**
 * request_field() - find a header field
 * @request: the request
 * @name: field name, compared without case
 *
 * Return: value of the first such field, owned by the request, or NULL.
 */
const char *request_field(const struct request *request, const char *name);

/**
 * request_ref() - take a reference
 * @request: request
 *
 * Return: @request.
 */
struct request *request_ref(struct request *request);

/**
 * request_unref() - drop a reference; the last one frees the request and any
 *	answer parts that were not read
 * @request: request, or NULL
 */
void request_unref(struct request *request);

/**
 * answer_part_clear() - free what a part owns
 * @part: part to clear
 */
void answer_part_clear(struct answer_part *part);

/**
 * answer_head_free() - free the head of an answer
 * @head: head to free, or NULL
 */
void answer_head_free(struct answer_head *head);

/**
 * answer_held_free() - free a held answer
 * @held: answer to free, or NULL
 */
void answer_held_free(struct answer_held *held);

/**
 * refusal_cause_text() - name of a refusal cause in answers, logs and metrics
 * @cause: refusal cause
 *
 * Return: static text such as "queue_full".
 */
const char *refusal_cause_text(enum refusal_cause cause);

/**
 * outcome_text() - value of the outcome header
 * @outcome: outcome of a request
 *
 * Return: static text: "complete", "not-run" or "unknown".
 */
const char *outcome_text(enum outcome outcome);

#endif
