#include "command/retry.h"

/* What one retry takes from the budget. */
#define RETRY_COST_PERMILLE 1000
/* Retries that may be saved up where no allowance is set. */
#define SAVED_MAX_PERMILLE 20000
/* The same at an instance that is no home and has no part of the allowance. */
#define SAVED_ELSEWHERE_PERMILLE RETRY_COST_PERMILLE
/*
 * Parts of the allowance that come in over a window and that may be saved up.
 * Both together are half of it, since two sides of a partition spend it twice.
 */
#define ALLOWANCE_PART_COMING 3
#define ALLOWANCE_PART_SAVED 6

static void fill(const struct state *state, struct service *service,
		 struct instant now);
static uint64_t own_allowance_permille(const struct state *state,
				       const struct service *service);
static uint32_t saved_max_permille(const struct state *state,
				   const struct service *service);

void retry_earn(const struct state *state, struct service *service,
		struct instant now)
{
	fill(state, service, now);
	service->retry_budget_permille =
		MIN(service->retry_budget_permille +
			    state->settings->retry_earned_permille,
		    saved_max_permille(state, service));
}

bool retry_reserve(const struct state *state, struct ticket *ticket,
		   struct instant now)
{
	struct service *service = ticket->service;

	fill(state, service, now);
	if (service->overload ||
	    service->retry_budget_permille < RETRY_COST_PERMILLE)
		return false;
	service->retry_budget_permille -= RETRY_COST_PERMILLE;
	ticket->retry_reserved = true;
	return true;
}

void retry_release(struct ticket *ticket)
{
	if (ticket->retry_reserved)
		ticket->service->retry_budget_permille += RETRY_COST_PERMILLE;
	ticket->retry_reserved = false;
}

/* Lets the part of the allowance come in that time has brought. */
static void fill(const struct state *state, struct service *service,
		 struct instant now)
{
	uint64_t window_us = state->settings->retry_window_ms * US_PER_MS;
	uint64_t coming_permille =
		own_allowance_permille(state, service) / ALLOWANCE_PART_COMING;
	uint64_t since_us = now.mono_us - service->retry_filled_us;
	uint64_t due_permille;

	if (coming_permille == 0) {
		service->retry_filled_us = now.mono_us;
		return;
	}
	since_us = MIN(since_us, window_us);
	due_permille = coming_permille * since_us / window_us;
	/* Less than a thousandth waits for a later call; the rest of one is lost. */
	if (due_permille == 0)
		return;
	service->retry_filled_us = now.mono_us;
	service->retry_budget_permille =
		(uint32_t)MIN(service->retry_budget_permille + due_permille,
			      saved_max_permille(state, service));
}

/* A home's part, in thousandths of a retry. */
static uint64_t own_allowance_permille(const struct state *state,
				       const struct service *service)
{
	if (service->self_home >= service->home_count)
		return 0;
	return state->settings->retry_allowance_permille / service->home_count;
}

static uint32_t saved_max_permille(const struct state *state,
				   const struct service *service)
{
	uint64_t saved_permille =
		own_allowance_permille(state, service) / ALLOWANCE_PART_SAVED;

	if (state->settings->retry_allowance_permille == 0)
		return SAVED_MAX_PERMILLE;
	if (service->self_home >= service->home_count)
		return SAVED_ELSEWHERE_PERMILLE;
	return (uint32_t)MAX(saved_permille, SAVED_ELSEWHERE_PERMILLE);
}
