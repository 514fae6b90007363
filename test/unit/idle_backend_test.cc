/*
 * Work for backend servers that nothing speaks against any more, at the homes of
 * a service whose backend servers hang or fail by turns, one in three at a time.
 */
#include "fleet_sim.h"

extern "C" {
#include "query/health.h"
}

namespace
{

const uint32_t BACKENDS = 48;
const uint32_t FLOOR_PERMILLE = 700;
const uint64_t RUN_MS = 30000;
/* A backend server works soundly for this long before it counts. */
const uint64_t SOUND_MS = 2000;
/* Time in which it must get a request. */
const uint64_t WORK_MS = 2000;
const uint64_t SERVICE_MS = 400;
const uint64_t BUDGET_MS = 3000;

struct idle_case {
	const char *name;
	const char *path;
	uint32_t instances;
	enum evidence_kind kind; /* end of a request that fails */
	uint64_t fails_after_ms; /* since its grant */
	uint32_t failing_permille; /* of the requests to one that fails */
	uint64_t cycle_ms; /* of each backend server */
	uint64_t failing_ms; /* part of the cycle in which it fails */
	uint32_t requests_per_s; /* for each backend server, by all homes */
	uint32_t seed;
};

const struct idle_case idle_cases[] = {
	{ "hangs, little load", "/s/write", 6, EVIDENCE_TIMEOUT, BUDGET_MS, 750,
	  9000, 2700, 2, 1 },
	{ "hangs, other luck", "/s/write", 6, EVIDENCE_TIMEOUT, BUDGET_MS, 750,
	  9000, 2700, 2, 2 },
	{ "hangs, more load", "/s/write", 6, EVIDENCE_TIMEOUT, BUDGET_MS, 750,
	  9000, 2700, 4, 3 },
	{ "errors", "/s/write", 6, EVIDENCE_SERVER_ERROR, 20, 750, 9000, 2700,
	  2, 4 },
	{ "resets, long times", "/s/write", 6, EVIDENCE_RESET, 20, 500, 12000,
	  3600, 2, 5 },
	{ "hangs nearly always", "/s/write", 6, EVIDENCE_TIMEOUT, BUDGET_MS,
	  900, 12000, 3600, 3, 6 },
	{ "work that may run again, hangs", "/s/short", 6, EVIDENCE_TIMEOUT,
	  BUDGET_MS, 900, 12000, 3600, 3, 7 },
	{ "work that may run again, hangs for long", "/s/short", 6,
	  EVIDENCE_TIMEOUT, BUDGET_MS, 900, 20000, 9000, 3, 9 },
	{ "work that may run again, errors", "/s/short", 6,
	  EVIDENCE_SERVER_ERROR, 20, 900, 12000, 3600, 3, 10 },
	{ "work that may run again, resets, little load", "/s/short", 6,
	  EVIDENCE_RESET, 20, 900, 12000, 6000, 2, 11 },
	{ "work that may run again, resets, other luck", "/s/short", 6,
	  EVIDENCE_RESET, 20, 900, 12000, 6000, 2, 13 },
	{ "work that may run again, errors, least load", "/s/short", 6,
	  EVIDENCE_SERVER_ERROR, 20, 750, 9000, 2700, 1, 15 },
	{ "work that may run again, hangs, least load", "/s/short", 6,
	  EVIDENCE_TIMEOUT, BUDGET_MS, 750, 9000, 2700, 1, 16 },
	{ "work that may run again, few errors, two homes", "/s/short", 2,
	  EVIDENCE_SERVER_ERROR, 20, 100, 9000, 2700, 1, 22 },
	{ "work that may run again, few resets, two homes", "/s/short", 2,
	  EVIDENCE_RESET, 20, 100, 9000, 3600, 1, 22 },
	{ "work that may run again, few resets, one home", "/s/short", 1,
	  EVIDENCE_RESET, 20, 200, 9000, 4500, 1, 21 },
	{ "work that may run again, few hang, two homes", "/s/short", 2,
	  EVIDENCE_TIMEOUT, BUDGET_MS, 200, 9000, 4500, 1, 22 },
	{ "resets nearly always", "/s/write", 6, EVIDENCE_RESET, 20, 900, 12000,
	  6000, 2, 14 },
};

struct running_request {
	uint32_t inst;
	uint64_t ends_ms;
	struct grant_event grant;
	enum evidence_kind kind;
	uint64_t service_ms;
};

class FailingFleet {
    public:
	explicit FailingFleet(const struct idle_case &c_)
	    : c(c_), sim(c_.instances, c_.seed),
	      rand(g_rand_new_with_seed(c_.seed)), begins_ms(BACKENDS),
	      granted_ms(BACKENDS, 0)
	{
		struct doc_shape shape;

		shape.backends = BACKENDS;
		shape.floor_percent = FLOOR_PERMILLE / 10;
		shape.queue_requests = 64;
		shape.budget_ms = BUDGET_MS;
		for (uint32_t i = 0; i < BACKENDS; i++)
			begins_ms[i] = (uint64_t)g_rand_int_range(
				rand, 0, (gint32)c.cycle_ms);
		for (auto &inst : sim.insts) {
			inst->state->policy.sharing = SHARING_DOMAIN;
			inst->accept(make_doc(shape));
			for (uint32_t route : { 0u, 2u })
				inst->service()->route_typical_us[route] =
					SERVICE_MS * US_PER_MS;
		}
		sim.on_event = [this](uint32_t i, const struct event &event) {
			if (event.kind == EVENT_GRANT)
				begin(i, event.grant);
		};
	}
	~FailingFleet()
	{
		g_rand_free(rand);
	}
	FailingFleet(const FailingFleet &) = delete;
	FailingFleet &operator=(const FailingFleet &) = delete;

	/* Return: largest share of sound backend servers without work. */
	uint32_t run()
	{
		uint32_t most_permille = 0;

		for (; now_ms < RUN_MS; now_ms += SIM_STEP_MS) {
			send_requests();
			sim.pass_ms(SIM_STEP_MS);
			end_requests();
			if (now_ms % 100 == 0 && now_ms >= 2 * c.cycle_ms)
				most_permille = MAX(most_permille, idle());
		}
		return most_permille;
	}

    private:
	const struct idle_case &c;
	FleetSim sim;
	GRand *rand;
	std::vector<uint64_t> begins_ms;
	std::vector<uint64_t> granted_ms;
	std::vector<struct running_request> running;
	uint64_t now_ms = 0;
	uint32_t due_milli = 0;

	uint64_t in_cycle_ms(uint32_t backend) const
	{
		return (now_ms + begins_ms[backend]) % c.cycle_ms;
	}

	bool fails(uint32_t backend) const
	{
		return in_cycle_ms(backend) < c.failing_ms;
	}

	bool sound(uint32_t backend) const
	{
		return in_cycle_ms(backend) >=
		       c.failing_ms + SOUND_MS + WORK_MS;
	}

	void send_requests()
	{
		due_milli += BACKENDS * c.requests_per_s * SIM_STEP_MS;
		while (due_milli >= 1000) {
			due_milli -= 1000;
			sim.insts[(uint32_t)g_rand_int_range(
					  rand, 0, (gint32)c.instances)]
				->request(c.path, g_rand_int(rand));
		}
	}

	void begin(uint32_t inst, const struct grant_event &grant)
	{
		uint32_t backend = grant.backend.ip - addr_of(200, 0).ip;
		struct running_request request = {};

		granted_ms[backend] = now_ms;
		request.inst = inst;
		request.grant = grant;
		request.kind = EVIDENCE_OK;
		request.service_ms = SERVICE_MS;
		if (fails(backend) &&
		    (uint32_t)g_rand_int_range(rand, 0, 1000) <
			    c.failing_permille) {
			request.kind = c.kind;
			request.service_ms = c.fails_after_ms;
		}
		request.ends_ms = now_ms + request.service_ms;
		running.push_back(request);
	}

	void end_requests()
	{
		std::vector<struct running_request> left;
		std::vector<struct running_request> all;

		all.swap(running);
		for (const auto &request : all) {
			if (request.ends_ms > now_ms)
				left.push_back(request);
			else
				sim.insts[request.inst]->finish(
					request.grant,
					ended(request.kind, true,
					      request.service_ms * US_PER_MS));
		}
		running.insert(running.end(), left.begin(), left.end());
	}

	/* Return: share of the sound backend servers that got no request. */
	uint32_t idle() const
	{
		uint32_t sound_count = 0;
		uint32_t idle_count = 0;

		for (uint32_t i = 0; i < BACKENDS; i++) {
			if (!sound(i))
				continue;
			sound_count++;
			idle_count += granted_ms[i] + WORK_MS <= now_ms;
		}
		return sound_count ? idle_count * 1000 / sound_count : 0;
	}
};

/*
 * Guards against FLOOR: caution or chance kept work from most servers of a
 * service, long after they worked again.
 */
TEST(IdleBackend, SoundServersGetWorkWhileOthersFail)
{
	for (const auto &c : idle_cases) {
		SCOPED_TRACE(c.name);
		FailingFleet fleet(c);

		EXPECT_LE(fleet.run(), 1000 - FLOOR_PERMILLE);
	}
}

} // namespace
