#include "query/entries.h"

#include <stdlib.h>

/* A home this busy is named after the others. */
#define BUSY_PERMILLE 900

struct choice {
	struct entry entry;
	uint32_t cpu_permille;
	bool other_domain;
	bool busy;
	uint64_t shuffle;
};

static bool add_homes_of_host(const struct state *state,
			      const struct query *query, struct instant now,
			      GArray *list);
static bool add_homes(const struct state *state, const struct name *name,
		      const struct query *query, struct instant now,
		      GArray *list);
static GArray *usable_instances(const struct state *state,
				const struct query *query);
static bool usable(const struct state *state, struct net_addr peer,
		   struct instance_doc *out);
static void add_choice(GArray *list, const struct instance_doc *instance,
		       const struct query *query, bool busy);
static void leave_out_weak(GArray *list);
static int by_preference(const void *a, const void *b);

void entries_answer(const struct state *state, const struct query *query,
		    struct instant now, struct entries_reply *out)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct choice));
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
	leave_out_weak(list);
	g_array_sort(list, by_preference);
	for (i = 0; i < list->len && i < ENTRIES_MAX; i++)
		out->entries[out->entry_count++] =
			g_array_index(list, struct choice, i).entry;
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
	bool busy;
	uint32_t i;

	if (!service)
		return false;
	for (i = 0; i < service->home_count; i++) {
		home = &service->homes[i];
		if (!usable(state, home->peer, &instance) ||
		    instance.self_report.aside)
			continue;
		busy = home->fresh_until_us > now.mono_us &&
		       home->load_permille >= BUSY_PERMILLE;
		add_choice(list, &instance, query, busy);
	}
	return true;
}

/* With no home left any instance will do: it serves on borrowed slots. */
static GArray *usable_instances(const struct state *state,
				const struct query *query)
{
	const GArray *members = state->membership.members;
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct choice));
	struct instance_doc instance;
	guint i;

	if (usable(state, state->membership.self.peer, &instance))
		add_choice(list, &instance, query, false);
	for (i = 0; i < members->len; i++) {
		if (usable(state,
			   g_array_index(members, struct member, i).listed.peer,
			   &instance))
			add_choice(list, &instance, query, false);
	}
	return list;
}

static bool usable(const struct state *state, struct net_addr peer,
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

static void add_choice(GArray *list, const struct instance_doc *instance,
		       const struct query *query, bool busy)
{
	struct choice choice = {
		.entry = { .caller = instance->caller,
			   .domain = instance->domain },
		.cpu_permille = instance_cpu_permille(instance),
		.other_domain =
			query->caller_domain.text[0] != '\0' &&
			!name_equal(&instance->domain, &query->caller_domain),
		.busy = busy,
		.shuffle = hash_pair(instance->peer, instance->caller,
				     query->caller_hash),
	};
	guint i;

	/* The services of a host share homes. */
	for (i = 0; i < list->len; i++) {
		if (addr_equal(
			    g_array_index(list, struct choice, i).entry.caller,
			    instance->caller))
			return;
	}
	g_array_append_val(list, choice);
}

/*
 * Callers take one of the entries by chance, so an instance is in as many answers
 * as its part of the strongest one's processor time.
 */
static void leave_out_weak(GArray *list)
{
	const struct choice *choice;
	uint32_t strongest = 0;
	guint i;

	for (i = 0; i < list->len; i++) {
		choice = &g_array_index(list, struct choice, i);
		strongest = MAX(strongest, choice->cpu_permille);
	}
	for (i = list->len; i > 0; i--) {
		choice = &g_array_index(list, struct choice, i - 1);
		if (choice->shuffle % strongest >= choice->cpu_permille)
			g_array_remove_index_fast(list, i - 1);
	}
}

static int by_preference(const void *a, const void *b)
{
	const struct choice *x = a;
	const struct choice *y = b;

	if (x->busy != y->busy)
		return x->busy ? 1 : -1;
	if (x->other_domain != y->other_domain)
		return x->other_domain ? 1 : -1;
	if (x->shuffle != y->shuffle)
		return x->shuffle < y->shuffle ? -1 : 1;
	return 0;
}
