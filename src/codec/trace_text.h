#ifndef CODEC_TRACE_TEXT_H
#define CODEC_TRACE_TEXT_H

/**
 * DOC: request trace as JSON
 */

#include "core/trace.h"

/**
 * trace_record_to_json() - write a record
 * @record: the record
 *
 * Return: owned JSON text of one line.
 */
char *trace_record_to_json(const struct trace_record *record);

#endif
