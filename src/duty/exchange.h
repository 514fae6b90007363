#ifndef DUTY_EXCHANGE_H
#define DUTY_EXCHANGE_H

/**
 * DOC: exchange duty: sends requests to backend servers and reads the answers
 */

#include "core/error.h"
#include "core/event.h"
#include "core/metrics.h"

/**
 * enum exchange_op_kind - tag of struct exchange_op
 * @EXCHANGE_OP_GRANT: start an exchange
 * @EXCHANGE_OP_CANCEL: stop an exchange
 * @EXCHANGE_OP_RESUME: continue an answer whose ring has space again
 */
enum exchange_op_kind {
	EXCHANGE_OP_GRANT,
	EXCHANGE_OP_CANCEL,
	EXCHANGE_OP_RESUME
};

/**
 * struct exchange_op - operation for the exchange duty, item of its ring
 * @kind: which member of the union is valid
 * @grant: with EXCHANGE_OP_GRANT, carries a reference to its request
 * @cancel: with EXCHANGE_OP_CANCEL, the exchange and the cause
 * @resume: with EXCHANGE_OP_RESUME, the request, carries a reference
 */
struct exchange_op {
	enum exchange_op_kind kind;
	union {
		struct grant_event grant;
		struct cancel_event cancel;
		struct request *resume;
	};
};

struct exchange_duty;

/**
 * exchange_start() - start the thread of the exchange duty
 * @settings: must outlive the duty
 * @dispatch: ring of struct message, must outlive the duty
 * @error: DUTY_ERROR on failure
 *
 * Return: the exchange duty, to be ended with exchange_stop(), or NULL.
 */
struct exchange_duty *exchange_start(const struct settings *settings,
				     struct ring *dispatch, GError **error);

/**
 * exchange_stop() - cancel all exchanges, stop the thread and free the
 *	exchange duty
 * @duty: exchange duty, or NULL
 */
void exchange_stop(struct exchange_duty *duty);

/**
 * exchange_counters() - read the counters of connections; any thread
 * @duty: exchange duty
 * @out: filled
 */
void exchange_counters(const struct exchange_duty *duty,
		       struct connection_counters *out);

/**
 * exchange_send() - push an operation and wake the exchange duty
 * @duty: exchange duty
 * @op: taken over on RING_OK, untouched otherwise
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result exchange_send(struct exchange_duty *duty,
			       const struct exchange_op *op);

#endif
