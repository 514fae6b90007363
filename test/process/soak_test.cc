/*
 * Soak: real processes behind the fault proxy, with faults that a seed draws.
 * They overlap, come twice and hit leaving and starting instances. While they
 * last callers work on, and every promise is checked from what callers and
 * backend servers saw. CI plays the kept seeds; "make soak" plays more.
 */
#include <curl/curl.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <random>

#include "promises.h"

namespace
{

const uint32_t FAULTS_FROM_MS = 500;
const uint32_t FAULTS_UNTIL_MS = 9000;
const uint32_t READY_MS = 15000;
const uint32_t STOP_MS = 45000;
const uint32_t RECOVER_MS = 15000;
const uint32_t SERVED_AGAIN = 100;
const uint32_t EVENTS_MIN = 6;
const uint32_t EVENTS_MAX = 14;

enum soak_kind {
	SOAK_KILL,
	SOAK_TERM,
	SOAK_PAUSE,
	SOAK_PARTITION,
	SOAK_CUT_UP,
	SOAK_CUT_DOWN,
	SOAK_DELAY,
	SOAK_SILENCE,
	SOAK_RESET,
	SOAK_SICK,
	SOAK_PLATFORM,
	SOAK_CHANGE,
	SOAK_LEAVE,
	SOAK_COUNT,
};

/* Longest time from a fault's start to its end; 0 for those without an end. */
const uint32_t lasts_max_ms[SOAK_COUNT] = {
	800, 0, 2500, 3000, 3000, 3000, 3000, 0, 0, 4000, 3000, 0, 0,
};

const char *const kind_names[SOAK_COUNT] = {
	"kill",	   "term",  "pause", "partition", "cut up", "cut down", "delay",
	"silence", "reset", "sick",  "platform",  "change", "leave",
};

const char *const sick_orders[] = {
	R"({"fault":"status"})",
	R"({"fault":"status","fault_permille":300})",
	R"({"fault":"hang_head"})",
	R"({"fault":"close"})",
	R"({"fault":"truncate"})",
	R"({"fault":"forge"})",
	R"({"slow_permille":10000})",
	R"({"shed_permille":1000})",
	R"({"fault":"status","flap_ms":300})",
	R"({"shed_permille":1000,"retry_after_s":1})",
	R"({"shed_permille":300,"retry_after_s":2})",
};

const char *const WELL =
	R"({"fault":"none","fault_permille":1000,"slow_permille":1000,)"
	R"("shed_permille":0,"retry_after_s":0,"flap_ms":0})";

/* One server only, and for good: the others carry the service. */
const uint32_t LEAVES = 0;
const uint32_t DRAIN_MS = 2000;
const char *const SAYS_THAT_IT_LEAVES = R"({"draining":true,"load":"good"})";

const char *const platform_modes[] = { "refuse", "hang", "stale" };

/**
 * struct soak_event - one fault
 * @at_ms: when it starts
 * @end_ms: when it ends; the same when it has no end of its own
 * @kind: which one
 * @instance: whom it hits, by kind
 * @backend: which backend server it hits, by kind
 * @choice: the variant, by kind
 */
struct soak_event {
	uint32_t at_ms;
	uint32_t end_ms;
	enum soak_kind kind;
	uint32_t instance;
	uint32_t backend;
	uint32_t choice;
};

class Soak {
    public:
	Soak(uint32_t seed, const struct fleet_plan &plan);
	void run();

    private:
	void begin(const struct soak_event &event);
	void end(const struct soak_event &event);
	void cut_all();
	void restart(uint32_t instance);
	void check();
	void check_stops(const std::vector<struct call_record> &records);
	void check_words(const std::vector<struct call_record> &records);

	fleet system;
	observer watch;
	callers calls;
	std::vector<struct soak_event> events;
	std::set<uint32_t> down;
	std::set<uint32_t> stopped;
	std::set<uint32_t> harmed; /* killed or paused once */
	std::set<uint32_t> cut; /* an answer may not have come to these */
	uint64_t leaves_us = 0; /* when a server first said so */
};

Soak::Soak(uint32_t seed, const struct fleet_plan &plan)
    : system(plan), watch(system),
      calls(system, call_shape(), "s" + std::to_string(seed))
{
	std::mt19937 random(seed);
	uint32_t count = EVENTS_MIN + random() % (EVENTS_MAX - EVENTS_MIN + 1);

	for (uint32_t i = 0; i < count; i++) {
		struct soak_event event = {};
		uint32_t lasts_ms;

		event.kind = (enum soak_kind)(random() % SOAK_COUNT);
		event.at_ms = FAULTS_FROM_MS +
			      random() % (FAULTS_UNTIL_MS - FAULTS_FROM_MS);
		lasts_ms = lasts_max_ms[event.kind];
		event.end_ms = event.at_ms;
		if (lasts_ms > 0)
			event.end_ms +=
				lasts_ms / 4 + random() % (lasts_ms * 3 / 4);
		event.instance = random() % plan.instances;
		event.backend = random() % plan.backends;
		event.choice = random();
		events.push_back(event);
	}
	for (const auto &event : events)
		printf("%5u to %5u ms %s instance %u backend %u choice %u\n",
		       event.at_ms, event.end_ms, kind_names[event.kind],
		       event.instance, event.backend, event.choice % 100);
}

void Soak::run()
{
	std::vector<std::pair<uint32_t, const struct soak_event *>> steps;
	uint64_t start_us = unix_us();

	for (const auto &event : events) {
		steps.push_back({ event.at_ms, &event });
		if (event.end_ms > event.at_ms)
			steps.push_back({ event.end_ms, &event });
	}
	std::stable_sort(steps.begin(), steps.end(),
			 [](const auto &a, const auto &b) {
				 return a.first < b.first;
			 });
	for (const auto &step : steps) {
		uint64_t due_us = start_us + step.first * 1000ull;
		uint64_t now_us = unix_us();

		if (now_us < due_us)
			pause_ms((uint32_t)((due_us - now_us) / 1000));
		if (step.first == step.second->at_ms)
			begin(*step.second);
		else
			end(*step.second);
	}
	check();
}

void Soak::begin(const struct soak_event &event)
{
	std::string backend = "backend" + std::to_string(event.backend);
	std::string source = system.ip(event.instance);

	switch (event.kind) {
	case SOAK_KILL:
		if (!down.insert(event.instance).second)
			return;
		harmed.insert(event.instance);
		system.instance(event.instance).signal(SIGKILL);
		system.instance(event.instance).wait_exit(READY_MS);
		return;
	case SOAK_TERM:
		if (!down.insert(event.instance).second)
			return;
		stopped.insert(event.instance);
		system.instance(event.instance).signal(SIGTERM);
		return;
	case SOAK_PAUSE:
		harmed.insert(event.instance);
		system.instance(event.instance).signal(SIGSTOP);
		return;
	case SOAK_PARTITION:
		cut.insert(event.instance);
		EXPECT_TRUE(system.order_peers(event.instance, "drop_both",
					       "drop_both"));
		return;
	case SOAK_CUT_UP:
		cut.insert(event.instance);
		EXPECT_TRUE(
			system.faults->order(backend, "drop_up", 0, source));
		return;
	case SOAK_CUT_DOWN:
		cut.insert(event.instance);
		EXPECT_TRUE(
			system.faults->order(backend, "drop_down", 0, source));
		return;
	case SOAK_DELAY:
		EXPECT_TRUE(system.faults->order(
			backend, "delay", 10 + event.choice % 400, source));
		return;
	case SOAK_SILENCE:
		cut_all();
		EXPECT_TRUE(system.faults->order("", "silence_open"));
		return;
	case SOAK_RESET:
		cut_all();
		EXPECT_TRUE(system.faults->order("", "cut_open"));
		return;
	case SOAK_SICK:
		EXPECT_TRUE(system.backends.order(
			event.backend,
			sick_orders[event.choice % G_N_ELEMENTS(sick_orders)]));
		return;
	case SOAK_PLATFORM:
		EXPECT_TRUE(system.config.set_mode(
			platform_modes[event.choice %
				       G_N_ELEMENTS(platform_modes)]));
		return;
	case SOAK_CHANGE:
		system.publish();
		return;
	case SOAK_LEAVE:
		EXPECT_TRUE(system.backends.order(LEAVES, SAYS_THAT_IT_LEAVES));
		if (leaves_us == 0)
			leaves_us = unix_us();
		return;
	case SOAK_COUNT:
		return;
	}
}

void Soak::end(const struct soak_event &event)
{
	std::string backend = "backend" + std::to_string(event.backend);

	switch (event.kind) {
	case SOAK_KILL:
		/* Another kill may have ended, or a stop begun, meanwhile. */
		if (stopped.count(event.instance) == 0 &&
		    down.count(event.instance) != 0)
			restart(event.instance);
		return;
	case SOAK_PAUSE:
		system.instance(event.instance).signal(SIGCONT);
		return;
	case SOAK_PARTITION:
		EXPECT_TRUE(system.order_peers(event.instance, "pass", "pass"));
		return;
	case SOAK_CUT_UP:
	case SOAK_CUT_DOWN:
	case SOAK_DELAY:
		EXPECT_TRUE(system.faults->order(backend, "pass", 0,
						 system.ip(event.instance)));
		return;
	case SOAK_SICK:
		EXPECT_TRUE(system.backends.order(event.backend, WELL));
		return;
	case SOAK_PLATFORM:
		EXPECT_TRUE(system.config.set_mode("up"));
		return;
	case SOAK_TERM:
	case SOAK_SILENCE:
	case SOAK_RESET:
	case SOAK_CHANGE:
	case SOAK_LEAVE:
	case SOAK_COUNT:
		return;
	}
}

void Soak::cut_all()
{
	for (uint32_t i = 0; i < system.instance_count(); i++)
		cut.insert(i);
}

void Soak::restart(uint32_t instance)
{
	watch.restarted(instance);
	system.start(instance);
	down.erase(instance);
}

/* All faults are over: the service comes back, and no promise was broken. */
void Soak::check()
{
	std::vector<struct call_record> records;
	struct call_counts counts;
	uint32_t before;

	for (uint32_t instance : stopped) {
		EXPECT_EQ(system.instance(instance).wait_exit(STOP_MS), 0)
			<< "instance " << instance << " does not stop";
		restart(instance);
	}
	for (uint32_t i = 0; i < system.instance_count(); i++)
		EXPECT_TRUE(system.wait_ready(i, READY_MS)) << i;
	before = calls.complete();
	EXPECT_TRUE(wait_for(RECOVER_MS, [this, before] {
		return calls.complete() >= before + SERVED_AGAIN;
	})) << "service does not recover";
	EXPECT_TRUE(wait_for(RECOVER_MS, [this] {
		return system.in_force(system.version());
	})) << "the last version is not in force everywhere";
	records = calls.stop();
	watch.stop();
	counts = check_calls(records, system.backends.counts());
	check_stops(records);
	check_words(records);
	printf("complete %u, not-run %u, unknown %u, broken %u\n",
	       counts.complete, counts.not_run, counts.unknown, counts.broken);
}

/* An instance that only stopped as planned cuts off no request it has read. */
void Soak::check_stops(const std::vector<struct call_record> &records)
{
	for (const auto &record : records) {
		for (uint32_t instance : stopped) {
			if (harmed.count(instance) != 0 ||
			    record.entry != system.caller_addr(instance))
				continue;
			EXPECT_TRUE(record.code != CURLE_GOT_NOTHING &&
				    record.code != CURLE_RECV_ERROR &&
				    record.code != CURLE_PARTIAL_FILE)
				<< record.id << ": code " << record.code;
		}
	}
}

/* An instance that ran and heard all the while keeps to what it was told. */
void Soak::check_words(const std::vector<struct call_record> &records)
{
	std::vector<struct run_record> arrivals = system.backends.arrivals();
	std::vector<struct call_record> steady;

	for (const auto &record : records) {
		bool ran = true;

		for (const auto *hit : { &harmed, &stopped, &cut }) {
			for (uint32_t instance : *hit)
				ran &= record.entry !=
				       system.caller_addr(instance);
		}
		if (ran)
			steady.push_back(record);
	}
	for (uint32_t i = 0; i < system.plan.backends; i++)
		check_paused(steady, arrivals, system.backends.port(i));
	if (leaves_us > 0)
		check_said_drain(steady, arrivals, system.backends.port(LEAVES),
				 leaves_us, DRAIN_MS);
}

struct soak_case {
	uint32_t seed;
	const char *why; /* cause of the failure it once showed, or its size */
	struct fleet_plan plan;
};

const struct soak_case soak_cases[] = {
	{ 1, "three instances", {} },
	{ 2, "five instances", { 5, 0, 8, 6, 350, 50, 1500 } },
};

TEST(SoakTest, KeptSeeds)
{
	for (const auto &c : soak_cases) {
		SCOPED_TRACE("seed " + std::to_string(c.seed) + ", " + c.why);
		Soak soak(c.seed, c.plan);

		soak.run();
	}
}

/* NUTMEGCRANK_SOAK="FIRST COUNT": so many seeds from the first one on. */
TEST(SoakTest, DrawnSeeds)
{
	const char *order = g_getenv("NUTMEGCRANK_SOAK");
	unsigned first;
	unsigned count;

	if (!order || sscanf(order, "%u %u", &first, &count) != 2)
		GTEST_SKIP() << "NUTMEGCRANK_SOAK is not set";
	for (uint32_t seed = first; seed < first + count; seed++) {
		struct fleet_plan plan = {};

		plan.instances = 3 + seed % 4;
		SCOPED_TRACE("seed " + std::to_string(seed));
		printf("seed %u, %u instances\n", seed, plan.instances);
		Soak soak(seed, plan);

		soak.run();
	}
}

} // namespace
