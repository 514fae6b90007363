/*
 * A backend server that leaves, before instances on which a request waits between
 * the choice and the send. The bound is the target: nothing new 2 s after the word.
 */
#include <gtest/gtest.h>

#include <signal.h>

#include "promises.h"

namespace
{

const uint32_t DRAIN_MS = 2000;
const uint32_t READY_MS = 10000;
const uint32_t LEAVES = 0;

/**
 * class starved - an instance that runs a part of the time only
 */
class starved {
    public:
	starved(child &process, uint32_t run_ms, uint32_t pause_ms)
	    : process(process), run_ms(run_ms), pause_ms_(pause_ms),
	      ending(false), thread([this] { run(); })
	{
	}
	~starved()
	{
		ending = true;
		thread.join();
	}

    private:
	void run()
	{
		while (!ending && pause_ms_ > 0) {
			process.signal(SIGSTOP);
			pause_ms(pause_ms_);
			process.signal(SIGCONT);
			pause_ms(run_ms);
		}
	}

	child &process;
	uint32_t run_ms;
	uint32_t pause_ms_;
	std::atomic<bool> ending;
	std::thread thread;
};

struct delay_case {
	const char *name;
	struct fleet_plan plan;
	struct call_shape calls;
	uint32_t run_ms;
	uint32_t pause_ms; /* 0 when it runs all the time */
	uint32_t leave_after_ms;
	uint32_t watch_ms;
};

struct fleet_plan plan_of(uint32_t slots, uint32_t connections)
{
	struct fleet_plan plan;

	plan.instances = 1;
	plan.backends = 2;
	plan.slots = slots;
	plan.connections = connections;
	plan.budget_ms = 12000;
	return plan;
}

struct call_shape calls_of(uint32_t callers, uint32_t work_ms)
{
	struct call_shape calls;

	calls.callers = callers;
	calls.work_ms = work_ms;
	calls.fixed_entry = 0;
	return calls;
}

TEST(DrainTest, NothingIsSentToAServerThatLeftWhileARequestWaitedForItsSend)
{
	const struct delay_case cases[] = {
		{ "fewer connections than slots", plan_of(4, 4),
		  calls_of(8, 3000), 0, 0, 300, 4000 },
		{ "an instance short of processor time", plan_of(400, 2000),
		  calls_of(400, 1000), 2, 198, 5000, 8000 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		fleet fleet(c.plan);
		uint64_t left_us;

		ASSERT_TRUE(fleet.wait_ready(0, READY_MS));
		{
			starved instance(fleet.instance(0), c.run_ms,
					 c.pause_ms);
			callers callers(fleet, c.calls, "drain");

			pause_ms(c.leave_after_ms);
			fleet.set_draining(LEAVES);
			fleet.publish();
			left_us = unix_us();
			pause_ms(c.watch_ms);
			check_calls(callers.stop(), fleet.backends.counts());
		}
		check_drained(fleet.backends.runs(),
			      fleet.backends.port(LEAVES),
			      left_us + DRAIN_MS * 1000);
	}
}

} // namespace
