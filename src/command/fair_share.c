#include "command/fair_share.h"

#include "command/ticket.h"

/*
 * Virtual time of one request of a customer of weight 1 / 1000. It equals
 * CUSTOMER_RATE_MAX_MILLI, so that a request of the largest weight takes 1.
 */
#define TURN_UNIT UINT64_C(4000000000)
/* Weight where no customers are configured. */
#define WEIGHT_NONE_MILLI 1000
/*
 * A customer's part of all weights is at least 1 / this of its part of the
 * arrivals. With a third, the weights add up to 4 / 3 at most, so that each
 * customer gets at least a quarter of what it would get by arrivals alone.
 */
#define ARRIVALS_WEIGHT_DIVISOR 3
/* Arrivals are halved after this time. */
#define ARRIVALS_DECAY_US US_PER_S
/* A customer may have this many times its share of a half-full queue. */
#define SHARE_EXCESS_FACTOR 2

/**
 * struct share_sums - sums over the flows that compete for a queue
 * @flows: number of flows
 * @weights_milli: sum of the weights
 * @arrivals: sum of the arrivals
 */
struct share_sums {
	uint32_t flows;
	uint64_t weights_milli;
	uint64_t arrivals;
};

static struct fair_share *share_of(const struct state *state,
				   const struct ticket *ticket);
static uint64_t flow_key(const struct ticket *ticket);
static uint32_t ticket_weight_milli(const struct ticket *ticket);
static struct fair_flow *find_flow(const struct fair_share *share,
				   uint64_t customer_hash);
static struct fair_flow *flow_of(struct fair_share *share,
				 const struct ticket *ticket);
static struct share_sums sum_flows(const struct fair_share *share,
				   const struct fair_flow *own);
static uint64_t flow_weight_milli(const struct share_sums *sums,
				  const struct fair_flow *flow);
static uint64_t flow_cost(const struct share_sums *sums,
			  const struct fair_flow *flow);
static void decay_arrivals(struct fair_share *share);
static uint32_t own_ahead(const struct state *state,
			  const struct ticket *ticket);
static uint32_t newest_unsent(const struct state *state, const GArray *queue,
			      uint64_t customer_hash);

void fair_share_arrived(struct state *state, const struct ticket *ticket,
			struct instant now)
{
	struct fair_share *share = share_of(state, ticket);
	struct fair_flow *flow;

	if (ticket->weight_milli == 0)
		return;
	if (share->flows && now.mono_us >= share->decay_us) {
		share->decay_us = now.mono_us + ARRIVALS_DECAY_US;
		decay_arrivals(share);
	}
	flow = flow_of(share, ticket);
	flow->weight_milli = ticket->weight_milli;
	flow->arrivals++;
}

void fair_share_add(struct state *state, const struct ticket *ticket)
{
	struct fair_share *share = share_of(state, ticket);
	struct fair_flow *flow = flow_of(share, ticket);

	if (flow->waiting_requests == 0) {
		flow->turn = MAX(flow->turn, share->turn);
		share->waiting_flows++;
	}
	flow->waiting_requests++;
	flow->weight_milli = ticket_weight_milli(ticket);
	share->waiting_requests++;
}

void fair_share_remove(struct state *state, const struct ticket *ticket)
{
	struct fair_share *share = share_of(state, ticket);
	struct fair_flow *flow = find_flow(share, flow_key(ticket));

	if (!flow || flow->waiting_requests == 0)
		return;
	flow->waiting_requests--;
	share->waiting_requests--;
	if (flow->waiting_requests == 0)
		share->waiting_flows--;
	if (share->waiting_flows == 0)
		share->turn = MAX(share->turn, flow->turn);
	/*
	 * Late requests are not counted as arrivals, so nothing else removes
	 * their flows. The turn that is lost is one request ahead at most.
	 */
	if (flow->waiting_requests == 0 && flow->arrivals == 0 &&
	    flow->customer_hash != 0)
		g_hash_table_remove(share->flows, &flow->customer_hash);
}

void fair_share_charge(struct state *state, const struct ticket *ticket)
{
	struct fair_share *share = share_of(state, ticket);
	struct fair_flow *flow = find_flow(share, flow_key(ticket));
	struct share_sums sums;

	if (!flow)
		return;
	sums = sum_flows(share, flow);
	/* Requests that were shed are granted out of turn. */
	share->turn = MAX(share->turn, flow->turn);
	flow->turn += flow_cost(&sums, flow);
}

uint32_t fair_share_next(const struct state *state, const GArray *queue,
			 guint first)
{
	uint32_t best = g_array_index(queue, uint32_t, first);
	const struct fair_share *share = share_of(state, &state->tickets[best]);
	const struct fair_flow *flow;
	uint64_t best_turn = UINT64_MAX;
	uint32_t index;
	guint i;

	if (share->waiting_flows < 2 || state->policy.queueing == QUEUEING_FIFO)
		return best;
	for (i = first; i < queue->len && best_turn > share->turn; i++) {
		index = g_array_index(queue, uint32_t, i);
		flow = find_flow(share, flow_key(&state->tickets[index]));
		if (!flow || flow->turn >= best_turn)
			continue;
		best_turn = flow->turn;
		best = index;
	}
	return best;
}

uint32_t fair_share_ahead(const struct state *state,
			  const struct ticket *ticket)
{
	const struct fair_share *share = share_of(state, ticket);
	const struct fair_flow *own = find_flow(share, flow_key(ticket));
	uint32_t ahead = own_ahead(state, ticket);
	const struct fair_flow *flow;
	struct share_sums sums;
	GHashTableIter iter;
	gpointer value;
	uint64_t turn;
	uint64_t cost;
	uint64_t due;

	if (!own || share->waiting_flows == 0)
		return ahead;
	sums = sum_flows(share, own);
	turn = MAX(own->turn, share->turn) + ahead * flow_cost(&sums, own);
	g_hash_table_iter_init(&iter, share->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		flow = value;
		if (flow == own || flow->turn >= turn)
			continue;
		cost = flow_cost(&sums, flow);
		due = (turn - flow->turn + cost - 1) / cost;
		ahead += (uint32_t)MIN(due, flow->waiting_requests);
	}
	return ahead;
}

bool fair_share_exceeded(const struct state *state, const struct ticket *ticket)
{
	const struct fair_share *share = share_of(state, ticket);
	const struct fair_flow *own = find_flow(share, flow_key(ticket));
	uint64_t limit_requests =
		SHARE_EXCESS_FACTOR * (share->waiting_requests + UINT64_C(1));
	uint64_t own_requests;
	struct share_sums sums;

	if (!own)
		return false;
	sums = sum_flows(share, own);
	own_requests = own->waiting_requests + UINT64_C(1);
	return sums.flows > 1 && own_requests * sums.flows > limit_requests &&
	       own_requests * sums.weights_milli >
		       limit_requests * flow_weight_milli(&sums, own);
}

uint32_t fair_share_overfilling(const struct state *state,
				const struct ticket *ticket)
{
	const struct fair_share *share = share_of(state, ticket);
	const struct fair_flow *own = find_flow(share, flow_key(ticket));
	const struct fair_flow *worst = NULL;
	const struct fair_flow *flow;
	struct share_sums sums;
	GHashTableIter iter;
	gpointer value;
	uint64_t worst_cost;
	uint64_t cost;

	if (!own || state->policy.queueing == QUEUEING_FIFO)
		return TICKET_NONE;
	sums = sum_flows(share, own);
	worst_cost =
		(own->waiting_requests + UINT64_C(1)) * flow_cost(&sums, own);
	g_hash_table_iter_init(&iter, share->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		flow = value;
		cost = flow->waiting_requests * flow_cost(&sums, flow);
		if (flow == own || cost <= worst_cost)
			continue;
		worst = flow;
		worst_cost = cost;
	}
	if (!worst)
		return TICKET_NONE;
	return newest_unsent(state, ticket_queue(state, ticket),
			     worst->customer_hash);
}

static struct fair_share *share_of(const struct state *state,
				   const struct ticket *ticket)
{
	struct class_queue *queue;

	if (state->policy.queueing == QUEUEING_FIFO)
		return &ticket->service->queues[0].shares[LIST_SHORT];
	queue = &ticket->service->queues[ticket->class_index];
	if (ticket->late)
		return &queue->shares[LIST_LATE];
	return &queue->shares[ticket->long_work ? LIST_LONG : LIST_SHORT];
}

/* Requests without a customer are told apart by their callers. */
static uint64_t flow_key(const struct ticket *ticket)
{
	if (ticket->weight_milli == 0)
		return 0;
	return ticket->customer_hash ? ticket->customer_hash :
				       ticket->caller_hash;
}

static uint32_t ticket_weight_milli(const struct ticket *ticket)
{
	return ticket->weight_milli ? ticket->weight_milli : WEIGHT_NONE_MILLI;
}

/* Return: the flow, NULL if it has no requests and is owed nothing. */
static struct fair_flow *find_flow(const struct fair_share *share,
				   uint64_t customer_hash)
{
	if (!share->flows)
		return NULL;
	return g_hash_table_lookup(share->flows, &customer_hash);
}

static struct fair_flow *flow_of(struct fair_share *share,
				 const struct ticket *ticket)
{
	struct fair_flow *flow = find_flow(share, flow_key(ticket));

	if (flow)
		return flow;
	if (!share->flows)
		share->flows = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, NULL, g_free);
	flow = g_new0(struct fair_flow, 1);
	flow->customer_hash = flow_key(ticket);
	flow->weight_milli = ticket_weight_milli(ticket);
	g_hash_table_insert(share->flows, &flow->customer_hash, flow);
	return flow;
}

/* Return: sums over the flows with waiting requests and over @own. */
static struct share_sums sum_flows(const struct fair_share *share,
				   const struct fair_flow *own)
{
	struct share_sums sums = { 0 };
	const struct fair_flow *flow;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, share->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		flow = value;
		if (flow != own && flow->waiting_requests == 0)
			continue;
		sums.flows++;
		sums.weights_milli += flow->weight_milli;
		sums.arrivals += flow->arrivals;
	}
	return sums;
}

/* Return: weight by rate, or by arrivals if that is more. */
static uint64_t flow_weight_milli(const struct share_sums *sums,
				  const struct fair_flow *flow)
{
	uint64_t by_arrivals_milli;

	if (sums->arrivals == 0)
		return flow->weight_milli;
	by_arrivals_milli = sums->weights_milli * flow->arrivals /
			    (ARRIVALS_WEIGHT_DIVISOR * sums->arrivals);
	return MAX(by_arrivals_milli, flow->weight_milli);
}

/* Return: virtual time that one request takes, at least 1. */
static uint64_t flow_cost(const struct share_sums *sums,
			  const struct fair_flow *flow)
{
	return MAX(TURN_UNIT / flow_weight_milli(sums, flow), UINT64_C(1));
}

/* Halves the arrivals and removes flows that have none and are owed nothing. */
static void decay_arrivals(struct fair_share *share)
{
	struct fair_flow *flow;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, share->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		flow = value;
		flow->arrivals /= 2;
		if (flow->arrivals == 0 && flow->waiting_requests == 0 &&
		    flow->turn <= share->turn)
			g_hash_table_iter_remove(&iter);
	}
}

/* Return: tickets of the same customer that go before a new one. */
static uint32_t own_ahead(const struct state *state,
			  const struct ticket *ticket)
{
	const GArray *queue = ticket_queue(state, ticket);
	const struct ticket *other;
	uint32_t ahead = 0;
	guint i;

	for (i = 0; i < queue->len; i++) {
		other = &state->tickets[g_array_index(queue, uint32_t, i)];
		if (ticket_sort_key_us(state, other) >
		    ticket_sort_key_us(state, ticket))
			break;
		ahead += flow_key(other) == flow_key(ticket);
	}
	return ahead;
}

/* Return: ticket of a customer that came last, or TICKET_NONE. */
static uint32_t newest_unsent(const struct state *state, const GArray *queue,
			      uint64_t customer_hash)
{
	const struct ticket *ticket;
	uint32_t newest = TICKET_NONE;
	uint32_t index;
	guint i;

	for (i = 0; i < queue->len; i++) {
		index = g_array_index(queue, uint32_t, i);
		ticket = &state->tickets[index];
		if (ticket->sends > 0 || flow_key(ticket) != customer_hash)
			continue;
		if (newest == TICKET_NONE ||
		    ticket->queued_us >= state->tickets[newest].queued_us)
			newest = index;
	}
	return newest;
}
