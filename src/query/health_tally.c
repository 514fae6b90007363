#include "query/health_tally.h"

#include <string.h>

#include "query/health.h"

/* Time covered by tally_recent(). */
#define RECENT_US (1000 * US_PER_MS)

static bool view_claims(const struct health_view *view, enum view_claim claim);
static uint32_t add_domain(uint64_t *domains, uint32_t count, uint64_t domain);

uint32_t tally_total(const struct tally *tally)
{
	return tally->ok_requests + tally->failed_requests +
	       tally->slow_requests;
}

struct tally tally_own(const struct backend *backend, struct instant now)
{
	struct health_bucket window = health_window(backend, now);
	struct tally tally = {
		.ok_requests = window.ok_requests,
		.failed_requests = window.failed_requests,
		.slow_requests = window.slow_requests,
	};

	return tally;
}

struct tally tally_recent(const struct backend *backend, struct instant now)
{
	const struct health *health = &backend->health;
	struct tally tally = { .slow_requests = health->overdue_requests };
	uint32_t i;

	for (i = 0; i < HEALTH_BUCKETS; i++) {
		if (health->buckets[i].begins_us + RECENT_US <= now.mono_us)
			continue;
		tally.ok_requests += health->buckets[i].ok_requests;
		tally.failed_requests += health->buckets[i].failed_requests;
		tally.slow_requests += health->buckets[i].slow_requests;
	}
	return tally;
}

struct tally tally_peers(const struct backend *backend, struct instant now)
{
	const struct health_view *view;
	struct tally tally = { 0 };
	uint32_t i;

	for (i = 0; i < HOMES_MAX; i++) {
		view = &backend->health.views[i];
		if (view_fresh(view, now))
			tally = tally_add(tally, tally_view(view));
	}
	return tally;
}

struct tally tally_add(struct tally a, struct tally b)
{
	struct tally sum = {
		.ok_requests = a.ok_requests + b.ok_requests,
		.failed_requests = a.failed_requests + b.failed_requests,
		.slow_requests = a.slow_requests + b.slow_requests,
	};

	return sum;
}

struct tally tally_outside_domain(const struct state *state,
				  const struct backend *backend,
				  uint64_t excluded_hash, struct instant now)
{
	const struct health_view *view;
	struct tally tally = { 0 };
	uint32_t i;

	if (domain_hash(&state->settings->domain) != excluded_hash)
		tally = tally_own(backend, now);
	for (i = 0; i < HOMES_MAX; i++) {
		view = &backend->health.views[i];
		if (view_fresh(view, now) && view->domain_hash != excluded_hash)
			tally = tally_add(tally, tally_view(view));
	}
	return tally;
}

struct tally tally_other_backends(const struct service *service,
				  const struct backend *backend,
				  struct instant now)
{
	const struct backend *other;
	struct tally tally = { 0 };
	uint32_t i;

	for (i = 0; i < service->backend_count; i++) {
		other = &service->backends[i];
		if (other == backend || other->health.ejected ||
		    other->health.path_failed || backend_cold(other, now))
			continue;
		tally = tally_add(tally, tally_own(other, now));
	}
	return tally;
}

uint32_t domains_with_evidence(const struct state *state,
			       const struct backend *backend,
			       struct instant now, uint64_t out[HOMES_MAX + 1])
{
	const struct health_view *view;
	struct tally tally = tally_own(backend, now);
	uint32_t count = 0;
	uint32_t i;

	if (tally_total(&tally) >= EVIDENCE_REQUESTS_MIN)
		out[count++] = domain_hash(&state->settings->domain);
	for (i = 0; i < HOMES_MAX; i++) {
		view = &backend->health.views[i];
		if (!view_fresh(view, now))
			continue;
		tally = tally_view(view);
		if (tally_total(&tally) >= EVIDENCE_REQUESTS_MIN)
			count = add_domain(out, count, view->domain_hash);
	}
	return count;
}

uint64_t domain_hash(const struct name *domain)
{
	return hash_bytes(domain->text, strlen(domain->text), 0);
}

bool view_fresh(const struct health_view *view, struct instant now)
{
	return view->home.port != 0 && now.mono_us < view->fresh_until_us;
}

bool any_view_claims(const struct backend *backend, enum view_claim claim,
		     struct instant now)
{
	const struct health_view *view;
	uint32_t i;

	for (i = 0; i < HOMES_MAX; i++) {
		view = &backend->health.views[i];
		if (view_claims(view, claim) && view_fresh(view, now))
			return true;
	}
	return false;
}

static bool view_claims(const struct health_view *view, enum view_claim claim)
{
	switch (claim) {
	case VIEW_EJECTED:
		return view->ejected;
	case VIEW_CHARGED:
		return view->charged;
	case VIEW_DRAINING:
		return view->draining;
	case VIEW_COLD:
		return view->cold;
	case VIEW_AVOIDED:
		return view->avoided;
	}
	return false;
}

struct tally tally_view(const struct health_view *view)
{
	struct tally tally = {
		.ok_requests = view->ok_requests,
		.failed_requests = view->failed_requests,
		.slow_requests = view->slow_requests,
	};

	return tally;
}

static uint32_t add_domain(uint64_t *domains, uint32_t count, uint64_t domain)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (domains[i] == domain)
			return count;
	}
	domains[count] = domain;
	return count + 1;
}
