#include "core/clock.h"

static uint64_t read_us(clockid_t id);

struct instant clock_now(void)
{
	struct instant now = {
		.mono_us = read_us(CLOCK_BOOTTIME),
		.unix_ms = read_us(CLOCK_REALTIME) / US_PER_MS,
	};

	return now;
}

uint64_t clock_now_us(void)
{
	return read_us(CLOCK_BOOTTIME);
}

void clock_monotonic_deadline(uint64_t deadline_us, struct timespec *out)
{
	uint64_t now_us = read_us(CLOCK_BOOTTIME);
	uint64_t left_us = deadline_us > now_us ? deadline_us - now_us : 0;
	uint64_t at_us;

	/* Limited to a day, so that the sum below cannot overflow. */
	if (left_us > 86400 * US_PER_S)
		left_us = 86400 * US_PER_S;
	at_us = read_us(CLOCK_MONOTONIC) + left_us;
	out->tv_sec = (time_t)(at_us / US_PER_S);
	out->tv_nsec = (long)(at_us % US_PER_S * 1000);
}

int32_t clock_ms_left(uint64_t deadline_us, uint64_t now_us)
{
	uint64_t left_ms;

	if (deadline_us <= now_us)
		return 0;
	left_ms = (deadline_us - now_us + US_PER_MS - 1) / US_PER_MS;
	return left_ms > INT32_MAX ? INT32_MAX : (int32_t)left_ms;
}

static uint64_t read_us(clockid_t id)
{
	struct timespec ts;

	/* Does not fail for these clocks on Linux. */
	if (clock_gettime(id, &ts) != 0)
		return 0;
	return (uint64_t)ts.tv_sec * US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}
