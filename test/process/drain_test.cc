/*
 * A backend server starts to drain while requests that an instance has assigned
 * to it are not sent yet. Target: the server begins no new work later than 2 s
 * after the document says that it drains.
 */
#include <gtest/gtest.h>

#include <signal.h>

#include "invariants.h"

namespace
{

const uint32_t DRAIN_LIMIT_MS = 2000;
const uint32_t READY_LIMIT_MS = 10000;
const uint32_t DRAINING_BACKEND = 0;

/**
 * class throttled_process - stops and continues a process in turn
 *
 * While the object exists, the process runs for @run_ms and is stopped for
 * @stopped_ms; with @stopped_ms 0 it runs all the time.
 */
class throttled_process {
    public:
	throttled_process(child_process &process, uint32_t run_ms,
			  uint32_t stopped_ms)
	    : process(process), run_ms(run_ms), stopped_ms(stopped_ms),
	      stopping(false), thread([this] { run(); })
	{
	}
	~throttled_process()
	{
		stopping = true;
		thread.join();
	}

    private:
	void run()
	{
		while (!stopping && stopped_ms > 0) {
			process.signal(SIGSTOP);
			sleep_ms(stopped_ms);
			process.signal(SIGCONT);
			sleep_ms(run_ms);
		}
	}

	child_process &process;
	uint32_t run_ms;
	uint32_t stopped_ms;
	std::atomic<bool> stopping;
	std::thread thread;
};

/* Conditions that hold a request between its assignment and its send. */
struct send_delay_case {
	const char *name;
	struct fleet_plan plan;
	struct load_profile profile;
	uint32_t run_ms;
	uint32_t stopped_ms; /* 0: the instance is never stopped */
	uint32_t drain_after_ms; /* from the start of the callers */
	uint32_t observe_ms; /* from the start of the drain */
};

struct fleet_plan make_plan(uint32_t slots, uint32_t connections)
{
	struct fleet_plan plan;

	plan.instances = 1;
	plan.backends = 2;
	plan.slots = slots;
	plan.connections = connections;
	plan.budget_ms = 12000;
	return plan;
}

struct load_profile make_profile(uint32_t callers, uint32_t work_ms)
{
	struct load_profile profile;

	profile.callers = callers;
	profile.work_ms = work_ms;
	profile.fixed_instance = 0;
	return profile;
}

TEST(DrainTest, AssignedRequestsAreNotSentAfterDrain)
{
	const struct send_delay_case cases[] = {
		{ "fewer connections than slots", make_plan(4, 4),
		  make_profile(8, 3000), 0, 0, 300, 4000 },
		{ "an instance short of processor time", make_plan(400, 2000),
		  make_profile(400, 1000), 2, 198, 5000, 8000 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		fleet fleet(c.plan);
		uint64_t published_us;

		ASSERT_TRUE(fleet.wait_ready(0, READY_LIMIT_MS));
		{
			throttled_process instance(fleet.instance(0), c.run_ms,
						   c.stopped_ms);
			callers callers(fleet, c.profile, "drain");

			sleep_ms(c.drain_after_ms);
			fleet.set_draining(DRAINING_BACKEND);
			fleet.publish();
			published_us = unix_us();
			sleep_ms(c.observe_ms);
			std::vector<struct call_record> records =
				callers.stop();

			check_outcomes(records, fleet.backends.run_counts());
		}
		check_no_work_after(fleet.backends.runs(),
				    fleet.backends.port(DRAINING_BACKEND),
				    published_us + DRAIN_LIMIT_MS * 1000);
	}
}

} // namespace
