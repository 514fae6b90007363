#include "query/health.h"

#include <string.h>

#include "query/health_bound.h"
#include "query/health_tally.h"

/* Number of slow requests in the evidence window needed to report them. */
#define REPORT_SLOW_REQUESTS_MIN 3

/**
 * enum report_priority - which entries go first when a digest has no room for
 *	all
 * @REPORT_STATE: ejected, charged, draining or cold
 * @REPORT_EVIDENCE: requests of this home failed or were notably slow
 * @REPORT_REPLY: another home suspects the backend server, and this home has
 *	evidence
 * @REPORT_AVOIDED: this home prefers other backend servers
 * @REPORT_NOTHING: nothing to report
 */
enum report_priority {
	REPORT_STATE,
	REPORT_EVIDENCE,
	REPORT_REPLY,
	REPORT_AVOIDED,
	REPORT_NOTHING,
};

static enum report_priority entry_priority(const struct service *service,
					   const struct backend *backend,
					   struct instant now);
static bool has_notable_evidence(const struct service *service,
				 const struct backend *backend,
				 struct instant now);
static bool suspected_by_peer(const struct backend *backend,
			      struct instant now);
static bool observed_draining(const struct backend *backend,
			      struct instant now);
static bool observed_cold(const struct backend *backend, struct instant now);
static void fill_entry(const struct backend *backend,
		       enum report_priority priority, struct instant now,
		       struct digest_entry *entry);

void health_digest(const struct service *service, struct instant now,
		   struct peer_digest *out)
{
	const struct backend *backend;
	enum report_priority priority;
	uint32_t i;

	out->entry_count = 0;
	for (priority = REPORT_STATE; priority < REPORT_NOTHING; priority++) {
		for (i = 0; i < service->backend_count; i++) {
			backend = &service->backends[i];
			if (entry_priority(service, backend, now) != priority)
				continue;
			if (out->entry_count == PEER_DIGEST_ENTRIES_MAX)
				return;
			fill_entry(backend, priority, now,
				   &out->entries[out->entry_count++]);
		}
	}
}

static enum report_priority entry_priority(const struct service *service,
					   const struct backend *backend,
					   struct instant now)
{
	struct tally own = tally_own(backend, now);

	if (backend->health.ejected || backend->health.charged ||
	    observed_draining(backend, now) || observed_cold(backend, now))
		return REPORT_STATE;
	if (has_notable_evidence(service, backend, now))
		return REPORT_EVIDENCE;
	if (tally_total(&own) > 0 && suspected_by_peer(backend, now))
		return REPORT_REPLY;
	if (backend_avoided_locally(backend, now))
		return REPORT_AVOIDED;
	return REPORT_NOTHING;
}

/*
 * Unless the backend server is suspected already, slow requests are reported
 * only when they are a larger share than at the other backend servers:
 * stragglers that occur at all of them are no evidence against one.
 */
static bool has_notable_evidence(const struct service *service,
				 const struct backend *backend,
				 struct instant now)
{
	struct tally own = tally_own(backend, now);
	struct tally others;
	uint32_t all;

	if (own.failed_requests > 0)
		return true;
	if (backend->health.suspected_since_us != 0 && own.slow_requests > 0)
		return true;
	if (own.slow_requests < REPORT_SLOW_REQUESTS_MIN)
		return false;
	others = tally_other_backends(service, backend, now);
	all = MAX(tally_total(&others), 1);
	return share_lower_permille(own.slow_requests, tally_total(&own),
				    BOUND_Z_1_6) >
	       others.slow_requests * PERMILLE_ONE / all;
}

/*
 * Whether another home reports evidence against the backend server. This home
 * then reports its own evidence as well, even if it is good.
 */
static bool suspected_by_peer(const struct backend *backend, struct instant now)
{
	const struct health_view *view;
	uint32_t i;

	for (i = 0; i < HOMES_MAX; i++) {
		view = &backend->health.views[i];
		if (view_fresh(view, now) &&
		    (view->ejected || view->failed_requests > 0 ||
		     view->slow_requests >= REPORT_SLOW_REQUESTS_MIN))
			return true;
	}
	return false;
}

/*
 * Reports only what this home observed itself. Two homes that repeated each
 * other's reports would renew them forever.
 */
static bool observed_draining(const struct backend *backend, struct instant now)
{
	return now.mono_us < backend->drain_seen_until_us;
}

static bool observed_cold(const struct backend *backend, struct instant now)
{
	return backend->cold && now.mono_us < backend->health.cold_until_us;
}

static void fill_entry(const struct backend *backend,
		       enum report_priority priority, struct instant now,
		       struct digest_entry *entry)
{
	struct tally own = { 0 };

	/*
	 * Brief avoidance is a preference and not evidence, so no counts are
	 * sent for it.
	 */
	if (priority != REPORT_AVOIDED)
		own = tally_own(backend, now);
	entry->backend = backend->addr;
	entry->ok_requests = own.ok_requests;
	entry->failed_requests = own.failed_requests;
	entry->slow_requests = own.slow_requests;
	entry->ejected = backend->health.ejected;
	entry->charged = backend->health.charged;
	entry->draining = observed_draining(backend, now);
	entry->cold = observed_cold(backend, now);
	/* A failed path from here does not concern the other homes. */
	entry->avoided = backend_avoided_locally(backend, now) &&
			 !backend_path_failed(backend, now);
}
