#include "query/crossing.h"

#include <string.h>

#include "query/health.h"
#include "query/health_bound.h"
#include "query/health_tally.h"
#include "query/pick.h"

/*
 * A crossing in progress goes on until the wait is below 1 / this of the cost,
 * so that a wait about as long as the cost does not start and end it in turn.
 */
#define CONTINUE_DIVISOR 2
/*
 * A request that has waited this many times the cost crosses whatever the
 * expected wait, and beyond this instance's part: when all slots hang, the
 * measured gap between grants is outdated, and a digest of another domain may
 * be a second old.
 */
#define OVERDUE_COSTS 2
/*
 * The queue is looked at each tick of the dispatch duty at least, so a request
 * with less time than this left may miss its objective before the next look.
 */
#define SLACK_MIN_US (50 * US_PER_MS)
/* Shares close to 1 would give times without bound. */
#define SHARE_MAX_PERMILLE 900
/*
 * While failures are the reason, one request in this many still tries the own
 * domain first, to find out when it has recovered.
 */
#define OWN_TRIAL_INTERVAL 8

/**
 * struct slot_sum - backend servers of the own domain
 * @open_servers: backend servers that accept requests, healthy or not
 * @slots: slots of those without caution
 * @in_use_slots: part of @slots that is in use
 */
struct slot_sum {
	uint32_t open_servers;
	uint32_t slots;
	uint32_t in_use_slots;
};

static struct slot_sum sum_own_slots(const struct service *service,
				     struct instant now);
static void add_tries(struct crossing_tries *sum, const struct backend *backend,
		      struct instant now);
static uint64_t own_gap_us(const struct service *service, uint32_t slots,
			   struct instant now);
static void collect_queues(const struct state *state,
			   const struct service *service, struct instant now,
			   struct crossing_facts *out);
static void collect_head(const struct state *state, const GArray *queue,
			 struct instant now, struct crossing_facts *out);
static void collect_targets(const struct service *service, struct instant now,
			    struct crossing_facts *out);
static void collect_target(const struct service *service,
			   const struct name *domain, struct instant now,
			   struct crossing_target *out);
static void count_askers(const struct service *service,
			 const struct name *domain,
			 struct crossing_target *out);
static uint64_t expected_us(const struct crossing_facts *facts,
			    const struct crossing_tries *tries);
static bool is_overdue(const struct crossing_facts *facts);
static uint32_t keep_requests(const struct crossing_facts *facts,
			      uint64_t wait_max_us);
static uint32_t part_requests(const struct crossing_target *target);

bool crossing_enabled(const struct state *state)
{
	return state->policy.sharing == SHARING_DOMAIN &&
	       state->settings->cross_domain_cost_ms > 0;
}

bool crossing_own_serves(const struct service *service, struct instant now)
{
	const struct backend *backend;
	uint32_t free_slots = 0;
	uint32_t open;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		if (free_slots >= service->waiting_requests)
			return true;
		backend = &service->backends[i];
		if (crossing_is_across(service, backend))
			continue;
		open = backend_open_slots(backend, now);
		if (open > backend->in_use_slots &&
		    backend_caution(backend, now) == CAUTION_NONE)
			free_slots += open - backend->in_use_slots;
	}
	return free_slots >= service->waiting_requests;
}

void crossing_collect(const struct state *state, const struct service *service,
		      struct instant now, struct crossing_facts *out)
{
	struct slot_sum own = sum_own_slots(service, now);
	const struct backend *backend;
	uint32_t i;

	memset(out, 0, sizeof(*out));
	out->cost_us = state->settings->cross_domain_cost_ms * US_PER_MS;
	out->crossing = service->crossing.reason != CROSSING_NONE;
	out->open = service->overload ||
		    now.mono_us < service->crossing.open_until_us;
	out->open_servers = own.open_servers;
	out->slots = own.slots;
	out->free_slots = own.slots - own.in_use_slots;
	out->usual_us = service->mean_service_us;
	out->failed_us = service->crossing.failed_us;
	out->gap_us = own_gap_us(service, own.slots, now);
	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[i];
		add_tries(crossing_is_across(service, backend) ? &out->there :
								 &out->here,
			  backend, now);
	}
	collect_queues(state, service, now, out);
	collect_targets(service, now, out);
}

void crossing_decide(const struct crossing_facts *facts,
		     struct crossing_plan *out)
{
	uint64_t cost_us = facts->crossing ? facts->cost_us / CONTINUE_DIVISOR :
					     facts->cost_us;
	uint64_t here_us = expected_us(facts, &facts->here);
	uint64_t there_us = expected_us(facts, &facts->there) + cost_us;
	uint32_t queued = facts->waiting_requests -
			  MIN(facts->waiting_requests, facts->free_slots);
	bool any_part = false;
	uint32_t i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < facts->target_count; i++) {
		out->part_requests[i] = part_requests(&facts->targets[i]);
		any_part |= out->part_requests[i] > 0;
	}
	out->here_us = here_us + queued * facts->gap_us;
	out->there_us = there_us;
	out->prefer_across = any_part && here_us > there_us;
	if (facts->slots == 0) {
		out->reason = facts->open_servers == 0 ? CROSSING_NO_SERVER :
							 CROSSING_UNHEALTHY;
	} else if (here_us > there_us) {
		out->reason = CROSSING_UNHEALTHY;
	} else {
		out->keep_requests = keep_requests(facts, there_us - here_us);
		if (queued > out->keep_requests)
			out->reason = CROSSING_WAITING;
	}
	/*
	 * When capacity is short everywhere, nothing is known of the other
	 * domains, or a request would be late or wait very long otherwise, what
	 * waits here uses any free slot there.
	 */
	out->unlimited = facts->open || (out->reason != CROSSING_NONE &&
					 (!any_part || is_overdue(facts) ||
					  facts->slack_us <= SLACK_MIN_US));
}

bool crossing_allows(const struct state *state, const struct service *service,
		     const struct ticket *ticket, const struct backend *backend)
{
	const struct crossing *crossing = &service->crossing;
	const struct crossing_domain *domain;

	if (!crossing_enabled(state) || !crossing_is_across(service, backend))
		return true;
	/* A retry has lost time already, and retries have their own budget. */
	if (ticket->tried_count > 0 || crossing->plan.unlimited)
		return true;
	if (crossing->plan.reason == CROSSING_NONE ||
	    service->waiting_requests <= crossing->plan.keep_requests)
		return false;
	domain = &crossing->domains[backend->crossing_domain];
	return domain->running_requests < domain->part_requests;
}

bool crossing_prefers_across(const struct state *state,
			     const struct service *service)
{
	return crossing_enabled(state) &&
	       service->crossing.plan.prefer_across &&
	       service->grants % OWN_TRIAL_INTERVAL != 0;
}

bool crossing_is_across(const struct service *service,
			const struct backend *backend)
{
	return backend->in_other_domain &&
	       backend->crossing_domain < service->crossing.domain_count;
}

uint32_t crossing_own_load_permille(const struct service *service,
				    struct instant now)
{
	struct slot_sum own = sum_own_slots(service, now);

	if (own.slots == 0)
		return PERMILLE_ONE;
	return (uint32_t)(own.in_use_slots * PERMILLE_ONE / own.slots);
}

static struct slot_sum sum_own_slots(const struct service *service,
				     struct instant now)
{
	const struct backend *backend;
	struct slot_sum sum = { 0 };
	uint32_t open;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[i];
		if (crossing_is_across(service, backend) ||
		    backend_closed(backend, now))
			continue;
		sum.open_servers++;
		open = backend_open_slots(backend, now);
		if (backend_caution(backend, now) != CAUTION_NONE)
			continue;
		sum.slots += open;
		sum.in_use_slots += MIN(backend->in_use_slots, open);
	}
	return sum;
}

/* Adds the recent tries of a backend server that may still get requests. */
static void add_tries(struct crossing_tries *sum, const struct backend *backend,
		      struct instant now)
{
	struct tally recent;

	if (backend_open_slots(backend, now) == 0 ||
	    backend_caution(backend, now) == CAUTION_AVOID)
		return;
	recent = tally_recent(backend, now);
	sum->all += tally_total(&recent);
	sum->failed += recent.failed_requests + recent.slow_requests;
}

/*
 * Return: expected time between grants in the own domain. The measured one
 * includes the grants that crossed, and after a sudden loss of slots it is
 * outdated, so the time by the number of slots is the lower limit.
 */
static uint64_t own_gap_us(const struct service *service, uint32_t slots,
			   struct instant now)
{
	uint64_t stayed_permille =
		PERMILLE_ONE -
		MIN(service->crossing.crossed_permille, SHARE_MAX_PERMILLE);
	uint64_t measured_us = service_expected_wait_us(service, 1, now) *
			       PERMILLE_ONE / stayed_permille;

	if (slots == 0)
		return measured_us;
	return MAX(measured_us, service->mean_service_us / slots);
}

static void collect_queues(const struct state *state,
			   const struct service *service, struct instant now,
			   struct crossing_facts *out)
{
	const struct class_queue *queue;
	uint32_t i;

	out->waiting_requests = service->waiting_requests;
	out->slack_us = UINT64_MAX;
	for (i = 0; i < DOC_CLASSES_MAX; i++) {
		queue = &service->queues[i];
		collect_head(state, queue->short_tickets, now, out);
		collect_head(state, queue->late_tickets, now, out);
	}
}

static void collect_head(const struct state *state, const GArray *queue,
			 struct instant now, struct crossing_facts *out)
{
	const struct ticket *ticket;
	uint64_t begin_us;

	if (queue->len == 0)
		return;
	ticket = &state->tickets[g_array_index(queue, uint32_t, 0)];
	out->oldest_wait_us =
		MAX(out->oldest_wait_us, now.mono_us - ticket->queued_us);
	if (ticket->late)
		return;
	begin_us = now.mono_us + out->usual_us;
	out->slack_us =
		MIN(out->slack_us,
		    ticket->objective_us - MIN(ticket->objective_us, begin_us));
}

static void collect_targets(const struct service *service, struct instant now,
			    struct crossing_facts *out)
{
	const struct crossing *crossing = &service->crossing;
	const struct backend *backend;
	uint32_t i;

	out->target_count = crossing->domain_count;
	for (i = 0; i < crossing->domain_count; i++) {
		collect_target(service, &crossing->domains[i].name, now,
			       &out->targets[i]);
		count_askers(service, &crossing->domains[i].name,
			     &out->targets[i]);
	}
	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[i];
		if (crossing_is_across(service, backend) &&
		    backend_in_service(backend, now) &&
		    backend_caution(backend, now) != CAUTION_AVOID)
			out->targets[backend->crossing_domain].slots +=
				backend->capacity_slots;
	}
}

/* Fills in the mean load and the total queue of the homes of a domain. */
static void collect_target(const struct service *service,
			   const struct name *domain, struct instant now,
			   struct crossing_target *out)
{
	const struct home *home;
	uint32_t sum_permille = 0;
	uint32_t homes = 0;
	uint32_t i;

	for (i = 0; i < service->home_count; i++) {
		home = &service->homes[i];
		if (home->fresh_until_us <= now.mono_us ||
		    !name_equal(&home->domain, domain))
			continue;
		homes++;
		sum_permille += home->load_permille;
		out->queue_requests += home->queue_requests;
	}
	if (homes == 0)
		return;
	out->known = true;
	out->load_permille = sum_permille / homes;
}

/*
 * All alive homes of other domains may ask for the free slots of a domain. They
 * are counted in the order of the home set, which all instances share.
 */
static void count_askers(const struct service *service,
			 const struct name *domain, struct crossing_target *out)
{
	uint32_t i;

	for (i = 0; i < service->home_count; i++) {
		if (service->homes[i].dead ||
		    name_equal(&service->homes[i].domain, domain))
			continue;
		if (i < service->self_home)
			out->own_rank++;
		out->askers++;
	}
	/* An instance that is no home asks as well, for the smallest part. */
	if (service->self_home >= service->home_count)
		out->askers++;
}

/*
 * Return: expected time of a request until a try succeeds, without a wait. The
 * lower bound of the share that fails is used, as one failure among few tries
 * shows nothing yet.
 */
static uint64_t expected_us(const struct crossing_facts *facts,
			    const struct crossing_tries *tries)
{
	uint64_t failed_permille = MIN(
		share_lower_permille(tries->failed, tries->all, BOUND_Z_1_6),
		SHARE_MAX_PERMILLE);

	return facts->usual_us + facts->failed_us * failed_permille /
					 (PERMILLE_ONE - failed_permille);
}

static bool is_overdue(const struct crossing_facts *facts)
{
	return facts->oldest_wait_us >= OVERDUE_COSTS * facts->cost_us;
}

/* Return: requests whose expected wait is at most @wait_max_us. */
static uint32_t keep_requests(const struct crossing_facts *facts,
			      uint64_t wait_max_us)
{
	if (facts->open || facts->slack_us <= facts->cost_us + SLACK_MIN_US ||
	    is_overdue(facts))
		return 0;
	if (facts->gap_us == 0)
		return UINT32_MAX;
	return (uint32_t)MIN(wait_max_us / facts->gap_us, UINT32_MAX);
}

/*
 * Return: this instance's part of the slots that a domain has free, at least
 * one if any is free; 0 when nothing is known of it. The first askers by rank
 * get the remainder, so that the parts add up to what is free.
 */
static uint32_t part_requests(const struct crossing_target *target)
{
	uint64_t used_requests;
	uint32_t askers = MAX(target->askers, UINT32_C(1));
	uint32_t free_slots;
	uint32_t part;

	if (!target->known)
		return 0;
	used_requests = ((uint64_t)target->slots * target->load_permille +
			 PERMILLE_ONE - 1) /
				PERMILLE_ONE +
			target->queue_requests;
	if (used_requests >= target->slots)
		return 0;
	free_slots = (uint32_t)(target->slots - used_requests);
	part = free_slots / askers + (target->own_rank < free_slots % askers);
	return MAX(part, UINT32_C(1));
}
