#ifndef DUTY_TRANSFER_H
#define DUTY_TRANSFER_H

/**
 * DOC: one transfer of the exchange duty
 *
 * libcurl's callbacks for one request and its answer, and what its end means.
 * Used by the exchange duty's thread alone.
 */

#include <curl/curl.h>

#include "codec/http_answer.h"
#include "core/event.h"
#include "duty/connections.h"

struct exchange_duty;

/**
 * enum stop_cause - why this duty itself ended a transfer
 * @STOP_NONE: it did not
 * @STOP_EXPIRED: at the send point it was too late to begin
 * @STOP_REPLAY: libcurl was about to send the request again
 * @STOP_BAD_ANSWER: the answer is not valid or above a bound
 * @STOP_TRY_TIMEOUT: the answer takes much longer than usual
 * @STOP_SHUTDOWN: this instance's planned stop is over
 * @STOP_CALLER_GONE: the caller is gone
 */
enum stop_cause {
	STOP_NONE,
	STOP_EXPIRED,
	STOP_REPLAY,
	STOP_BAD_ANSWER,
	STOP_TRY_TIMEOUT,
	STOP_SHUTDOWN,
	STOP_CALLER_GONE,
};

/**
 * struct exchange - one request on its way to a backend server and back
 * @duty: its duty
 * @settings: not owned
 * @grant: what was ordered; owns a reference to the request
 * @key: exchange id as a table key
 * @host: its backend server's connections
 * @easy: libcurl's handle
 * @fields: request header fields, libcurl's
 * @reader: reads the answer's head
 * @held: body bytes that have not gone to the caller
 * @body_bytes: body bytes read so far
 * @length_bytes: body length that the head states, else UINT64_MAX
 * @status: of the final head
 * @shed: the answer has the shed marker
 * @notice: what the head says of the backend server
 * @streaming: the answer has begun to go to the caller
 * @sent: the request may have begun to go out
 * @process_paused: the process was paused while it ran
 * @connect_shortened: it had less than the usual time to connect
 * @sent_us: when it began to go out
 * @stop: why the duty ended it
 */
struct exchange {
	struct exchange_duty *duty;
	const struct settings *settings;
	struct grant_event grant;
	uint64_t key;
	struct backend_connections *host;
	CURL *easy;
	struct curl_slist *fields;
	struct http_answer_reader reader;
	GByteArray *held;
	uint64_t body_bytes;
	uint64_t length_bytes;
	uint32_t status;
	bool shed;
	struct backend_notice notice;
	bool streaming;
	bool sent;
	bool process_paused;
	bool connect_shortened;
	uint64_t sent_us;
	enum stop_cause stop;
};

/**
 * exchange_send_notice() - tell the decisions what an answer's head says of its
 *	server
 * @exchange: its exchange, which goes on
 */
void exchange_send_notice(struct exchange *exchange);

/**
 * transfer_prepare() - set the handle up for the request
 * @exchange: with its grant, settings and handle
 *
 * Return: false when libcurl refuses.
 */
bool transfer_prepare(struct exchange *exchange);

/**
 * transfer_expired() - whether a request must not be sent any more
 * @grant: the order
 * @now_us: the time
 *
 * Return: true when it is too late, the grant was taken back or the caller is
 * gone.
 */
bool transfer_expired(const struct grant_event *grant, uint64_t now_us);

/**
 * transfer_unsent_evidence() - whose fault it is that nothing was sent in time
 * @grant: the order
 *
 * Return: EVIDENCE_CANCELLED or EVIDENCE_LATE.
 */
enum evidence_kind transfer_unsent_evidence(const struct grant_event *grant);

/**
 * transfer_classify() - how an exchange ended
 * @exchange: the exchange
 * @code: libcurl's word
 *
 * Return: the kind of evidence.
 */
enum evidence_kind transfer_classify(const struct exchange *exchange,
				     CURLcode code);

/**
 * transfer_deliver() - give the caller what the evidence allows
 * @exchange: an ended exchange
 * @evidence: its end
 *
 * Return: an owned answer that the decisions must judge first, or NULL.
 */
struct answer_held *transfer_deliver(struct exchange *exchange,
				     const struct evidence *evidence);

#endif
