#include "command/home.h"

#include "command/cross.h"
#include "command/member.h"
#include "query/crossing.h"
#include "query/health.h"
#include "query/homes.h"
#include "query/pick.h"

#include <string.h>

/*
 * Delay of a growing share: by then the instance that loses slots has stopped
 * using them.
 */
#define SHARE_GROW_DELAY_US (2 * US_PER_S)
/*
 * Homes in other failure domains may use 1 / this of a backend server's slots.
 */
#define OTHER_DOMAIN_SLOTS_DIVISOR 3
#define DIGEST_INTERVAL_US (500 * US_PER_MS)
#define DIGEST_FRESH_US (2 * US_PER_S)
/*
 * Where traffic between failure domains has a cost, only one digest in this
 * many goes to other domains; the loss of one must not make it stale.
 */
#define OTHER_DOMAIN_DIGEST_INTERVAL 2

static void refresh_service(struct state *state, struct service *service,
			    struct instant now, struct event_list *out);
static uint64_t hash_share_inputs(const struct service *service);
static bool replace_homes(struct state *state, struct service *service);
static void set_instance_data(const struct state *state, struct home *home);
static void mark_dead(const struct state *state, struct home *homes,
		      uint32_t count);
static bool is_dead(const struct state *state, struct net_addr peer);
static void refresh_shares(struct state *state, struct service *service,
			   bool first, struct instant now);
static void apply_share(struct backend *backend);
static void shrink_share(struct backend *backend, uint32_t previous_slots,
			 struct instant now);
static void set_full_share(const struct service *service,
			   struct backend *backend);
static void set_other_domain_share(struct backend *backend);
static void send_digests(struct state *state, struct service *service,
			 struct instant now, struct event_list *out);
static bool skips_digest(const struct state *state,
			 const struct service *service,
			 const struct home *home);
static void set_home_load(struct home *home, uint32_t load_permille,
			  struct instant now);
static uint32_t load_permille(const struct state *state,
			      const struct service *service,
			      struct instant now);
static void add_targets(const struct state *state,
			const struct service *service, GArray *targets,
			struct instant now);
static bool is_prober(const struct state *state, const struct service *service,
		      const struct backend *backend, struct instant now);

void home_refresh(struct state *state, struct instant now,
		  struct event_list *out)
{
	GHashTableIter iter;
	gpointer value;

	state->homes_dirty = false;
	/* The last requests of a planned stop use the present shares. */
	if (state->leaving)
		return;
	state->probes_dirty = true;
	g_hash_table_iter_init(&iter, state->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		refresh_service(state, value, now, out);
}

void home_tick(struct state *state, struct service *service, struct instant now,
	       struct event_list *out)
{
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		if (now.mono_us >= service->backends[i].next_own_at_us)
			apply_share(&service->backends[i]);
	}
	if (service->self_home < service->home_count &&
	    now.mono_us >= service->digest_due_us)
		send_digests(state, service, now, out);
}

void home_observe_digest(struct service *service, struct net_addr sender,
			 const struct peer_digest *digest, struct instant now)
{
	uint32_t i;

	for (i = 0; i < service->home_count; i++) {
		if (!addr_equal(service->homes[i].peer, sender))
			continue;
		service->homes[i].queue_requests = digest->queue_requests;
		set_home_load(&service->homes[i], digest->load_permille, now);
	}
}

void home_plan_probes(struct state *state, struct instant now,
		      struct event_list *out)
{
	GArray *targets =
		g_array_new(FALSE, FALSE, sizeof(struct probe_target));
	struct event event = { .kind = EVENT_PROBE_PLAN };
	GHashTableIter iter;
	gpointer value;

	state->probes_dirty = false;
	g_hash_table_iter_init(&iter, state->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_targets(state, value, targets, now);
	event.probe_plan.targets = targets;
	event_list_add(out, &event);
}

static void refresh_service(struct state *state, struct service *service,
			    struct instant now, struct event_list *out)
{
	struct audit_record record = {
		.kind = AUDIT_HOME_SET,
		.cause = CAUSE_LIST,
		.detail_kind = AUDIT_DETAIL_HOMES,
	};
	bool first = service->home_count == 0;
	uint64_t inputs_hash;

	if (replace_homes(state, service)) {
		record.service = service->doc->service;
		record.subject = state->membership.self.peer;
		record.homes.home = service->self_home < service->home_count;
		record.homes.home_count = service->home_count;
		state_audit(state, &record, now, out);
	}
	/* Most changes that set homes_dirty leave the shares as they are. */
	inputs_hash = hash_share_inputs(service);
	if (!first && inputs_hash == service->share_inputs_hash)
		return;
	service->share_inputs_hash = inputs_hash;
	refresh_shares(state, service, first, now);
}

static uint64_t hash_share_inputs(const struct service *service)
{
	uint64_t inputs_hash = service->doc->hash;
	const struct home *home;
	uint32_t i;

	for (i = 0; i < service->home_count; i++) {
		home = &service->homes[i];
		inputs_hash = hash_pair(home->peer, home->peer, inputs_hash);
		inputs_hash = hash_bytes(&home->domain, sizeof(home->domain),
					 inputs_hash);
		inputs_hash = hash_bytes(&home->cpu_permille,
					 sizeof(home->cpu_permille),
					 inputs_hash);
		inputs_hash = hash_bytes(&home->dead, sizeof(home->dead),
					 inputs_hash);
	}
	return hash_bytes(&service->self_home, sizeof(service->self_home),
			  inputs_hash);
}

/* Return: whether the home set has changed. */
static bool replace_homes(struct state *state, struct service *service)
{
	struct net_addr chosen[HOMES_MAX];
	struct home homes[HOMES_MAX];
	uint32_t count = homes_choose(state, service, chosen);
	bool changed = count != service->home_count;
	uint32_t i;
	uint32_t j;

	memset(homes, 0, sizeof(homes));
	for (i = 0; i < count; i++) {
		homes[i].peer = chosen[i];
		changed = changed ||
			  !addr_equal(chosen[i], service->homes[i].peer);
		for (j = 0; j < service->home_count; j++) {
			if (addr_equal(service->homes[j].peer, chosen[i]))
				homes[i] = service->homes[j];
		}
		set_instance_data(state, &homes[i]);
	}
	mark_dead(state, homes, count);
	memcpy(service->homes, homes, sizeof(homes));
	service->home_count = count;
	service->self_home = HOMES_MAX;
	for (i = 0; i < count; i++) {
		if (addr_equal(chosen[i], state->membership.self.peer))
			service->self_home = i;
	}
	return changed;
}

static void set_instance_data(const struct state *state, struct home *home)
{
	const struct membership *membership = &state->membership;
	const struct member *member = membership_find(membership, home->peer);
	const struct instance_doc *instance = member ? &member->listed :
						       &membership->self;

	home->domain = instance->domain;
	home->cpu_permille = instance_cpu_permille(instance);
}

/*
 * Homes count as dead only while they are fewer than half of the home set: in a
 * partition at most one side then takes over the other's shares.
 */
static void mark_dead(const struct state *state, struct home *homes,
		      uint32_t count)
{
	uint32_t dead = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		homes[i].dead = is_dead(state, homes[i].peer);
		dead += homes[i].dead;
	}
	if (2 * dead < count)
		return;
	for (i = 0; i < count; i++)
		homes[i].dead = false;
}

static bool is_dead(const struct state *state, struct net_addr peer)
{
	const struct member *member = membership_find(&state->membership, peer);

	return member && member->status == MEMBER_DEAD;
}

static void refresh_shares(struct state *state, struct service *service,
			   bool first, struct instant now)
{
	struct backend *backend;
	uint32_t previous_slots;
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		backend = &service->backends[i];
		previous_slots =
			backend->next_own_slots + backend->next_own_long_slots;
		backend->next_own_slots = homes_share_slots(
			service, backend, state->policy.sharing,
			service->self_home, &backend->next_own_long_slots);
		if (state->policy.sharing == SHARING_NONE)
			set_full_share(service, backend);
		if (state->policy.sharing == SHARING_DOMAIN)
			set_other_domain_share(backend);
		cross_assign(state, service, backend);
		if (state->policy.queueing == QUEUEING_FIFO)
			backend->next_own_long_slots = backend->next_own_slots;
		/*
		 * With SHARING_DOMAIN other homes may use the same slots at any
		 * time, so a delay is of no use.
		 */
		if (first || state->policy.sharing == SHARING_DOMAIN)
			apply_share(backend);
		else
			shrink_share(backend, previous_slots, now);
	}
}

static void apply_share(struct backend *backend)
{
	backend->next_own_at_us = DEADLINE_NONE_US;
	backend->own_slots = backend->next_own_slots;
	backend->own_long_slots = backend->next_own_long_slots;
}

/*
 * Shrinks a share at once and delays its growth by SHARE_GROW_DELAY_US. The
 * delay restarts only when the share is to grow further.
 */
static void shrink_share(struct backend *backend, uint32_t previous_slots,
			 struct instant now)
{
	uint32_t wanted_slots =
		backend->next_own_slots + backend->next_own_long_slots;

	backend->own_slots = MIN(backend->own_slots, backend->next_own_slots);
	backend->own_long_slots =
		MIN(backend->own_long_slots, backend->next_own_long_slots);
	if (wanted_slots == backend->own_slots + backend->own_long_slots)
		backend->next_own_at_us = DEADLINE_NONE_US;
	else if (backend->next_own_at_us == DEADLINE_NONE_US ||
		 wanted_slots > previous_slots)
		backend->next_own_at_us = now.mono_us + SHARE_GROW_DELAY_US;
}

/* With SHARING_NONE every home may use all slots. */
static void set_full_share(const struct service *service,
			   struct backend *backend)
{
	if (service->self_home >= service->home_count)
		return;
	backend->next_own_slots = backend->capacity_slots;
	backend->next_own_long_slots =
		backend->capacity_slots - (backend->capacity_slots + 2) / 3;
}

/*
 * With SHARING_DOMAIN a home without a share may still use
 * 1 / OTHER_DOMAIN_SLOTS_DIVISOR of the slots, at least one.
 */
static void set_other_domain_share(struct backend *backend)
{
	backend->in_other_domain = backend->next_own_slots == 0;
	if (!backend->in_other_domain)
		return;
	backend->next_own_slots =
		MAX(backend->capacity_slots / OTHER_DOMAIN_SLOTS_DIVISOR,
		    MIN(backend->capacity_slots, UINT32_C(1)));
	backend->next_own_long_slots = 0;
}

static void send_digests(struct state *state, struct service *service,
			 struct instant now, struct event_list *out)
{
	struct peer_message *message;
	struct peer_digest digest;
	uint32_t i;

	service->digest_due_us = now.mono_us + DIGEST_INTERVAL_US;
	memset(&digest, 0, sizeof(digest));
	digest.service = service->doc->service;
	digest.version = service->doc->version;
	digest.load_permille = load_permille(state, service, now);
	digest.queue_requests = service->waiting_requests;
	health_digest(service, now, &digest);
	set_home_load(&service->homes[service->self_home], digest.load_permille,
		      now);
	service->digests_sent++;
	for (i = 0; i < service->home_count; i++) {
		if (i == service->self_home ||
		    skips_digest(state, service, &service->homes[i]))
			continue;
		message = g_new0(struct peer_message, 1);
		message->kind = PEER_DIGEST;
		message->digest = digest;
		member_send(state, service->homes[i].peer, message, out);
	}
}

static bool skips_digest(const struct state *state,
			 const struct service *service, const struct home *home)
{
	return state->settings->reduce_cross_domain_traffic &&
	       !name_equal(&home->domain, &state->settings->domain) &&
	       service->digests_sent % OTHER_DOMAIN_DIGEST_INTERVAL != 0;
}

static void set_home_load(struct home *home, uint32_t load_permille,
			  struct instant now)
{
	bool was_full = home->full_since_us != 0 &&
			now.mono_us < home->fresh_until_us;

	if (load_permille < PERMILLE_ONE)
		home->full_since_us = 0;
	else if (!was_full)
		home->full_since_us = now.mono_us;
	home->load_permille = load_permille;
	home->fresh_until_us = now.mono_us + DIGEST_FRESH_US;
}

/*
 * Where crossings have a cost, the load is that of the own domain: its free
 * slots are what homes elsewhere may use.
 */
static uint32_t load_permille(const struct state *state,
			      const struct service *service, struct instant now)
{
	uint32_t usable = service_usable_slots(service, now);

	if (crossing_enabled(state))
		return crossing_own_load_permille(service, now);
	if (usable == 0)
		return PERMILLE_ONE;
	return (uint32_t)MIN((uint64_t)service->running_requests *
				     PERMILLE_ONE / usable,
			     PERMILLE_ONE);
}

static void add_targets(const struct state *state,
			const struct service *service, GArray *targets,
			struct instant now)
{
	const struct service_doc *doc = service->doc;
	struct probe_target target;
	uint32_t i;

	if (service->self_home >= service->home_count ||
	    (doc->probe_path[0] == '\0' && doc->load_path[0] == '\0'))
		return;
	for (i = 0; i < service->backend_count; i++) {
		if (!is_prober(state, service, &service->backends[i], now))
			continue;
		memset(&target, 0, sizeof(target));
		target.service = doc->service;
		target.backend = service->backends[i].addr;
		memcpy(target.probe_path, doc->probe_path, PATH_BYTES_MAX);
		memcpy(target.load_path, doc->load_path, PATH_BYTES_MAX);
		g_array_append_val(targets, target);
	}
}

/* A home probes a backend server unless a home of better rank is alive. */
static bool is_prober(const struct state *state, const struct service *service,
		      const struct backend *backend, struct instant now)
{
	uint32_t by_rank[HOMES_MAX];
	const struct member *member;
	uint32_t i;

	/* A pause applies to probes as to all requests. */
	if (backend_paused(backend, now))
		return false;
	homes_rank(service, backend->addr, by_rank);
	for (i = 0; by_rank[i] != service->self_home; i++) {
		member = membership_find(&state->membership,
					 service->homes[by_rank[i]].peer);
		if (member && member->status == MEMBER_ALIVE)
			return false;
	}
	return true;
}
