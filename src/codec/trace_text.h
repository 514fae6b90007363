#ifndef CODEC_TRACE_TEXT_H
#define CODEC_TRACE_TEXT_H

/**
 * DOC: request trace records as JSON
 */

#include "core/trace.h"

/**
 * trace_record_to_json() - format a request trace record
 * @record: trace record of one decision on a request
 *
 * Return: owned JSON text on one line, without a newline.
 */
char *trace_record_to_json(const struct trace_record *record);

#endif
