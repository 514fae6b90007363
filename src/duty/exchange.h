#ifndef DUTY_EXCHANGE_H
#define DUTY_EXCHANGE_H

/**
 * DOC: exchange duty: talks to the backend servers
 */

#include "core/error.h"
#include "core/event.h"

/**
 * enum exchange_op_kind - tag of struct exchange_op
 * @EXCHANGE_OP_GRANT: begin an exchange
 * @EXCHANGE_OP_CANCEL: stop one
 * @EXCHANGE_OP_RESUME: the caller's answer ring has room again
 */
enum exchange_op_kind {
	EXCHANGE_OP_GRANT,
	EXCHANGE_OP_CANCEL,
	EXCHANGE_OP_RESUME
};

/**
 * struct exchange_op - item of the duty's ring
 * @kind: which member of the union holds
 * @grant: with EXCHANGE_OP_GRANT, owned
 * @cancel: with EXCHANGE_OP_CANCEL
 * @resume: with EXCHANGE_OP_RESUME, carries a reference
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
 * exchange_start() - start the duty's thread
 * @settings: must outlive the duty
 * @dispatch: ring of struct message
 * @error: DUTY_ERROR on failure
 *
 * Return: the duty, to be ended with exchange_stop(), or NULL.
 */
struct exchange_duty *exchange_start(const struct settings *settings,
				     struct ring *dispatch, GError **error);

/**
 * exchange_stop() - end the thread and free the duty
 * @duty: the duty, or NULL
 */
void exchange_stop(struct exchange_duty *duty);

/**
 * exchange_send() - give the duty an order and wake it
 * @duty: the duty
 * @order: taken over on RING_OK, untouched otherwise
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result exchange_send(struct exchange_duty *duty,
			       const struct exchange_op *order);

#endif
