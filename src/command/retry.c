#include "command/retry.h"

#include "command/shedding.h"
#include "query/shed_window.h"

/* One retry, in the unit of the budget. */
#define RETRY_COST_PERMILLE 1000
/* Limit of the budget when the settings give no allowance. */
#define RETRY_BUDGET_MAX_PERMILLE 20000
/* Limit of the budget at an instance without a share of the allowance. */
#define RETRY_BUDGET_MAX_NO_HOME_PERMILLE RETRY_COST_PERMILLE
/*
 * 1 / 3 of the allowance accrues over a window, and at most 1 / 6 of it may be
 * saved up. Together these are half of the allowance, since the two sides of a
 * partition each spend theirs.
 */
#define ALLOWANCE_ACCRUED_DIVISOR 3
#define ALLOWANCE_SAVED_DIVISOR 6

static bool blocked_by_load(const struct state *state,
			    const struct ticket *ticket, struct instant now);
static void accrue_allowance(const struct state *state, struct service *service,
			     struct instant now);
static uint64_t home_allowance_permille(const struct state *state,
					const struct service *service);
static uint32_t retry_budget_max_permille(const struct state *state,
					  const struct service *service);

void retry_earn(const struct state *state, struct service *service,
		struct instant now)
{
	accrue_allowance(state, service, now);
	service->retry_budget_permille =
		MIN(service->retry_budget_permille +
			    state->settings->retry_earned_permille,
		    retry_budget_max_permille(state, service));
}

bool retry_reserve(const struct state *state, struct ticket *ticket,
		   struct instant now)
{
	struct service *service = ticket->service;

	accrue_allowance(state, service, now);
	if (!retry_affordable(state, ticket, now))
		return false;
	service->retry_budget_permille -= RETRY_COST_PERMILLE;
	ticket->retry_reserved = true;
	return true;
}

bool retry_affordable(const struct state *state, const struct ticket *ticket,
		      struct instant now)
{
	return !blocked_by_load(state, ticket, now) &&
	       ticket->service->retry_budget_permille >= RETRY_COST_PERMILLE;
}

void retry_release(struct ticket *ticket)
{
	if (ticket->retry_reserved)
		ticket->service->retry_budget_permille += RETRY_COST_PERMILLE;
	ticket->retry_reserved = false;
}

/*
 * A retry takes a slot from a request that waits for its first one, so there is
 * none while slots are short. A request that was shed has had none yet: it is
 * retried unless most arrivals are shed.
 */
static bool blocked_by_load(const struct state *state,
			    const struct ticket *ticket, struct instant now)
{
	const struct service *service = ticket->service;

	if (!shedding_enabled(state))
		return service->overload;
	if (shed_window_active(service, now))
		return true;
	return !ticket->shed && now.mono_us < service->slots_short_until_us;
}

/* Adds the part of the allowance that has accrued since the last addition. */
static void accrue_allowance(const struct state *state, struct service *service,
			     struct instant now)
{
	uint64_t window_us = state->settings->retry_window_ms * US_PER_MS;
	uint64_t window_permille = home_allowance_permille(state, service) /
				   ALLOWANCE_ACCRUED_DIVISOR;
	uint64_t elapsed_us = now.mono_us - service->retry_filled_us;
	uint64_t due_permille;

	if (window_permille == 0) {
		service->retry_filled_us = now.mono_us;
		return;
	}
	elapsed_us = MIN(elapsed_us, window_us);
	due_permille = window_permille * elapsed_us / window_us;
	/*
	 * Less than a thousandth of a retry accrues further until a later call;
	 * of a larger amount, the fraction of a thousandth is lost.
	 */
	if (due_permille == 0)
		return;
	service->retry_filled_us = now.mono_us;
	service->retry_budget_permille =
		(uint32_t)MIN(service->retry_budget_permille + due_permille,
			      retry_budget_max_permille(state, service));
}

/*
 * Return: share of this home in the allowance for a window, in thousandths of a
 * retry; 0 when this instance is no home.
 */
static uint64_t home_allowance_permille(const struct state *state,
					const struct service *service)
{
	if (service->self_home >= service->home_count)
		return 0;
	return state->settings->retry_allowance_permille / service->home_count;
}

static uint32_t retry_budget_max_permille(const struct state *state,
					  const struct service *service)
{
	uint64_t saved_permille = home_allowance_permille(state, service) /
				  ALLOWANCE_SAVED_DIVISOR;

	if (state->settings->retry_allowance_permille == 0)
		return RETRY_BUDGET_MAX_PERMILLE;
	if (service->self_home >= service->home_count)
		return RETRY_BUDGET_MAX_NO_HOME_PERMILLE;
	return (uint32_t)MAX(saved_permille, RETRY_BUDGET_MAX_NO_HOME_PERMILLE);
}
