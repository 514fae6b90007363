#include "query/health.h"

#include <string.h>

#include "query/health_bound.h"
#include "query/health_tally.h"

/* Late work in a window that is worth telling of. */
#define TOLD_SLOW_REQUESTS 3

/**
 * enum tell - how much an entry matters when there is room for some only
 */
enum tell {
	TELL_STATE,
	TELL_EVIDENCE,
	TELL_ANSWER,
	TELL_AVOIDED,
	TELL_NOTHING,
};

static enum tell entry_matters(const struct service *service,
			       const struct backend *backend,
			       struct instant now);
static bool worth_telling(const struct service *service,
			  const struct backend *backend, struct instant now);
static bool peers_suspect(const struct backend *backend, struct instant now);
static bool own_draining(const struct backend *backend, struct instant now);
static bool own_cold(const struct backend *backend, struct instant now);
static void entry_fill(const struct backend *backend, enum tell tell,
		       struct instant now, struct digest_entry *entry);

void health_digest(const struct service *service, struct instant now,
		   struct peer_digest *out)
{
	const struct backend *backend;
	enum tell tell;
	uint32_t i;

	out->entry_count = 0;
	for (tell = TELL_STATE; tell < TELL_NOTHING; tell++) {
		for (i = 0; i < service->backend_count; i++) {
			backend = &service->backends[i];
			if (entry_matters(service, backend, now) != tell)
				continue;
			if (out->entry_count == PEER_DIGEST_ENTRIES_MAX)
				return;
			entry_fill(backend, tell, now,
				   &out->entries[out->entry_count++]);
		}
	}
}

static enum tell entry_matters(const struct service *service,
			       const struct backend *backend,
			       struct instant now)
{
	struct tally own = tally_own(backend, now);

	if (backend->health.out || backend->health.charged ||
	    own_draining(backend, now) || own_cold(backend, now))
		return TELL_STATE;
	if (worth_telling(service, backend, now))
		return TELL_EVIDENCE;
	if (tally_total(&own) > 0 && peers_suspect(backend, now))
		return TELL_ANSWER;
	if (backend_avoided_locally(backend, now))
		return TELL_AVOIDED;
	return TELL_NOTHING;
}

/* Lateness that all backend servers share, such as stragglers', is not told. */
static bool worth_telling(const struct service *service,
			  const struct backend *backend, struct instant now)
{
	struct tally own = tally_own(backend, now);
	struct tally others;
	uint32_t all;

	if (own.failed_requests > 0)
		return true;
	if (backend->health.suspected_since_us != 0 && own.slow_requests > 0)
		return true;
	if (own.slow_requests < TOLD_SLOW_REQUESTS)
		return false;
	others = tally_other_backends(service, backend, now);
	all = MAX(tally_total(&others), 1);
	return share_lower_permille(own.slow_requests, tally_total(&own),
				    BOUND_Z_1_6) >
	       others.slow_requests * PERMILLE_ONE / all;
}

/* A home that has nothing against a backend server answers a suspicion. */
static bool peers_suspect(const struct backend *backend, struct instant now)
{
	const struct health_view *view;
	uint32_t i;

	for (i = 0; i < HOMES_MAX; i++) {
		view = &backend->health.views[i];
		if (view_fresh(view, now) &&
		    (view->ejected || view->failed_requests > 0 ||
		     view->slow_requests >= TOLD_SLOW_REQUESTS))
			return true;
	}
	return false;
}

/* Only what was seen here is told, so that no two homes echo each other. */
static bool own_draining(const struct backend *backend, struct instant now)
{
	return now.mono_us < backend->drain_seen_until_us;
}

static bool own_cold(const struct backend *backend, struct instant now)
{
	return backend->cold && now.mono_us < backend->health.cold_until_us;
}

static void entry_fill(const struct backend *backend, enum tell tell,
		       struct instant now, struct digest_entry *entry)
{
	struct tally own = { 0 };

	/* A preference of the moment is no evidence. */
	if (tell != TELL_AVOIDED)
		own = tally_own(backend, now);
	entry->backend = backend->addr;
	entry->ok_requests = own.ok_requests;
	entry->failed_requests = own.failed_requests;
	entry->slow_requests = own.slow_requests;
	entry->ejected = backend->health.out;
	entry->charged = backend->health.charged;
	entry->draining = own_draining(backend, now);
	entry->cold = own_cold(backend, now);
	/* No way from here is nothing that holds elsewhere. */
	entry->avoided = backend_avoided_locally(backend, now) &&
			 !backend_path_failed(backend, now);
}
