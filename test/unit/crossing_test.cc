/*
 * Requests that go to other failure domains: the decision by itself, and one
 * home in each of three domains with simulated backend servers. Guards against
 * needless crossings, against a domain that gets no help, and against one that
 * is overrun by the others.
 */
#include "test_instance.h"

#include <cinttypes>
#include <deque>
#include <memory>

extern "C" {
#include "query/answer.h"
#include "query/crossing.h"
#include "query/pick.h"
}

namespace
{

#define DOMAINS 3
#define SERVERS_MAX 4
#define SLOTS 3
#define SERVER_QUEUE_MAX 16
#define SERVICE_US (20 * US_PER_MS)
#define FAILED_US (300 * US_PER_MS)
#define STEP_MS 5
#define TICK_MS 50
#define PHASE_MS 4000
#define COST_MS 50
#define BUDGET_MS 1000

struct decision_case {
	const char *name;
	void (*change)(struct crossing_facts *facts);
	enum crossing_reason reason;
	bool prefer_across;
	bool unlimited;
	uint32_t keep_requests;
	uint32_t part_requests;
};

/*
 * Six slots in use here and eight requests waiting; a grant every 4 ms. The
 * other domain has 12 slots, half of them free, for two instances that ask.
 */
struct crossing_facts busy_facts()
{
	struct crossing_facts facts = {};

	facts.cost_us = COST_MS * US_PER_MS;
	facts.open_servers = 2;
	facts.slots = 6;
	facts.waiting_requests = 8;
	facts.slack_us = UINT64_MAX;
	facts.gap_us = 4 * US_PER_MS;
	facts.usual_us = SERVICE_US;
	facts.failed_us = 400 * US_PER_MS;
	facts.target_count = 1;
	facts.targets[0] = { 12, 500, 0, 2, 0, true };
	return facts;
}

const struct decision_case decision_cases[] = {
	{ "a short queue stays: 8 x 4 ms is less than 50 ms",
	  [](struct crossing_facts *) {}, CROSSING_NONE, false, false, 12, 3 },
	{ "a queue of 13 x 4 ms costs more than the crossing",
	  [](struct crossing_facts *f) { f->waiting_requests = 13; },
	  CROSSING_WAITING, false, false, 12, 3 },
	{ "free slots here serve a queue at once",
	  [](struct crossing_facts *f) {
		  f->waiting_requests = 13;
		  f->free_slots = 6;
	  },
	  CROSSING_NONE, false, false, 12, 3 },
	{ "a crossing in progress goes on for half the cost",
	  [](struct crossing_facts *f) { f->crossing = true; },
	  CROSSING_WAITING, false, false, 6, 3 },
	{ "no grant for twice the cost: the measured gap is of the past",
	  [](struct crossing_facts *f) { f->oldest_wait_us = 100 * US_PER_MS; },
	  CROSSING_WAITING, false, true, 0, 3 },
	{ "an objective that the wait could cost",
	  [](struct crossing_facts *f) { f->slack_us = 90 * US_PER_MS; },
	  CROSSING_WAITING, false, false, 0, 3 },
	{ "an objective that is missed without any free slot",
	  [](struct crossing_facts *f) { f->slack_us = 40 * US_PER_MS; },
	  CROSSING_WAITING, false, true, 0, 3 },
	{ "no backend server here",
	  [](struct crossing_facts *f) { f->open_servers = f->slots = 0; },
	  CROSSING_NO_SERVER, false, false, 0, 3 },
	{ "all backend servers here ejected or avoided",
	  [](struct crossing_facts *f) { f->slots = 0; }, CROSSING_UNHEALTHY,
	  false, false, 0, 3 },
	{ "half of the tries here fail after 400 ms",
	  [](struct crossing_facts *f) {
		  f->here = { 40, 20 };
	  },
	  CROSSING_UNHEALTHY, true, false, 0, 3 },
	{ "one failure among few tries shows nothing",
	  [](struct crossing_facts *f) {
		  f->here = { 20, 1 };
	  },
	  CROSSING_NONE, false, false, 11, 3 },
	{ "tries fail as often there",
	  [](struct crossing_facts *f) {
		  f->here = f->there = { 40, 20 };
	  },
	  CROSSING_NONE, false, false, 12, 3 },
	{ "all domains are full: any slot, as without the setting",
	  [](struct crossing_facts *f) {
		  f->waiting_requests = 13;
		  f->targets[0].load_permille = 1000;
	  },
	  CROSSING_WAITING, false, true, 12, 0 },
	{ "requests wait there: its free slots are spoken for",
	  [](struct crossing_facts *f) {
		  f->waiting_requests = 13;
		  f->targets[0].queue_requests = 6;
	  },
	  CROSSING_WAITING, false, true, 12, 0 },
	{ "digests lost: any slot, but only when waiting costs more",
	  [](struct crossing_facts *f) {
		  f->waiting_requests = 13;
		  f->targets[0].known = false;
	  },
	  CROSSING_WAITING, false, true, 12, 0 },
	{ "digests lost and a short queue",
	  [](struct crossing_facts *f) { f->targets[0].known = false; },
	  CROSSING_NONE, false, false, 12, 0 },
	{ "one slot free there for many askers: at least one request",
	  [](struct crossing_facts *f) {
		  f->targets[0].askers = 20;
		  f->targets[0].own_rank = 19;
		  f->waiting_requests = 13;
	  },
	  CROSSING_WAITING, false, false, 12, 1 },
	{ "seven slots free there for two askers: the first gets four",
	  [](struct crossing_facts *f) {
		  f->targets[0].load_permille = 400;
		  f->targets[0].slots = 12;
		  f->waiting_requests = 13;
	  },
	  CROSSING_WAITING, false, false, 12, 4 },
	{ "seven slots free there for two askers: the second gets three",
	  [](struct crossing_facts *f) {
		  f->targets[0].load_permille = 400;
		  f->targets[0].own_rank = 1;
		  f->waiting_requests = 13;
	  },
	  CROSSING_WAITING, false, false, 12, 3 },
	{ "a request was about to be refused: as without the setting",
	  [](struct crossing_facts *f) { f->open = true; }, CROSSING_WAITING,
	  false, true, 0, 3 },
};

TEST(CrossingTest, DecidesByExpectedTime)
{
	for (const auto &c : decision_cases) {
		SCOPED_TRACE(c.name);
		struct crossing_facts facts = busy_facts();
		struct crossing_plan plan;

		c.change(&facts);
		crossing_decide(&facts, &plan);
		EXPECT_EQ(plan.reason, c.reason);
		EXPECT_EQ(plan.prefer_across, c.prefer_across);
		EXPECT_EQ(plan.unlimited, c.unlimited);
		EXPECT_EQ(plan.keep_requests, c.keep_requests);
		EXPECT_EQ(plan.part_requests[0], c.part_requests);
	}
}

enum sim_fault { FAULT_NONE, FAULT_HANG, FAULT_HALF_FAIL };

/* A backend server that works on SLOTS requests at once and queues some. */
struct sim_server {
	uint32_t domain;
	bool hangs;
	bool fails; /* every second request, after FAILED_US */
	uint32_t requests;
	uint32_t running;
	std::deque<struct grant_event> queue;
	std::deque<uint32_t> askers; /* instance of each queued grant */
	uint32_t queue_peak;
};

/* A request at a backend server or one that hangs until its deadline. */
struct sim_work {
	uint32_t instance;
	uint32_t server;
	struct grant_event grant;
	uint64_t ends_us;
	bool hangs;
	bool fails;
};

/* What became of the requests of one domain in one phase. */
struct sim_result {
	uint32_t requests;
	uint32_t served;
	uint32_t crossed;
	uint64_t first_crossing_ms; /* from the start of the phase */
	uint64_t wait_us; /* total time in the queue */
	uint32_t crossed_last; /* in the last second of the phase */
};

class CrossingSim {
    public:
	std::vector<std::unique_ptr<TestInstance>> insts;
	std::vector<struct sim_server> servers;
	struct sim_result results[2][DOMAINS] = {};
	uint32_t begun = 0;
	uint32_t phase = 0;
	bool digests_lost = false;
	uint32_t budget_ms = BUDGET_MS;
	uint32_t queue_requests = 256;

	CrossingSim(uint32_t cost_ms, uint32_t seed)
	    : rand(g_rand_new_with_seed(seed))
	{
		for (uint32_t i = 0; i < DOMAINS; i++) {
			auto inst = std::make_unique<TestInstance>(i, DOMAINS);

			inst->settings.cross_domain_cost_ms = cost_ms;
			inst->settings.requests_max = 1024;
			inst->state->policy.sharing = SHARING_DOMAIN;
			g_rand_set_seed(inst->state->rand, seed * 10 + i);
			inst->list(DOMAINS);
			insts.push_back(std::move(inst));
		}
	}

	~CrossingSim()
	{
		g_rand_free(rand);
	}

	CrossingSim(const CrossingSim &) = delete;
	CrossingSim &operator=(const CrossingSim &) = delete;

	/* Publishes a document; servers keep their addresses by domain. */
	void publish(const uint32_t counts[DOMAINS])
	{
		static const char *const names[] = { "a", "b", "c" };
		struct doc_shape shape;
		uint32_t next = 0;

		if (servers.empty()) {
			for (uint32_t i = 0; i < DOMAINS * SERVERS_MAX; i++)
				servers.push_back({ i / SERVERS_MAX,
						    false,
						    false,
						    0,
						    0,
						    {},
						    {},
						    0 });
		}
		shape.backends = counts[0] + counts[1] + counts[2];
		shape.slots = SLOTS;
		shape.queue_requests = queue_requests;
		shape.budget_ms = budget_ms;
		shape.floor_percent = 10;
		version++;
		for (auto &inst : insts) {
			struct service_doc *doc = make_doc(shape, version);

			next = 0;
			for (uint32_t i = 0; i < DOMAINS * SERVERS_MAX; i++) {
				if (i % SERVERS_MAX >= counts[i / SERVERS_MAX])
					continue;
				doc->backends[next].addr = addr_of(i, 9000);
				name_set(&doc->backends[next++].domain,
					 names[i / SERVERS_MAX]);
			}
			inst->accept(doc);
		}
	}

	void set_fault(uint32_t domain, enum sim_fault fault)
	{
		for (auto &server : servers) {
			server.hangs |= server.domain == domain &&
					fault == FAULT_HANG;
			server.fails |= server.domain == domain &&
					fault == FAULT_HALF_FAIL;
		}
	}

	/* Runs one phase with these requests per second in each domain. */
	void run(uint32_t phase_, const uint32_t rates[DOMAINS],
		 uint64_t ms = PHASE_MS)
	{
		phase = phase_;
		phase_us = insts[0]->now.mono_us;
		for (uint64_t passed = 0; passed < ms; passed += STEP_MS)
			step(rates);
	}

    private:
	GRand *rand;
	uint64_t version = 0;
	uint64_t phase_us = 0;
	uint64_t time_ms = 0;
	uint64_t callers = 0;
	std::vector<struct sim_work> works;

	void step(const uint32_t rates[DOMAINS])
	{
		time_ms += STEP_MS;
		for (auto &inst : insts) {
			inst->now.mono_us += STEP_MS * US_PER_MS;
			inst->now.unix_ms += STEP_MS;
		}
		for (size_t i = 0; i < works.size();) {
			if (insts[0]->now.mono_us < works[i].ends_us) {
				i++;
				continue;
			}
			struct sim_work work = works[i];

			works.erase(works.begin() + (long)i);
			end(work);
		}
		for (uint32_t i = 0; i < DOMAINS; i++) {
			/* Ten independent chances give nearly random arrivals. */
			for (uint32_t k = 0; k < 10; k++) {
				if (g_rand_double(rand) * 10000 <
				    rates[i] * STEP_MS)
					arrive(i);
			}
			if (time_ms % TICK_MS == 0)
				insts[i]->tick();
			handle_events(i);
		}
	}

	void arrive(uint32_t i)
	{
		results[phase][i].requests++;
		insts[i]->request("/s/short", ++callers);
		handle_events(i);
	}

	void end(const struct sim_work &work)
	{
		struct sim_server &server = servers[work.server];

		if (!work.hangs) {
			server.running--;
			if (!server.queue.empty()) {
				struct grant_event next = server.queue.front();
				uint32_t asker = server.askers.front();

				server.queue.pop_front();
				server.askers.pop_front();
				start(work.server, asker, next);
			}
			results[phase][work.instance].served += !work.fails;
		}
		insts[work.instance]->finish(
			work.grant, ended(work.hangs ? EVIDENCE_TIMEOUT :
					  work.fails ? EVIDENCE_RESET :
						       EVIDENCE_OK));
		handle_events(work.instance);
	}

	void start(uint32_t index, uint32_t instance,
		   const struct grant_event &grant)
	{
		struct sim_server &server = servers[index];
		uint64_t now_us = insts[0]->now.mono_us;
		bool fails = server.fails && server.requests++ % 2 == 0;

		server.running += !server.hangs;
		works.push_back({ instance, index, grant,
				  server.hangs ? grant.deadline_us :
				  fails	       ? now_us + FAILED_US :
						 now_us + SERVICE_US,
				  server.hangs, fails });
	}

	void receive(uint32_t i, const struct grant_event &grant)
	{
		uint32_t index = grant.backend.ip - addr_of(0, 0).ip;
		struct sim_server &server = servers[index];
		struct sim_result &result = results[phase][i];
		const struct ticket *ticket =
			&insts[i]->state->tickets[grant.exchange.index];

		result.wait_us += ticket->granted_us - ticket->queued_us;
		result.crossed_last +=
			server.domain != i &&
			insts[0]->now.mono_us >=
				phase_us + (PHASE_MS - 1000) * US_PER_MS;
		if (server.domain != i && result.crossed++ == 0)
			result.first_crossing_ms =
				(insts[0]->now.mono_us - phase_us) / US_PER_MS;
		if (server.hangs || server.running < SLOTS) {
			start(index, i, grant);
			return;
		}
		if (server.queue.size() < SERVER_QUEUE_MAX) {
			server.queue.push_back(grant);
			server.askers.push_back(i);
			server.queue_peak = MAX(server.queue_peak,
						(uint32_t)server.queue.size());
			return;
		}
		insts[i]->finish(grant, ended(EVIDENCE_SHED));
		handle_events(i);
	}

	/* The exchange duty stops a try that takes too long. */
	void stop_try(uint32_t i, struct exchange_id exchange)
	{
		for (size_t k = 0; k < works.size(); k++) {
			if (works[k].instance != i || !works[k].hangs ||
			    works[k].grant.exchange.index != exchange.index)
				continue;
			works[k].ends_us = insts[0]->now.mono_us;
			return;
		}
	}

	void handle_events(uint32_t i)
	{
		std::vector<struct event> events;

		events.swap(insts[i]->events);
		for (struct event &event : events) {
			if (event.kind == EVENT_AUDIT)
				begun += event.audit.kind ==
					 AUDIT_CROSSING_BEGUN;
			if (event.kind == EVENT_GRANT)
				receive(i, event.grant);
			if (event.kind == EVENT_CANCEL)
				stop_try(i, event.cancel.exchange);
			if (event.kind == EVENT_PEER_SEND)
				send(event);
			event_clear(&event);
		}
	}

	void send(struct event &event)
	{
		uint32_t to = event.peer_send.to.ip - addr_of(256, 0).ip;

		if (to >= DOMAINS ||
		    (digests_lost &&
		     event.peer_send.message->kind == PEER_DIGEST))
			return;
		insts[to]->receive(g_steal_pointer(&event.peer_send.message));
	}
};

struct sim_case {
	const char *name; /* the load that it answers */
	uint32_t cost_ms;
	uint32_t servers[2][DOMAINS]; /* by phase; a server has 150 requests/s */
	uint32_t rates[2][DOMAINS];
	enum sim_fault fault; /* of the servers of domain a in the second phase */
	bool digests_lost;
	/* Of domain a in the second phase. */
	uint32_t crossed_min_permille;
	uint32_t crossed_max_permille;
	uint64_t first_crossing_max_ms;
	/* Over all domains in the second phase. */
	uint32_t served_min_permille;
	uint32_t begun_max;
	uint32_t queue_peak_max; /* at the backend servers of domain c */
	uint64_t wait_max_ms; /* mean of domain a */
	bool crossed_to_the_end; /* else none crosses in the last second */
};

const struct sim_case sim_cases[] = {
	{ "calm: half of the slots in use everywhere",
	  COST_MS,
	  { { 2, 2, 2 }, { 2, 2, 2 } },
	  { { 150, 150, 150 }, { 150, 150, 150 } },
	  FAULT_NONE,
	  false,
	  0,
	  0,
	  0,
	  990,
	  0,
	  0,
	  5,
	  false },
	{ "busy domain, idle neighbours",
	  COST_MS,
	  { { 2, 2, 2 }, { 2, 2, 2 } },
	  { { 180, 0, 0 }, { 180, 0, 0 } },
	  FAULT_NONE,
	  false,
	  0,
	  0,
	  0,
	  990,
	  0,
	  0,
	  10,
	  false },
	{ "unequal domains: one has a third of the servers and as many callers",
	  COST_MS,
	  { { 1, 3, 3 }, { 1, 3, 3 } },
	  { { 250, 150, 150 }, { 250, 150, 150 } },
	  FAULT_NONE,
	  false,
	  300,
	  600,
	  PHASE_MS,
	  980,
	  1,
	  2,
	  COST_MS,
	  true },
	{ "callers move from one domain to another",
	  COST_MS,
	  { { 2, 2, 2 }, { 2, 2, 2 } },
	  { { 0, 400, 150 }, { 400, 0, 150 } },
	  FAULT_NONE,
	  false,
	  100,
	  500,
	  1000,
	  980,
	  2,
	  2,
	  2 * COST_MS,
	  true },
	{ "a domain without servers",
	  COST_MS,
	  { { 0, 3, 3 }, { 0, 3, 3 } },
	  { { 150, 150, 150 }, { 150, 150, 150 } },
	  FAULT_NONE,
	  false,
	  950,
	  1050,
	  1000,
	  980,
	  1,
	  2,
	  COST_MS,
	  true },
	{ "a domain loses its servers",
	  COST_MS,
	  { { 2, 3, 3 }, { 0, 3, 3 } },
	  { { 150, 150, 150 }, { 150, 150, 150 } },
	  FAULT_NONE,
	  false,
	  950,
	  1050,
	  1000,
	  980,
	  1,
	  2,
	  COST_MS,
	  true },
	{ "a domain gets its servers back",
	  COST_MS,
	  { { 0, 3, 3 }, { 2, 3, 3 } },
	  { { 150, 150, 150 }, { 150, 150, 150 } },
	  FAULT_NONE,
	  false,
	  /* New servers get their part of the work over a ramp of 3 s. */
	  0,
	  250,
	  PHASE_MS,
	  980,
	  1,
	  2,
	  10,
	  false },
	{ "the servers of a domain hang",
	  COST_MS,
	  { { 2, 3, 3 }, { 2, 3, 3 } },
	  { { 150, 150, 150 }, { 150, 150, 150 } },
	  FAULT_HANG,
	  false,
	  700,
	  1000,
	  1000,
	  950,
	  1,
	  4,
	  COST_MS,
	  true },
	{ "half of the tries at the servers of a domain fail",
	  COST_MS,
	  { { 2, 3, 3 }, { 2, 3, 3 } },
	  { { 150, 150, 150 }, { 150, 150, 150 } },
	  FAULT_HALF_FAIL,
	  false,
	  700,
	  1000,
	  1000,
	  950,
	  1,
	  4,
	  COST_MS,
	  true },
	{ "digests lost: a domain with a third of the servers",
	  COST_MS,
	  { { 1, 3, 3 }, { 1, 3, 3 } },
	  { { 250, 150, 150 }, { 250, 150, 150 } },
	  FAULT_NONE,
	  true,
	  300,
	  600,
	  PHASE_MS,
	  980,
	  1,
	  4,
	  COST_MS,
	  true },
	{ "a burst in two domains beside one at half load",
	  COST_MS,
	  { { 2, 2, 2 }, { 2, 2, 2 } },
	  { { 150, 150, 150 }, { 350, 350, 150 } },
	  FAULT_NONE,
	  false,
	  80,
	  400,
	  PHASE_MS,
	  960,
	  3,
	  4,
	  3 * COST_MS,
	  true },
	{ "setting absent: idle neighbours are used as before",
	  0,
	  { { 2, 2, 2 }, { 2, 2, 2 } },
	  { { 210, 0, 0 }, { 210, 0, 0 } },
	  FAULT_NONE,
	  false,
	  100,
	  1000,
	  PHASE_MS,
	  990,
	  0,
	  SERVER_QUEUE_MAX,
	  5,
	  true },
};

void run_sim(const struct sim_case &c, CrossingSim *sim)
{
	sim->digests_lost = c.digests_lost;
	sim->publish(c.servers[0]);
	sim->run(0, c.rates[0]);
	if (memcmp(c.servers[0], c.servers[1], sizeof(c.servers[0])) != 0)
		sim->publish(c.servers[1]);
	sim->set_fault(0, c.fault);
	sim->run(1, c.rates[1]);
}

struct sim_result sum_phase(const CrossingSim &sim)
{
	struct sim_result sum = {};

	for (const auto &result : sim.results[1]) {
		sum.requests += result.requests;
		sum.served += result.served;
		sum.crossed += result.crossed;
	}
	return sum;
}

TEST(CrossingTest, CrossesWhenCallersGain)
{
	for (const auto &c : sim_cases) {
		for (uint32_t seed = 1; seed <= 3; seed++) {
			SCOPED_TRACE(c.name);
			SCOPED_TRACE(seed);
			CrossingSim sim(c.cost_ms, seed);

			run_sim(c, &sim);
			const struct sim_result &a = sim.results[1][0];
			struct sim_result sum = sum_phase(sim);
			uint32_t peak = 0;

			for (const auto &server : sim.servers) {
				if (server.domain == 2)
					peak = MAX(peak, server.queue_peak);
			}
			printf("%s, seed %u: crossed %u of %u, served %u of "
			       "%u, begun %u, queue peak %u, mean wait %" PRIu64
			       " us\n",
			       c.name, seed, a.crossed, a.requests, sum.served,
			       sum.requests, sim.begun, peak,
			       a.wait_us / a.requests);
			EXPECT_GE(a.crossed * 1000,
				  a.requests * c.crossed_min_permille);
			EXPECT_LE(a.crossed * 1000,
				  a.requests * c.crossed_max_permille);
			EXPECT_LE(a.first_crossing_ms, c.first_crossing_max_ms);
			EXPECT_GE(sum.served * 1000,
				  sum.requests * c.served_min_permille);
			EXPECT_LE(sim.begun, c.begun_max);
			EXPECT_LE(peak, c.queue_peak_max);
			EXPECT_EQ(a.crossed_last > 0, c.crossed_to_the_end);
			EXPECT_LE(a.wait_us,
				  a.requests * c.wait_max_ms * US_PER_MS);
		}
	}
}

struct overload_case {
	const char *name;
	uint32_t budget_ms;
	uint32_t queue_requests;
	uint32_t servers[DOMAINS];
	uint32_t rates[DOMAINS];
};

const struct overload_case overload_cases[] = {
	{ "all domains full", 1000, 256, { 1, 2, 3 }, { 500, 500, 500 } },
	{ "all domains full, deadlines as short as the cost",
	  80,
	  256,
	  { 1, 2, 3 },
	  { 500, 500, 500 } },
	{ "one domain above its slots, deadlines as short as the cost",
	  80,
	  256,
	  { 2, 2, 2 },
	  { 350, 150, 150 } },
	{ "one domain above its slots, a queue shorter than the cost",
	  1000,
	  8,
	  { 2, 2, 2 },
	  { 350, 150, 150 } },
};

/* Guards against refusing requests for the sake of the cost of crossings. */
TEST(CrossingTest, OverloadServesAsManyAsWithoutTheSetting)
{
	for (const auto &c : overload_cases) {
		SCOPED_TRACE(c.name);
		uint32_t served[2] = {};

		for (uint32_t with = 0; with < 2; with++) {
			for (uint32_t seed = 1; seed <= 3; seed++) {
				CrossingSim sim(with ? COST_MS : 0, seed);

				sim.budget_ms = c.budget_ms;
				sim.queue_requests = c.queue_requests;
				sim.publish(c.servers);
				sim.run(1, c.rates, 2 * PHASE_MS);
				served[with] += sum_phase(sim).served;
			}
		}
		printf("%s: served without the setting %u, with it %u\n",
		       c.name, served[0], served[1]);
		EXPECT_GE(served[1] * 100, served[0] * 98);
	}
}

struct allow_case {
	const char *name;
	enum crossing_reason reason;
	bool unlimited;
	uint32_t waiting;
	uint32_t running; /* in the other domain, of a part of 3 */
	uint32_t tried;
	bool allowed;
};

/* Four requests may stay in the queue. */
const struct allow_case allow_cases[] = {
	{ "no reason to cross", CROSSING_NONE, false, 9, 0, 0, false },
	{ "more requests wait than may stay", CROSSING_WAITING, false, 5, 2, 0,
	  true },
	{ "the queue may stay", CROSSING_WAITING, false, 4, 0, 0, false },
	{ "the part is in use", CROSSING_WAITING, false, 9, 3, 0, false },
	{ "the part is in use, but does not apply", CROSSING_WAITING, true, 9,
	  3, 0, true },
	{ "a retry", CROSSING_NONE, false, 1, 3, 1, true },
};

/* Guards against taking more of another domain than this instance's part. */
TEST(CrossingTest, AllowsUpToPartOfOtherDomain)
{
	for (const auto &c : allow_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst(0, 2);
		struct crossing *crossing;
		struct ticket ticket = {};

		inst.settings.cross_domain_cost_ms = COST_MS;
		inst.state->policy.sharing = SHARING_DOMAIN;
		inst.list(2, 2);
		inst.accept(make_doc(doc_shape()));
		inst.service()->waiting_requests = c.waiting;
		crossing = &inst.service()->crossing;
		ASSERT_EQ(crossing->domain_count, 1u);
		crossing->plan.reason = c.reason;
		crossing->plan.unlimited = c.unlimited;
		crossing->plan.keep_requests = 4;
		crossing->domains[0].part_requests = 3;
		crossing->domains[0].running_requests = c.running;
		ticket.tried_count = c.tried;
		EXPECT_TRUE(crossing_allows(inst.state, inst.service(), &ticket,
					    &inst.service()->backends[0]));
		EXPECT_EQ(crossing_allows(inst.state, inst.service(), &ticket,
					  &inst.service()->backends[1]),
			  c.allowed);
	}
}

struct order_case {
	const char *name;
	uint32_t cost_ms;
	uint32_t in_use_slots; /* of three, at each server of the own domain */
	bool prefer_across;
	bool across;
};

const struct order_case order_cases[] = {
	{ "a busy server here goes before an idle one elsewhere", COST_MS, 2,
	  false, false },
	{ "no free slot here", COST_MS, 3, false, true },
	{ "tries here fail too often", COST_MS, 0, true, true },
	{ "setting absent: by load, as before", 0, 2, false, true },
};

/* Guards against crossings while the own domain has a free slot. */
TEST(CrossingTest, OwnDomainGoesFirst)
{
	for (const auto &c : order_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst(0, 2);
		struct doc_shape shape;
		struct ticket ticket = {};
		struct pick pick;

		shape.slots = SLOTS;
		inst.settings.cross_domain_cost_ms = c.cost_ms;
		inst.state->policy.sharing = SHARING_DOMAIN;
		inst.list(2, 2);
		inst.accept(make_doc(shape));
		struct service *service = inst.service();

		for (uint32_t i = 0; i < service->backend_count; i++) {
			service->backends[i].health.state = HEALTH_IN_SERVICE;
			if (!service->backends[i].in_other_domain)
				service->backends[i].in_use_slots =
					c.in_use_slots;
		}
		service->grants = 1;
		service->crossing.plan.unlimited = true;
		service->crossing.plan.prefer_across = c.prefer_across;
		ticket.service = service;
		ticket.idempotent = true;
		ticket.tries_max = 2;
		ASSERT_TRUE(pick_slot(inst.state, service, &ticket, inst.now,
				      &pick));
		EXPECT_EQ(service->backends[pick.backend_index].in_other_domain,
			  c.across);
	}
}

/*
 * Six slots here and two elsewhere, eight places in the queue: 16 requests are
 * accepted with and without the setting. Guards against refusing a request for
 * a full queue while slots elsewhere are free.
 */
TEST(CrossingTest, FullQueueUsesOtherDomainsFirst)
{
	for (uint32_t cost_ms : { 0, COST_MS }) {
		SCOPED_TRACE(cost_ms);
		TestInstance inst(0, 2);
		struct doc_shape shape;

		shape.slots = SLOTS;
		shape.queue_requests = 8;
		inst.settings.cross_domain_cost_ms = cost_ms;
		inst.state->policy.sharing = SHARING_DOMAIN;
		inst.list(2, 2);
		inst.accept(make_doc(shape));
		inst.service()->mean_service_us = SERVICE_US;
		for (uint32_t i = 0; i < inst.service()->backend_count; i++)
			inst.service()->backends[i].health.state =
				HEALTH_IN_SERVICE;
		for (uint64_t caller = 1; caller <= 17; caller++)
			inst.request("/s/short", caller);
		EXPECT_EQ(inst.count(EVENT_GRANT), 8u);
		EXPECT_EQ(inst.count(EVENT_REFUSE), 1u);
	}
}

struct full_case {
	const char *name;
	uint32_t cost_ms;
	uint32_t load_permille;
	uint64_t full_ms;
	const char *first_domain;
};

const struct full_case full_cases[] = {
	{ "a home of the own domain with free slots", COST_MS, 950, 3000, "b" },
	{ "full for a moment", COST_MS, 1000, 500, "b" },
	{ "full for 3 s", COST_MS, 1000, 3000, "a" },
	{ "setting absent: a load of 900 permille is enough", 0, 950, 0, "a" },
};

/* Guards against sending callers to a home that can only send them across. */
TEST(CrossingTest, CallersAvoidHomesOfFullDomain)
{
	for (const auto &c : full_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst(0, 2);
		struct peer_digest digest = {};
		struct query query = {};
		struct query_reply reply;

		inst.settings.cross_domain_cost_ms = c.cost_ms;
		inst.state->policy.sharing = SHARING_DOMAIN;
		inst.list(2, 2);
		inst.accept(make_doc(doc_shape()));
		digest.load_permille = c.load_permille;
		for (uint64_t ms = 0; ms <= c.full_ms; ms += 500) {
			inst.now.mono_us += ms > 0 ? 500 * US_PER_MS : 0;
			home_observe_digest(inst.service(),
					    instance_of(1, 2).peer, &digest,
					    inst.now);
		}
		query.kind = QUERY_ENTRIES;
		name_set(&query.service, "s");
		name_set(&query.caller_domain, "b");
		query_answer(inst.state, &query, inst.now, &reply);
		ASSERT_EQ(reply.entries.entry_count, 2u);
		EXPECT_STREQ(reply.entries.entries[0].domain.text,
			     c.first_domain);
	}
}

} // namespace
