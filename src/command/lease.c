#include "command/lease.h"

#include "command/member.h"
#include "command/schedule.h"
#include "query/pick.h"

/* Duration of a lease. */
#define LEASE_TTL_MS 1000
/*
 * Shortest time from the end of a lease at the borrower to its end at the
 * lender.
 */
#define LEASE_MARGIN_US (100 * US_PER_MS)
/* Minimum time between two lease requests of a service. */
#define REQUEST_INTERVAL_US (20 * US_PER_MS)
/* Most slots that a lease request asks for. */
#define WANTED_SLOTS_MAX 8

static bool next_lender(const struct state *state, struct service *service,
			struct instant now, struct net_addr *out);
static void grant_lease(struct state *state, struct service *service,
			const struct peer_message *request, struct instant now,
			struct event_list *out);
static bool lend_slot(struct service *service, struct backend *backend,
		      struct net_addr borrower, struct instant now);
static void append_lease(struct peer_lease *grant, struct net_addr backend);
static uint32_t lending_limit(const struct state *state,
			      const struct service *service,
			      struct net_addr borrower, uint32_t wanted_slots,
			      struct instant now);
static void accept_grant(struct state *state, struct service *service,
			 const struct peer_message *grant, struct instant now,
			 struct event_list *out);
static struct borrowed *free_borrowed_entry(struct service *service);
static void reclaim_returned(struct service *service,
			     const struct peer_message *message);
static void reclaim_lent(struct service *service, struct lent *lent,
			 uint32_t slots);
static void return_borrowed(struct state *state, struct service *service,
			    struct borrowed *borrowed, struct event_list *out);

void lease_request(struct state *state, struct service *service,
		   struct instant now, struct event_list *out)
{
	struct peer_message *message;
	struct net_addr lender;

	if (state->policy.sharing != SHARING_LEASED ||
	    now.mono_us < service->lease_request_after_us)
		return;
	if (!next_lender(state, service, now, &lender))
		return;
	service->lease_request_after_us = now.mono_us + REQUEST_INTERVAL_US;
	service->lease_requested_us = now.mono_us;
	service->lease_sequence++;
	service->counters.leases_requested++;
	message = g_new0(struct peer_message, 1);
	message->kind = PEER_LEASE_REQUEST;
	message->lease.service = service->doc->service;
	message->lease.sequence = service->lease_sequence;
	message->lease.wanted_slots =
		MIN(service->waiting_requests, WANTED_SLOTS_MAX);
	member_send(state, lender, message, out);
}

void lease_handle_message(struct state *state,
			  const struct peer_message *message,
			  struct instant now, struct event_list *out)
{
	struct service *service =
		service_lookup(state, &message->lease.service);

	if (!service)
		return;
	switch (message->kind) {
	case PEER_LEASE_REQUEST:
		grant_lease(state, service, message, now, out);
		break;
	case PEER_LEASE_GRANT:
		accept_grant(state, service, message, now, out);
		break;
	case PEER_LEASE_RETURN:
		reclaim_returned(service, message);
		schedule_run(state, service, now, out);
		break;
	case PEER_PING:
	case PEER_ACK:
	case PEER_PING_REQUEST:
	case PEER_DIGEST:
	case PEER_QUOTA_REQUEST:
	case PEER_QUOTA_GRANT:
	case PEER_LEFT_STARTS:
		break;
	}
}

void lease_tick(struct state *state, struct service *service,
		struct instant now, struct event_list *out)
{
	struct borrowed *borrowed;
	struct lent *lent;
	uint32_t i;

	for (i = 0; i < BORROWED_MAX; i++) {
		borrowed = &service->borrowed[i];
		if (borrowed->lender.port == 0 || borrowed->in_use_slots > 0)
			continue;
		if (borrowed->expires_us > now.mono_us &&
		    service->waiting_requests == 0)
			return_borrowed(state, service, borrowed, out);
		else if (borrowed->expires_us <= now.mono_us)
			borrowed->lender.port = 0;
	}
	for (i = 0; i < LENT_MAX; i++) {
		lent = &service->lent[i];
		if (lent->borrower.port != 0 && lent->expires_us <= now.mono_us)
			reclaim_lent(service, lent, lent->slots);
	}
}

/*
 * Takes the homes in turn and skips those that report no free slots.
 *
 * Return: false when there is no other home or all report no free slots.
 */
static bool next_lender(const struct state *state, struct service *service,
			struct instant now, struct net_addr *out)
{
	const struct home *home;
	bool full;
	uint32_t i;

	for (i = 0; i < 2 * service->home_count; i++) {
		service->lease_next_home =
			(service->lease_next_home + 1) % service->home_count;
		home = &service->homes[service->lease_next_home];
		full = home->fresh_until_us > now.mono_us &&
		       home->load_permille >= PERMILLE_ONE;
		if (addr_equal(home->peer, state->membership.self.peer) ||
		    (full && i < service->home_count))
			continue;
		*out = home->peer;
		return !full;
	}
	return false;
}

static void grant_lease(struct state *state, struct service *service,
			const struct peer_message *request, struct instant now,
			struct event_list *out)
{
	struct peer_message *message = g_new0(struct peer_message, 1);
	struct peer_lease *grant = &message->lease;
	struct backend *backend;
	uint32_t limit = lending_limit(state, service, request->sender,
				       request->lease.wanted_slots, now);
	uint32_t index;
	uint32_t i;

	message->kind = PEER_LEASE_GRANT;
	grant->service = service->doc->service;
	grant->sequence = request->lease.sequence;
	grant->ttl_ms = LEASE_TTL_MS;
	/*
	 * Starts at another backend server for each request, so that lending
	 * does not use up the slots of a single one.
	 */
	for (i = 0; i < service->backend_count && limit > 0; i++) {
		index = (i + (uint32_t)request->lease.sequence) %
			service->backend_count;
		backend = &service->backends[index];
		if (backend_lendable_slots(backend, now) == 0 ||
		    !lend_slot(service, backend, request->sender, now))
			continue;
		append_lease(grant, backend->addr);
		limit--;
	}
	member_send(state, request->sender, message, out);
}

/* Return: false when no entry of service->lent is unused. */
static bool lend_slot(struct service *service, struct backend *backend,
		      struct net_addr borrower, struct instant now)
{
	uint32_t backend_index = (uint32_t)(backend - service->backends);
	struct lent *lent;
	uint32_t i;

	for (i = 0; i < LENT_MAX; i++) {
		lent = &service->lent[i];
		if (lent->borrower.port != 0)
			continue;
		lent->borrower = borrower;
		lent->backend_index = backend_index;
		lent->slots = 1;
		lent->expires_us = now.mono_us + LEASE_TTL_MS * US_PER_MS +
				   LEASE_MARGIN_US;
		backend->lent_slots++;
		return true;
	}
	return false;
}

static void append_lease(struct peer_lease *grant, struct net_addr backend)
{
	grant->leases[grant->lease_count].backend = backend;
	grant->leases[grant->lease_count].slots = 1;
	grant->lease_count++;
}

/*
 * Return: number of slots to lend for one lease request. The lender keeps a
 * quarter of its usable slots free for its own next requests.
 */
static uint32_t lending_limit(const struct state *state,
			      const struct service *service,
			      struct net_addr borrower, uint32_t wanted_slots,
			      struct instant now)
{
	uint32_t usable = service_usable_slots(service, now);
	uint32_t busy = service->running_requests + service->waiting_requests;
	uint32_t kept = busy + usable / 4;

	if (state->policy.sharing != SHARING_LEASED ||
	    !membership_find(&state->membership, borrower) || kept >= usable)
		return 0;
	return MIN(MIN(wanted_slots, usable - kept), PEER_LEASES_MAX);
}

static void accept_grant(struct state *state, struct service *service,
			 const struct peer_message *grant, struct instant now,
			 struct event_list *out)
{
	uint64_t expires_us =
		service->lease_requested_us + grant->lease.ttl_ms * US_PER_MS;
	const struct lease *lease;
	struct borrowed *borrowed;
	struct backend *backend;
	uint32_t i;

	if (grant->lease.sequence != service->lease_sequence ||
	    expires_us <= now.mono_us)
		return;
	/* One grant per lease request; duplicate datagrams are ignored. */
	service->lease_sequence++;
	/* The lender may have more free slots: request again at once. */
	if (grant->lease.lease_count > 0)
		service->lease_request_after_us = now.mono_us;
	for (i = 0; i < grant->lease.lease_count; i++) {
		lease = &grant->lease.leases[i];
		backend = service_backend(service, lease->backend);
		borrowed = free_borrowed_entry(service);
		if (!backend || !borrowed)
			continue;
		borrowed->lender = grant->sender;
		borrowed->backend_index =
			(uint32_t)(backend - service->backends);
		borrowed->slots = lease->slots;
		borrowed->in_use_slots = 0;
		borrowed->expires_us = expires_us;
		service->counters.leased_slots += lease->slots;
	}
	schedule_run(state, service, now, out);
}

static struct borrowed *free_borrowed_entry(struct service *service)
{
	uint32_t i;

	for (i = 0; i < BORROWED_MAX; i++) {
		if (service->borrowed[i].lender.port == 0)
			return &service->borrowed[i];
	}
	return NULL;
}

static void reclaim_returned(struct service *service,
			     const struct peer_message *message)
{
	const struct lease *lease;
	struct lent *lent;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < message->lease.lease_count; i++) {
		lease = &message->lease.leases[i];
		for (j = 0; j < LENT_MAX; j++) {
			lent = &service->lent[j];
			if (lent->borrower.port == 0 ||
			    !addr_equal(lent->borrower, message->sender) ||
			    !addr_equal(
				    service->backends[lent->backend_index].addr,
				    lease->backend))
				continue;
			reclaim_lent(service, lent,
				     MIN(lease->slots, lent->slots));
			break;
		}
	}
}

static void reclaim_lent(struct service *service, struct lent *lent,
			 uint32_t slots)
{
	service->backends[lent->backend_index].lent_slots -= slots;
	lent->slots -= slots;
	if (lent->slots == 0)
		lent->borrower.port = 0;
}

static void return_borrowed(struct state *state, struct service *service,
			    struct borrowed *borrowed, struct event_list *out)
{
	struct peer_message *message = g_new0(struct peer_message, 1);

	message->kind = PEER_LEASE_RETURN;
	message->lease.service = service->doc->service;
	message->lease.lease_count = 1;
	message->lease.leases[0].backend =
		service->backends[borrowed->backend_index].addr;
	message->lease.leases[0].slots = borrowed->slots;
	member_send(state, borrowed->lender, message, out);
	borrowed->lender.port = 0;
	borrowed->expires_us = 0;
}
