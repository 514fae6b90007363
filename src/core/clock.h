#ifndef CORE_CLOCK_H
#define CORE_CLOCK_H

/**
 * DOC: clock
 *
 * The only readers of the clock. Duties read it and pass the reading to the
 * decisions, which never read one themselves.
 */

#include "core/units.h"

#include <time.h>

/**
 * clock_now() - read both clocks
 *
 * Return: the instant of the call.
 */
struct instant clock_now(void);

/**
 * clock_now_us() - read the boot-time clock
 *
 * Return: microseconds since boot, time in suspension included.
 */
uint64_t clock_now_us(void);

/**
 * clock_monotonic_deadline() - turn a deadline into one that pthread can wait for
 * @deadline_us: boot-time deadline
 * @out: the same point on CLOCK_MONOTONIC
 */
void clock_monotonic_deadline(uint64_t deadline_us, struct timespec *out);

/**
 * clock_ms_left() - milliseconds until a deadline, rounded up
 * @deadline_us: boot-time deadline
 * @now_us: boot-time now
 *
 * Return: 0 when it has passed; INT32_MAX at the most.
 */
int32_t clock_ms_left(uint64_t deadline_us, uint64_t now_us);

#endif
