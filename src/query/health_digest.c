#include "query/health.h"

#include <string.h>

#include "query/health_pool.h"
#include "query/health_verdict.h"

/* Slow answers in a window that are worth telling of. */
#define TOLD_SLOW_REQUESTS 2

/**
 * enum tell - how much an entry matters when there is room for some only
 */
enum tell { TELL_STATE, TELL_EVIDENCE, TELL_ANSWER, TELL_NOTHING };

static enum tell entry_matters(const struct backend *backend,
			       struct instant now);
static bool speaks_against(uint32_t failed_requests, uint32_t slow_requests,
			   uint32_t all_requests);
static bool peers_suspect(const struct backend *backend, struct instant now);
static bool own_draining(const struct backend *backend, struct instant now);
static bool own_cold(const struct backend *backend, struct instant now);
static void entry_fill(const struct backend *backend, struct instant now,
		       struct digest_entry *entry);

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
			if (entry_matters(backend, now) != tell)
				continue;
			if (out->entry_count == PEER_DIGEST_ENTRIES_MAX)
				return;
			entry_fill(backend, now,
				   &out->entries[out->entry_count++]);
		}
	}
}

static enum tell entry_matters(const struct backend *backend,
			       struct instant now)
{
	struct pool own = pool_own(backend, now);
	uint32_t all = pool_all(&own);

	if (backend->health.out || backend->health.charged ||
	    own_draining(backend, now) || own_cold(backend, now))
		return TELL_STATE;
	if (speaks_against(own.failed_requests, own.slow_requests, all))
		return TELL_EVIDENCE;
	if (all > 0 && peers_suspect(backend, now))
		return TELL_ANSWER;
	return TELL_NOTHING;
}

/* Slowness that many requests share is told only when it is a large share. */
static bool speaks_against(uint32_t failed_requests, uint32_t slow_requests,
			   uint32_t all_requests)
{
	return failed_requests > 0 || (slow_requests >= TOLD_SLOW_REQUESTS &&
				       slow_requests * 5 >= all_requests);
}

static bool peers_suspect(const struct backend *backend, struct instant now)
{
	const struct health_view *view;
	uint32_t i;

	for (i = 0; i < HOMES_MAX; i++) {
		view = &backend->health.views[i];
		if (view_fresh(view, now) &&
		    speaks_against(view->failed_requests, view->slow_requests,
				   view->ok_requests + view->failed_requests +
					   view->slow_requests))
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

static void entry_fill(const struct backend *backend, struct instant now,
		       struct digest_entry *entry)
{
	struct pool own = pool_own(backend, now);

	entry->backend = backend->addr;
	entry->ok_requests = own.ok_requests;
	entry->failed_requests = own.failed_requests;
	entry->slow_requests = own.slow_requests;
	entry->ejected = backend->health.out;
	entry->charged = backend->health.charged;
	entry->draining = own_draining(backend, now);
	entry->cold = own_cold(backend, now);
}
