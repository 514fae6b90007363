#include "core/stop.h"

#include <glib.h>

/* Parts of the grace time at which the stages of a planned stop end. */
#define GRACE_PARTS 96
#define STARTS_PARTS 44
#define WORK_PARTS 88
#define CALLERS_PARTS 92
#define WEB_SERVERS_PARTS 93
#define PROCESS_PARTS 94
/*
 * Work that a planned stop breaks off counts as lost unless its request was
 * sent within 3 s of the SIGTERM, which may reach the process late.
 */
#define STARTS_MAX_US (2750 * US_PER_MS)

struct stop_times stop_times(uint64_t signalled_us, uint32_t grace_ms)
{
	uint64_t part_us = grace_ms * US_PER_MS / GRACE_PARTS;

	return (struct stop_times){
		.starts_bounded_us = signalled_us +
				     MIN(STARTS_PARTS * part_us, STARTS_MAX_US),
		.work_ends_us = signalled_us + WORK_PARTS * part_us,
		.callers_close_us = signalled_us + CALLERS_PARTS * part_us,
		.web_servers_end_us =
			signalled_us + WEB_SERVERS_PARTS * part_us,
		.process_ends_us = signalled_us + PROCESS_PARTS * part_us,
	};
}
