#include "query/pick.h"

#include <string.h>

#include "query/health.h"

/* Whatever short work needs, long work keeps this part of the slots. */
#define LONG_SLOTS_MIN_PART 6

/* After so many grants in a backlog the pace is known. */
#define BACKLOG_GRANTS_MIN 4

/* A far backend server without work goes after a near one this much loaded. */
#define FAR_PERMILLE 200
/* One level of caution weighs more than all load and doubt. */
#define CAUTION_PERMILLE (UINT64_C(2) * PERMILLE_ONE)
/* Nothing known for so long weighs like this much load. */
#define DOUBT_MAX_US (2 * US_PER_S)
#define DOUBT_PERMILLE 500
/* A request waits this long for a backend server that it can trust. */
#define TRUST_WAIT_US (200 * US_PER_MS)

/**
 * struct choice - the best backend server of a round
 * @backend: it, or NULL
 * @rank: the lowest goes first
 * @ties: how many had that rank
 */
struct choice {
	const struct backend *backend;
	uint64_t rank;
	uint32_t ties;
};

static bool long_fits(const struct state *state, const struct service *service,
		      struct instant now);
static bool pick_own(const struct state *state, const struct service *service,
		     const struct ticket *ticket, struct instant now,
		     struct pick *out);
static void consider(const struct state *state, struct choice *choice,
		     const struct backend *backend, uint64_t rank);
static bool connect_failed(const struct backend *backend,
			   const struct ticket *ticket, struct instant now);
static void count_choice(enum caution_level caution,
			 struct trace_choice *choice);
static enum caution_level caution_for(const struct state *state,
				      const struct backend *backend,
				      const struct ticket *ticket,
				      struct instant now);
static bool worth_it(enum caution_level caution, const struct ticket *ticket,
		     struct instant now);
static uint64_t rank_of(const struct backend *backend,
			enum caution_level caution, uint32_t open);
static uint64_t doubt_of(const struct backend *backend,
			 const struct ticket *ticket, struct instant now);
static bool pick_borrowed(const struct state *state,
			  const struct service *service,
			  const struct ticket *ticket, struct instant now,
			  struct pick *out);
static bool allowed(const struct backend *backend, const struct ticket *ticket);
static uint32_t open_slots(const struct backend *backend, struct instant now);
static bool has_room(const struct backend *backend, uint32_t open,
		     bool long_work);

bool pick_slot(const struct state *state, const struct service *service,
	       const struct ticket *ticket, struct instant now,
	       struct pick *out)
{
	memset(out, 0, sizeof(*out));
	out->borrowed_index = TICKET_NONE;
	if (ticket->long_work && !long_fits(state, service, now))
		return false;
	if (pick_own(state, service, ticket, now, out))
		return true;
	/*
	 * Long work would outlast a lease and find its slot in use twice, so a
	 * home with slots of its own does not put it there.
	 */
	if (ticket->long_work && service->self_home < service->home_count)
		return false;
	return pick_borrowed(state, service, ticket, now, out);
}

uint32_t backend_lendable_slots(const struct backend *backend,
				struct instant now)
{
	uint32_t open = open_slots(backend, now);
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
		slots += open_slots(&service->backends[i], now);
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

	/* Slots of servers that hang are none, so what was given counts. */
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
 * Each backend server keeps a third of its slots from long work, but dealt to
 * the homes that third can be less here than short work needs at its peak.
 */
static bool long_fits(const struct state *state, const struct service *service,
		      struct instant now)
{
	uint32_t usable = service_usable_slots(service, now);
	uint32_t least = MAX(usable / LONG_SLOTS_MIN_PART, UINT32_C(1));
	uint32_t peak = MAX(service->short_peak_requests[0],
			    service->short_peak_requests[1]);

	if (state->policy.queueing == QUEUEING_FIFO)
		return true;
	if (usable > peak)
		least = MAX(least, usable - peak);
	return service->running_long_requests < least;
}

static bool pick_own(const struct state *state, const struct service *service,
		     const struct ticket *ticket, struct instant now,
		     struct pick *out)
{
	bool round_robin = state->policy.picking == PICKING_ROUND_ROBIN;
	struct choice best = { 0 };
	struct choice cut = { 0 };
	const struct backend *backend;
	enum caution_level caution;
	uint32_t reached = 0;
	uint64_t rank;
	uint32_t open;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[(i + service->round_robin_next) %
					     service->backend_count];
		open = open_slots(backend, now);
		if (open == 0 || !allowed(backend, ticket)) {
			out->choice.closed++;
			continue;
		}
		reached += !connect_failed(backend, ticket, now);
		if (!has_room(backend, open, ticket->long_work)) {
			out->choice.full++;
			continue;
		}
		caution = caution_for(state, backend, ticket, now);
		rank = rank_of(backend, caution, open) +
		       doubt_of(backend, ticket, now);
		if (connect_failed(backend, ticket, now)) {
			out->choice.closed++;
			consider(state, &cut, backend, rank);
			continue;
		}
		count_choice(caution, &out->choice);
		if (!worth_it(caution, ticket, now))
			continue;
		consider(state, &best, backend, rank);
		if (round_robin)
			break;
	}
	/* Where nothing can be reached, any may have become so. */
	if (reached == 0)
		best = cut;
	if (!best.backend)
		return false;
	out->backend_index = (uint32_t)(best.backend - service->backends);
	return true;
}

/* Of equal ones each is as likely as another. */
static void consider(const struct state *state, struct choice *choice,
		     const struct backend *backend, uint64_t rank)
{
	if (choice->backend && rank > choice->rank)
		return;
	choice->ties =
		!choice->backend || rank < choice->rank ? 1 : choice->ties + 1;
	if (choice->ties > 1 &&
	    g_rand_int_range(state->rand, 0, (gint32)choice->ties) != 0)
		return;
	choice->backend = backend;
	choice->rank = rank;
}

/*
 * One that could not be reached just now costs each request the time that a
 * connection may take, so a single one finds out whether it can be reached again,
 * and none that has lost time already.
 */
static bool connect_failed(const struct backend *backend,
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

/* The lowest goes first: by caution, then by load. */
static uint64_t rank_of(const struct backend *backend,
			enum caution_level caution, uint32_t open)
{
	uint64_t load = (uint64_t)backend->in_use_slots * PERMILLE_ONE / open;

	if (backend->in_other_domain)
		load = load / 2 + FAR_PERMILLE;
	return (uint64_t)caution * CAUTION_PERMILLE + load;
}

/*
 * The longer nothing is known of a backend server, the likelier it hangs by now.
 * Work that may run once goes where work went well a moment ago; work that may
 * be repeated finds out about the others.
 */
static uint64_t doubt_of(const struct backend *backend,
			 const struct ticket *ticket, struct instant now)
{
	uint64_t since_us;

	if (ticket->idempotent)
		return 0;
	since_us = MIN(now.mono_us - backend->health.last_success_granted_us,
		       DOUBT_MAX_US);
	return since_us * DOUBT_PERMILLE / DOUBT_MAX_US;
}

/* A better one may get room, here or lent, so it is worth a short wait. */
static bool worth_it(enum caution_level caution, const struct ticket *ticket,
		     struct instant now)
{
	return caution == CAUTION_NONE ||
	       now.mono_us >= ticket->queued_us + TRUST_WAIT_US;
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
	/* The last try has nobody behind it. */
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
		    backend_closed(backend, now) || !allowed(backend, ticket) ||
		    !worth_it(caution_for(state, backend, ticket, now), ticket,
			      now))
			continue;
		out->backend_index = borrowed->backend_index;
		out->borrowed_index = i;
		return true;
	}
	return false;
}

/* Not twice to the same one, and while one is tried only what may repeat. */
static bool allowed(const struct backend *backend, const struct ticket *ticket)
{
	uint32_t i;

	if (!ticket->idempotent && backend_idempotent_only(backend))
		return false;
	for (i = 0; i < ticket->tried_count; i++) {
		if (addr_equal(ticket->tried[i], backend->addr))
			return false;
	}
	return true;
}

static uint32_t open_slots(const struct backend *backend, struct instant now)
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
