#ifndef CLI_LOG_H
#define CLI_LOG_H

/**
 * DOC: GLib's log events, as the settings want them, on standard output
 *
 * Lines go through a bounded ring to a thread of their own, so that a standard
 * output that nobody reads holds up nothing but the log.
 */

#include <glib.h>

#include "core/document.h"

/**
 * log_setup() - take over GLib's log events for the rest of the process
 * @settings: format and level; must live as long as the process
 * @error: DUTY_ERROR on failure
 *
 * Return: whether the writing thread has started.
 */
bool log_setup(const struct settings *settings, GError **error);

/**
 * log_stop() - end the log, with a moment for what is still to be written
 */
void log_stop(void);

#endif
