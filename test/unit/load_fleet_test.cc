/*
 * Instances that share backend servers with queues, with and without load
 * reports: how many arrivals are shed and how long requests wait at a server.
 */
#include "test_instance.h"

#include <deque>
#include <memory>
#include <random>
#include <set>

namespace
{

const uint32_t server_slots = 4;
const uint32_t server_queue = 16;
const uint32_t step_us = 1000;

/* One try at a server. */
struct work {
	uint32_t instance;
	struct grant_event grant;
	uint64_t arrived_us;
	uint64_t started_us;
	uint64_t ends_us;
};

struct server {
	std::vector<struct work> running;
	std::deque<struct work> waiting;
	uint32_t arrivals = 0;
};

struct fleet_case {
	const char *name;
	uint32_t instances;
	uint32_t servers;
	uint32_t requests_per_s;
	uint32_t hung; /* servers that never answer from the second second on */
	uint32_t slow; /* servers that take three times as long */
	uint32_t draws; /* plays whose waits are compared together */
};

const struct fleet_case fleet_cases[] = {
	{ "usual load", 20, 12, 600, 0, 0, 1 },
	{ "nearly all slots in use", 20, 12, 1050, 0, 0, 1 },
	{ "more than all slots can serve", 20, 12, 1400, 0, 0, 1 },
	{ "one server hangs", 20, 12, 600, 1, 0, 1 },
	{ "four slow servers", 20, 12, 700, 0, 4, 3 },
	{ "few requests for each of many instances", 60, 30, 1500, 0, 6, 8 },
};

struct fleet_result {
	uint32_t requests = 0;
	uint32_t shed = 0;
	uint32_t served = 0;
	uint32_t waited = 0; /* at a server, for 5 ms or more */
	uint64_t waited_us = 0;
	uint32_t hung_arrivals = 0;
	uint32_t arrivals_min = UINT32_MAX;
	uint32_t extra = 0; /* arrivals beyond the first of each request */
	uint64_t first_served_us = 0; /* after the servers shed everything */
};

class LoadFleet {
    public:
	LoadFleet(const struct fleet_case &c, bool setting, uint32_t seed)
	    : c_(c), random_(seed), arrivals_(seed + 1), servers_(c.servers)
	{
		for (uint32_t i = 0; i < c.instances; i++) {
			auto inst = std::make_unique<TestInstance>();

			if (setting)
				g_strlcpy(inst->settings.headers.load, "X-Load",
					  NAME_BYTES_MAX);
			inst->settings.retry_earned_permille = 200;
			inst->settings.retry_allowance_permille = 60000;
			inst->settings.retry_window_ms = 10000;
			inst->settings.requests_max = 1000;
			inst->state->policy.sharing = SHARING_NONE;
			g_rand_set_seed(inst->state->rand, random_());
			inst->list(1);
			inst->accept(make_doc(
				{ c.servers, server_slots, 50, 64, 2000 }));
			inst->pass_ms(15000);
			inst->forget();
			instances_.push_back(std::move(inst));
		}
		now_us_ = begin_us_ = instances_[0]->now.mono_us;
	}

	/* All servers shed everything from @from_us to @until_us. */
	void shed_all(uint64_t from_us, uint64_t until_us)
	{
		shed_from_us_ = begin_us_ + from_us;
		shed_until_us_ = begin_us_ + until_us;
	}

	/* Divides the allowance for retries among the instances. */
	void share_allowance()
	{
		for (auto &inst : instances_) {
			struct service *service = inst->service();

			service->home_count =
				std::min(c_.instances, (uint32_t)HOMES_MAX);
		}
	}

	struct fleet_result run(uint64_t for_us)
	{
		double due_us = 0;
		std::exponential_distribution<double> gap(c_.requests_per_s /
							  1e6);

		while (now_us_ - begin_us_ < for_us) {
			now_us_ += step_us;
			for (auto &inst : instances_) {
				inst->now.mono_us += step_us;
				inst->now.unix_ms += step_us / US_PER_MS;
				if (now_us_ / step_us % 50 == 0)
					inst->tick();
			}
			for (; due_us < (double)(now_us_ - begin_us_);
			     due_us += gap(arrivals_)) {
				uint32_t i = arrivals_() % c_.instances;

				result_.requests++;
				instances_[i]->request("/s/write", arrivals_());
			}
			deliver();
			for (uint32_t i = 0; i < c_.servers; i++)
				end_work(i);
			deliver();
		}
		for (uint32_t i = c_.hung; i < c_.servers - c_.slow; i++)
			result_.arrivals_min = std::min(result_.arrivals_min,
							servers_[i].arrivals);
		return result_;
	}

    private:
	bool hangs(uint32_t server) const
	{
		return server < c_.hung && now_us_ - begin_us_ >= 2 * US_PER_S;
	}

	/* Sends all new grants to their servers. */
	void deliver()
	{
		bool again = true;

		while (again) {
			again = false;
			for (uint32_t i = 0; i < c_.instances; i++) {
				std::vector<struct event> events;

				events.swap(instances_[i]->events);
				for (const struct event &event : events) {
					again |= event.kind == EVENT_GRANT;
					if (event.kind == EVENT_GRANT)
						arrive(i, event.grant);
				}
				old_.insert(old_.end(), events.begin(),
					    events.end());
			}
			for (struct event &event : old_)
				event_clear(&event);
			old_.clear();
		}
	}

	void arrive(uint32_t instance, const struct grant_event &grant)
	{
		uint32_t index = grant.backend.ip - addr_of(200, 9000).ip;
		struct server &server = servers_[index];
		struct work work = { instance, grant, now_us_, 0, 0 };

		server.arrivals++;
		result_.extra += !seen_.insert(grant.request).second;
		if (now_us_ >= shed_from_us_ && now_us_ < shed_until_us_) {
			result_.shed++;
			end(index, work, EVIDENCE_SHED);
		} else if (hangs(index)) {
			result_.hung_arrivals++;
			work.ends_us = grant.deadline_us;
			server.running.push_back(work);
		} else if (server.running.size() < server_slots) {
			start(index, work);
		} else if (server.waiting.size() < server_queue) {
			server.waiting.push_back(work);
		} else {
			result_.shed++;
			end(index, work, EVIDENCE_SHED);
		}
	}

	void start(uint32_t index, struct work work)
	{
		uint64_t service_us = 20000 + random_() % 40000;

		if (index >= c_.servers - c_.slow)
			service_us *= 3;
		work.started_us = now_us_;
		work.ends_us = now_us_ + service_us;
		result_.waited += now_us_ - work.arrived_us >= 5 * US_PER_MS;
		result_.waited_us += now_us_ - work.arrived_us;
		servers_[index].running.push_back(work);
	}

	void end_work(uint32_t index)
	{
		struct server &server = servers_[index];

		for (size_t i = 0; i < server.running.size();) {
			struct work work = server.running[i];

			if (work.ends_us > now_us_) {
				i++;
				continue;
			}
			server.running.erase(server.running.begin() + (long)i);
			if (!server.waiting.empty() && !hangs(index)) {
				struct work next = server.waiting.front();

				server.waiting.pop_front();
				start(index, next);
			}
			if (work.started_us == 0) {
				end(index, work, EVIDENCE_TIMEOUT);
				continue;
			}
			result_.served++;
			if (work.arrived_us >= shed_until_us_ &&
			    result_.first_served_us == 0)
				result_.first_served_us =
					now_us_ - shed_until_us_;
			end(index, work, EVIDENCE_OK);
		}
	}

	void end(uint32_t index, const struct work &work,
		 enum evidence_kind kind)
	{
		const struct server &server = servers_[index];
		struct evidence evidence =
			ended(kind, true, now_us_ - work.arrived_us);

		evidence.sent_us = work.arrived_us;
		if (kind != EVIDENCE_TIMEOUT)
			evidence.load = { true, (uint32_t)server.running.size(),
					  (uint32_t)server.waiting.size(),
					  server_slots, now_us_ };
		instances_[work.instance]->finish(work.grant, evidence);
	}

	const struct fleet_case c_;
	std::mt19937 random_;
	std::mt19937 arrivals_; /* the same with and without reports */
	std::vector<struct server> servers_;
	std::vector<std::unique_ptr<TestInstance>> instances_;
	std::vector<struct event> old_;
	struct fleet_result result_;
	std::set<const struct request *> seen_;
	uint64_t shed_from_us_ = UINT64_MAX;
	uint64_t shed_until_us_ = UINT64_MAX;
	uint64_t begin_us_;
	uint64_t now_us_;
};

void print_result(const char *name, const char *reports,
		  const struct fleet_result &result)
{
	printf("%s, %s: %u of %u requests served, %u shed, %u waited, %.1f ms "
	       "on the mean, %u to the hung server, at least %u to each sound "
	       "one\n",
	       name, reports, result.served, result.requests, result.shed,
	       result.waited, (double)result.waited_us / 1000 / result.served,
	       result.hung_arrivals, result.arrivals_min);
}

/* One play with each setting; all but the waits is checked for each play. */
void play_reports(const struct fleet_case &c, uint32_t seed,
		  struct fleet_result &without, struct fleet_result &with)
{
	SCOPED_TRACE(testing::Message() << c.name << ", seed " << seed);
	without = LoadFleet(c, false, seed).run(6 * US_PER_S);
	with = LoadFleet(c, true, seed).run(6 * US_PER_S);
	print_result(c.name, "without reports", without);
	print_result(c.name, "with reports", with);
	EXPECT_EQ(with.requests, without.requests);
	EXPECT_GE(with.served * 100, without.served * 99);
	EXPECT_LE(with.shed * 10, without.shed * 11 + 100);
	EXPECT_LE(with.hung_arrivals, without.hung_arrivals + 8);
	EXPECT_GE(with.arrivals_min * 3, without.arrivals_min);
}

/*
 * Fails when load reports make requests wait longer, make more of them be shed,
 * draw more work to a server that hangs, or leave a sound server without work.
 */
TEST(LoadFleetTest, ReportsSpareFullServers)
{
	std::mt19937 seeds{ std::random_device{}() };

	for (const auto &c : fleet_cases) {
		uint64_t without_us = 0;
		uint64_t with_us = 0;
		std::string played;

		for (uint32_t draw = 0; draw < c.draws; draw++) {
			uint32_t seed = (uint32_t)seeds();
			struct fleet_result without;
			struct fleet_result with;

			play_reports(c, seed, without, with);
			without_us += without.waited_us;
			with_us += with.waited_us;
			played += " " + std::to_string(seed);
		}
		EXPECT_LE(with_us * 10, without_us * 11)
			<< c.name << ", seeds" << played;
	}
}

struct storm_case {
	const char *name;
	uint32_t instances;
	uint32_t requests_per_s;
};

const struct storm_case storm_cases[] = {
	{ "few instances", 4, 300 },
	{ "many instances", 60, 600 },
	{ "few requests for each of many instances", 60, 60 },
};

/*
 * Fails when the retries of all instances together exceed the budget of a
 * service that sheds everything for 8 s, or the end of that goes unnoticed. The
 * budget holds for any 10 s, so it also holds for the 8 s and the 2 s before.
 */
TEST(LoadFleetTest, RetriesOfAllInstancesStayWithinTheBudget)
{
	uint32_t seed = std::random_device{}();

	for (const auto &c : storm_cases) {
		SCOPED_TRACE(testing::Message() << c.name << ", seed " << seed);
		LoadFleet fleet({ c.name, c.instances, 12, c.requests_per_s, 0,
				  0, 1 },
				true, seed);

		fleet.share_allowance();
		fleet.shed_all(2 * US_PER_S, 10 * US_PER_S);
		struct fleet_result result = fleet.run(12 * US_PER_S);

		printf("%s: %u requests in 12 s, %u shed, %u arrivals beyond "
		       "the first, first success after %u ms\n",
		       c.name, result.requests, result.shed, result.extra,
		       (uint32_t)(result.first_served_us / US_PER_MS));
		EXPECT_LE(result.extra, result.requests * 10 / 12 / 5 + 60);
		EXPECT_GT(result.first_served_us, 0u);
		EXPECT_LE(result.first_served_us, US_PER_S);
	}
}

} // namespace
