#ifndef CODEC_REPORT_TEXT_H
#define CODEC_REPORT_TEXT_H

/**
 * DOC: reports as JSON, and metrics in the text exposition format
 */

#include "core/command.h"
#include "core/report.h"

/**
 * status_to_json() - format a status report
 * @report: status of this instance
 *
 * Return: owned JSON text.
 */
char *status_to_json(const struct status_report *report);

/**
 * audit_to_json() - format audit records
 * @records: array of struct audit_record
 *
 * Return: owned JSON text with one object per line.
 */
char *audit_to_json(const GArray *records);

/**
 * audit_record_to_json() - format an audit record
 * @record: audit record
 *
 * Return: owned JSON text on one line, without a newline.
 */
char *audit_record_to_json(const struct audit_record *record);

/**
 * entries_to_json() - format the entries of a service
 * @service: service that was asked for
 * @reply: entries and their expiry time
 *
 * Return: owned JSON text.
 */
char *entries_to_json(const struct name *service,
		      const struct entries_reply *reply);

/**
 * ready_to_json() - format the readiness of this instance
 * @reply: readiness
 *
 * Return: owned JSON text.
 */
char *ready_to_json(const struct ready_reply *reply);

/**
 * refusal_to_json() - format the body of an answer to a refused request
 * @refusal: cause, outcome and time for a retry
 *
 * Return: owned JSON text with "error", "outcome" and, if a time is
 * set, "retry_at_unix_ms".
 */
char *refusal_to_json(const struct refusal *refusal);

/**
 * metrics_to_text() - write metrics in the text exposition format
 * @report: values of the metrics
 *
 * Return: owned text.
 */
char *metrics_to_text(const struct metrics_report *report);

#endif
