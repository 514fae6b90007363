#include "command/tick.h"

#include "command/admit.h"
#include "command/withdraw.h"
#include "command/health.h"
#include "command/home.h"
#include "command/leave.h"
#include "command/lease.h"
#include "command/member.h"
#include "command/try_timeout.h"
#include "command/quota.h"
#include "command/recall.h"
#include "command/schedule.h"
#include "command/start_gossip.h"

static void tick_service(struct state *state, struct service *service,
			 struct instant now, struct event_list *out);

void tick(struct state *state, struct instant now, struct event_list *out)
{
	GHashTableIter iter;
	gpointer value;

	member_tick(state, now, out);
	withdraw_tick(state, now, out);
	if (state->homes_dirty)
		home_refresh(state, now, out);
	if (state->probes_dirty)
		home_plan_probes(state, now, out);
	g_hash_table_iter_init(&iter, state->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		tick_service(state, value, now, out);
	start_gossip_tick(state, now, out);
	try_timeout_tick(state, now, out);
	quota_tick(state, now, out);
	leave_tick(state, now, out);
}

static void tick_service(struct state *state, struct service *service,
			 struct instant now, struct event_list *out)
{
	bool home = service->self_home < service->home_count;

	/*
	 * This instance is no home of most services and has no request for
	 * them.
	 */
	if (!home && service->waiting_requests == 0 &&
	    service->running_requests == 0 && !service->overload)
		return;
	home_tick(state, service, now, out);
	lease_tick(state, service, now, out);
	health_tick(state, service, now, out);
	/* A drain may have become known by a digest since the grant. */
	recall_unsent(state, service, now, out);
	overload_tick(state, service, now, out);
	schedule_run(state, service, now, out);
}
