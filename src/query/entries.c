#include "query/entries.h"

#include <stdlib.h>

#include "query/crossing.h"

/* Homes with at least this load are listed after the others. */
#define BUSY_LOAD_PERMILLE 900
/*
 * Where crossings have a cost, a home is listed after the others once all slots
 * of its domain have been in use for this time, longer than most bursts between
 * two digests: it would send further requests to another domain.
 */
#define FULL_BUSY_US (2 * US_PER_S)

/**
 * struct candidate - instance that a caller may be told to use
 * @entry: what the caller gets
 * @cpu_permille: CPU time that the instance has, in thousandths of a core
 * @other_domain: it is in another failure domain than the caller
 * @busy: it has too much load, see home_busy()
 * @hash: decides which candidates are left out by their CPU time, and the order
 *	of equal ones; different for each caller
 */
struct candidate {
	struct entry entry;
	uint32_t cpu_permille;
	bool other_domain;
	bool busy;
	uint64_t hash;
};

static bool add_homes_of_host(const struct state *state,
			      const struct query *query, struct instant now,
			      GArray *list);
static bool add_homes(const struct state *state, const struct name *name,
		      const struct query *query, struct instant now,
		      GArray *list);
static bool home_busy(const struct state *state, const struct home *home,
		      struct instant now);
static GArray *usable_instances(const struct state *state,
				const struct query *query);
static bool is_usable(const struct state *state, struct net_addr peer,
		      struct instance_doc *out);
static void add_candidate(GArray *list, const struct instance_doc *instance,
			  const struct query *query, bool busy);
static void drop_by_cpu_share(GArray *list);
static int compare_preference(const void *a, const void *b);

void entries_answer(const struct state *state, const struct query *query,
		    struct instant now, struct entries_reply *out)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	guint i;

	out->entry_count = 0;
	out->expires_unix_ms = now.unix_ms + state->settings->entries_ttl_ms;
	out->known =
		query->host.text[0] != '\0' ?
			add_homes_of_host(state, query, now, list) :
			add_homes(state, &query->service, query, now, list);
	if (out->known && list->len == 0) {
		g_array_unref(list);
		list = usable_instances(state, query);
	}
	drop_by_cpu_share(list);
	g_array_sort(list, compare_preference);
	for (i = 0; i < list->len && i < ENTRIES_MAX; i++)
		out->entries[out->entry_count++] =
			g_array_index(list, struct candidate, i).entry;
	g_array_unref(list);
}

/* Return: whether the host is known. */
static bool add_homes_of_host(const struct state *state,
			      const struct query *query, struct instant now,
			      GArray *list)
{
	const struct table_host *host = NULL;
	guint i;

	if (state->routes)
		host = g_hash_table_lookup(state->routes->hosts,
					   query->host.text);
	if (!host)
		return false;
	for (i = 0; i < host->services->len; i++)
		add_homes(state, &g_array_index(host->services, struct name, i),
			  query, now, list);
	return true;
}

/* Return: whether the service is known. */
static bool add_homes(const struct state *state, const struct name *name,
		      const struct query *query, struct instant now,
		      GArray *list)
{
	const struct service *service = service_lookup(state, name);
	const struct home *home;
	struct instance_doc instance;
	uint32_t i;

	if (!service)
		return false;
	for (i = 0; i < service->home_count; i++) {
		home = &service->homes[i];
		if (!is_usable(state, home->peer, &instance) ||
		    instance.self_report.aside)
			continue;
		add_candidate(list, &instance, query,
			      home_busy(state, home, now));
	}
	return true;
}

static bool home_busy(const struct state *state, const struct home *home,
		      struct instant now)
{
	if (home->fresh_until_us <= now.mono_us)
		return false;
	if (!crossing_enabled(state))
		return home->load_permille >= BUSY_LOAD_PERMILLE;
	return home->full_since_us != 0 &&
	       now.mono_us - home->full_since_us >= FULL_BUSY_US;
}

/*
 * Lists all usable instances for a service without a usable home: each of them
 * can serve its requests on borrowed slots.
 */
static GArray *usable_instances(const struct state *state,
				const struct query *query)
{
	const GArray *members = state->membership.members;
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	struct instance_doc instance;
	guint i;

	if (is_usable(state, state->membership.self.peer, &instance))
		add_candidate(list, &instance, query, false);
	for (i = 0; i < members->len; i++) {
		if (is_usable(
			    state,
			    g_array_index(members, struct member, i).listed.peer,
			    &instance))
			add_candidate(list, &instance, query, false);
	}
	return list;
}

static bool is_usable(const struct state *state, struct net_addr peer,
		      struct instance_doc *out)
{
	const struct membership *membership = &state->membership;
	const struct member *member;

	if (addr_equal(peer, membership->self.peer)) {
		*out = membership->self;
		return !state->leaving && !state->stepped_back;
	}
	member = membership_find(membership, peer);
	if (!member || !member->in_list ||
	    member->listed.status != INSTANCE_LIVE ||
	    member->status != MEMBER_ALIVE)
		return false;
	*out = member->listed;
	return true;
}

static void add_candidate(GArray *list, const struct instance_doc *instance,
			  const struct query *query, bool busy)
{
	struct candidate candidate = {
		.entry = { .caller = instance->caller,
			   .domain = instance->domain },
		.cpu_permille = instance_cpu_permille(instance),
		.other_domain =
			query->caller_domain.text[0] != '\0' &&
			!name_equal(&instance->domain, &query->caller_domain),
		.busy = busy,
		.hash = hash_pair(instance->peer, instance->caller,
				  query->caller_hash),
	};
	guint i;

	/*
	 * Services of the same host can have homes in common; list each once.
	 */
	for (i = 0; i < list->len; i++) {
		if (addr_equal(g_array_index(list, struct candidate, i)
				       .entry.caller,
			       instance->caller))
			return;
	}
	g_array_append_val(list, candidate);
}

/*
 * Callers choose an entry at random. To balance their load by processor time,
 * each instance is kept in a share of the answers equal to its processor time
 * over that of the strongest instance.
 */
static void drop_by_cpu_share(GArray *list)
{
	const struct candidate *candidate;
	uint32_t max_cpu_permille = 0;
	guint i;

	for (i = 0; i < list->len; i++) {
		candidate = &g_array_index(list, struct candidate, i);
		max_cpu_permille =
			MAX(max_cpu_permille, candidate->cpu_permille);
	}
	for (i = list->len; i > 0; i--) {
		candidate = &g_array_index(list, struct candidate, i - 1);
		if (candidate->hash % max_cpu_permille >=
		    candidate->cpu_permille)
			g_array_remove_index_fast(list, i - 1);
	}
}

static int compare_preference(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->busy != y->busy)
		return x->busy ? 1 : -1;
	if (x->other_domain != y->other_domain)
		return x->other_domain ? 1 : -1;
	if (x->hash != y->hash)
		return x->hash < y->hash ? -1 : 1;
	return 0;
}
