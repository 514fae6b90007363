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
