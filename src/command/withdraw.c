#include "command/withdraw.h"

#include "command/health.h"
#include "command/member.h"
#include "query/health.h"

/* Doubled each time in a row. */
#define ASIDE_US (10 * US_PER_S)
#define ASIDE_DOUBLINGS_MAX 3
/* Back for so long, it begins with the shortest time again. */
#define ASIDE_FORGOTTEN_US (30 * US_PER_S)

static const struct service *cut_service(const struct state *state,
					 struct instant now);
static bool most_are_aside(const struct state *state);
static void step_aside(struct state *state, const struct service *service,
		       struct instant now, struct event_list *out);
static void come_back(struct state *state, struct instant now,
		      struct event_list *out);
static void tell(struct state *state, enum audit_kind kind,
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
			come_back(state, now, out);
		return;
	}
	service = cut_service(state, now);
	if (service && !most_are_aside(state))
		step_aside(state, service, now, out);
}

static const struct service *cut_service(const struct state *state,
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

/* What most instances see is no trouble of this one alone. */
static bool most_are_aside(const struct state *state)
{
	const GArray *members = state->membership.members;
	const struct member *member;
	uint32_t living = 0;
	uint32_t aside = 0;
	guint i;

	for (i = 0; i < members->len; i++) {
		member = &g_array_index(members, struct member, i);
		if (member->status != MEMBER_ALIVE)
			continue;
		living++;
		aside += member->listed.self_report.aside;
	}
	return 2 * (aside + 1) > living + 1;
}

static void step_aside(struct state *state, const struct service *service,
		       struct instant now, struct event_list *out)
{
	struct membership *membership = &state->membership;
	uint32_t doublings;

	if (now.mono_us >= membership->withdrawn_until_us + ASIDE_FORGOTTEN_US)
		membership->withdrawal_count = 0;
	doublings = MIN(membership->withdrawal_count, ASIDE_DOUBLINGS_MAX);
	membership->withdrawal_count++;
	membership->withdrawn_until_us = now.mono_us + (ASIDE_US << doublings);
	membership->self.self_report.aside = true;
	tell(state, AUDIT_STEPPED_BACK, service, now, out);
}

static void come_back(struct state *state, struct instant now,
		      struct event_list *out)
{
	GHashTableIter iter;
	gpointer value;

	state->membership.self.self_report.aside = false;
	g_hash_table_iter_init(&iter, state->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		health_clear_unreachable(state, value, now, out);
	tell(state, AUDIT_STEPPED_IN, NULL, now, out);
}

static void tell(struct state *state, enum audit_kind kind,
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
