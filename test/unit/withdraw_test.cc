/*
 * Withdrawal of a home that cannot reach its backend servers. Without it
 * callers keep sending requests to an instance that can forward them nowhere,
 * while another instance of its failure domain could serve them.
 */
#include "test_instance.h"

extern "C" {
#include "command/withdraw.h"
#include "command/member.h"
#include "query/health.h"
#include "query/homes.h"
}

namespace
{

/* One of three homes, with backend servers in failure domains "a" and "b". */
struct TestInstance *new_home()
{
	struct TestInstance *inst = new TestInstance(0, 3);
	struct doc_shape shape;

	shape.backends = 6;
	inst->list(3, 3);
	inst->accept(make_doc(shape));
	inst->tick();
	return inst;
}

/*
 * Makes the last connects to the first @count backend servers failed ones.
 * Another home reports requests to them that ended well or failed.
 */
void fail_paths(TestInstance &inst, uint32_t count, uint32_t others_ok,
		uint32_t others_failed)
{
	for (uint32_t i = 0; i < count; i++) {
		struct health *health = &inst.service()->backends[i].health;

		health->connect_failed = true;
		health->caution_until_us = inst.now.mono_us + US_PER_S;
		health->trial_until_us = inst.now.mono_us + 9 * US_PER_S;
		health->views[0].home = instance_of(1, 3).peer;
		health->views[0].fresh_until_us = inst.now.mono_us + US_PER_S;
		health->views[0].ok_requests = others_ok;
		health->views[0].failed_requests = others_failed;
	}
}

struct withdraw_case {
	const char *name;
	uint32_t failed_paths;
	uint32_t others_ok;
	uint32_t others_failed;
	bool leaving;
	bool withdrawn;
};

const struct withdraw_case withdraw_cases[] = {
	{ "all paths work", 0, 5, 0, false, false },
	{ "half of the paths failed", 3, 5, 0, false, false },
	{ "most paths failed, other homes reach the servers", 4, 5, 0, false,
	  true },
	{ "no home has successful requests", 6, 0, 0, false, false },
	{ "requests of other homes fail too", 6, 3, 2, false, false },
	{ "during a planned stop", 6, 5, 0, true, false },
};

TEST(WithdrawTest, IsolatedHomeWithdraws)
{
	for (const auto &c : withdraw_cases) {
		SCOPED_TRACE(c.name);
		std::unique_ptr<TestInstance> inst(new_home());

		inst->state->leaving = c.leaving;
		fail_paths(*inst, c.failed_paths, c.others_ok, c.others_failed);
		inst->forget();
		inst->pass_ms(50);
		EXPECT_EQ(inst->state->membership.self.self_report.aside,
			  c.withdrawn);
		EXPECT_EQ(inst->count_audit(AUDIT_STEPPED_BACK), c.withdrawn);
		if (!c.withdrawn)
			continue;
		/* The withdrawal is announced to all others at once. */
		EXPECT_GE(inst->count(EVENT_PEER_SEND), 2u);
		EXPECT_GE(inst->service()->self_home,
			  inst->service()->home_count);
		inst->pass_ms(9000);
		EXPECT_TRUE(inst->state->membership.self.self_report.aside);
		inst->pass_ms(1100);
		EXPECT_FALSE(inst->state->membership.self.self_report.aside);
		EXPECT_LT(inst->service()->self_home,
			  inst->service()->home_count);
		EXPECT_FALSE(backend_unreachable(&inst->service()->backends[0],
						 inst->now));
		/*
		 * The second withdrawal in a row lasts longer. The others do
		 * not answer probes in this test and were declared dead.
		 */
		for (uint32_t i = 1; i < 3; i++)
			membership_find(&inst->state->membership,
					instance_of(i, 3).peer)
				->status = MEMBER_ALIVE;
		fail_paths(*inst, 4, 5, 0);
		inst->pass_ms(12000);
		EXPECT_TRUE(inst->state->membership.self.self_report.aside);
	}
}

struct majority_case {
	const char *name;
	uint32_t others_withdrawn;
	bool withdrawn;
};

const struct majority_case majority_cases[] = {
	{ "no other instance withdrawn", 0, true },
	{ "one of two others withdrawn", 1, false },
	{ "both others withdrawn", 2, false },
};

TEST(WithdrawTest, MajorityOfInstancesNeverWithdraws)
{
	for (const auto &c : majority_cases) {
		SCOPED_TRACE(c.name);
		std::unique_ptr<TestInstance> inst(new_home());

		for (uint32_t i = 1; i <= c.others_withdrawn; i++)
			membership_find(&inst->state->membership,
					instance_of(i, 3).peer)
				->listed.self_report.aside = true;
		fail_paths(*inst, 6, 5, 0);
		inst->pass_ms(50);
		EXPECT_EQ(inst->state->membership.self.self_report.aside,
			  c.withdrawn);
	}
}

struct report_case {
	const char *name;
	uint32_t known_incarnation;
	uint32_t incarnation; /* of the report */
	bool direct; /* sent by the instance itself, not as another's rumour */
	bool applied; /* the report changes the member */
};

const struct report_case report_cases[] = {
	{ "from itself, same incarnation", 5, 5, true, true },
	{ "from itself, newer", 5, 6, true, true },
	{ "from itself, older", 5, 4, true, false },
	{ "a rumour, newer", 5, 6, false, true },
	{ "a rumour, same incarnation", 5, 5, false, false },
	{ "a rumour, older", 5, 4, false, false },
};

TEST(WithdrawTest, NewestSelfReportApplies)
{
	for (const auto &c : report_cases) {
		SCOPED_TRACE(c.name);
		std::unique_ptr<TestInstance> inst(new_home());
		const struct instance_doc subject = instance_of(1, 3);
		struct command command = {};
		struct peer_message *message = g_new0(struct peer_message, 1);
		struct member *member =
			membership_find(&inst->state->membership, subject.peer);

		member->incarnation = c.known_incarnation;
		command.kind = COMMAND_PEER_MESSAGE;
		command.peer_message = message;
		message->kind = PEER_ACK;
		message->sender = instance_of(c.direct ? 1 : 2, 3).peer;
		message->caller = instance_of(c.direct ? 1 : 2, 3).caller;
		message->domain = instance_of(c.direct ? 1 : 2, 3).domain;
		if (c.direct) {
			message->incarnation = c.incarnation;
			message->self_report.cpu_permille = 500;
			message->self_report.aside = true;
		} else {
			message->rumour_count = 1;
			message->rumours[0].peer = subject.peer;
			message->rumours[0].caller = subject.caller;
			message->rumours[0].domain = subject.domain;
			message->rumours[0].incarnation = c.incarnation;
			message->rumours[0].self_report.cpu_permille = 500;
			message->rumours[0].self_report.aside = true;
		}
		inst->apply(command);
		member =
			membership_find(&inst->state->membership, subject.peer);
		EXPECT_EQ(member->listed.self_report.aside, c.applied);
		EXPECT_EQ(member->listed.self_report.cpu_permille,
			  c.applied ? 500u : 0u);
	}
}

struct home_choice_case {
	const char *name;
	/* Of instances 0 to 7, whose failure domains alternate. */
	uint32_t cpu_permille[8]; /* 0: not reported */
	uint32_t withdrawn_mask;
	uint32_t homes_mask; /* instances that must be homes */
	uint32_t not_homes_mask; /* instances that must not be homes */
};

const struct home_choice_case home_choice_cases[] = {
	{ "most CPU of each failure domain",
	  { 100, 100, 100, 100, 500, 500, 100, 100 },
	  0,
	  0x30,
	  0xcf },
	{ "no CPU share reported counts as a whole core",
	  { 500, 500, 500, 0, 500, 500, 500, 500 },
	  0,
	  0x08,
	  0 },
	{ "a withdrawn instance is no home",
	  { 100, 100, 100, 100, 500, 500, 100, 100 },
	  0x10,
	  0x20,
	  0x10 },
	{ "all are withdrawn: most CPU of each failure domain",
	  { 100, 100, 100, 100, 500, 500, 100, 100 },
	  0xff,
	  0x30,
	  0xcf },
};

TEST(WithdrawTest, HomesHaveMostCpuAndAreNotWithdrawn)
{
	for (const auto &c : home_choice_cases) {
		SCOPED_TRACE(c.name);
		TestInstance inst(0, 2);
		struct doc_shape shape;

		shape.backends = 2;
		inst.list(8, 2);
		for (uint32_t i = 0; i < 8; i++) {
			struct instance_doc *instance =
				i == 0 ? &inst.state->membership.self :
					 &membership_find(
						  &inst.state->membership,
						  instance_of(i, 2).peer)
						  ->listed;

			instance->self_report.cpu_permille = c.cpu_permille[i];
			instance->self_report.aside = c.withdrawn_mask &
						      (1u << i);
		}
		inst.accept(make_doc(shape));
		const struct service *service = inst.service();
		uint32_t homes = 0;

		for (uint32_t i = 0; i < 8; i++) {
			for (uint32_t j = 0; j < service->home_count; j++)
				homes |= addr_equal(service->homes[j].peer,
						    instance_of(i, 2).peer)
					 << i;
		}
		EXPECT_EQ(service->home_count, 2u);
		EXPECT_EQ(homes & c.homes_mask, c.homes_mask);
		EXPECT_EQ(homes & c.not_homes_mask, 0u);
	}
}

} // namespace
