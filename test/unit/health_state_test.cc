/*
 * Health of one backend server at one home. After a stall of the process old
 * evidence must not count, and a drain must close the backend server here and
 * be reported to the other homes.
 */
#include <gtest/gtest.h>

extern "C" {
#include "command/health.h"
#include "query/health.h"
}

namespace
{

const uint64_t START_US = 100 * US_PER_S;

struct fixture {
	struct settings settings;
	struct state *state;
	struct service *service;
	struct event_list events;
};

void setup(struct fixture *f)
{
	struct service_doc *doc = g_new0(struct service_doc, 1);

	memset(f, 0, sizeof(*f));
	doc->refs = 1;
	doc->version = 1;
	name_set(&doc->service, "gallery");
	doc->backend_count = 1;
	doc->backends = g_new0(struct backend_doc, 1);
	doc->backends[0].addr.ip = 0x7f000001;
	doc->backends[0].addr.port = 9001;
	doc->backends[0].capacity_slots = 6;
	name_set(&f->settings.domain, "a");
	f->state = state_new(&f->settings);
	f->service = service_new(doc);
	f->service->backends[0].own_slots = 6;
	service_doc_unref(doc);
	event_list_init(&f->events);
}

void teardown(struct fixture *f)
{
	event_list_clear(&f->events);
	service_free(f->service);
	state_free(f->state);
}

struct instant at(uint64_t after_us)
{
	struct instant now = { START_US + after_us, 0 };

	return now;
}

struct stall_case {
	const char *name;
	uint64_t gap_us;
	uint32_t failed_requests;
};

const struct stall_case stall_cases[] = {
	{ "evaluated as usual", 100 * US_PER_MS, 2 },
	{ "the process was stalled", 5 * US_PER_S, 0 },
};

TEST(HealthStateTest, StallDiscardsEvidence)
{
	for (const auto &c : stall_cases) {
		SCOPED_TRACE(c.name);
		struct fixture f;
		setup(&f);
		struct health *health = &f.service->backends[0].health;
		uint64_t bucket = START_US / HEALTH_BUCKET_US;

		health_tick(f.state, f.service, at(0), &f.events);
		health->buckets[bucket % HEALTH_BUCKETS].begins_us = START_US;
		health->buckets[bucket % HEALTH_BUCKETS].failed_requests = 2;
		health->views[0].home.port = 1;
		health->views[0].fresh_until_us = DEADLINE_NONE_US;
		f.state->policy.ejecting = false;
		health->suspected_since_us = START_US;
		health_tick(f.state, f.service, at(c.gap_us), &f.events);
		EXPECT_EQ(health_window(&f.service->backends[0], at(c.gap_us))
				  .failed_requests,
			  c.failed_requests);
		EXPECT_EQ(health->views[0].home.port != 0,
			  c.failed_requests != 0);
		teardown(&f);
	}
}

struct drain_case {
	const char *name;
	bool in_document;
	uint64_t seen_until_us;
	uint32_t open_slots;
	bool reported;
};

const struct drain_case drain_cases[] = {
	{ "no drain", false, 0, 6, false },
	{ "drain in the document", true, 0, 0, false },
	{ "drain notice in an answer or load report", false, START_US + 1, 0,
	  true },
	{ "expired drain notice", false, START_US, 6, false },
};

TEST(HealthStateTest, DrainClosesBackendAndIsInDigest)
{
	for (const auto &c : drain_cases) {
		SCOPED_TRACE(c.name);
		struct fixture f;
		setup(&f);
		struct backend *backend = &f.service->backends[0];
		struct peer_digest digest = {};

		backend->drain_document = c.in_document;
		backend->drain_seen_until_us = c.seen_until_us;
		EXPECT_EQ(backend_open_slots(backend, at(0)), c.open_slots);
		health_digest(f.service, at(0), &digest);
		EXPECT_EQ(digest.entry_count > 0 && digest.entries[0].draining,
			  c.reported);
		teardown(&f);
	}
}

} // namespace
