/* Membership without a published list: instances that know a few seeds. */
#include "fleet_sim.h"

namespace
{

const uint32_t fleet = 36;
const uint32_t seeds = 3;

/* All hold all others to be there, doubted or not, and nobody else. */
bool agreed(const FleetSim &sim)
{
	for (uint32_t i = 0; i < sim.size(); i++) {
		if (sim.paused[i])
			continue;
		for (uint32_t j = 0; j < sim.size(); j++) {
			bool there = sim.seen(i, j) != MEMBER_DEAD;

			if (i != j && there == sim.paused[j])
				return false;
		}
	}
	return true;
}

enum trouble { NOTHING, SEED_DOWN, LOSS, RESTART_ALL, RESTART_SEEDS };

struct join_case {
	const char *name;
	enum trouble trouble;
	uint64_t limit_ms;
};

const struct join_case join_cases[] = {
	{ "all start at once", NOTHING, 5000 },
	{ "two of the seeds are down", SEED_DOWN, 12000 },
	{ "a fifth of the datagrams are lost", LOSS, 8000 },
	{ "all are killed and start again", RESTART_ALL, 8000 },
	{ "the seeds start again and know nobody", RESTART_SEEDS, 5000 },
};

TEST(MemberJoinTest, AllFindEachOther)
{
	for (const auto &c : join_cases) {
		for (uint32_t seed = 1; seed <= 3; seed++) {
			SCOPED_TRACE(std::string(c.name) + ", seed " +
				     std::to_string(seed));
			FleetSim sim(fleet, seed, seeds);

			if (c.trouble == SEED_DOWN)
				sim.paused[0] = sim.paused[1] = true;
			if (c.trouble == LOSS)
				sim.loss_percent = 20;
			if (c.trouble == RESTART_ALL ||
			    c.trouble == RESTART_SEEDS) {
				sim.pass_ms(5000);
				for (uint32_t i = 0; i < fleet; i++) {
					if (c.trouble == RESTART_ALL ||
					    i < seeds)
						sim.restart(i);
				}
			}
			EXPECT_LE(sim.until(c.limit_ms,
					    [&] { return agreed(sim); }),
				  c.limit_ms);
		}
	}
}

struct part_case {
	const char *name;
	uint32_t lower;
	uint64_t span_ms;
};

const struct part_case part_cases[] = {
	{ "a third with all the seeds", 12, 15000 },
	{ "one alone", 1, 15000 },
	{ "half, for a short while", 18, 3000 },
};

TEST(MemberJoinTest, APartitionHeals)
{
	for (const auto &c : part_cases) {
		SCOPED_TRACE(c.name);
		FleetSim sim(fleet, 5, seeds);

		sim.pass_ms(5000);
		sim.partition(c.lower);
		sim.pass_ms(c.span_ms);
		sim.cuts.clear();
		EXPECT_LE(sim.until(15000, [&] { return agreed(sim); }),
			  15000u);
	}
}

struct alone_case {
	const char *name;
	uint32_t platform_kind;
	bool ready;
};

const struct alone_case alone_cases[] = {
	{ "a store publishes no list, so one alone begins", PLATFORM_STORE,
	  true },
	{ "a published list has to come first", PLATFORM_DOCUMENTS, false },
};

TEST(MemberJoinTest, OneWithoutSeeds)
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
	FleetSim sim(fleet, 7, seeds);

	sim.pass_ms(5000);
	sim.insts[4]->accept(make_doc({ 20, 6 }));
	EXPECT_LE(sim.until(2000, [&] { return sim.holders(1) == fleet; }),
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

TEST(MemberJoinTest, ADeadInstanceIsNoHomeAndIsForgotten)
{
	FleetSim sim(6, 7, seeds);
	struct net_addr gone = instance_of(5, 3).peer;

	sim.pass_ms(3000);
	sim.insts[0]->accept(make_doc({ 20, 6 }));
	sim.pass_ms(1000);
	sim.paused[5] = true;
	sim.pass_ms(8000);
	EXPECT_EQ(sim.seen(0, 5), MEMBER_DEAD);
	for (uint32_t i = 0; i < sim.insts[0]->service()->home_count; i++)
		EXPECT_FALSE(addr_equal(sim.insts[0]->service()->homes[i].peer,
					gone));
	ASSERT_NE(membership_find(&sim.insts[0]->state->membership, gone),
		  nullptr);
	sim.insts[0]->now.mono_us += 700 * US_PER_S;
	sim.insts[0]->tick();
	EXPECT_EQ(membership_find(&sim.insts[0]->state->membership, gone),
		  nullptr);
}

} // namespace
