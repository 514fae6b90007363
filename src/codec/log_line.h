#ifndef CODEC_LOG_LINE_H
#define CODEC_LOG_LINE_H

/**
 * DOC: log events as lines of text or JSON
 */

#include "core/document.h"

/* Field of a structured log event that holds an audit record's JSON. */
#define LOG_FIELD_AUDIT "NUTMEGCRANK_AUDIT"
/* The same for a decision on a request. */
#define LOG_FIELD_TRACE "NUTMEGCRANK_TRACE"

/**
 * log_line() - write one event as one line
 * @format: text or JSON
 * @level: its level
 * @fields: fields of GLib's structured logging; MESSAGE, LOG_FIELD_AUDIT
 *	and LOG_FIELD_TRACE are shown
 * @field_count: entries of @fields
 * @unix_ms: when
 *
 * Return: owned line with its end; control characters of the message are gone.
 */
char *log_line(enum log_format format, GLogLevelFlags level,
	       const GLogField *fields, gsize field_count, uint64_t unix_ms);

#endif
