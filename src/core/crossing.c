#include "core/crossing.h"

const char *crossing_reason_text(enum crossing_reason reason)
{
	static const char *const texts[CROSSING_REASON_COUNT] = {
		[CROSSING_NONE] = "none",
		[CROSSING_NO_SERVER] = "no_server",
		[CROSSING_UNHEALTHY] = "unhealthy",
		[CROSSING_WAITING] = "waiting",
	};

	return reason < CROSSING_REASON_COUNT ? texts[reason] : "invalid";
}
