/*
 * Fair queueing between customers: load on one service that has less capacity
 * than is asked for, without a network.
 */
#include "test_instance.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <random>

extern "C" {
#include "codec/document_json.h"
}

namespace
{

const uint32_t work_ms = 20;

/* Requests per second of each customer, and its rate limit, 0 for none. */
struct demand {
	uint32_t per_s;
	uint32_t rate_per_s;
};

struct counts {
	uint32_t asked = 0;
	uint32_t granted = 0;
	double share() const
	{
		return asked ? (double)granted / asked : 1;
	}
};

std::string key_of(uint32_t customer)
{
	return "key-" + std::to_string(customer);
}

std::string table_text(const std::vector<struct demand> &demands,
		       bool customers)
{
	std::string list;

	for (uint32_t i = 0; i < demands.size(); i++) {
		struct key_hash hash;
		char text[KEY_HASH_TEXT_BYTES];
		std::string key = key_of(i);

		key_hash_of(key.data(), key.size(), &hash);
		list += std::string(i ? "," : "") + R"({"name":"c)" +
			std::to_string(i) + R"(","key_hashes":[")" +
			key_hash_format(&hash, text) + R"("],"rate_per_s":)" +
			std::to_string(demands[i].rate_per_s) + "}";
	}
	return R"({"hosts":[{"host":"h.example","routes":[{"path_prefix":"/s/",)"
	       R"("idempotent":true,"budget_ms":1000,"objective_ms":500,)"
	       R"("targets":[{"service":"s"}]}]}])" +
	       (customers ? R"(,"customers":[)" + list + "]" : "") + "}";
}

/* One instance, a service with @slots slots and the load of customers on it. */
class Load {
    public:
	Load(const std::vector<struct demand> &demands, uint32_t slots,
	     uint32_t seed, bool customers = true)
	    : demands_(demands), random_(seed), counts_(demands.size())
	{
		struct doc_shape shape;
		struct command command = {};
		std::string text = table_text(demands, customers);

		shape.backends = 2;
		shape.slots = slots / 2;
		shape.queue_requests = 64;
		inst_.settings.requests_max = 256;
		inst_.list(1);
		inst_.accept(make_doc(shape));
		command.kind = COMMAND_ACCEPT_ROUTES;
		command.accept_routes.table = routing_table_parse(
			"t", text.data(), text.size(), 1, nullptr);
		EXPECT_NE(command.accept_routes.table, nullptr);
		inst_.apply(command);
	}

	/* Plays @ms of load; customers in @absent send nothing. */
	void play(uint32_t ms, const std::vector<uint32_t> &absent = {})
	{
		for (uint32_t passed = 0; passed < ms; passed++) {
			inst_.now.mono_us += US_PER_MS;
			inst_.now.unix_ms++;
			if (passed % 50 == 0)
				inst_.tick();
			finish_due();
			for (uint32_t i = 0; i < demands_.size(); i++) {
				if (std::find(absent.begin(), absent.end(),
					      i) == absent.end())
					arrive(i);
			}
			take_events();
		}
	}
	void forget_counts()
	{
		counts_.assign(counts_.size(), {});
	}
	const std::vector<struct counts> &of_customers() const
	{
		return counts_;
	}
	struct counts all() const
	{
		struct counts sum;

		for (const struct counts &c : counts_) {
			sum.asked += c.asked;
			sum.granted += c.granted;
		}
		return sum;
	}
	/* Mean share of the worst tenth of customers, at least of one. */
	double worst_tenth() const
	{
		std::vector<double> shares;
		size_t count = std::max<size_t>(counts_.size() / 10, 1);

		for (const struct counts &c : counts_)
			shares.push_back(c.share());
		std::sort(shares.begin(), shares.end());
		return std::accumulate(shares.begin(), shares.begin() + count,
				       0.0) /
		       count;
	}
	/* Least share of the customers from number @first on. */
	double worst(uint32_t first = 0) const
	{
		double worst = 1;

		for (uint32_t i = first; i < counts_.size(); i++)
			worst = std::min(worst, counts_[i].share());
		return worst;
	}

    private:
	void arrive(uint32_t customer)
	{
		struct command command = {};
		struct request *request;
		std::string key = key_of(customer);

		if (random_() % 1000 >= demands_[customer].per_s)
			return;
		counts_[customer].asked++;
		request = request_new();
		command.kind = COMMAND_ADMIT;
		host_set(&command.admit.facts.host, "h.example", 9);
		command.admit.facts.path = "/s/x";
		command.admit.facts.credential.kind = CREDENTIAL_KEY;
		key_hash_of(key.data(), key.size(),
			    &command.admit.facts.credential.key_hash);
		/* Callers share a few addresses, whatever their customer. */
		command.admit.facts.caller_hash = 1 + random_() % 4;
		command.admit.facts.deadline_us = DEADLINE_NONE_US;
		command.admit.request = request_ref(request);
		customer_of_[request] = customer;
		inst_.requests.push_back(request);
		inst_.apply(command);
	}
	void finish_due()
	{
		while (!running_.empty() &&
		       running_.front().first <= inst_.now.mono_us) {
			struct grant_event grant = running_.front().second;

			running_.erase(running_.begin());
			inst_.finish(grant, ended(EVIDENCE_OK));
		}
	}
	void take_events()
	{
		for (const struct event &event : inst_.events) {
			if (event.kind != EVENT_GRANT)
				continue;
			counts_[customer_of_.at(event.grant.request)].granted++;
			running_.push_back(
				{ inst_.now.mono_us + work_ms * US_PER_MS,
				  event.grant });
		}
		inst_.forget();
	}

	std::vector<struct demand> demands_;
	std::mt19937 random_;
	std::vector<struct counts> counts_;
	std::map<const struct request *, uint32_t> customer_of_;
	std::vector<std::pair<uint64_t, struct grant_event>> running_;
	TestInstance inst_;
};

/* @heavy requests per second of the first, @each of @count others. */
std::vector<struct demand> demands_of(uint32_t heavy, uint32_t count,
				      uint32_t each, uint32_t rate_per_s = 0)
{
	std::vector<struct demand> demands(count + 1, { each, rate_per_s });

	demands[0].per_s = heavy;
	return demands;
}

struct load_case {
	const char *name;
	std::vector<struct demand> demands;
	uint32_t slots; /* 50 requests per second each */
	bool tenth_is_checked; /* the heavy one alone is no tenth */
	bool others_are_checked;
};

/*
 * Over 10 s a customer of 5 requests per second has 50, and its share differs
 * from the mean by 0.1 in one of ten by chance alone.
 */
const uint32_t play_ms = 40000;

const struct load_case load_cases[] = {
	{ "ten customers, one with seven times the load of the others",
	  demands_of(175, 9, 25), 4, false, true },
	{ "the same with rates", demands_of(175, 9, 25, 25), 4, false, true },
	{ "81 customers, one with seven times the load of the others",
	  demands_of(35, 80, 5), 6, true, false },
	{ "200 small customers", demands_of(2, 199, 2), 4, true, false },
	{ "81 customers, the heavy one has the rate for it",
	  [] {
		  std::vector<struct demand> demands = demands_of(35, 80, 5, 5);

		  demands[0].rate_per_s = 35;
		  return demands;
	  }(),
	  6, true, false },
};

/*
 * Guards against customers that get less than a quarter of the mean, and
 * against a worst tenth that is far from it.
 */
TEST(FairShare, NoCustomerIsCrowdedOut)
{
	uint32_t seed = std::random_device()();

	for (const auto &c : load_cases) {
		SCOPED_TRACE(c.name);
		Load fair(c.demands, c.slots, seed);
		Load unfair(c.demands, c.slots, seed, false);

		fair.play(play_ms);
		unfair.play(play_ms);
		printf("%s, seed %u: mean %.2f, worst tenth %.2f, worst %.2f, "
		       "first %.2f, worst of the others %.2f; without customers "
		       "%.2f, %.2f, %.2f, %.2f, %.2f\n",
		       c.name, seed, fair.all().share(), fair.worst_tenth(),
		       fair.worst(), fair.of_customers()[0].share(),
		       fair.worst(1), unfair.all().share(),
		       unfair.worst_tenth(), unfair.worst(),
		       unfair.of_customers()[0].share(), unfair.worst(1));
		EXPECT_GE(fair.worst(), fair.all().share() / 4);
		if (c.tenth_is_checked) {
			EXPECT_GE(fair.worst_tenth(), fair.all().share() - 0.1);
		}
		/* The others do not pay for what the first asks too much. */
		if (c.others_are_checked) {
			EXPECT_GE(fair.worst(1), fair.all().share());
		}
		/* Fairness costs no capacity. */
		EXPECT_GE(fair.all().share(), unfair.all().share() - 0.03);
	}
}

/* Guards against a weight that is not the rate. */
TEST(FairShare, GrantsFollowTheRates)
{
	uint32_t seed = std::random_device()();
	Load load({ { 400, 30 }, { 400, 10 } }, 4, seed);

	load.play(10000);
	double first = load.of_customers()[0].granted;
	double second = load.of_customers()[1].granted;

	printf("seed %u: %.0f and %.0f grants\n", seed, first, second);
	EXPECT_NEAR(first / second, 3, 0.5);
}

/* Guards against a claim saved up in a time without requests. */
TEST(FairShare, CustomerThatComesBackHasNoClaim)
{
	uint32_t seed = std::random_device()();
	Load load({ { 400, 0 }, { 400, 0 } }, 4, seed);

	load.play(2000);
	load.play(4000, { 1 });
	load.forget_counts();
	load.play(1000);
	double first = load.of_customers()[0].granted;
	double second = load.of_customers()[1].granted;

	printf("seed %u: %.0f and %.0f grants in the first second\n", seed,
	       first, second);
	EXPECT_NEAR(second / (first + second), 0.5, 0.1);
}

/* Guards against a customer that is behind for what it had while alone. */
TEST(FairShare, CustomerThatStayedIsNotPunished)
{
	uint32_t seed = std::random_device()();
	Load load({ { 400, 0 }, { 400, 0 } }, 4, seed);

	load.play(4000, { 1 });
	load.forget_counts();
	load.play(4000);
	EXPECT_NEAR((double)load.of_customers()[0].granted / load.all().granted,
		    0.5, 0.1)
		<< "seed " << seed;
}

/* A request of a full service and what becomes of it. */
struct queue_step {
	const char *name;
	uint32_t customer;
	uint64_t caller; /* address */
	bool waits;
	enum refusal_cause cause; /* unless it waits */
	int32_t shed_step; /* step whose request makes room, -1 for none */
};

struct queue_case {
	const char *name;
	uint32_t queue_requests;
	std::vector<struct queue_step> steps;
};

const struct queue_case queue_cases[] = {
	{ "a full queue",
	  2,
	  { { "first of customer 0", 0, 1, true, REFUSAL_COUNT, -1 },
	    { "second of customer 0", 0, 2, true, REFUSAL_COUNT, -1 },
	    { "customer 0 fills it", 0, 3, false, REFUSAL_QUEUE_FULL, -1 },
	    { "customer 1 takes the newest place", 1, 4, true, REFUSAL_COUNT,
	      1 },
	    { "customer 1 has its part", 1, 4, false, REFUSAL_QUEUE_FULL, -1 },
	    { "customer 2 finds nobody with more", 2, 5, false,
	      REFUSAL_QUEUE_FULL, -1 } } },
	{ "a half-full queue",
	  12,
	  { { "customer 1", 1, 9, true, REFUSAL_COUNT, -1 },
	    { "customer 2", 2, 9, true, REFUSAL_COUNT, -1 },
	    { "customer 0, 1", 0, 1, true, REFUSAL_COUNT, -1 },
	    { "customer 0, 2", 0, 2, true, REFUSAL_COUNT, -1 },
	    { "customer 0, 3", 0, 3, true, REFUSAL_COUNT, -1 },
	    { "customer 0, 4", 0, 4, true, REFUSAL_COUNT, -1 },
	    { "customer 0 from an address of its own", 0, 5, false,
	      REFUSAL_CALLER_SHARE, -1 },
	    { "customer 1 from an address of customer 0", 1, 1, true,
	      REFUSAL_COUNT, -1 } } },
};

/* Admits a request of a customer. Return: its index in @inst.requests. */
uint32_t admit_of(TestInstance &inst, uint32_t customer, uint64_t caller)
{
	struct command command = {};
	struct request *request = request_new();
	std::string key = key_of(customer);

	command.kind = COMMAND_ADMIT;
	host_set(&command.admit.facts.host, "h.example", 9);
	command.admit.facts.path = "/s/x";
	command.admit.facts.credential.kind = CREDENTIAL_KEY;
	key_hash_of(key.data(), key.size(),
		    &command.admit.facts.credential.key_hash);
	command.admit.facts.caller_hash = caller;
	command.admit.facts.deadline_us = DEADLINE_NONE_US;
	command.admit.request = request_ref(request);
	inst.requests.push_back(request);
	inst.apply(command);
	return (uint32_t)inst.requests.size() - 1;
}

/*
 * Guards against one customer that keeps others out of a queue, from one
 * address or from many, and against refusals of the others in its place.
 */
TEST(FairShare, CustomerThatFillsAQueueMakesRoom)
{
	for (const auto &c : queue_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst;
		struct doc_shape shape;
		struct command command = {};
		std::string text =
			table_text(std::vector<struct demand>(3), true);
		std::vector<uint32_t> numbers;

		shape.backends = 1;
		shape.slots = 1;
		shape.queue_requests = c.queue_requests;
		inst.list(1);
		inst.accept(make_doc(shape));
		command.kind = COMMAND_ACCEPT_ROUTES;
		command.accept_routes.table = routing_table_parse(
			"t", text.data(), text.size(), 1, nullptr);
		inst.apply(command);
		uint32_t running = admit_of(inst, 2, 8);

		ASSERT_NE(inst.last_result_of(running), nullptr);
		for (const auto &step : c.steps) {
			SCOPED_TRACE(step.name);
			numbers.push_back(
				admit_of(inst, step.customer, step.caller));
			const struct event *event =
				inst.last_result_of(numbers.back());

			ASSERT_EQ(event == nullptr, step.waits);
			if (event) {
				EXPECT_EQ(event->refuse.refusal.cause,
					  step.cause);
			}
			for (size_t i = 0; i + 1 < numbers.size(); i++) {
				event = inst.last_result_of(numbers[i]);
				if ((int32_t)i == step.shed_step) {
					ASSERT_NE(event, nullptr);
					EXPECT_EQ(event->refuse.refusal.outcome,
						  OUTCOME_NOT_RUN);
				} else if (c.steps[i].waits &&
					   step.shed_step >= 0) {
					EXPECT_EQ(event, nullptr) << i;
				}
			}
		}
	}
}

} // namespace
