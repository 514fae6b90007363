/*
 * Soak test: instances as processes behind the fault proxy, with random faults
 * that a seed determines. Faults overlap, recur, and affect instances that stop
 * or start. Callers send requests throughout, and the invariants are checked
 * from the callers' records and the backend servers' run log. CI runs the fixed
 * seeds in soak_cases; "make soak" runs others.
 */
#include <curl/curl.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <random>

#include "invariants.h"

namespace
{

const uint32_t FAULTS_BEGIN_MS = 500;
const uint32_t FAULTS_END_MS = 9000;
const uint32_t READY_LIMIT_MS = 15000;
const uint32_t STOP_LIMIT_MS = 45000;
const uint32_t RECOVER_LIMIT_MS = 15000;
const uint32_t COMPLETE_MIN = 100;
const uint32_t EVENTS_MIN = 6;
const uint32_t EVENTS_MAX = 14;

enum soak_kind {
	SOAK_KILL,
	SOAK_TERM,
	SOAK_PAUSE,
	SOAK_PARTITION,
	SOAK_DROP_UP,
	SOAK_DROP_DOWN,
	SOAK_DELAY,
	SOAK_SILENCE,
	SOAK_RESET,
	SOAK_BACKEND_FAULT,
	SOAK_PLATFORM,
	SOAK_NEW_VERSION,
	SOAK_DRAIN,
	SOAK_COUNT,
};

/* Longest duration of a fault; 0 for faults that are single events. */
const uint32_t duration_max_ms[SOAK_COUNT] = {
	800, 0, 2500, 3000, 3000, 3000, 3000, 0, 0, 4000, 3000, 0, 0,
};

const char *const kind_names[SOAK_COUNT] = {
	"kill",	     "term",	    "pause",   "partition", "drop up",
	"drop down", "delay",	    "silence", "reset",	    "backend fault",
	"platform",  "new version", "drain",
};

const char *const faulty_behaviours[] = {
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

const char *const HEALTHY =
	R"({"fault":"none","fault_permille":1000,"slow_permille":1000,)"
	R"("shed_permille":0,"retry_after_s":0,"flap_ms":0})";

/* Only this server drains, and it does not come back; the others suffice. */
const uint32_t DRAINING_BACKEND = 0;
const uint32_t DRAIN_LIMIT_MS = 2000;
const char *const DRAIN_NOTICE = R"({"draining":true,"load":"good"})";

const char *const platform_modes[] = { "refuse", "hang", "stale" };

/**
 * struct soak_event - one fault
 * @at_ms: start, in milliseconds from the start of the run
 * @end_ms: end, in milliseconds from the start of the run; @at_ms for a single
 *	event
 * @kind: type of fault
 * @instance: index of the affected instance, if the kind has one
 * @backend: index of the affected backend server, if the kind has one
 * @variant: random number that selects the variant of the kind
 */
struct soak_event {
	uint32_t at_ms;
	uint32_t end_ms;
	enum soak_kind kind;
	uint32_t instance;
	uint32_t backend;
	uint32_t variant;
};

class Soak {
    public:
	Soak(uint32_t seed, const struct fleet_plan &plan);
	void run();

    private:
	void begin(const struct soak_event &event);
	void end(const struct soak_event &event);
	void mark_all_disconnected();
	void restart(uint32_t instance);
	void check();
	void check_stops(const std::vector<struct call_record> &records);
	void check_notices(const std::vector<struct call_record> &records);

	fleet system;
	status_observer observer;
	callers calls;
	std::vector<struct soak_event> events;
	std::set<uint32_t> down; /* killed or terminated, not restarted */
	std::set<uint32_t> terminated; /* told to stop as planned */
	std::set<uint32_t> disrupted; /* was killed or held by SIGSTOP */
	std::set<uint32_t> disconnected; /* may have lost an answer */
	uint64_t drain_notice_us = 0; /* first drain notice, 0 for none */
};

Soak::Soak(uint32_t seed, const struct fleet_plan &plan)
    : system(plan), observer(system),
      calls(system, load_profile(), "s" + std::to_string(seed))
{
	std::mt19937 random(seed);
	uint32_t count = EVENTS_MIN + random() % (EVENTS_MAX - EVENTS_MIN + 1);

	for (uint32_t i = 0; i < count; i++) {
		struct soak_event event = {};
		uint32_t duration_ms;

		event.kind = (enum soak_kind)(random() % SOAK_COUNT);
		event.at_ms = FAULTS_BEGIN_MS +
			      random() % (FAULTS_END_MS - FAULTS_BEGIN_MS);
		duration_ms = duration_max_ms[event.kind];
		event.end_ms = event.at_ms;
		if (duration_ms > 0)
			event.end_ms += duration_ms / 4 +
					random() % (duration_ms * 3 / 4);
		event.instance = random() % plan.instances;
		event.backend = random() % plan.backends;
		event.variant = random();
		events.push_back(event);
	}
	for (const auto &event : events)
		printf("%5u to %5u ms %s instance %u backend %u variant %u\n",
		       event.at_ms, event.end_ms, kind_names[event.kind],
		       event.instance, event.backend, event.variant % 100);
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
			sleep_ms((uint32_t)((due_us - now_us) / 1000));
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
		disrupted.insert(event.instance);
		system.instance(event.instance).signal(SIGKILL);
		system.instance(event.instance).wait_exit(READY_LIMIT_MS);
		return;
	case SOAK_TERM:
		if (!down.insert(event.instance).second)
			return;
		terminated.insert(event.instance);
		system.instance(event.instance).signal(SIGTERM);
		return;
	case SOAK_PAUSE:
		disrupted.insert(event.instance);
		system.instance(event.instance).signal(SIGSTOP);
		return;
	case SOAK_PARTITION:
		disconnected.insert(event.instance);
		EXPECT_TRUE(system.set_peer_faults(event.instance, "drop_both",
						   "drop_both"));
		return;
	case SOAK_DROP_UP:
		disconnected.insert(event.instance);
		EXPECT_TRUE(system.faults->set_fault(backend, "drop_up", 0,
						     source));
		return;
	case SOAK_DROP_DOWN:
		disconnected.insert(event.instance);
		EXPECT_TRUE(system.faults->set_fault(backend, "drop_down", 0,
						     source));
		return;
	case SOAK_DELAY:
		EXPECT_TRUE(system.faults->set_fault(
			backend, "delay", 10 + event.variant % 400, source));
		return;
	case SOAK_SILENCE:
		mark_all_disconnected();
		EXPECT_TRUE(system.faults->set_fault("", "silence_open"));
		return;
	case SOAK_RESET:
		mark_all_disconnected();
		EXPECT_TRUE(system.faults->set_fault("", "cut_open"));
		return;
	case SOAK_BACKEND_FAULT:
		EXPECT_TRUE(system.backends.set_behaviour(
			event.backend,
			faulty_behaviours[event.variant %
					  G_N_ELEMENTS(faulty_behaviours)]));
		return;
	case SOAK_PLATFORM:
		EXPECT_TRUE(system.config.set_mode(
			platform_modes[event.variant %
				       G_N_ELEMENTS(platform_modes)]));
		return;
	case SOAK_NEW_VERSION:
		system.publish();
		return;
	case SOAK_DRAIN:
		EXPECT_TRUE(system.backends.set_behaviour(DRAINING_BACKEND,
							  DRAIN_NOTICE));
		if (drain_notice_us == 0)
			drain_notice_us = unix_us();
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
		/*
		 * The end of an overlapping kill may have restarted the
		 * instance, or it may be in a planned stop.
		 */
		if (terminated.count(event.instance) == 0 &&
		    down.count(event.instance) != 0)
			restart(event.instance);
		return;
	case SOAK_PAUSE:
		system.instance(event.instance).signal(SIGCONT);
		return;
	case SOAK_PARTITION:
		EXPECT_TRUE(
			system.set_peer_faults(event.instance, "pass", "pass"));
		return;
	case SOAK_DROP_UP:
	case SOAK_DROP_DOWN:
	case SOAK_DELAY:
		EXPECT_TRUE(system.faults->set_fault(
			backend, "pass", 0, system.ip(event.instance)));
		return;
	case SOAK_BACKEND_FAULT:
		EXPECT_TRUE(
			system.backends.set_behaviour(event.backend, HEALTHY));
		return;
	case SOAK_PLATFORM:
		EXPECT_TRUE(system.config.set_mode("up"));
		return;
	case SOAK_TERM:
	case SOAK_SILENCE:
	case SOAK_RESET:
	case SOAK_NEW_VERSION:
	case SOAK_DRAIN:
	case SOAK_COUNT:
		return;
	}
}

void Soak::mark_all_disconnected()
{
	for (uint32_t i = 0; i < system.instance_count(); i++)
		disconnected.insert(i);
}

void Soak::restart(uint32_t instance)
{
	observer.reset_version(instance);
	system.start(instance);
	down.erase(instance);
}

/* After the faults: checks that the fleet recovers, and the invariants. */
void Soak::check()
{
	std::vector<struct call_record> records;
	struct outcome_counts counts;
	uint32_t before;

	for (uint32_t instance : terminated) {
		EXPECT_EQ(system.instance(instance).wait_exit(STOP_LIMIT_MS), 0)
			<< "instance " << instance << " did not stop";
		restart(instance);
	}
	for (uint32_t i = 0; i < system.instance_count(); i++)
		EXPECT_TRUE(system.wait_ready(i, READY_LIMIT_MS)) << i;
	before = calls.complete();
	EXPECT_TRUE(wait_for(RECOVER_LIMIT_MS, [this, before] {
		return calls.complete() >= before + COMPLETE_MIN;
	})) << "service did not recover";
	EXPECT_TRUE(wait_for(RECOVER_LIMIT_MS, [this] {
		return system.in_force(system.version());
	})) << "the last version is not in force everywhere";
	records = calls.stop();
	observer.stop();
	counts = check_outcomes(records, system.backends.run_counts());
	check_stops(records);
	check_notices(records);
	printf("complete %u, not-run %u, unknown %u, broken %u\n",
	       counts.complete, counts.not_run, counts.unknown, counts.broken);
}

/*
 * An instance that only stopped as planned breaks off no request it has read.
 */
void Soak::check_stops(const std::vector<struct call_record> &records)
{
	for (const auto &record : records) {
		for (uint32_t instance : terminated) {
			if (disrupted.count(instance) != 0 ||
			    record.entry != system.caller_addr(instance))
				continue;
			EXPECT_TRUE(record.code != CURLE_GOT_NOTHING &&
				    record.code != CURLE_RECV_ERROR &&
				    record.code != CURLE_PARTIAL_FILE)
				<< record.id << ": code " << record.code;
		}
	}
}

/*
 * Instances that were not disrupted, terminated or disconnected obey drain and
 * pause notices.
 */
void Soak::check_notices(const std::vector<struct call_record> &records)
{
	std::vector<struct run_record> arrivals = system.backends.arrivals();
	std::vector<struct call_record> undisturbed_records;

	for (const auto &record : records) {
		bool undisturbed = true;

		for (const auto *affected :
		     { &disrupted, &terminated, &disconnected }) {
			for (uint32_t instance : *affected)
				undisturbed &= record.entry !=
					       system.caller_addr(instance);
		}
		if (undisturbed)
			undisturbed_records.push_back(record);
	}
	for (uint32_t i = 0; i < system.plan.backends; i++)
		check_pause_notice(undisturbed_records, arrivals,
				   system.backends.port(i));
	if (drain_notice_us > 0)
		check_drain_notice(undisturbed_records, arrivals,
				   system.backends.port(DRAINING_BACKEND),
				   drain_notice_us, DRAIN_LIMIT_MS, {});
}

struct soak_case {
	uint32_t seed;
	const char *description; /* cause of a past failure, or size */
	struct fleet_plan plan;
};

const struct soak_case soak_cases[] = {
	{ 1, "three instances", {} },
	{ 2, "five instances", { 5, 0, 8, 6, 350, 50, 1500 } },
};

TEST(SoakTest, FixedSeeds)
{
	for (const auto &c : soak_cases) {
		SCOPED_TRACE("seed " + std::to_string(c.seed) + ", " +
			     c.description);
		Soak soak(c.seed, c.plan);

		soak.run();
	}
}

/*
 * NUTMEGCRANK_SOAK="FIRST COUNT" sets the first seed and the number of seeds.
 */
TEST(SoakTest, DrawnSeeds)
{
	const char *range = g_getenv("NUTMEGCRANK_SOAK");
	unsigned first;
	unsigned count;

	if (!range || sscanf(range, "%u %u", &first, &count) != 2)
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
