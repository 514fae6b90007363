/*
 * Documents on their way through real processes. The bound is the target: in
 * force on all reachable instances within 5 s, platform up or down.
 */
#include <gtest/gtest.h>

#include <signal.h>

#include "fleet.h"

namespace
{

const uint32_t IN_FORCE_MS = 5000;
const uint32_t READY_MS = 10000;

std::string platform_rule(uint32_t instance)
{
	return "platform" + std::to_string(instance);
}

void start_all(fleet &fleet)
{
	for (uint32_t i = 0; i < fleet.plan.instances; i++)
		ASSERT_TRUE(fleet.wait_ready(i, READY_MS)) << "instance " << i;
	ASSERT_TRUE(wait_for(READY_MS,
			     [&] { return fleet.in_force(fleet.version()); }));
}

/* What the platform is to most instances while a version spreads. */
struct spread_case {
	const char *name;
	const char *fault; /* of the way to the platform */
	uint32_t reachable_from; /* instances that still reach it */
};

const struct spread_case spread_cases[] = {
	{ "the platform is up", "pass", 6 },
	{ "one instance alone reaches it", "refuse", 1 },
	{ "the others' ways to it are silent", "drop_both", 2 },
};

TEST(ConfigSpread, VersionIsInForceEverywhereInTime)
{
	for (const struct spread_case &c : spread_cases) {
		SCOPED_TRACE(c.name);
		struct fleet_plan plan;

		plan.instances = 6;
		fleet fleet(plan);
		start_all(fleet);
		for (uint32_t i = c.reachable_from; i < plan.instances; i++)
			ASSERT_TRUE(
				fleet.faults->order(platform_rule(i), c.fault));
		for (uint32_t round = 0; round < 3; round++) {
			uint64_t version = fleet.publish();
			uint64_t began_ms = now_ms();

			EXPECT_TRUE(wait_for(IN_FORCE_MS, [&] {
				return fleet.in_force(version);
			}));
			printf("%s: in force on %u instances after %u ms\n",
			       c.name, plan.instances,
			       (uint32_t)(now_ms() - began_ms));
		}
	}
}

TEST(ConfigSpread, NewcomerLearnsFromPeersWhileThePlatformIsDown)
{
	struct fleet_plan plan;

	plan.instances = 4;
	plan.spares = 1;
	fleet fleet(plan);
	start_all(fleet);
	/* The list names it, then the platform is gone for all. */
	ASSERT_TRUE(
		fleet.faults->order(platform_rule(plan.instances), "refuse"));
	fleet.start(plan.instances);
	ASSERT_TRUE(fleet.publish_list());
	ASSERT_TRUE(wait_for(IN_FORCE_MS, [&] {
		return fleet.view(0).peers_alive == plan.instances;
	}));
	ASSERT_TRUE(fleet.config.set_mode("refuse"));
	uint64_t began_ms = now_ms();

	EXPECT_TRUE(wait_for(IN_FORCE_MS, [&] {
		return fleet.view(plan.instances).service.version ==
		       fleet.version();
	}));
	EXPECT_TRUE(fleet.wait_ready(plan.instances, IN_FORCE_MS));
	printf("newcomer ready after %u ms\n", (uint32_t)(now_ms() - began_ms));
}

TEST(ConfigSpread, NothingReverts)
{
	struct fleet_plan plan;

	plan.instances = 3;
	fleet fleet(plan);
	start_all(fleet);
	uint64_t version = fleet.publish();

	ASSERT_TRUE(
		wait_for(IN_FORCE_MS, [&] { return fleet.in_force(version); }));
	/* A lagging copy of the platform goes back. */
	ASSERT_TRUE(fleet.publish_as(version - 1));
	ASSERT_TRUE(wait_for(IN_FORCE_MS, [&] {
		std::string trail;

		for (uint32_t i = 0; i < plan.instances; i++)
			trail += fleet.audit(i);
		return trail.find("older_version") != std::string::npos;
	}));
	EXPECT_TRUE(fleet.in_force(version));
	for (uint32_t i = 0; i < plan.instances; i++)
		EXPECT_TRUE(fleet.view(i).ready);
	version = fleet.publish();
	EXPECT_TRUE(
		wait_for(IN_FORCE_MS, [&] { return fleet.in_force(version); }));
}

TEST(ConfigSpread, PausedInstanceCatchesUp)
{
	struct fleet_plan plan;

	plan.instances = 3;
	fleet fleet(plan);
	start_all(fleet);
	fleet.instance(0).signal(SIGSTOP);
	uint64_t version = fleet.publish();

	pause_ms(3000);
	fleet.instance(0).signal(SIGCONT);
	EXPECT_TRUE(
		wait_for(IN_FORCE_MS, [&] { return fleet.in_force(version); }));
}

} // namespace
