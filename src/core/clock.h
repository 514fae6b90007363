#ifndef CORE_CLOCK_H
#define CORE_CLOCK_H

/**
 * DOC: clock
 *
 * Only these functions read the system clocks. Duties read the time and pass it
 * to commands and queries, which never read a clock themselves.
 */

#include "core/units.h"

#include <time.h>

/**
 * clock_now() - read the boot-time clock and the wall clock
 *
 * Return: the current time on both clocks.
 */
struct instant clock_now(void);

/**
 * clock_now_us() - read the boot-time clock
 *
 * Return: microseconds since boot, including time spent in suspend.
 */
uint64_t clock_now_us(void);

/**
 * clock_monotonic_deadline() - convert a deadline for pthread_cond_timedwait()
 * @deadline_us: boot-time deadline
 * @out: the same point on CLOCK_MONOTONIC, at most one day ahead
 */
void clock_monotonic_deadline(uint64_t deadline_us, struct timespec *out);

/**
 * clock_ms_left() - milliseconds until a deadline, rounded up
 * @deadline_us: boot-time deadline
 * @now_us: current boot time
 *
 * Return: 0 if the deadline has passed, INT32_MAX at most.
 */
int32_t clock_ms_left(uint64_t deadline_us, uint64_t now_us);

#endif
