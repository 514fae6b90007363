#ifndef STANDIN_RUNLOG_H
#define STANDIN_RUNLOG_H

/**
 * DOC: run log: every piece of work that a backend server began or shed
 */

#include <glib.h>
#include <json.h>

#include "core/ids.h"

#define RUNLOG_MAX 200000

/**
 * enum run_end - how a piece of work ended
 * @RUN_RUNNING: not yet
 * @RUN_WHOLE: with a whole answer
 * @RUN_BROKEN: without one
 * @RUN_CANCELLED: its caller was gone
 * @RUN_SHED: it was refused and never ran
 */
enum run_end { RUN_RUNNING, RUN_WHOLE, RUN_BROKEN, RUN_CANCELLED, RUN_SHED };

/**
 * struct run - one piece of work
 * @id: request id, empty when none came
 * @port: which backend server
 * @method: request method
 * @begin_unix_us: when it began
 * @end_unix_us: when it ended, 0 while it runs
 * @end: how it ended
 * @retry_after_s: with RUN_SHED, what the refusal said, 0 for nothing
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
 * runlog_begin() - note that work begins now
 * @id: request id, or NULL
 * @port: which backend server
 * @method: request method
 *
 * Return: its place, for runlog_end(); RUNLOG_MAX when the log is full.
 */
uint32_t runlog_begin(const char *id, uint16_t port, const char *method);

/**
 * runlog_end() - note that work ends now
 * @index: its place
 * @end: how
 */
void runlog_end(uint32_t index, enum run_end end);

/**
 * runlog_shed() - note that work came and is shed
 * @id: request id, or NULL
 * @port: which backend server
 * @method: request method
 * @retry_after_s: what the refusal says, 0 for nothing
 */
void runlog_shed(const char *id, uint16_t port, const char *method,
		 uint32_t retry_after_s);

/**
 * runlog_text() - write the log
 *
 * Return: owned text, one JSON object a line.
 */
char *runlog_text(void);

/**
 * runlog_counts() - count the work that ran by request id
 *
 * Return: a JSON object of id to count, owned.
 */
json_object *runlog_counts(void);

#endif
