#ifndef CLI_LOG_H
#define CLI_LOG_H

/**
 * DOC: set-up of logging
 */

#include "core/document.h"

/**
 * log_setup() - send all of the process's log events to stderr, a line each
 * @settings: format and level; must outlive the process's logging
 *
 * To be called once, before threads are made.
 */
void log_setup(const struct settings *settings);

#endif
