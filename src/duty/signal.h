#ifndef DUTY_SIGNAL_H
#define DUTY_SIGNAL_H

/**
 * DOC: signal duty: turns SIGTERM and SIGINT into planned stops
 */

#include "core/error.h"
#include "core/event.h"

struct signal_duty;

/**
 * signal_start() - block the signals for all later threads, start the duty
 * @settings_path: file that SIGHUP reads again, NULL for none; must outlive the
 *	duty
 * @dispatch: ring of struct message
 * @error: DUTY_ERROR on failure
 *
 * Return: the duty, to be ended with signal_stop(), or NULL.
 */
struct signal_duty *signal_start(const char *settings_path,
				 struct ring *dispatch, GError **error);

/**
 * signal_stop() - end the thread and free the duty
 * @duty: the duty, or NULL
 */
void signal_stop(struct signal_duty *duty);

#endif
