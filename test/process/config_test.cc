/*
 * Distribution of documents between instances as processes. Target: a version
 * is in force on all reachable instances within 5 s, whether the platform is up
 * or down.
 */
#include <gtest/gtest.h>

#include <signal.h>

#include "fleet.h"

namespace
{

const uint32_t IN_FORCE_LIMIT_MS = 5000;
const uint32_t READY_LIMIT_MS = 10000;

std::string platform_rule(uint32_t instance)
{
	return "platform" + std::to_string(instance);
}

void wait_all_in_force(fleet &fleet)
{
	for (uint32_t i = 0; i < fleet.plan.instances; i++)
		ASSERT_TRUE(fleet.wait_ready(i, READY_LIMIT_MS))
			<< "instance " << i;
	ASSERT_TRUE(wait_for(READY_LIMIT_MS,
			     [&] { return fleet.in_force(fleet.version()); }));
}

/* Which instances can reach the platform while a version is distributed. */
struct distribution_case {
	const char *name;
	const char *fault; /* between the other instances and the platform */
	uint32_t reachable_count; /* instances that reach the platform */
};

const struct distribution_case distribution_cases[] = {
	{ "the platform is up", "pass", 6 },
	{ "only one instance reaches the platform", "refuse", 1 },
	{ "all but two instances get no answer from the platform", "drop_both",
	  2 },
};

TEST(ConfigDistributionTest, VersionIsInForceEverywhereInTime)
{
	for (const struct distribution_case &c : distribution_cases) {
		SCOPED_TRACE(c.name);
		struct fleet_plan plan;

		plan.instances = 6;
		fleet fleet(plan);
		wait_all_in_force(fleet);
		for (uint32_t i = c.reachable_count; i < plan.instances; i++)
			ASSERT_TRUE(fleet.faults->set_fault(platform_rule(i),
							    c.fault));
		for (uint32_t round = 0; round < 3; round++) {
			uint64_t version = fleet.publish();
			uint64_t published_ms = now_ms();

			EXPECT_TRUE(wait_for(IN_FORCE_LIMIT_MS, [&] {
				return fleet.in_force(version);
			}));
			printf("%s: in force on %u instances after %u ms\n",
			       c.name, plan.instances,
			       (uint32_t)(now_ms() - published_ms));
		}
	}
}

TEST(ConfigDistributionTest,
     NewInstanceGetsDocumentFromPeersWhilePlatformIsDown)
{
	struct fleet_plan plan;

	plan.instances = 4;
	plan.spares = 1;
	fleet fleet(plan);
	wait_all_in_force(fleet);
	/*
	 * The spare instance never reaches the platform. The platform fails for
	 * the others once the instance list names the spare.
	 */
	ASSERT_TRUE(fleet.faults->set_fault(platform_rule(plan.instances),
					    "refuse"));
	fleet.start(plan.instances);
	ASSERT_TRUE(fleet.publish_instances());
	ASSERT_TRUE(wait_for(IN_FORCE_LIMIT_MS, [&] {
		return fleet.view(0).peers_alive == plan.instances;
	}));
	ASSERT_TRUE(fleet.config.set_mode("refuse"));
	uint64_t published_ms = now_ms();

	EXPECT_TRUE(wait_for(IN_FORCE_LIMIT_MS, [&] {
		return fleet.view(plan.instances).service.version ==
		       fleet.version();
	}));
	EXPECT_TRUE(fleet.wait_ready(plan.instances, IN_FORCE_LIMIT_MS));
	printf("new instance ready after %u ms\n",
	       (uint32_t)(now_ms() - published_ms));
}

TEST(ConfigDistributionTest, OlderVersionIsNotAccepted)
{
	struct fleet_plan plan;

	plan.instances = 3;
	fleet fleet(plan);
	wait_all_in_force(fleet);
	uint64_t version = fleet.publish();

	ASSERT_TRUE(wait_for(IN_FORCE_LIMIT_MS,
			     [&] { return fleet.in_force(version); }));
	/* As an outdated replica of the platform would answer. */
	ASSERT_TRUE(fleet.publish_version(version - 1));
	ASSERT_TRUE(wait_for(IN_FORCE_LIMIT_MS, [&] {
		std::string records;

		for (uint32_t i = 0; i < plan.instances; i++)
			records += fleet.audit(i);
		return records.find("older_version") != std::string::npos;
	}));
	EXPECT_TRUE(fleet.in_force(version));
	for (uint32_t i = 0; i < plan.instances; i++)
		EXPECT_TRUE(fleet.view(i).ready);
	version = fleet.publish();
	EXPECT_TRUE(wait_for(IN_FORCE_LIMIT_MS,
			     [&] { return fleet.in_force(version); }));
}

TEST(ConfigDistributionTest, InstanceCatchesUpAfterSigstop)
{
	struct fleet_plan plan;

	plan.instances = 3;
	fleet fleet(plan);
	wait_all_in_force(fleet);
	fleet.instance(0).signal(SIGSTOP);
	uint64_t version = fleet.publish();

	sleep_ms(3000);
	fleet.instance(0).signal(SIGCONT);
	EXPECT_TRUE(wait_for(IN_FORCE_LIMIT_MS,
			     [&] { return fleet.in_force(version); }));
}

} // namespace
