#ifndef CORE_UNITS_H
#define CORE_UNITS_H

/**
 * DOC: units
 *
 * Quantities are fixed-width integers whose names end in their unit: _us,
 * _ms, _bytes, _slots, _permille, _requests. A point in time is an absolute
 * number of microseconds; the routing state stores time limits as deadlines,
 * not as durations.
 */

#include <stdbool.h>
#include <stdint.h>

#define US_PER_MS UINT64_C(1000)
#define US_PER_S UINT64_C(1000000)
#define MS_PER_S UINT64_C(1000)
#define PERMILLE_ONE UINT32_C(1000)

/* No deadline. */
#define DEADLINE_NONE_US UINT64_MAX

/**
 * struct instant - one reading of both clocks
 * @mono_us: boot-time clock, which also advances while the process is paused or
 *	the machine suspended
 * @unix_ms: wall clock, only for values that leave the process
 */
struct instant {
	uint64_t mono_us;
	uint64_t unix_ms;
};

#endif
