#include "command/withdraw.h"

#include "command/health.h"
#include "command/member.h"
#include "query/health.h"

/* Duration of a withdrawal, doubled with each further one in a row. */
#define WITHDRAWN_US (10 * US_PER_S)
#define WITHDRAWN_DOUBLINGS_MAX 3
/*
 * A withdrawal that begins at least this time after the end of the last one has
 * the shortest duration again.
 */
#define WITHDRAWALS_RESET_US (30 * US_PER_S)

static const struct service *isolated_service(const struct state *state,
					      struct instant now);
static bool majority_withdrawn(const struct state *state);
static void withdraw(struct state *state, const struct service *service,
		     struct instant now, struct event_list *out);
static void rejoin(struct state *state, struct instant now,
		   struct event_list *out);
static void announce_change(struct state *state, enum audit_kind kind,
			    const struct service *service, struct instant now,
			    struct event_list *out);

void withdraw_tick(struct state *state, struct instant now,
		   struct event_list *out)
{
	const struct membership *membership = &state->membership;
	const struct service *service;

	if (state->leaving)
		return;
	if (membership->self.self_report.aside) {
		if (now.mono_us >= membership->withdrawn_until_us)
			rejoin(state, now, out);
		return;
	}
	service = isolated_service(state, now);
	if (service && !majority_withdrawn(state))
		withdraw(state, service, now, out);
}

/*
 * Return: a service of which this instance is a home that cannot reach most
 * backend servers, or NULL.
 */
static const struct service *isolated_service(const struct state *state,
					      struct instant now)
{
	const struct service *service;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, state->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		service = value;
		if (service->self_home < service->home_count &&
		    service_self_isolated(service, now))
			return service;
	}
	return NULL;
}

/*
 * Whether more than half of the instances alive would be withdrawn if this one
 * withdrew as well. The failure is then not one of this instance's paths alone.
 */
static bool majority_withdrawn(const struct state *state)
{
	const GArray *members = state->membership.members;
	const struct member *member;
	uint32_t alive = 0;
	uint32_t withdrawn = 0;
	guint i;

	for (i = 0; i < members->len; i++) {
		member = &g_array_index(members, struct member, i);
		if (member->status != MEMBER_ALIVE)
			continue;
		alive++;
		withdrawn += member->listed.self_report.aside;
	}
	return 2 * (withdrawn + 1) > alive + 1;
}

static void withdraw(struct state *state, const struct service *service,
		     struct instant now, struct event_list *out)
{
	struct membership *membership = &state->membership;
	uint32_t doublings;

	if (now.mono_us >=
	    membership->withdrawn_until_us + WITHDRAWALS_RESET_US)
		membership->withdrawal_count = 0;
	doublings = MIN(membership->withdrawal_count, WITHDRAWN_DOUBLINGS_MAX);
	membership->withdrawal_count++;
	membership->withdrawn_until_us =
		now.mono_us + (WITHDRAWN_US << doublings);
	membership->self.self_report.aside = true;
	announce_change(state, AUDIT_STEPPED_BACK, service, now, out);
}

static void rejoin(struct state *state, struct instant now,
		   struct event_list *out)
{
	GHashTableIter iter;
	gpointer value;

	state->membership.self.self_report.aside = false;
	g_hash_table_iter_init(&iter, state->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		health_clear_unreachable(state, value, now, out);
	announce_change(state, AUDIT_STEPPED_IN, NULL, now, out);
}

static void announce_change(struct state *state, enum audit_kind kind,
			    const struct service *service, struct instant now,
			    struct event_list *out)
{
	struct audit_record record = { .kind = kind, .cause = CAUSE_PATH };

	state->homes_dirty = true;
	if (state->membership.incarnation < UINT32_MAX)
		state->membership.incarnation++;
	if (service)
		record.service = service->doc->service;
	record.subject = state->membership.self.peer;
	state_audit(state, &record, now, out);
	member_announce_self(state, now, out);
}
