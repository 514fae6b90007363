#include "core/metrics.h"

#define FIRST_BOUND_US UINT64_C(250)

void histogram_add(struct histogram *histogram, uint64_t value_us)
{
	uint32_t bucket = 0;

	while (value_us > histogram_bound_us(bucket))
		bucket++;
	histogram->count[bucket]++;
	histogram->sum_us += value_us;
}

uint64_t histogram_bound_us(uint32_t bucket)
{
	if (bucket + 1 >= HISTOGRAM_BUCKETS)
		return UINT64_MAX;
	return FIRST_BOUND_US << bucket;
}

const char *connection_drop_text(enum connection_drop cause)
{
	switch (cause) {
	case CONNECTION_DROP_ANSWER:
		return "answer";
	case CONNECTION_DROP_USES:
		return "uses";
	case CONNECTION_DROP_LIMIT:
		return "limit";
	case CONNECTION_DROP_IDLE:
		return "idle";
	case CONNECTION_DROP_CLOSED:
		return "closed";
	case CONNECTION_DROP_STALE:
		return "stale";
	case CONNECTION_DROP_START:
		return "start";
	case CONNECTION_DROP_FAILURE:
		return "failure";
	case CONNECTION_DROP_COUNT:
		break;
	}
	return "";
}
