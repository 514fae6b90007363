#ifndef CLI_LOG_H
#define CLI_LOG_H

/**
 * DOC: writes GLib's log events to standard output, in the configured format
 *
 * Lines go through a bounded ring to a thread of their own, so that a blocked
 * standard output delays nothing but the log.
 */

#include <glib.h>

#include "core/document.h"

/**
 * log_setup() - start the writer thread and install GLib's log writer
 * @settings: log format and level; not owned, must live as long as the process
 * @error: DUTY_ERROR on failure
 *
 * Return: whether the writer thread has started.
 */
bool log_setup(const struct settings *settings, GError **error);

/**
 * log_stop() - close the log and wait up to 500 ms until all lines are written
 * @deadline_us: boot time after which it does not wait
 */
void log_stop(uint64_t deadline_us);

#endif
