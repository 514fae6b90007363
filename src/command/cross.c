#include "command/cross.h"

#include "query/crossing.h"

/*
 * A crossing has ended when it was not needed for this time. A burst and the
 * pause before the next one are then recorded as one crossing.
 */
#define CROSSING_HOLD_US (5 * US_PER_S)
/*
 * Time between two decisions while the own domain has free slots. A decision
 * looks at all backend servers and at what each home reports about them, which
 * is not needed for each request then.
 */
#define DECIDE_INTERVAL_US (50 * US_PER_MS)
/*
 * Time for which cross_open() lets requests use other domains regardless of
 * the cost.
 */
#define OPEN_US US_PER_S
/* Moving averages change by 1 / 8 of the difference to a new value. */
#define MEAN_DIVISOR 8

static uint32_t find_domain(struct crossing *crossing, const struct name *name);
static bool still_needed(const struct crossing *crossing,
			 const struct crossing_facts *facts);
static void audit_change(struct state *state, const struct service *service,
			 enum audit_kind kind, enum crossing_reason reason,
			 struct instant now, struct event_list *out);
static enum audit_cause cause_of(enum crossing_reason reason);
static enum crossing_reason count_reason(const struct crossing *crossing,
					 const struct ticket *ticket);
static uint64_t update_mean(uint64_t mean, uint64_t value);

void cross_assign(const struct state *state, struct service *service,
		  struct backend *backend)
{
	backend->crossing_domain = CROSSING_DOMAIN_NONE;
	if (!crossing_enabled(state) || !backend->in_other_domain ||
	    name_equal(&backend->domain, &state->settings->domain))
		return;
	backend->crossing_domain =
		find_domain(&service->crossing, &backend->domain);
}

void cross_update(struct state *state, struct service *service,
		  struct instant now, struct event_list *out)
{
	struct crossing *crossing = &service->crossing;
	enum crossing_reason previous = crossing->reason;
	struct crossing_facts facts;
	uint32_t i;

	if (!crossing_enabled(state) || crossing->domain_count == 0 ||
	    (service->waiting_requests == 0 && previous == CROSSING_NONE))
		return;
	if (previous == CROSSING_NONE && now.mono_us < crossing->decide_us &&
	    crossing_own_serves(service, now))
		return;
	crossing->decide_us = now.mono_us + DECIDE_INTERVAL_US;
	crossing_collect(state, service, now, &facts);
	crossing_decide(&facts, &crossing->plan);
	for (i = 0; i < crossing->domain_count; i++)
		crossing->domains[i].part_requests =
			crossing->plan.part_requests[i];
	if (crossing->plan.reason != CROSSING_NONE)
		crossing->reason = crossing->plan.reason;
	if (crossing->reason == CROSSING_NONE)
		return;
	if (still_needed(crossing, &facts))
		crossing->ends_us = now.mono_us + CROSSING_HOLD_US;
	if (previous == CROSSING_NONE)
		audit_change(state, service, AUDIT_CROSSING_BEGUN,
			     crossing->reason, now, out);
	if (now.mono_us < crossing->ends_us)
		return;
	audit_change(state, service, AUDIT_CROSSING_ENDED, crossing->reason,
		     now, out);
	crossing->reason = CROSSING_NONE;
}

bool cross_open(const struct state *state, struct service *service,
		struct instant now)
{
	struct crossing *crossing = &service->crossing;
	bool was_open = now.mono_us < crossing->open_until_us;

	if (!crossing_enabled(state) || crossing->domain_count == 0)
		return false;
	crossing->open_until_us = now.mono_us + OPEN_US;
	return !was_open;
}

void cross_begin(const struct state *state, struct service *service,
		 struct ticket *ticket)
{
	const struct backend *backend =
		&service->backends[ticket->backend_index];
	struct crossing *crossing = &service->crossing;
	struct crossing_domain *domain;

	if (!crossing_enabled(state))
		return;
	ticket->across = crossing_is_across(service, backend);
	crossing->crossed_permille = (uint32_t)update_mean(
		crossing->crossed_permille, ticket->across ? PERMILLE_ONE : 0);
	if (!ticket->across)
		return;
	ticket->crossing_domain = backend->crossing_domain;
	domain = &crossing->domains[ticket->crossing_domain];
	domain->running_requests++;
	domain->requests[count_reason(crossing, ticket)]++;
}

void cross_end(struct service *service, struct ticket *ticket)
{
	if (ticket->across)
		service->crossing.domains[ticket->crossing_domain]
			.running_requests--;
	ticket->across = false;
}

void cross_observe(struct service *service, const struct evidence *evidence,
		   uint64_t slot_us)
{
	struct crossing *crossing = &service->crossing;

	if (!evidence_failed(evidence))
		return;
	crossing->failed_us = crossing->failed_us == 0 ?
				      slot_us :
				      update_mean(crossing->failed_us, slot_us);
}

/*
 * Return: index of the domain, which is added if it is new. Domains beyond
 * CROSSING_DOMAINS_MAX share the last entry.
 */
static uint32_t find_domain(struct crossing *crossing, const struct name *name)
{
	uint32_t i;

	for (i = 0; i < crossing->domain_count; i++) {
		if (name_equal(&crossing->domains[i].name, name))
			return i;
	}
	if (i == CROSSING_DOMAINS_MAX)
		return CROSSING_DOMAINS_MAX - 1;
	crossing->domains[i].name = *name;
	crossing->domain_count++;
	return i;
}

/*
 * A crossing is needed while what runs elsewhere would not find a free slot in
 * the own domain. The own queue may be short then only because of the crossing.
 */
static bool still_needed(const struct crossing *crossing,
			 const struct crossing_facts *facts)
{
	uint32_t requests = facts->waiting_requests;
	uint32_t i;

	for (i = 0; i < crossing->domain_count; i++)
		requests += crossing->domains[i].running_requests;
	return crossing->plan.reason != CROSSING_NONE ||
	       requests > facts->free_slots;
}

static void audit_change(struct state *state, const struct service *service,
			 enum audit_kind kind, enum crossing_reason reason,
			 struct instant now, struct event_list *out)
{
	const struct crossing *crossing = &service->crossing;
	struct audit_record record = {
		.kind = kind,
		.cause = cause_of(reason),
		.service = service->doc->service,
		.detail_kind = AUDIT_DETAIL_CROSSING,
	};
	uint32_t i;

	record.crossing.queue_requests = service->waiting_requests;
	record.crossing.here_ms = crossing->plan.here_us / US_PER_MS;
	record.crossing.there_ms = crossing->plan.there_us / US_PER_MS;
	for (i = 0; i < crossing->domain_count; i++)
		record.crossing.part_requests +=
			crossing->domains[i].part_requests;
	state_audit(state, &record, now, out);
}

static enum audit_cause cause_of(enum crossing_reason reason)
{
	switch (reason) {
	case CROSSING_NO_SERVER:
		return CAUSE_NO_SERVER;
	case CROSSING_UNHEALTHY:
		return CAUSE_UNHEALTHY;
	case CROSSING_WAITING:
		return CAUSE_WAITING;
	case CROSSING_NONE:
	case CROSSING_REASON_COUNT:
		return CAUSE_NONE;
	}
	return CAUSE_NONE;
}

/*
 * A retry crosses without a crossing in progress, since a try in the own domain
 * has failed.
 */
static enum crossing_reason count_reason(const struct crossing *crossing,
					 const struct ticket *ticket)
{
	if (crossing->plan.reason != CROSSING_NONE)
		return crossing->plan.reason;
	return ticket->tried_count > 0 ? CROSSING_UNHEALTHY : CROSSING_WAITING;
}

static uint64_t update_mean(uint64_t mean, uint64_t value)
{
	int64_t difference = (int64_t)value - (int64_t)mean;

	return (uint64_t)((int64_t)mean + difference / MEAN_DIVISOR);
}
