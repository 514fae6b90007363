#include "query/shed_window.h"

/*
 * Fewer arrivals are too few to judge by; this many may be two requests that
 * were shed twice each.
 */
#define ARRIVALS_MIN 4
/*
 * A request that is shed costs its caller little time, so it is worth sending
 * while more than one in this many is accepted: backend servers may shed a part
 * of the requests for another reason than a lack of room.
 */
#define WORTHWHILE_DIVISOR 3

static struct shed_bucket sum_window(const struct service *service,
				     struct instant now);

bool shed_window_active(const struct service *service, struct instant now)
{
	struct shed_bucket sum = sum_window(service, now);
	uint32_t accepted = sum.arrivals - sum.shed;

	return sum.arrivals >= ARRIVALS_MIN &&
	       accepted * WORTHWHILE_DIVISOR < sum.arrivals;
}

uint32_t shed_window_worthwhile(const struct service *service,
				struct instant now)
{
	struct shed_bucket sum = sum_window(service, now);

	return (sum.arrivals - sum.shed) * WORTHWHILE_DIVISOR;
}

static struct shed_bucket sum_window(const struct service *service,
				     struct instant now)
{
	struct shed_bucket sum = { 0 };
	const struct shed_bucket *bucket;
	uint32_t i;

	for (i = 0; i < SHED_BUCKETS; i++) {
		bucket = &service->shed.buckets[i];
		if (bucket->begins_us + SHED_WINDOW_US <= now.mono_us)
			continue;
		sum.arrivals += bucket->arrivals;
		sum.shed += bucket->shed;
	}
	return sum;
}
