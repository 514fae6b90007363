#include "query/readers.h"

#define READER_HASH_SEED UINT64_C(0x72656164)
/*
 * Least number of readers in the fleet: some may be isolated before the others
 * notice.
 */
#define READERS_MIN 6

_Static_assert(READERS_SUCCESSORS_MAX > READERS_MIN,
	       "with one domain all readers are in it");

/**
 * enum rank_side - on which side of the own rank
 * @RANK_BEFORE: lower ranks, which read before this instance
 * @RANK_AFTER: higher ranks, which read after it
 */
enum rank_side { RANK_BEFORE, RANK_AFTER };

/**
 * struct near - live instances of the own domain next in rank to this one
 * @members: nearest first, not owned
 * @distances: difference of each rank to the own rank
 * @count: used entries
 */
struct near {
	const struct member *members[READERS_SUCCESSORS_MAX];
	uint64_t distances[READERS_SUCCESSORS_MAX];
	uint32_t count;
};

/**
 * struct survey - the live instances as they matter for the own role
 * @domains: different domains, this instance's included, up to READERS_MIN
 * @domain_count: used entries of @domains
 * @readers_before: instances before this one that read, by their reports
 * @domain_readers_before: those of them in the own domain
 * @domain_lost_before: instances of the own domain before this one that try to
 *	reach a lost platform
 * @near: instances before this one
 */
struct survey {
	const struct name *domains[READERS_MIN];
	uint32_t domain_count;
	uint32_t readers_before;
	uint32_t domain_readers_before;
	uint32_t domain_lost_before;
	struct near near;
};

static void survey_members(const struct state *state, enum rank_side side,
			   struct survey *survey);
static void count_before(const struct state *state, struct survey *survey,
			 const struct member *member);
static void add_domain(struct survey *survey, const struct name *domain);
static uint32_t readers_per_domain(const struct survey *survey);
static void insert_near(struct near *near, const struct member *member,
			uint64_t distance);
static bool is_live(const struct member *member);
static bool is_in_own_domain(const struct state *state,
			     const struct member *member);
static bool reports_to_read(const struct member *member);
static bool is_heard(const struct state *state, const struct member *member,
		     struct instant now);

enum reader_role readers_own_role(const struct state *state, struct instant now)
{
	const struct membership *membership = &state->membership;
	struct survey survey;
	uint32_t unheard = 0;
	uint32_t i;

	if (!membership->list_known)
		return READER_NONE;
	/* A request waits for documents that the peers may not have either. */
	if (membership->request_before_config &&
	    g_hash_table_size(state->services) == 0)
		return READER_STANDBY;
	if (now.mono_us < membership->reader.read_after_us ||
	    now.mono_us < membership->reader.backoff_until_us)
		return READER_NONE;
	survey_members(state, RANK_BEFORE, &survey);
	for (i = 0; i < survey.near.count; i++)
		unheard += reports_to_read(survey.near.members[i]) &&
			   !is_heard(state, survey.near.members[i], now);
	if (survey.domain_lost_before >= READERS_TRYING_MAX ||
	    survey.domain_readers_before - unheard >=
		    readers_per_domain(&survey))
		return READER_NONE;
	if (survey.readers_before > unheard ||
	    membership->self.self_report.platform == PLATFORM_CONTACT_LOST)
		return READER_STANDBY;
	return READER_FIRST;
}

uint32_t readers_idle_before(const struct state *state, struct instant now)
{
	struct survey survey;
	uint32_t idle = 0;
	uint32_t i;

	survey_members(state, RANK_BEFORE, &survey);
	for (i = 0; i < survey.near.count; i++)
		idle += !reports_to_read(survey.near.members[i]) ||
			!is_heard(state, survey.near.members[i], now);
	return idle;
}

uint32_t
readers_successors(const struct state *state,
		   const struct member *successors[READERS_SUCCESSORS_MAX])
{
	struct survey survey;
	uint32_t i;

	survey_members(state, RANK_AFTER, &survey);
	for (i = 0; i < survey.near.count; i++)
		successors[i] = survey.near.members[i];
	return survey.near.count;
}

uint32_t readers_domain_size(const struct state *state)
{
	const GArray *members = state->membership.members;
	const struct member *member;
	uint32_t size = 1;
	guint i;

	for (i = 0; i < members->len; i++) {
		member = &g_array_index(members, struct member, i);
		size += is_live(member) && is_in_own_domain(state, member);
	}
	return size;
}

uint64_t readers_rank(struct net_addr peer)
{
	struct net_addr none = { 0, 0 };

	return hash_pair(peer, none, READER_HASH_SEED);
}

static void survey_members(const struct state *state, enum rank_side side,
			   struct survey *survey)
{
	const struct membership *membership = &state->membership;
	uint64_t own_rank = readers_rank(membership->self.peer);
	const struct member *member;
	bool before;
	guint i;

	*survey = (struct survey){ 0 };
	add_domain(survey, &membership->self.domain);
	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		if (!is_live(member))
			continue;
		add_domain(survey, &member->listed.domain);
		before = member->reader_rank < own_rank;
		if (before)
			count_before(state, survey, member);
		if (before != (side == RANK_BEFORE) ||
		    !is_in_own_domain(state, member))
			continue;
		insert_near(&survey->near, member,
			    before ? own_rank - member->reader_rank :
				     member->reader_rank - own_rank);
	}
}

static void count_before(const struct state *state, struct survey *survey,
			 const struct member *member)
{
	bool own_domain = is_in_own_domain(state, member);

	if (reports_to_read(member)) {
		survey->readers_before++;
		survey->domain_readers_before += own_domain;
		return;
	}
	survey->domain_lost_before += own_domain &&
				      member->listed.self_report.platform ==
					      PLATFORM_CONTACT_LOST;
}

static void add_domain(struct survey *survey, const struct name *domain)
{
	uint32_t i;

	for (i = 0; i < survey->domain_count; i++) {
		if (name_equal(survey->domains[i], domain))
			return;
	}
	if (survey->domain_count < READERS_MIN)
		survey->domains[survey->domain_count++] = domain;
}

static uint32_t readers_per_domain(const struct survey *survey)
{
	return (READERS_MIN + survey->domain_count - 1) / survey->domain_count;
}

/* Inserts in order; the farthest of too many is left out. */
static void insert_near(struct near *near, const struct member *member,
			uint64_t distance)
{
	uint32_t at = near->count;

	if (near->count < READERS_SUCCESSORS_MAX)
		near->count++;
	else if (near->distances[--at] <= distance)
		return;
	for (; at > 0 && near->distances[at - 1] > distance; at--) {
		near->members[at] = near->members[at - 1];
		near->distances[at] = near->distances[at - 1];
	}
	near->members[at] = member;
	near->distances[at] = distance;
}

static bool is_live(const struct member *member)
{
	if (!member->in_list)
		return false;
	switch (member->status) {
	case MEMBER_ALIVE:
	case MEMBER_SUSPECT:
		return true;
	case MEMBER_DEAD:
	case MEMBER_LEAVING:
		break;
	}
	return false;
}

static bool is_in_own_domain(const struct state *state,
			     const struct member *member)
{
	return name_equal(&member->listed.domain,
			  &state->membership.self.domain);
}

/*
 * Whether a live instance may be taken to do its part of reading; only its
 * successors ask more of it.
 */
static bool reports_to_read(const struct member *member)
{
	if (member->status != MEMBER_ALIVE)
		return false;
	switch (member->listed.self_report.platform) {
	case PLATFORM_CONTACT_NONE:
	case PLATFORM_CONTACT_READING:
		return true;
	case PLATFORM_CONTACT_LOST:
	case PLATFORM_CONTACT_BACKOFF:
		break;
	}
	return false;
}

static bool is_heard(const struct state *state, const struct member *member,
		     struct instant now)
{
	return now.mono_us <= member->reading_until_us ||
	       now.mono_us <= state->membership.reader.judge_after_us;
}
