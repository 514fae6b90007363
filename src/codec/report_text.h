#ifndef CODEC_REPORT_TEXT_H
#define CODEC_REPORT_TEXT_H

/**
 * DOC: reports as JSON and as text exposition
 */

#include "core/command.h"
#include "core/report.h"

/**
 * status_to_json() - write a status report
 * @report: the report
 *
 * Return: owned JSON text.
 */
char *status_to_json(const struct status_report *report);

/**
 * audit_to_json() - write audit records
 * @records: array of struct audit_record
 *
 * Return: owned JSON text, one object a line.
 */
char *audit_to_json(const GArray *records);

/**
 * audit_record_to_json() - write one audit record
 * @record: the record
 *
 * Return: owned JSON text on one line, without the line end.
 */
char *audit_record_to_json(const struct audit_record *record);

/**
 * entries_to_json() - write an answer to entries
 * @service: the service asked for
 * @reply: the answer
 *
 * Return: owned JSON text.
 */
char *entries_to_json(const struct name *service,
		      const struct entries_reply *reply);

/**
 * ready_to_json() - write whether callers should come
 * @reply: the answer
 *
 * Return: owned JSON text.
 */
char *ready_to_json(const struct ready_reply *reply);

/**
 * refusal_to_json() - write a refusal's body
 * @refusal: the refusal
 *
 * Return: owned JSON text with "error" and "outcome".
 */
char *refusal_to_json(const struct refusal *refusal);

/**
 * metrics_to_text() - write the counters in text exposition format
 * @report: the counters
 *
 * Return: owned text.
 */
char *metrics_to_text(const struct metrics_report *report);

#endif
