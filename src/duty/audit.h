#ifndef DUTY_AUDIT_H
#define DUTY_AUDIT_H

/**
 * DOC: audit duty: logs the audit trail and the trace of requests
 */

#include "core/error.h"
#include "core/event.h"

struct audit_duty;

/**
 * audit_start() - start the thread of the audit duty
 * @settings: must outlive the duty
 * @dispatch: ring of struct message to the dispatch duty, not owned
 * @error: DUTY_ERROR on failure
 *
 * Return: the audit duty, to be ended with audit_stop(), or NULL.
 */
struct audit_duty *audit_start(const struct settings *settings,
			       struct ring *dispatch, GError **error);

/**
 * audit_stop() - stop the thread of the audit duty and free it
 * @duty: audit duty, or NULL
 */
void audit_stop(struct audit_duty *duty);

/**
 * audit_send() - log an audit record
 * @duty: audit duty
 * @record: copied
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result audit_send(struct audit_duty *duty,
			    const struct audit_record *record);

/**
 * audit_send_trace() - log a trace record, a decision on a request
 * @duty: audit duty
 * @record: copied
 *
 * Return: RING_OK, RING_FULL when the record is dropped and counted, or
 *	RING_CLOSED.
 */
enum ring_result audit_send_trace(struct audit_duty *duty,
				  const struct trace_record *record);

#endif
