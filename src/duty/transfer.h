#ifndef DUTY_TRANSFER_H
#define DUTY_TRANSFER_H

/**
 * DOC: one transfer of the exchange duty
 *
 * Sets libcurl up for one request and its answer, provides the callbacks and
 * classifies the result. Only the exchange duty's thread calls it.
 */

#include <curl/curl.h>

#include "codec/http_answer.h"
#include "core/event.h"
#include "duty/connections.h"

struct exchange_duty;

/**
 * enum stop_cause - why the exchange duty ended a transfer
 * @STOP_NONE: the exchange duty did not end it
 * @STOP_EXPIRED: the request must not be sent any more
 * @STOP_REPLAY: libcurl was about to send the request a second time
 * @STOP_NOT_QUIET: the kept connection was closed or bytes had arrived on it
 *	right before the request was to be sent
 * @STOP_FOREIGN_ANSWER: what came on the kept connection is no answer to this
 *	request
 * @STOP_BAD_ANSWER: the answer is not valid or exceeds a limit
 * @STOP_TRY_TIMEOUT: the answer takes much longer than usual
 * @STOP_SHUTDOWN: the planned stop of this instance has reached its deadline
 * @STOP_CALLER_GONE: the caller has disconnected
 */
enum stop_cause {
	STOP_NONE,
	STOP_EXPIRED,
	STOP_REPLAY,
	STOP_NOT_QUIET,
	STOP_FOREIGN_ANSWER,
	STOP_BAD_ANSWER,
	STOP_TRY_TIMEOUT,
	STOP_SHUTDOWN,
	STOP_CALLER_GONE,
};

/**
 * struct exchange - one request to a backend server and its answer
 * @duty: exchange duty that runs it, not owned
 * @settings: not owned
 * @grant: request, backend server and time limits; owns a reference to the
 *	request
 * @key: exchange id as a table key
 * @backend: connection count of the backend server, not owned
 * @connections: table of connections, not owned
 * @connection: connection that may be kept; NULL if none is open or the exchange
 *	has a connection of its own
 * @connection_id: names that connection to libcurl
 * @request_id: hash of the request's id
 * @keep: the connection may be kept
 * @reused: the request goes on a kept connection
 * @connect_to: libcurl's list of the connection's address, owned
 * @easy: libcurl's handle of the transfer
 * @fields: header fields of the request, owned
 * @reader: parses the answer's head
 * @held_body: body bytes that have not been given to the caller, owned
 * @body_bytes: body bytes read so far
 * @length_bytes: body length that the head states, else UINT64_MAX
 * @status: HTTP status of the final head, 0 before it is read
 * @id_echoed: the answer's head has the id of the request
 * @shed: the backend server refused the request without running it
 * @notice: drain or pause notice in the answer's head
 * @load: load report in the answer's head
 * @streaming: the head was given to the caller
 * @sent: some bytes of the request may have been sent
 * @process_paused: the process was paused during the transfer
 * @connect_shortened: the deadline is closer than the usual connect time-out
 * @sent_us: time when sending began, with @sent
 * @stop: why the exchange duty ended the transfer
 */
struct exchange {
	struct exchange_duty *duty;
	const struct settings *settings;
	struct grant_event grant;
	uint64_t key;
	struct backend_connections *backend;
	struct connections *connections;
	struct kept_connection *connection;
	uint64_t connection_id;
	uint64_t request_id;
	bool keep;
	bool reused;
	struct curl_slist *connect_to;
	CURL *easy;
	struct curl_slist *fields;
	struct http_answer_reader reader;
	GByteArray *held_body;
	uint64_t body_bytes;
	uint64_t length_bytes;
	uint32_t status;
	bool id_echoed;
	bool shed;
	struct backend_notice notice;
	struct load_notice load;
	bool streaming;
	bool sent;
	bool process_paused;
	bool connect_shortened;
	uint64_t sent_us;
	enum stop_cause stop;
};

/**
 * exchange_send_notice() - send a drain or pause notice to the dispatch duty
 * @exchange: the exchange whose answer's head has the notice; it continues
 */
void exchange_send_notice(struct exchange *exchange);

/**
 * transfer_prepare() - set libcurl's options for the request
 * @exchange: has its grant, settings and handle
 *
 * Return: false when libcurl rejects an option.
 */
bool transfer_prepare(struct exchange *exchange);

/**
 * transfer_expired() - whether a request must not be sent any more
 * @grant: the grant
 * @now_us: current time
 *
 * Return: true when the time to send it is over, the grant was recalled or the
 * caller is gone.
 */
bool transfer_expired(const struct grant_event *grant, uint64_t now_us);

/**
 * transfer_unsent_evidence() - evidence of a request that was not sent in time
 * @grant: the grant
 *
 * Return: EVIDENCE_CANCELLED when the caller is gone, else EVIDENCE_LATE.
 */
enum evidence_kind transfer_unsent_evidence(const struct grant_event *grant);

/**
 * transfer_classify() - classify the end of an exchange
 * @exchange: the exchange
 * @code: libcurl's result
 *
 * Return: the kind of evidence.
 */
enum evidence_kind transfer_classify(const struct exchange *exchange,
				     CURLcode code);

/**
 * transfer_keep_decision() - decide whether the connection is kept
 * @exchange: an ended exchange that has a connection that may be kept
 * @kind: how it ended
 *
 * Return: the decision.
 */
struct keep_decision transfer_keep_decision(const struct exchange *exchange,
					    enum evidence_kind kind);

/**
 * transfer_deliver() - pass the rest of an answer to the caller
 * @exchange: an ended exchange
 * @evidence: how it ended
 *
 * A server error is not passed on when the grant asks to hold it. An answer
 * that has been passed on in part ends with PART_END or PART_BROKEN; nothing is
 * sent to the caller for other failures.
 *
 * Return: an owned answer that waits for a decision of the dispatch duty, or
 * NULL.
 */
struct answer_held *transfer_deliver(struct exchange *exchange,
				     const struct evidence *evidence);

#endif
