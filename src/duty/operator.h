#ifndef DUTY_OPERATOR_H
#define DUTY_OPERATOR_H

/**
 * DOC: operator duty: serves status, audit, metrics, ready and live over HTTP
 */

#include "core/error.h"
#include "core/event.h"

struct operator_duty;

/**
 * operator_start() - start the HTTP server and its threads
 * @settings: must outlive the duty
 * @dispatch: ring of struct message to the dispatch duty, not owned
 * @error: DUTY_ERROR on failure
 *
 * Return: the operator duty, to be ended with operator_stop(), or NULL.
 */
struct operator_duty *operator_start(const struct settings *settings,
				     struct ring *dispatch, GError **error);

/**
 * operator_stop() - stop the threads of the operator duty and free it
 * @duty: the duty, or NULL
 * @deadline_us: boot time until which to wait for its threads
 *
 * Return: false when threads still run; the duty and its dispatch ring must then
 * not be freed before the process ends.
 */
bool operator_stop(struct operator_duty *duty, uint64_t deadline_us);

#endif
