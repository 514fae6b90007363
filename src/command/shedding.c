#include "command/shedding.h"

#include "query/shed_window.h"

/*
 * Requests that are admitted per second when none is accepted. Callers need the
 * first success within 1 s after backend servers accept work again; one of five
 * tests in that time may be lost or late.
 */
#define TESTS_PER_S 5
/* Admissions not used accumulate for this time. */
#define SAVED_US SHED_BUCKET_US

bool shedding_enabled(const struct state *state)
{
	return state->settings->headers.load[0] != '\0';
}

void shedding_observe(const struct state *state, struct service *service,
		      const struct evidence *evidence, struct instant now)
{
	uint64_t number = now.mono_us / SHED_BUCKET_US;
	struct shed_bucket *bucket =
		&service->shed.buckets[number % SHED_BUCKETS];
	bool shed = evidence_overloaded(evidence);

	if (!shedding_enabled(state) || !evidence->request_sent)
		return;
	if (bucket->begins_us != number * SHED_BUCKET_US) {
		bucket->begins_us = number * SHED_BUCKET_US;
		bucket->arrivals = 0;
		bucket->shed = 0;
	}
	bucket->arrivals++;
	bucket->shed += shed;
	service->counters.shed_answers += shed;
}

bool shedding_admits(struct service *service, struct instant now)
{
	uint32_t rate_per_s;
	uint64_t due_us;

	if (!shed_window_active(service, now))
		return true;
	rate_per_s = MAX(shed_window_worthwhile(service, now), TESTS_PER_S);
	due_us = MAX(service->shed.admit_due_us, now.mono_us - SAVED_US);
	if (due_us > now.mono_us) {
		service->counters.shed_refused++;
		return false;
	}
	service->shed.admit_due_us = due_us + US_PER_S / rate_per_s;
	return true;
}
