#include "stats.h"

#define PERCENT 100

static gint compare_u64(gconstpointer a, gconstpointer b);
static uint64_t percentile(const GArray *sorted, uint32_t percent);

struct stats stats_compute(const GArray *samples, uint32_t stream,
			   uint32_t from_ms, uint32_t until_ms)
{
	GArray *served = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const struct load_sample *sample;
	struct stats stats = { 0 };
	guint i;

	for (i = 0; i < samples->len; i++) {
		sample = &g_array_index(samples, struct load_sample, i);
		if ((stream != STATS_ALL_STREAMS && sample->stream != stream) ||
		    sample->at_us < from_ms * US_PER_MS ||
		    sample->at_us >= until_ms * US_PER_MS)
			continue;
		stats.count[sample->outcome]++;
		stats.all++;
		if (sample->outcome == LOAD_SERVED)
			g_array_append_val(served, sample->latency_us);
	}
	g_array_sort(served, compare_u64);
	stats.p50_us = percentile(served, 50);
	stats.p99_us = percentile(served, 99);
	g_array_unref(served);
	return stats;
}

uint32_t stats_count_served(const GArray *samples, uint32_t from_ms,
			    uint32_t until_ms)
{
	const struct load_sample *sample;
	uint32_t served = 0;
	uint64_t end_us;
	guint i;

	for (i = 0; i < samples->len; i++) {
		sample = &g_array_index(samples, struct load_sample, i);
		end_us = sample->at_us + sample->latency_us;
		if (sample->outcome == LOAD_SERVED &&
		    end_us >= from_ms * US_PER_MS &&
		    end_us < until_ms * US_PER_MS)
			served++;
	}
	return served;
}

static gint compare_u64(gconstpointer a, gconstpointer b)
{
	uint64_t first = *(const uint64_t *)a;
	uint64_t second = *(const uint64_t *)b;

	if (first == second)
		return 0;
	return first < second ? -1 : 1;
}

static uint64_t percentile(const GArray *sorted, uint32_t percent)
{
	guint rank;

	if (sorted->len == 0)
		return 0;
	rank = (sorted->len * percent + PERCENT - 1) / PERCENT;
	return g_array_index(sorted, uint64_t, rank > 0 ? rank - 1 : 0);
}
