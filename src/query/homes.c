#include "query/homes.h"

#include <stdlib.h>

/* A home set has one home for each this many slots of its service. */
#define SLOTS_PER_HOME 64
/* A home with a smaller share has too few slots to choose from. */
#define HOME_SLOTS_MIN 4
#define HOMES_MIN 2
/* Processor time that requests on one slot need at peak load. */
#define SLOT_CPU_PERMILLE 2
/* Weak instances have less than 1 / this of the strongest one's CPU. */
#define WEAK_DIVISOR 2

/**
 * struct candidate - instance that may become a home
 * @peer: its peer address
 * @domain: its failure domain
 * @cpu_permille: CPU time that it has, in thousandths of a core
 * @score: order among instances with the same CPU time, highest first
 * @rank_in_domain: position in its failure domain, 0 for the strongest
 */
struct candidate {
	struct net_addr peer;
	struct name domain;
	uint32_t cpu_permille;
	uint64_t score;
	uint32_t rank_in_domain;
};

static uint32_t find_owners(const struct service *service,
			    const struct backend *backend,
			    enum sharing_kind sharing,
			    uint32_t owners[HOMES_MAX]);
static bool in_domain(const struct service *service, uint32_t home,
		      const struct backend *backend);
static bool is_weak(const struct service *service, uint32_t home);
static GArray *collect_candidates(const struct state *state, uint64_t seed,
				  bool aside);
static void add_candidate(GArray *list, const struct instance_doc *instance,
			  uint64_t seed);
static int compare_score(const void *a, const void *b);
static int compare_domain_rank(const void *a, const void *b);
static uint32_t rank_within_domains(GArray *list);
static uint32_t home_set_size(const struct service_doc *doc, uint32_t domains,
			      const GArray *list);
static uint32_t next_owner(const struct service *service,
			   const uint32_t *owners, uint32_t count,
			   int64_t *credits);

uint32_t homes_choose(const struct state *state, const struct service *service,
		      struct net_addr out[HOMES_MAX])
{
	const struct service_doc *doc = service->doc;
	const struct name *group = doc->home_group.text[0] != '\0' ?
					   &doc->home_group :
					   &doc->service;
	uint64_t seed = hash_bytes(group->text, NAME_BYTES_MAX, 0);
	GArray *list = collect_candidates(state, seed, false);
	uint32_t domains;
	uint32_t count;
	uint32_t i;

	/*
	 * When all instances have withdrawn, the cause lies with the backend
	 * servers and not with the paths of some instances, so all are
	 * candidates.
	 */
	if (list->len == 0) {
		g_array_unref(list);
		list = collect_candidates(state, seed, true);
	}
	g_array_sort(list, compare_score);
	domains = rank_within_domains(list);
	g_array_sort(list, compare_domain_rank);
	count = home_set_size(doc, domains, list);
	for (i = 0; i < count; i++)
		out[i] = g_array_index(list, struct candidate, i).peer;
	g_array_unref(list);
	return count;
}

void homes_rank(const struct service *service, struct net_addr backend,
		uint32_t by_rank[HOMES_MAX])
{
	uint64_t scores[HOMES_MAX];
	uint32_t rank;
	uint32_t i;

	for (i = 0; i < service->home_count; i++) {
		scores[i] = hash_pair(service->homes[i].peer, backend, 0);
		for (rank = i; rank > 0; rank--) {
			if (scores[by_rank[rank - 1]] >= scores[i])
				break;
			by_rank[rank] = by_rank[rank - 1];
		}
		by_rank[rank] = i;
	}
}

uint32_t homes_share_slots(const struct service *service,
			   const struct backend *backend,
			   enum sharing_kind sharing, uint32_t home,
			   uint32_t *long_slots)
{
	/* A third of the slots, rounded up, is reserved for short requests. */
	uint32_t short_only_slots = (backend->capacity_slots + 2) / 3;
	uint32_t owners[HOMES_MAX] = { 0 };
	int64_t credits[HOMES_MAX] = { 0 };
	uint32_t slots = 0;
	uint32_t count;
	uint32_t slot;

	*long_slots = 0;
	if (service->home_count == 0 || home >= service->home_count)
		return 0;
	count = find_owners(service, backend, sharing, owners);
	for (slot = 0; slot < backend->capacity_slots; slot++) {
		if (next_owner(service, owners, count, credits) != home)
			continue;
		slots++;
		if (slot >= short_only_slots)
			(*long_slots)++;
	}
	return slots;
}

/*
 * List the homes that share the slots of a backend server. With SHARING_DOMAIN
 * these are the homes alive in its failure domain, if one of them is not weak;
 * else all homes, each dead one replaced by the next one alive.
 *
 * Return: number of entries in @owners, at least one.
 */
static uint32_t find_owners(const struct service *service,
			    const struct backend *backend,
			    enum sharing_kind sharing,
			    uint32_t owners[HOMES_MAX])
{
	uint32_t by_rank[HOMES_MAX] = { 0 };
	uint32_t count = service->home_count;
	bool has_strong = false;
	uint32_t domain_homes = 0;
	uint32_t rank;
	uint32_t i;

	homes_rank(service, backend->addr, by_rank);
	for (rank = 0; rank < count && sharing == SHARING_DOMAIN; rank++) {
		if (!in_domain(service, by_rank[rank], backend))
			continue;
		owners[domain_homes++] = by_rank[rank];
		has_strong |= !is_weak(service, by_rank[rank]);
	}
	/* Weak homes alone could not use all slots of their domain. */
	if (has_strong)
		return domain_homes;
	for (rank = 0; rank < count; rank++) {
		owners[rank] = by_rank[rank];
		for (i = 1; i < count; i++) {
			if (!service->homes[owners[rank]].dead)
				break;
			owners[rank] = by_rank[(rank + i) % count];
		}
	}
	return count;
}

static bool in_domain(const struct service *service, uint32_t home,
		      const struct backend *backend)
{
	return !service->homes[home].dead &&
	       name_equal(&service->homes[home].domain, &backend->domain);
}

static bool is_weak(const struct service *service, uint32_t home)
{
	uint32_t strongest = 0;
	uint32_t i;

	for (i = 0; i < service->home_count; i++)
		strongest = MAX(strongest, service->homes[i].cpu_permille);
	return service->homes[home].cpu_permille * WEAK_DIVISOR < strongest;
}

/*
 * Collect the candidates for a home set. The published list decides and not
 * which instances respond, so that a network partition moves no shares.
 */
static GArray *collect_candidates(const struct state *state, uint64_t seed,
				  bool include_withdrawn)
{
	const struct membership *membership = &state->membership;
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	const struct member *member;
	guint i;

	if ((membership->self_listed || !membership->list_known) &&
	    (include_withdrawn || !membership->self.self_report.aside))
		add_candidate(list, &membership->self, seed);
	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		if (member->in_list && member->listed.status == INSTANCE_LIVE &&
		    member->status != MEMBER_LEAVING &&
		    (include_withdrawn || !member->listed.self_report.aside))
			add_candidate(list, &member->listed, seed);
	}
	return list;
}

static void add_candidate(GArray *list, const struct instance_doc *instance,
			  uint64_t seed)
{
	struct candidate candidate = {
		.peer = instance->peer,
		.domain = instance->domain,
		.cpu_permille = instance_cpu_permille(instance),
		.score = hash_pair(instance->peer, instance->peer, seed),
	};

	g_array_append_val(list, candidate);
}

/* The strongest instances go first, so that few homes can carry the load. */
static int compare_score(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->cpu_permille != y->cpu_permille)
		return x->cpu_permille > y->cpu_permille ? -1 : 1;
	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return addr_compare(x->peer, y->peer);
}

/* The best instance of each domain goes first, then the second best, etc. */
static int compare_domain_rank(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->rank_in_domain != y->rank_in_domain)
		return x->rank_in_domain < y->rank_in_domain ? -1 : 1;
	return compare_score(a, b);
}

/*
 * Number the sorted candidates within their domains.
 *
 * Return: number of domains.
 */
static uint32_t rank_within_domains(GArray *list)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	struct candidate *candidate;
	uint32_t domains;
	uint32_t rank;
	guint i;

	for (i = 0; i < list->len; i++) {
		candidate = &g_array_index(list, struct candidate, i);
		rank = GPOINTER_TO_UINT(
			g_hash_table_lookup(seen, candidate->domain.text));
		candidate->rank_in_domain = rank;
		g_hash_table_insert(seen, candidate->domain.text,
				    GUINT_TO_POINTER(rank + 1));
	}
	domains = g_hash_table_size(seen);
	g_hash_table_unref(seen);
	return domains;
}

/*
 * Return: number of homes: at least one for each domain, and as many as are
 * needed to carry the load; beyond that, one for each SLOTS_PER_HOME slots, but
 * no weak instance. The set is kept small because each further home splits the
 * evidence on backend servers more finely, and a weak one delays the requests
 * that it is sent.
 */
static uint32_t home_set_size(const struct service_doc *doc, uint32_t domains,
			      const GArray *list)
{
	uint32_t slots = service_doc_slots(doc);
	uint32_t wanted = (slots + SLOTS_PER_HOME - 1) / SLOTS_PER_HOME;
	uint32_t count_max = MIN(MIN(list->len, HOMES_MAX),
				 MAX(HOMES_MIN, slots / HOME_SLOTS_MIN));
	uint64_t needed_permille = (uint64_t)slots * SLOT_CPU_PERMILLE;
	uint64_t sum_permille = 0;
	uint32_t strongest = 0;
	bool sufficient;
	uint32_t own_permille;
	uint32_t i;

	for (i = 0; i < count_max; i++) {
		own_permille =
			g_array_index(list, struct candidate, i).cpu_permille;
		strongest = MAX(strongest, own_permille);
		sufficient = sum_permille >= needed_permille;
		if (i >= domains && sufficient &&
		    (i >= wanted || own_permille * WEAK_DIVISOR < strongest))
			break;
		sum_permille += own_permille;
	}
	return i;
}

/*
 * Assign the next slot by smooth weighted round-robin over @owners, weighted by
 * processor time.
 *
 * Return: index of a home.
 */
static uint32_t next_owner(const struct service *service,
			   const uint32_t *owners, uint32_t count,
			   int64_t *credits)
{
	int64_t sum_permille = 0;
	uint32_t highest = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		credits[i] += service->homes[owners[i]].cpu_permille;
		sum_permille += service->homes[owners[i]].cpu_permille;
		if (credits[i] > credits[highest])
			highest = i;
	}
	credits[highest] -= sum_permille;
	return owners[highest];
}
