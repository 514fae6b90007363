/* Which instances read from the platform, evaluated at each instance. */
#include "test_instance.h"

extern "C" {
#include "query/readers.h"
}

namespace
{

#define INSTANCES 12
#define DOMAINS 3

struct instance_condition {
	enum member_status status = MEMBER_ALIVE;
	bool platform_lost = false;
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
			member->listed.self_report.platform_lost =
				conditions[j].platform_lost;
		}
		membership->self.self_report.platform_lost =
			conditions[i].platform_lost;
		enum reader_role role = readers_own_role(inst.state, inst.now);

		roles.first += role == READER_FIRST;
		roles.standby += role == READER_STANDBY;
		if (role == READER_NONE)
			continue;
		roles.readers.push_back(i);
		roles.lost += conditions[i].platform_lost;
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
			conditions[readers[i]].platform_lost = true;
		for (auto &condition : conditions)
			condition.platform_lost |= c.all_lost;
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
	bool reachable;
	/* The role ends before the result of the call is processed. */
	bool role_ends;
	bool lost;
	bool known_reachable;
};

const struct platform_case platform_cases[] = {
	{ "the platform answers", true, false, false, true },
	{ "the platform does not answer", false, false, true, false },
	{ "an answer after the end of the role is ignored", true, true, false,
	  false },
	{ "a failure after the end of the role is ignored", false, true, false,
	  false },
};

TEST(ReadersTest, ReaderReportsLostPlatform)
{
	for (const auto &c : platform_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst(0, DOMAINS, 1);
		uint32_t incarnation;

		inst.pass_ms(100);
		ASSERT_EQ(inst.state->reader_role, READER_FIRST);
		incarnation = inst.state->membership.incarnation;
		if (c.role_ends)
			inst.state->reader_role = READER_NONE;
		struct command command = {};
		command.kind = COMMAND_PLATFORM_STATE;
		command.platform_state.reachable = c.reachable;
		inst.apply(command);

		EXPECT_EQ(inst.state->membership.self.self_report.platform_lost,
			  c.lost);
		EXPECT_EQ(inst.state->platform_reachable, c.known_reachable);
		EXPECT_EQ(inst.state->membership.incarnation,
			  incarnation + c.lost);
	}
}

} // namespace
