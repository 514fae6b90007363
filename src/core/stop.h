#ifndef CORE_STOP_H
#define CORE_STOP_H

/**
 * DOC: deadlines of a planned stop
 *
 * The platform kills a process when the grace time after its SIGTERM has
 * passed. Until the last sixth of it, work that was accepted must not be broken
 * off; by its end, the process must be gone.
 */

#include "core/units.h"

/**
 * struct stop_times - deadlines of a planned stop, boot time
 * @starts_bounded_us: from then on, only requests whose own deadline is before
 *	@work_ends_us are started
 * @work_ends_us: the requests that still run are cancelled
 * @callers_close_us: the callers' connections that are still open are closed
 * @web_servers_end_us: the threads of the directory and the operators' server are
 *	no longer waited for
 * @process_ends_us: the process ends, whatever still runs in it
 */
struct stop_times {
	uint64_t starts_bounded_us;
	uint64_t work_ends_us;
	uint64_t callers_close_us;
	uint64_t web_servers_end_us;
	uint64_t process_ends_us;
};

/**
 * stop_times() - deadlines of a planned stop
 * @signalled_us: boot time of the SIGTERM
 * @grace_ms: time after which the process is killed
 *
 * Return: the deadlines, in the order of the members of struct stop_times.
 */
struct stop_times stop_times(uint64_t signalled_us, uint32_t grace_ms);

#endif
