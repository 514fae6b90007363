#include "duty/config_watch.h"

#define INDEX_POLL_INTERVAL_US (30 * US_PER_S)
#define INSTANCES_POLL_INTERVAL_US (5 * US_PER_S)
#define UNCHANGED_READ_INTERVAL_US US_PER_S
/* Changes come in bursts; those within this interval are read together. */
#define CHANGED_READ_INTERVAL_US (300 * US_PER_MS)
/*
 * Delays of a standby, after which peers have most likely relayed what the
 * first reader has read.
 */
#define STANDBY_READ_INTERVAL_US (800 * US_PER_MS)
#define STANDBY_RELAY_WAIT_US (500 * US_PER_MS)
#define RETRY_FIRST_US (500 * US_PER_MS)
#define RETRY_DOUBLINGS_MAX 2
#define RELAY_WAIT_US (1500 * US_PER_MS)

static uint64_t poll_interval_us(enum watch_kind kind);
static uint64_t jittered_us(uint64_t span_us, GRand *rand);

bool watch_has_ended_read(const struct watch *watch)
{
	return watch->known || watch->failures > 0;
}

uint32_t watch_wait_ms(const struct watch *watch, enum reader_role role)
{
	/* The first read returns the current list, changed or not. */
	if (role == READER_NONE || !watch->known)
		return 0;
	return watch->poll_ms;
}

void watch_record_answer(struct watch *watch, uint64_t version,
			 enum reader_role role, GRand *rand, uint64_t now_us)
{
	bool same = watch->known && version == watch->after;

	watch->running = false;
	watch->failures = 0;
	watch->known = true;
	watch->after = version;
	switch (role) {
	case READER_NONE:
		watch->due_us =
			now_us +
			jittered_us(poll_interval_us(watch->kind), rand);
		return;
	case READER_STANDBY:
		watch->due_us = watch->began_us + STANDBY_READ_INTERVAL_US;
		break;
	case READER_FIRST:
		/* Limits the rate if long polls are answered immediately. */
		watch->due_us =
			watch->began_us + (same ? UNCHANGED_READ_INTERVAL_US :
						  CHANGED_READ_INTERVAL_US);
		break;
	}
	watch->due_us = MAX(watch->due_us, now_us);
}

void watch_record_failure(struct watch *watch, GRand *rand, uint64_t now_us)
{
	watch->running = false;
	watch->failures++;
	watch->due_us = watch_retry_us(watch->failures, rand, now_us);
}

uint64_t watch_retry_us(uint32_t failures, GRand *rand, uint64_t now_us)
{
	uint32_t doublings = MIN(failures - 1, RETRY_DOUBLINGS_MAX);

	return now_us + jittered_us(RETRY_FIRST_US << doublings, rand);
}

uint64_t watch_document_due_us(enum reader_role role, bool alone, GRand *rand,
			       uint64_t now_us)
{
	if (alone)
		return now_us;
	switch (role) {
	case READER_FIRST:
		break;
	case READER_STANDBY:
		return now_us + STANDBY_RELAY_WAIT_US;
	case READER_NONE:
		return now_us + jittered_us(RELAY_WAIT_US, rand);
	}
	return now_us;
}

static uint64_t poll_interval_us(enum watch_kind kind)
{
	switch (kind) {
	case WATCH_INDEX:
		return INDEX_POLL_INTERVAL_US;
	case WATCH_INSTANCES:
		break;
	}
	return INSTANCES_POLL_INTERVAL_US;
}

/* Return: a random duration from half of @span_us to @span_us. */
static uint64_t jittered_us(uint64_t span_us, GRand *rand)
{
	return span_us / 2 +
	       (uint64_t)g_rand_int_range(rand, 0, (gint32)(span_us / 2) + 1);
}
