/*
 * Membership without a published list: instances that start with a few seeds
 * find each other, in fleets simulated in memory.
 */
#include "fleet_sim.h"

namespace
{

const uint32_t instances = 36;
const uint32_t seed_instances = 3;

/* Whether each running instance has just the other running ones as not dead. */
bool all_agree(const FleetSim &sim)
{
	for (uint32_t i = 0; i < sim.size(); i++) {
		if (sim.paused[i])
			continue;
		for (uint32_t j = 0; j < sim.size(); j++) {
			bool member = sim.seen(i, j) != MEMBER_DEAD;

			if (i != j && member == sim.paused[j])
				return false;
		}
	}
	return true;
}

enum disturbance { NOTHING, SEEDS_DOWN, LOSS, RESTART_ALL, RESTART_SEEDS };

struct join_case {
	const char *name;
	enum disturbance disturbance;
	uint64_t limit_ms;
};

const struct join_case join_cases[] = {
	{ "all start at once", NOTHING, 5000 },
	{ "two of the seeds are down", SEEDS_DOWN, 12000 },
	{ "a fifth of the datagrams are lost", LOSS, 8000 },
	{ "all instances restart at once", RESTART_ALL, 8000 },
	{ "the seeds restart and know no members", RESTART_SEEDS, 5000 },
};

TEST(MemberJoinTest, AllFindEachOther)
{
	for (const auto &c : join_cases) {
		for (uint32_t seed = 1; seed <= 3; seed++) {
			SCOPED_TRACE(std::string(c.name) + ", seed " +
				     std::to_string(seed));
			FleetSim sim(instances, seed, seed_instances);

			if (c.disturbance == SEEDS_DOWN)
				sim.paused[0] = sim.paused[1] = true;
			if (c.disturbance == LOSS)
				sim.loss_percent = 20;
			if (c.disturbance == RESTART_ALL ||
			    c.disturbance == RESTART_SEEDS) {
				sim.pass_ms(5000);
				for (uint32_t i = 0; i < instances; i++) {
					if (c.disturbance == RESTART_ALL ||
					    i < seed_instances)
						sim.restart(i);
				}
			}
			EXPECT_LE(sim.until(c.limit_ms,
					    [&] { return all_agree(sim); }),
				  c.limit_ms);
		}
	}
}

struct partition_case {
	const char *name;
	uint32_t lower; /* instances 0 to @lower - 1 are cut off */
	uint64_t span_ms;
};

const struct partition_case partition_cases[] = {
	{ "a third of the fleet with all the seeds", 12, 15000 },
	{ "one seed alone", 1, 15000 },
	{ "half of the fleet, for 3 s", 18, 3000 },
};

TEST(MemberJoinTest, APartitionHeals)
{
	for (const auto &c : partition_cases) {
		SCOPED_TRACE(c.name);
		FleetSim sim(instances, 5, seed_instances);

		sim.pass_ms(5000);
		sim.partition(c.lower);
		sim.pass_ms(c.span_ms);
		sim.cuts.clear();
		EXPECT_LE(sim.until(15000, [&] { return all_agree(sim); }),
			  15000u);
	}
}

struct alone_case {
	const char *name;
	uint32_t platform_kind;
	bool ready;
};

const struct alone_case alone_cases[] = {
	{ "a store publishes no list, so an instance alone is ready",
	  PLATFORM_STORE, true },
	{ "a published list has to be read first", PLATFORM_DOCUMENTS, false },
};

TEST(MemberJoinTest, InstanceWithoutSeedsIsReadyOnlyWithAStore)
{
	for (const auto &c : alone_cases) {
		SCOPED_TRACE(c.name);
		struct settings settings = {};
		struct membership membership = {};

		settings.platform_kind = c.platform_kind;
		membership_init(&membership, &settings);
		EXPECT_EQ(membership.list_known, c.ready);
		EXPECT_EQ(membership.self_listed, c.ready);
		membership_clear(&membership);
	}
}

TEST(MemberJoinTest, HomeSetsAgreeOnceAllAreKnown)
{
	FleetSim sim(instances, 7, seed_instances);

	sim.pass_ms(5000);
	sim.insts[4]->accept(make_doc({ 20, 6 }));
	EXPECT_LE(sim.until(2000,
			    [&] {
				    return sim.count_with_version(1) ==
					   instances;
			    }),
		  2000u);
	const struct service *first = sim.insts[0]->service();

	ASSERT_GE(first->home_count, 2u);
	for (auto &inst : sim.insts) {
		const struct service *service = inst->service();

		ASSERT_EQ(service->home_count, first->home_count);
		for (uint32_t i = 0; i < first->home_count; i++)
			EXPECT_TRUE(addr_equal(service->homes[i].peer,
					       first->homes[i].peer));
	}
}

TEST(MemberJoinTest, DeadInstanceIsNoHomeAndIsRemoved)
{
	FleetSim sim(6, 7, seed_instances);
	struct net_addr stopped_peer = instance_of(5, 3).peer;

	sim.pass_ms(3000);
	sim.insts[0]->accept(make_doc({ 20, 6 }));
	sim.pass_ms(1000);
	sim.paused[5] = true;
	sim.pass_ms(8000);
	EXPECT_EQ(sim.seen(0, 5), MEMBER_DEAD);
	for (uint32_t i = 0; i < sim.insts[0]->service()->home_count; i++)
		EXPECT_FALSE(addr_equal(sim.insts[0]->service()->homes[i].peer,
					stopped_peer));
	ASSERT_NE(membership_find(&sim.insts[0]->state->membership,
				  stopped_peer),
		  nullptr);
	sim.insts[0]->now.mono_us += 700 * US_PER_S;
	sim.insts[0]->tick();
	EXPECT_EQ(membership_find(&sim.insts[0]->state->membership,
				  stopped_peer),
		  nullptr);
}

} // namespace
