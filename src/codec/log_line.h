#ifndef CODEC_LOG_LINE_H
#define CODEC_LOG_LINE_H

/**
 * DOC: log events as lines of text or JSON
 */

#include "core/document.h"

/* Field of a structured log event with an audit record as JSON. */
#define LOG_FIELD_AUDIT "NUTMEGCRANK_AUDIT"
/* Field of a structured log event with a request trace record as JSON. */
#define LOG_FIELD_TRACE "NUTMEGCRANK_TRACE"

/**
 * log_line() - format a log event as one line
 * @format: text or JSON
 * @level: level of the event
 * @fields: fields of GLib's structured logging; MESSAGE, LOG_FIELD_AUDIT
 *	and LOG_FIELD_TRACE are written, others are ignored
 * @field_count: number of entries in @fields
 * @unix_ms: time of the event
 *
 * Return: owned line with a newline; control characters of the message are
 * replaced by spaces.
 */
char *log_line(enum log_format format, GLogLevelFlags level,
	       const GLogField *fields, gsize field_count, uint64_t unix_ms);

#endif
