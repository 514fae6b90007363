#include "query/pick.h"

#include <string.h>

#include "query/backend_load.h"
#include "query/crossing.h"
#include "query/health.h"
#include "query/idle.h"

/* Long requests may use at least 1 / this of the slots at any load. */
#define LONG_SLOTS_MIN_DIVISOR 6

/*
 * Number of grants in a backlog after which their mean interval is used to
 * estimate the wait.
 */
#define BACKLOG_GRANTS_MIN 4

/*
 * An idle backend server whose slots belong to homes in another failure domain
 * ranks like one of this home's own at this load.
 */
#define OTHER_DOMAIN_PERMILLE 200
/*
 * Added to the rank for each level of caution, more than any load, reported
 * load and uncertainty together.
 */
#define CAUTION_PERMILLE \
	(UINT64_C(2) * PERMILLE_ONE + BACKEND_LOAD_MAX_PERMILLE)
/*
 * A backend server without a success for UNCERTAINTY_MAX_US ranks as if its
 * load were higher by UNCERTAINTY_MAX_PERMILLE.
 */
#define UNCERTAINTY_MAX_US (2 * US_PER_S)
#define UNCERTAINTY_MAX_PERMILLE 500
/* With more than 1 / this of its slots in use a backend server is not idle. */
#define IDLE_USE_DIVISOR 2
/* Time for which a request waits for a backend server without caution. */
#define TRUSTED_WAIT_US (200 * US_PER_MS)

/**
 * struct candidate - the best backend server found so far
 * @backend: the backend server, NULL for none
 * @rank: its rank; the lowest is the best
 * @ties: number of backend servers seen with this rank
 */
struct candidate {
	const struct backend *backend;
	uint64_t rank;
	uint32_t ties;
};

static bool long_work_fits(const struct state *state,
			   const struct service *service, struct instant now);
static bool pick_own(const struct state *state, const struct service *service,
		     const struct ticket *ticket, struct instant now,
		     struct pick *out);
static bool is_left_idle(const struct service *service,
			 const struct backend *backend,
			 const struct ticket *ticket, uint32_t open,
			 struct instant now);
static bool idle_goes_first(const struct state *state,
			    const struct service *service,
			    const struct ticket *ticket,
			    const struct pick *pick);
static void consider_candidate(const struct state *state,
			       struct candidate *best,
			       const struct backend *backend, uint64_t rank);
static bool skip_unreachable(const struct backend *backend,
			     const struct ticket *ticket, struct instant now);
static void count_choice(enum caution_level caution,
			 struct trace_choice *choice);
static enum caution_level caution_for(const struct state *state,
				      const struct backend *backend,
				      const struct ticket *ticket,
				      struct instant now);
static bool caution_acceptable(enum caution_level caution,
			       const struct ticket *ticket, struct instant now);
static uint64_t backend_rank(const struct backend *backend,
			     enum caution_level caution, uint32_t open);
static uint64_t uncertainty_permille(const struct backend *backend,
				     const struct ticket *ticket,
				     struct instant now);
static bool pick_borrowed(const struct state *state,
			  const struct service *service,
			  const struct ticket *ticket, struct instant now,
			  struct pick *out);
static bool backend_allowed(const struct service *service,
			    const struct backend *backend,
			    const struct ticket *ticket, struct instant now);
static uint32_t unlent_open_slots(const struct backend *backend,
				  struct instant now);
static bool has_room(const struct backend *backend, uint32_t open,
		     bool long_work);

bool pick_slot(const struct state *state, const struct service *service,
	       const struct ticket *ticket, struct instant now,
	       struct pick *out)
{
	memset(out, 0, sizeof(*out));
	out->borrowed_index = TICKET_NONE;
	if (ticket->long_work && !long_work_fits(state, service, now))
		return false;
	if (pick_own(state, service, ticket, now, out))
		return true;
	/*
	 * A long request would outlast the lease, and its slot could be used by
	 * two requests then. A home that has slots of its own does not borrow
	 * for it.
	 */
	if (ticket->long_work && service->self_home < service->home_count)
		return false;
	return pick_borrowed(state, service, ticket, now, out);
}

uint32_t backend_lendable_slots(const struct backend *backend,
				struct instant now)
{
	uint32_t open = unlent_open_slots(backend, now);
	uint32_t busy = backend->in_use_slots;
	uint32_t busy_long = backend->in_use_long_slots + backend->lent_slots;

	if (backend_idempotent_only(backend) ||
	    backend_caution(backend, now) != CAUTION_NONE || busy >= open ||
	    busy_long >= backend->own_long_slots)
		return 0;
	return MIN(open - busy, backend->own_long_slots - busy_long);
}

uint32_t service_usable_slots(const struct service *service, struct instant now)
{
	uint32_t slots = 0;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++)
		slots += unlent_open_slots(&service->backends[i], now);
	for (i = 0; i < BORROWED_MAX; i++) {
		if (service->borrowed[i].expires_us > now.mono_us)
			slots += service->borrowed[i].slots;
	}
	return slots;
}

uint64_t service_expected_wait_us(const struct service *service,
				  uint32_t ahead_requests, struct instant now)
{
	uint32_t slots;

	/*
	 * Slots of hung backend servers are not freed, so the measured interval
	 * between grants is preferred to an estimate by the number of slots.
	 */
	if (service->backlog_grants >= BACKLOG_GRANTS_MIN)
		return ahead_requests * service->backlog_gap_us;
	slots = service_usable_slots(service, now);
	if (slots == 0)
		return 0;
	return ahead_requests * service->mean_service_us / slots;
}

bool service_backlogged(const struct service *service, struct instant now)
{
	return service_expected_wait_us(service, service->waiting_requests,
					now) > service->mean_service_us;
}

/*
 * A third of each backend server's slots is reserved for short requests. Split
 * among the homes, the reserve of this home can be smaller than its recent peak
 * of short requests, so long requests must leave room for that peak as well.
 */
static bool long_work_fits(const struct state *state,
			   const struct service *service, struct instant now)
{
	uint32_t usable = service_usable_slots(service, now);
	uint32_t long_requests_max =
		MAX(usable / LONG_SLOTS_MIN_DIVISOR, UINT32_C(1));
	uint32_t short_peak = MAX(service->short_peak_requests[0],
				  service->short_peak_requests[1]);

	if (state->policy.queueing == QUEUEING_FIFO)
		return true;
	if (usable > short_peak)
		long_requests_max = MAX(long_requests_max, usable - short_peak);
	return service->running_long_requests < long_requests_max;
}

static bool pick_own(const struct state *state, const struct service *service,
		     const struct ticket *ticket, struct instant now,
		     struct pick *out)
{
	bool round_robin = state->policy.picking == PICKING_ROUND_ROBIN;
	struct candidate best = { 0 };
	struct candidate unreachable = { 0 };
	struct candidate across = { 0 };
	struct candidate idle = { 0 };
	const struct backend *backend;
	enum caution_level caution;
	uint32_t reachable = 0;
	uint64_t rank;
	uint32_t open;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[(i + service->round_robin_next) %
					     service->backend_count];
		open = unlent_open_slots(backend, now);
		if (open == 0 ||
		    !backend_allowed(service, backend, ticket, now)) {
			out->choice.closed++;
			continue;
		}
		reachable += !skip_unreachable(backend, ticket, now);
		if (!has_room(backend, open, ticket->long_work)) {
			out->choice.full++;
			continue;
		}
		caution = caution_for(state, backend, ticket, now);
		rank = backend_rank(backend, caution, open) +
		       backend_load_permille(service, backend, now) +
		       uncertainty_permille(backend, ticket, now);
		if (skip_unreachable(backend, ticket, now)) {
			out->choice.closed++;
			consider_candidate(state, &unreachable, backend, rank);
			continue;
		}
		count_choice(caution, &out->choice);
		if (is_left_idle(service, backend, ticket, open, now))
			consider_candidate(state, &idle, backend,
					   backend_idle_since_us(backend));
		if (!caution_acceptable(caution, ticket, now) ||
		    !crossing_allows(state, service, ticket, backend))
			continue;
		consider_candidate(
			state,
			crossing_is_across(service, backend) ? &across : &best,
			backend, rank);
		if (round_robin)
			break;
	}
	if (across.backend &&
	    (!best.backend || crossing_prefers_across(state, service)))
		best = across;
	if (idle.backend && idle_goes_first(state, service, ticket, out)) {
		best = idle;
		out->left_idle = true;
	}
	/* When none is reachable, any may have recovered: try the best one. */
	if (reachable == 0)
		best = unreachable;
	if (!best.backend)
		return false;
	out->backend_index = (uint32_t)(best.backend - service->backends);
	return true;
}

/* A request that has lost time on an earlier try prefers other servers. */
static bool is_left_idle(const struct service *service,
			 const struct backend *backend,
			 const struct ticket *ticket, uint32_t open,
			 struct instant now)
{
	return ticket->tried_count == 0 &&
	       backend->in_use_slots * IDLE_USE_DIVISOR <= open &&
	       backend_load_permille(service, backend, now) < PERMILLE_ONE &&
	       backend_left_idle(service, backend, now);
}

/*
 * Work that may run once goes on preferring recent successes while nothing
 * keeps it from any backend server.
 */
static bool idle_goes_first(const struct state *state,
			    const struct service *service,
			    const struct ticket *ticket,
			    const struct pick *pick)
{
	if (crossing_prefers_across(state, service))
		return false;
	return ticket->idempotent ||
	       pick->choice.trial + pick->choice.avoided > 0;
}

/* Candidates with the same rank are equally likely to be chosen. */
static void consider_candidate(const struct state *state,
			       struct candidate *best,
			       const struct backend *backend, uint64_t rank)
{
	if (best->backend && rank > best->rank)
		return;
	best->ties = !best->backend || rank < best->rank ? 1 : best->ties + 1;
	if (best->ties > 1 &&
	    g_rand_int_range(state->rand, 0, (gint32)best->ties) != 0)
		return;
	best->backend = backend;
	best->rank = rank;
}

/*
 * True for an unreachable backend server that this request must not try. An
 * attempt can cost a request the connect time-out, so only one request at a
 * time tests whether the backend server can be reached again, and no request
 * that has lost time on an earlier try.
 */
static bool skip_unreachable(const struct backend *backend,
			     const struct ticket *ticket, struct instant now)
{
	return backend_unreachable(backend, now) &&
	       (backend->in_use_slots > 0 || ticket->tried_count > 0 ||
		now.mono_us < backend->health.caution_until_us);
}

static void count_choice(enum caution_level caution,
			 struct trace_choice *choice)
{
	switch (caution) {
	case CAUTION_NONE:
		choice->trusted++;
		break;
	case CAUTION_TRIAL:
		choice->trial++;
		break;
	case CAUTION_AVOID:
		choice->avoided++;
		break;
	}
}

/* Return: rank by caution first, then by load; the lowest is the best. */
static uint64_t backend_rank(const struct backend *backend,
			     enum caution_level caution, uint32_t open)
{
	uint64_t load = (uint64_t)backend->in_use_slots * PERMILLE_ONE / open;

	if (backend->in_other_domain)
		load = load / 2 + OTHER_DOMAIN_PERMILLE;
	return (uint64_t)caution * CAUTION_PERMILLE + load;
}

/*
 * The longer a backend server has had no success, the likelier it hangs.
 * Requests that are not idempotent prefer backend servers with a recent
 * success; idempotent ones test the others.
 *
 * Return: amount to add to the rank.
 */
static uint64_t uncertainty_permille(const struct backend *backend,
				     const struct ticket *ticket,
				     struct instant now)
{
	uint64_t since_us;

	if (ticket->idempotent)
		return 0;
	since_us = MIN(now.mono_us - backend->health.last_success_granted_us,
		       UNCERTAINTY_MAX_US);
	return since_us * UNCERTAINTY_MAX_PERMILLE / UNCERTAINTY_MAX_US;
}

/*
 * A slot of a trusted backend server, own or borrowed, may become free soon, so
 * a request waits a short time before it uses any other.
 */
static bool caution_acceptable(enum caution_level caution,
			       const struct ticket *ticket, struct instant now)
{
	return caution == CAUTION_NONE ||
	       now.mono_us >= ticket->queued_us + TRUSTED_WAIT_US;
}

static enum caution_level caution_for(const struct state *state,
				      const struct backend *backend,
				      const struct ticket *ticket,
				      struct instant now)
{
	enum caution_level caution;

	if (!state->policy.ejecting)
		return CAUTION_NONE;
	caution = backend_caution(backend, now);
	/* The last try has no retry, so it avoids servers on trial. */
	if (caution == CAUTION_TRIAL && ticket->idempotent &&
	    ticket->sends + 1 < ticket->tries_max)
		return CAUTION_NONE;
	return caution;
}

static bool pick_borrowed(const struct state *state,
			  const struct service *service,
			  const struct ticket *ticket, struct instant now,
			  struct pick *out)
{
	const struct borrowed *borrowed;
	const struct backend *backend;
	uint32_t i;

	for (i = 0; i < BORROWED_MAX; i++) {
		borrowed = &service->borrowed[i];
		if (borrowed->expires_us <= now.mono_us ||
		    borrowed->in_use_slots >= borrowed->slots)
			continue;
		backend = &service->backends[borrowed->backend_index];
		if (backend->health.state != HEALTH_IN_SERVICE ||
		    backend_closed(backend, now) ||
		    !backend_allowed(service, backend, ticket, now) ||
		    !caution_acceptable(caution_for(state, backend, ticket,
						    now),
					ticket, now))
			continue;
		out->backend_index = borrowed->backend_index;
		out->borrowed_index = i;
		return true;
	}
	return false;
}

/*
 * A request does not go to the same backend server twice. A backend server in
 * HEALTH_TRICKLE gets idempotent requests, and others while there are none.
 */
static bool backend_allowed(const struct service *service,
			    const struct backend *backend,
			    const struct ticket *ticket, struct instant now)
{
	uint32_t i;

	if (!ticket->idempotent && backend_idempotent_only(backend) &&
	    !backend_left_idle(service, backend, now))
		return false;
	for (i = 0; i < ticket->tried_count; i++) {
		if (addr_equal(ticket->tried[i], backend->addr))
			return false;
	}
	return true;
}

static uint32_t unlent_open_slots(const struct backend *backend,
				  struct instant now)
{
	uint32_t open = backend_open_slots(backend, now);

	return open > backend->lent_slots ? open - backend->lent_slots : 0;
}

static bool has_room(const struct backend *backend, uint32_t open,
		     bool long_work)
{
	if (backend->in_use_slots >= open)
		return false;
	return !long_work || backend->in_use_long_slots + backend->lent_slots <
				     backend->own_long_slots;
}
