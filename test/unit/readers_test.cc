/*
 * Which instances read from the platform, evaluated at each instance and in
 * fleets simulated in memory. Bounds: a change is in force 2 s after the
 * platform has accepted it; half of that is left for its way through the fleet.
 */
#include "fleet_sim.h"

extern "C" {
#include "query/readers.h"
}

namespace
{

#define INSTANCES 12
#define DOMAINS 3

struct instance_condition {
	enum member_status status = MEMBER_ALIVE;
	enum platform_contact platform = PLATFORM_CONTACT_NONE;
};

struct roles {
	uint32_t first = 0;
	uint32_t standby = 0;
	/* Readers of either role that report that they lost the platform. */
	uint32_t lost = 0;
	std::vector<uint32_t> readers;
};

/* Roles that the instances choose when each knows the condition of all. */
struct roles
choose_roles(const std::vector<struct instance_condition> &conditions,
	     uint32_t domains = DOMAINS)
{
	struct roles roles;

	for (uint32_t i = 0; i < INSTANCES; i++) {
		TestInstance inst(i, domains);
		struct membership *membership = &inst.state->membership;

		if (conditions[i].status == MEMBER_DEAD)
			continue;
		inst.list(INSTANCES, domains);
		for (uint32_t j = 0; j < INSTANCES; j++) {
			struct member *member = membership_find(
				membership, instance_of(j, domains).peer);

			if (!member)
				continue;
			member->status = conditions[j].status;
			member->listed.self_report.platform =
				conditions[j].platform;
			/* A heartbeat of each has just come. */
			member->reading_until_us = inst.now.mono_us;
		}
		membership->self.self_report.platform = conditions[i].platform;
		enum reader_role role = readers_own_role(inst.state, inst.now);

		roles.first += role == READER_FIRST;
		roles.standby += role == READER_STANDBY;
		if (role == READER_NONE)
			continue;
		roles.readers.push_back(i);
		roles.lost += conditions[i].platform == PLATFORM_CONTACT_LOST;
	}
	return roles;
}

struct readers_case {
	const char *name;
	/* Number of the initial readers that are dead or lost the platform. */
	uint32_t readers_dead;
	uint32_t readers_lost;
	bool all_lost;
	uint32_t first;
	uint32_t standby;
	uint32_t lost;
};

const struct readers_case readers_cases[] = {
	{ "two in each of three failure domains", 0, 0, false, 1, 5, 0 },
	{ "another instance replaces a dead reader", 1, 0, false, 1, 5, 0 },
	{ "another instance joins a reader that lost the platform", 0, 1, false,
	  1, 6, 1 },
	{ "half of the readers lost the platform", 0, 3, false, 1, 8, 3 },
	{ "all lost the platform: only a few keep trying", 0, 0, true, 0, 9,
	  9 },
};

TEST(ReadersTest, ReplacesLostReaders)
{
	for (const auto &c : readers_cases) {
		SCOPED_TRACE(c.name);
		std::vector<struct instance_condition> conditions(INSTANCES);
		std::vector<uint32_t> readers =
			choose_roles(conditions).readers;

		ASSERT_EQ(readers.size(), (size_t)2 * DOMAINS);
		for (uint32_t i = 0; i < c.readers_dead; i++)
			conditions[readers[i]].status = MEMBER_DEAD;
		for (uint32_t i = 0; i < c.readers_lost; i++)
			conditions[readers[i]].platform = PLATFORM_CONTACT_LOST;
		for (auto &condition : conditions) {
			if (c.all_lost)
				condition.platform = PLATFORM_CONTACT_LOST;
		}
		struct roles roles = choose_roles(conditions);

		EXPECT_EQ(roles.first, c.first);
		EXPECT_EQ(roles.standby, c.standby);
		EXPECT_EQ(roles.lost, c.lost);
	}
}

struct domains_case {
	uint32_t domains;
	uint32_t readers;
};

const struct domains_case domains_cases[] = {
	{ 1, 6 },
	{ 2, 6 },
	{ 3, 6 },
	{ 4, 8 },
};

/*
 * With few failure domains there are several readers in each, so that some
 * go on reading when one stops responding.
 */
TEST(ReadersTest, KeepsMinimumWithFewDomains)
{
	for (const auto &c : domains_cases) {
		SCOPED_TRACE(c.domains);
		struct roles roles = choose_roles(
			std::vector<struct instance_condition>(INSTANCES),
			c.domains);

		EXPECT_EQ(roles.first, 1u);
		EXPECT_EQ(roles.readers.size(), (size_t)c.readers);
	}
}

struct start_case {
	const char *name;
	uint32_t self;
	uint64_t after_ms;
	bool request; /* one arrives before any document */
	bool peers; /* peers are known, and one of them is a reader */
	bool reads;
};

const struct start_case start_cases[] = {
	{ "a seed reads at once", 0, 100, false, false, true },
	{ "another instance waits for peers", 5, 900, false, false, false },
	{ "another instance reads when no peer is known", 5, 1200, false, false,
	  true },
	{ "another instance reads when a request arrives first", 5, 100, true,
	  false, true },
	{ "not a reader when its domain has one", 2, 1200, false, true, false },
	{ "its domain has one, but a request arrives first", 2, 100, true, true,
	  true },
};

TEST(ReadersTest, StartingInstanceReadsOnlyIfNeeded)
{
	for (const auto &c : start_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst(c.self, DOMAINS, 2);

		if (c.peers)
			inst.list(INSTANCES, DOMAINS);
		inst.pass_ms(50);
		if (c.request)
			inst.request("/s/short");
		inst.pass_ms(c.after_ms - 50);
		EXPECT_EQ(inst.state->reader_role != READER_NONE, c.reads);
		EXPECT_EQ(inst.count(EVENT_CONFIG_ROLE), c.reads);
	}
}

struct platform_case {
	const char *name;
	bool answered_before;
	bool reachable;
	/* The role ends before the result of the call is processed. */
	bool role_ends;
	enum platform_contact contact;
	bool known_reachable;
};

const struct platform_case platform_cases[] = {
	{ "the platform answers", false, true, false, PLATFORM_CONTACT_READING,
	  true },
	{ "the platform answers no longer", true, false, false,
	  PLATFORM_CONTACT_LOST, false },
	{ "the platform has never answered", false, false, false,
	  PLATFORM_CONTACT_BACKOFF, false },
	{ "an answer after the end of the role is ignored", false, true, true,
	  PLATFORM_CONTACT_NONE, false },
	{ "a failure after the end of the role is ignored", false, false, true,
	  PLATFORM_CONTACT_NONE, false },
};

void report_platform(TestInstance &inst, bool reachable)
{
	struct command command = {};

	command.kind = COMMAND_PLATFORM_STATE;
	command.platform_state.reachable = reachable;
	inst.apply(command);
}

TEST(ReadersTest, ReaderReportsPlatform)
{
	for (const auto &c : platform_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst(0, DOMAINS, 1);
		uint32_t incarnation;

		inst.pass_ms(100);
		ASSERT_EQ(inst.state->reader_role, READER_FIRST);
		if (c.answered_before)
			report_platform(inst, true);
		incarnation = inst.state->membership.incarnation;
		if (c.role_ends)
			inst.state->reader_role = READER_NONE;
		report_platform(inst, c.reachable);
		EXPECT_EQ(inst.state->membership.self.self_report.platform,
			  c.contact);
		EXPECT_EQ(inst.state->platform_reachable, c.known_reachable);
		EXPECT_EQ(inst.state->membership.incarnation,
			  incarnation + (c.contact != PLATFORM_CONTACT_NONE));
	}
}

#define SIM_SEEDS 3
#define POLL_MS 1500
#define RETRY_FIRST_MS 500
#define RETRY_DOUBLINGS_MAX 2

/* A fleet and a platform that it reads by long polls. */
class ReadingFleet {
    public:
	FleetSim sim;
	bool down = false;
	/* So many instances, those that call first, are turned away. */
	uint32_t turn_away_max = 0;
	std::set<uint32_t> turned_away;
	uint64_t calls = 0;
	uint32_t role_changes = 0;

	ReadingFleet(uint32_t count, uint32_t seed)
	    : sim(count, seed, SIM_SEEDS), rand(g_rand_new_with_seed(seed)),
	      callers(count)
	{
		sim.on_role = [this](uint32_t i, enum reader_role role) {
			change_role(i, role);
		};
	}

	~ReadingFleet()
	{
		g_rand_free(rand);
	}

	ReadingFleet(const ReadingFleet &) = delete;
	ReadingFleet &operator=(const ReadingFleet &) = delete;

	void pass_ms(uint64_t ms)
	{
		for (uint64_t passed = 0; passed < ms; passed += SIM_STEP_MS) {
			sim.pass_ms(SIM_STEP_MS);
			time_ms += SIM_STEP_MS;
			for (uint32_t i = 0; i < sim.size(); i++) {
				if (!sim.paused[i] &&
				    callers[i].role != READER_NONE &&
				    time_ms >= callers[i].due_ms)
					call(i);
			}
		}
	}

	/* The platform ends all polls, as when it begins to turn callers away. */
	void end_polls()
	{
		for (struct caller &caller : callers)
			caller.due_ms = time_ms;
	}

	void revive(uint32_t i)
	{
		callers[i] = {};
		sim.revive(i);
	}

	std::vector<uint32_t> readers() const
	{
		std::vector<uint32_t> list;

		for (uint32_t i = 0; i < sim.size(); i++) {
			if (!sim.paused[i] && callers[i].role != READER_NONE &&
			    callers[i].reachable && !turned_away.count(i))
				list.push_back(i);
		}
		return list;
	}

	/* Return: milliseconds until an instance reads, or @limit_ms + 1. */
	uint64_t until_read(uint64_t limit_ms)
	{
		for (uint64_t passed = 0; passed <= limit_ms;
		     passed += SIM_STEP_MS) {
			if (!readers().empty())
				return passed;
			pass_ms(SIM_STEP_MS);
		}
		return limit_ms + 1;
	}

    private:
	struct caller {
		enum reader_role role = READER_NONE;
		uint64_t due_ms = 0;
		bool reported = false;
		bool reachable = false;
		uint32_t failures = 0;
	};

	GRand *rand;
	std::vector<struct caller> callers;
	uint64_t time_ms = 0;

	void change_role(uint32_t i, enum reader_role role)
	{
		struct caller &caller = callers[i];

		role_changes++;
		if (role == READER_NONE || caller.role == READER_NONE) {
			caller.due_ms = time_ms + SIM_STEP_MS;
			caller.reported = false;
			caller.reachable = false;
		}
		caller.role = role;
	}

	void call(uint32_t i)
	{
		struct caller &caller = callers[i];
		bool reachable;

		calls++;
		if (turned_away.size() < turn_away_max)
			turned_away.insert(i);
		reachable = !down && !turned_away.count(i);
		caller.failures = reachable ? 0 : caller.failures + 1;
		caller.due_ms =
			time_ms + (reachable ? POLL_MS : retry_ms(caller));
		if (caller.reported && caller.reachable == reachable)
			return;
		caller.reported = true;
		caller.reachable = reachable;
		report_platform(*sim.insts[i], reachable);
	}

	uint64_t retry_ms(const struct caller &caller)
	{
		uint32_t doublings = std::min<uint32_t>(caller.failures - 1,
							RETRY_DOUBLINGS_MAX);
		gint32 span_ms = RETRY_FIRST_MS << doublings;

		return (uint64_t)g_rand_int_range(rand, span_ms / 2,
						  span_ms + 1);
	}
};

const uint32_t SIM_RUNS[] = { 1, 2, 3 };
const uint32_t FLEET = 36;
const uint64_t SETTLE_MS = 10000;
const uint64_t TAKEN_OVER_MS = 1000;

enum loss_kind { LOSS_KILLED, LOSS_PAUSED, LOSS_TURNED_AWAY };

struct loss_case {
	const char *name;
	enum loss_kind kind;
	/* Instances beyond the readers that are lost with them. */
	uint32_t others;
	uint64_t limit_ms;
};

/*
 * Turned away are those that call first, one after the other, so it takes as
 * long as their tries: a quarter of the fleet in the bound of 2 s.
 */
const struct loss_case loss_cases[] = {
	{ "all readers lose power", LOSS_KILLED, 0, TAKEN_OVER_MS },
	{ "all readers and one successor of each domain lose power",
	  LOSS_KILLED, 3, TAKEN_OVER_MS },
	{ "all readers and all their successors lose power", LOSS_KILLED, 9,
	  TAKEN_OVER_MS },
	{ "three fifths of the fleet, all that would read first, lose power",
	  LOSS_KILLED, 16, TAKEN_OVER_MS },
	{ "all readers are paused", LOSS_PAUSED, 0, TAKEN_OVER_MS },
	{ "all readers are turned away", LOSS_TURNED_AWAY, 0, TAKEN_OVER_MS },
	{ "a third of the fleet is turned away", LOSS_TURNED_AWAY, 6, 2000 },
	{ "half of the fleet is turned away", LOSS_TURNED_AWAY, 12, 3000 },
};

/* Instances other than @readers, those that would read next first. */
std::vector<uint32_t> next_in_rank(const std::vector<uint32_t> &readers,
				   uint32_t count)
{
	std::vector<std::pair<uint64_t, uint32_t>> ranks;
	std::vector<uint32_t> others;

	for (uint32_t i = 0; i < FLEET; i++) {
		if (std::find(readers.begin(), readers.end(), i) ==
		    readers.end())
			ranks.push_back(
				{ readers_rank(instance_of(i, DOMAINS).peer),
				  i });
	}
	std::sort(ranks.begin(), ranks.end());
	for (uint32_t i = 0; i < count; i++)
		others.push_back(ranks[i].second);
	return others;
}

void lose_readers(ReadingFleet &fleet, const struct loss_case &c)
{
	std::vector<uint32_t> lost = fleet.readers();
	std::vector<uint32_t> others = next_in_rank(lost, c.others);

	switch (c.kind) {
	case LOSS_KILLED:
		lost.insert(lost.end(), others.begin(), others.end());
		for (uint32_t i : lost)
			fleet.sim.kill(i);
		break;
	case LOSS_PAUSED:
		for (uint32_t i : lost)
			fleet.sim.paused[i] = true;
		break;
	case LOSS_TURNED_AWAY:
		fleet.turn_away_max = (uint32_t)lost.size() + c.others;
		fleet.end_polls();
		break;
	}
}

/*
 * Guards against a fleet in which nobody reads the platform for as long as the
 * readers are turned away, or until they are held to be dead.
 */
TEST(ReadersTest, OthersReadWhenAllReadersAreLost)
{
	for (const auto &c : loss_cases) {
		for (uint32_t seed : SIM_RUNS) {
			SCOPED_TRACE(std::string(c.name) + ", seed " +
				     std::to_string(seed));
			ReadingFleet fleet(FLEET, seed);

			fleet.pass_ms(SETTLE_MS);
			ASSERT_EQ(fleet.readers().size(), 6u);
			lose_readers(fleet, c);
			/* A call shows that a reader is turned away. */
			if (c.kind == LOSS_TURNED_AWAY)
				fleet.pass_ms(SIM_STEP_MS);
			EXPECT_LE(fleet.until_read(5000), c.limit_ms);
		}
	}
}

/*
 * Guards against readers whose successors cannot take over: the store turns
 * away those who call first, and the readers that it then has lose power.
 */
TEST(ReadersTest, OthersReadWhenSuccessorsAreTurnedAway)
{
	for (uint32_t away : { 6u, 12u }) {
		for (uint32_t seed : SIM_RUNS) {
			SCOPED_TRACE(std::to_string(away) +
				     " turned away, seed " +
				     std::to_string(seed));
			ReadingFleet fleet(FLEET, seed);

			fleet.pass_ms(SETTLE_MS);
			fleet.turn_away_max = away;
			fleet.end_polls();
			fleet.pass_ms(SETTLE_MS);
			ASSERT_FALSE(fleet.readers().empty());
			for (uint32_t i : fleet.readers())
				fleet.sim.kill(i);
			EXPECT_LE(fleet.until_read(5000), TAKEN_OVER_MS);
		}
	}
}

/* Guards against a restarted instance that counts before it reads. */
TEST(ReadersTest, RestartedReadersLeaveNoGap)
{
	for (uint32_t seed : SIM_RUNS) {
		SCOPED_TRACE(seed);
		ReadingFleet fleet(FLEET, seed);
		uint64_t unread_ms = 0;

		fleet.pass_ms(SETTLE_MS);
		std::vector<uint32_t> lost = fleet.readers();

		for (uint32_t i : lost)
			fleet.sim.kill(i);
		fleet.pass_ms(3500);
		for (uint32_t i : lost)
			fleet.revive(i);
		for (uint64_t passed = 0; passed < 10000; passed += 50) {
			unread_ms += fleet.readers().empty() ? 50 : 0;
			fleet.pass_ms(50);
		}
		EXPECT_EQ(unread_ms, 0u);
		fleet.pass_ms(SETTLE_MS);
		EXPECT_EQ(fleet.readers().size(), 6u);
	}
}

/* The first tries of all instances are not counted as a rate. */
const uint64_t FIRST_TRIES_MS = 10000;
/* Calls in a second for each failure domain while nobody gets an answer. */
const uint64_t DOWN_CALLS_MAX = 4;

/*
 * Guards against calls that grow with the fleet while the platform is down for
 * all, and against a fleet that does not notice its return.
 */
TEST(ReadersTest, FewCallsWhilePlatformIsDown)
{
	for (uint32_t instances : { FLEET, 2 * FLEET }) {
		SCOPED_TRACE(instances);
		ReadingFleet fleet(instances, 1);
		uint64_t before;

		fleet.pass_ms(SETTLE_MS);
		fleet.down = true;
		fleet.end_polls();
		before = fleet.calls;
		fleet.pass_ms(FIRST_TRIES_MS);
		EXPECT_LE(fleet.calls - before, 3 * instances);
		before = fleet.calls;
		fleet.pass_ms(20000);
		EXPECT_LE(fleet.calls - before, 20 * DOWN_CALLS_MAX * DOMAINS);
		EXPECT_GT(fleet.calls, before);
		printf("%u instances: %u calls a second\n", instances,
		       (uint32_t)(fleet.calls - before) / 20);
		fleet.down = false;
		EXPECT_LE(fleet.until_read(5000), TAKEN_OVER_MS);
		/* As long as the longest back-off. */
		fleet.pass_ms(15000);
		EXPECT_EQ(fleet.readers().size(), 6u);
	}
}

struct calm_case {
	const char *name;
	uint32_t loss_percent;
	uint32_t role_changes_max;
};

const struct calm_case calm_cases[] = {
	{ "no datagram is lost", 0, 0 },
	{ "one datagram in fifty is lost", 2, 12 },
};

TEST(ReadersTest, RolesAreStableInACalmFleet)
{
	for (const auto &c : calm_cases) {
		for (uint32_t seed : SIM_RUNS) {
			SCOPED_TRACE(std::string(c.name) + ", seed " +
				     std::to_string(seed));
			ReadingFleet fleet(FLEET, seed);

			fleet.pass_ms(SETTLE_MS);
			fleet.sim.loss_percent = c.loss_percent;
			fleet.role_changes = 0;
			fleet.pass_ms(30000);
			EXPECT_LE(fleet.role_changes, c.role_changes_max);
			EXPECT_GE(fleet.readers().size(), 6u);
		}
	}
}

} // namespace
