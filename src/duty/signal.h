#ifndef DUTY_SIGNAL_H
#define DUTY_SIGNAL_H

/**
 * DOC: signal duty: planned stop at SIGTERM and SIGINT, reload of the settings
 *
 * The settings file is read again at SIGHUP and when it has changed; of the new
 * settings only the seeds take effect without a restart.
 */

#include "core/error.h"
#include "core/event.h"

struct signal_duty;

/**
 * signal_start() - block the signals in all later threads and start the thread
 *	of the signal duty
 * @settings_path: settings file, NULL for none; must outlive the duty
 * @dispatch: ring of struct message to the dispatch duty, not owned
 * @error: DUTY_ERROR on failure
 *
 * Return: the signal duty, to be ended with signal_stop(), or NULL.
 */
struct signal_duty *signal_start(const char *settings_path,
				 struct ring *dispatch, GError **error);

/**
 * signal_stop() - stop the thread of the signal duty and free it
 * @duty: signal duty, or NULL
 */
void signal_stop(struct signal_duty *duty);

#endif
