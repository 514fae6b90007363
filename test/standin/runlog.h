#ifndef STANDIN_RUNLOG_H
#define STANDIN_RUNLOG_H

/**
 * DOC: run log: every request that a simulated backend server processed or
 * shed
 */

#include <glib.h>
#include <json.h>

#include "core/ids.h"

#define RUNLOG_MAX 200000

/**
 * enum run_end - outcome of a request
 * @RUN_RUNNING: still being processed
 * @RUN_COMPLETE: a complete response was sent
 * @RUN_INCOMPLETE: no response or only a part of it was sent
 * @RUN_CANCELLED: the client closed the connection during processing
 * @RUN_SHED: refused without processing
 */
enum run_end {
	RUN_RUNNING,
	RUN_COMPLETE,
	RUN_INCOMPLETE,
	RUN_CANCELLED,
	RUN_SHED,
};

/**
 * struct run - log entry of one request
 * @id: request id, empty if the request had none
 * @port: port of the backend server
 * @method: request method
 * @begin_unix_us: wall-clock time when processing began or the request was shed
 * @end_unix_us: wall-clock time when processing ended; 0 before that and for
 *	shed requests
 * @end: outcome
 * @retry_after_s: Retry-After value of a shed request, 0 for no such header
 */
struct run {
	struct name id;
	uint16_t port;
	char method[8];
	uint64_t begin_unix_us;
	uint64_t end_unix_us;
	enum run_end end;
	uint32_t retry_after_s;
};

/**
 * runlog_begin() - log that processing of a request begins now
 * @id: request id, or NULL
 * @port: port of the backend server
 * @method: request method
 *
 * Return: index of the entry for runlog_end(); RUNLOG_MAX if the log is full.
 */
uint32_t runlog_begin(const char *id, uint16_t port, const char *method);

/**
 * runlog_end() - log that processing of a request ends now
 * @index: index of the entry
 * @end: outcome
 */
void runlog_end(uint32_t index, enum run_end end);

/**
 * runlog_shed() - log a request that is shed
 * @id: request id, or NULL
 * @port: port of the backend server
 * @method: request method
 * @retry_after_s: Retry-After value of the response, 0 for no such header
 */
void runlog_shed(const char *id, uint16_t port, const char *method,
		 uint32_t retry_after_s);

/**
 * runlog_text() - format the log
 *
 * Return: text owned by the caller, one JSON object a line.
 */
char *runlog_text(void);

/**
 * runlog_counts() - count the processed requests by request id
 *
 * Return: JSON object that maps ids to counts, owned by the caller.
 */
json_object *runlog_counts(void);

#endif
