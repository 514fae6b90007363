#ifndef DUTY_FRONT_H
#define DUTY_FRONT_H

/**
 * DOC: front duty: the callers' HTTP server
 */

#include "core/error.h"
#include "core/event.h"
#include "duty/exchange.h"

struct front_duty;

/**
 * front_start() - start the duty's thread
 * @settings: must outlive the duty
 * @dispatch: ring of struct message
 * @exchange: is told when a paused answer may go on
 * @error: DUTY_ERROR on failure
 *
 * Return: the duty, to be ended with front_stop(), or NULL.
 */
struct front_duty *front_start(const struct settings *settings,
			       struct ring *dispatch,
			       struct exchange_duty *exchange, GError **error);

/**
 * front_stop() - end the thread and free the duty
 * @duty: the duty, or NULL
 */
void front_stop(struct front_duty *duty);

#endif
