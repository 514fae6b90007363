/*
 * A home that cannot reach some of its backend servers. Requests must go to
 * those that it reaches, and failed paths must be tried again.
 */
#include "test_instance.h"

namespace
{

/*
 * A home with four backend servers: 0 and 1 are in its own failure domain, 2
 * and 3 in another.
 */
class TestHome {
    public:
	TestInstance inst{ 0, 1 };
	struct service *service;

	TestHome()
	{
		struct doc_shape shape;
		struct policy policy = inst.state->policy;

		shape.slots = 3;
		policy.sharing = SHARING_DOMAIN;
		inst.state->policy = policy;
		inst.list(1, 1);
		inst.accept(make_doc(shape));
		service = inst.service();
		for (uint32_t i = 0; i < service->backend_count; i++) {
			service->backends[i].in_other_domain = i >= 2;
			service->backends[i].own_slots = i >= 2 ? 1 : 3;
			service->backends[i].own_long_slots = 0;
			service->backends[i].health.state = HEALTH_IN_SERVICE;
		}
	}

	/* As after two failed connects in a row. */
	void fail_path(uint32_t index)
	{
		struct health *health = &service->backends[index].health;

		health->connect_failed = true;
		health->failures_since_trusted = 2;
		health->caution_until_us = inst.now.mono_us + US_PER_S;
		health->trial_until_us = inst.now.mono_us + 9 * US_PER_S;
	}

	uint32_t running(uint32_t index) const
	{
		return service->backends[index].in_use_slots;
	}
};

struct path_case {
	const char *name;
	uint32_t failed_paths_mask;
	uint64_t after_ms;
	uint32_t requests;
	uint32_t running_max[4]; /* limit for each backend server */
	uint32_t granted;
};

const struct path_case path_cases[] = {
	{ "all paths work", 0, 0, 20, { 3, 3, 1, 1 }, 8 },
	{ "the path to one in its domain failed", 1, 0, 20, { 0, 3, 1, 1 }, 5 },
	{ "the path to one in another domain failed",
	  8,
	  0,
	  20,
	  { 3, 3, 1, 0 },
	  7 },
	{ "after the caution one request tries the path",
	  1,
	  1100,
	  20,
	  { 1, 3, 1, 1 },
	  6 },
	{ "all paths failed: all are tried", 15, 0, 20, { 3, 3, 1, 1 }, 8 },
};

TEST(FailedPathTest, RequestsAvoidFailedPaths)
{
	for (const auto &c : path_cases) {
		SCOPED_TRACE(c.name);
		TestHome home;

		for (uint32_t i = 0; i < 4; i++) {
			if (c.failed_paths_mask & (1u << i))
				home.fail_path(i);
		}
		home.inst.now.mono_us += c.after_ms * US_PER_MS;
		for (uint32_t i = 0; i < c.requests; i++)
			home.inst.request("/s/short", i);
		/*
		 * Requests wait up to TRUSTED_WAIT_US (200 ms) for a trusted
		 * server and then take any other.
		 */
		home.inst.pass_ms(250);
		for (uint32_t i = 0; i < 4; i++) {
			SCOPED_TRACE(i);
			EXPECT_LE(home.running(i), c.running_max[i]);
		}
		EXPECT_EQ(home.inst.count(EVENT_GRANT), c.granted);
	}
}

struct evidence_case {
	const char *name;
	enum evidence_kind kind;
	bool sent;
	bool failed_before;
	bool connect_failed;
};

const struct evidence_case evidence_cases[] = {
	{ "no connection", EVIDENCE_CONNECT, false, false, true },
	{ "a successful answer", EVIDENCE_OK, true, true, false },
	{ "a server error", EVIDENCE_SERVER_ERROR, true, true, false },
	{ "a refusal because of load", EVIDENCE_SHED, true, true, false },
	{ "not sent, too late", EVIDENCE_LATE, false, true, true },
	{ "not sent, cancelled", EVIDENCE_CANCELLED, false, true, true },
};

TEST(FailedPathTest, SentRequestClearsFailedPath)
{
	for (const auto &c : evidence_cases) {
		SCOPED_TRACE(c.name);
		TestHome home;
		uint32_t number = home.inst.request("/s/short");
		struct grant_event grant =
			home.inst.last_result_of(number)->grant;
		struct backend *backend =
			service_backend(home.service, grant.backend);

		backend->health.connect_failed = c.failed_before;
		home.inst.finish(grant, ended(c.kind, c.sent));
		EXPECT_EQ(backend->health.connect_failed, c.connect_failed);
	}
}

} // namespace
