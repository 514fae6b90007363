#ifndef DUTY_FRONT_H
#define DUTY_FRONT_H

/**
 * DOC: front duty: HTTP server for callers
 */

#include "core/error.h"
#include "core/event.h"
#include "duty/exchange.h"

struct front_duty;

/**
 * front_start() - start the thread of the front duty
 * @settings: must outlive the duty
 * @dispatch: ring of struct message, must outlive the duty
 * @exchange: gets EXCHANGE_OP_RESUME when a paused answer may continue; must
 *	outlive the duty
 * @error: DUTY_ERROR on failure
 *
 * Return: the front duty, to be ended with front_stop(), or NULL.
 */
struct front_duty *front_start(const struct settings *settings,
			       struct ring *dispatch,
			       struct exchange_duty *exchange, GError **error);

/**
 * front_stop() - stop accepting, wait for answers in progress and free
 *	the front duty
 * @duty: front duty, or NULL
 * @close_by_us: boot time at which connections that are still open are closed
 */
void front_stop(struct front_duty *duty, uint64_t close_by_us);

#endif
