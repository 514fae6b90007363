/* Retry budget of a service over time and divided among the homes. */
#include <gtest/gtest.h>

#include "unit/test_instance.h"

extern "C" {
#include "command/retry.h"
}

namespace
{

/* A service at one of its homes or elsewhere; the budget starts empty. */
class RetryBudget {
    public:
	TestInstance inst;
	struct service *service;
	struct ticket ticket = {};

	RetryBudget(uint32_t allowance_permille, uint32_t homes, bool home)
	{
		struct doc_shape shape;

		inst.settings.retry_earned_permille = 200;
		inst.settings.retry_allowance_permille = allowance_permille;
		inst.settings.retry_window_ms = 10000;
		inst.list(1);
		inst.accept(make_doc(shape));
		service = inst.service();
		service->home_count = homes;
		service->self_home = home ? 0 : HOMES_MAX;
		service->retry_budget_permille = 0;
		service->retry_filled_us = inst.now.mono_us;
		ticket.service = service;
	}

	/* Return: number of retries that the budget allows. */
	uint32_t spend()
	{
		uint32_t spent = 0;

		while (retry_reserve(inst.state, &ticket, inst.now))
			spent++;
		return spent;
	}

	void pass_us(uint64_t us)
	{
		inst.now.mono_us += us;
	}
};

struct allowance_case {
	const char *name;
	uint32_t allowance_permille;
	uint32_t homes;
	bool home;
	uint64_t after_us;
	uint32_t requests;
	uint32_t spent;
};

const struct allowance_case allowance_cases[] = {
	{ "nothing earned, nothing allowed", 0, 4, true, 60 * US_PER_S, 0, 0 },
	{ "five requests earn one retry", 0, 4, true, 0, 5, 1 },
	{ "a home without requests accrues its share", 60000, 1, true,
	  2 * US_PER_S, 0, 4 },
	{ "one of four homes accrues a quarter", 240000, 4, true, 2 * US_PER_S,
	  0, 4 },
	{ "earned and accrued retries add up", 60000, 1, true, 2 * US_PER_S, 5,
	  5 },
	{ "no more than the saved limit after a long idle time", 60000, 1, true,
	  600 * US_PER_S, 0, 10 },
	{ "an instance that is no home has no share", 60000, 4, false,
	  60 * US_PER_S, 0, 0 },
	{ "an instance that is no home saves at most one", 60000, 4, false, 0,
	  50, 1 },
};

TEST(RetryTest, BudgetAccruesFromRequestsAndTime)
{
	for (const auto &c : allowance_cases) {
		SCOPED_TRACE(c.name);
		RetryBudget budget(c.allowance_permille, c.homes, c.home);

		budget.pass_us(c.after_us);
		for (uint32_t i = 0; i < c.requests; i++)
			retry_earn(budget.inst.state, budget.service,
				   budget.inst.now);
		EXPECT_EQ(budget.spend(), c.spent);
	}
}

/*
 * In a partition the homes on each side may act for all homes. Both sides
 * together must stay within the allowance, also when the budget was full.
 */
TEST(RetryTest, WindowStaysWithinAllowance)
{
	static const uint32_t homes[] = { 1, 3, 4, 9, 16 };
	const uint64_t step_us = 50 * US_PER_MS;
	const uint32_t steps = 200;

	for (uint32_t home_count : homes) {
		SCOPED_TRACE(home_count);
		RetryBudget budget(96000, home_count, true);
		uint32_t spent = 0;

		budget.pass_us(600 * US_PER_S);
		for (uint32_t i = 0; i < steps; i++) {
			spent += budget.spend();
			budget.pass_us(step_us);
		}
		EXPECT_GE(spent * home_count, 96 / 4u);
		EXPECT_LE(spent * home_count * 2, 96u);
	}
}

} // namespace
