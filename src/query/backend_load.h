#ifndef QUERY_BACKEND_LOAD_H
#define QUERY_BACKEND_LOAD_H

/**
 * DOC: load of a backend server that other instances cause
 *
 * The settings name the field of an answer in which a backend server reports
 * its load. Without this setting nothing is reported and all loads are 0.
 */

#include "core/state.h"

/* Age of a report without weight: other instances react to load as fast. */
#define BACKEND_LOAD_KEPT_US (300 * US_PER_MS)
/*
 * Load of a backend server that sheds, and the largest that counts: four times
 * the slots, enough for a queue of 16 requests at 6 slots or more.
 */
#define BACKEND_LOAD_MAX_PERMILLE (UINT32_C(4) * PERMILLE_ONE)

/**
 * backend_load_permille() - expected load by requests of other instances
 * @service: service of the backend server
 * @backend: the backend server
 * @now: current time
 *
 * The weight of a report falls linearly to 0 over BACKEND_LOAD_KEPT_US. The rest
 * of the weight goes to the mean of all reports, so that a backend server that
 * falls silent, for instance because it hangs, does not look idle.
 *
 * Return: thousandths of its slots, at most BACKEND_LOAD_MAX_PERMILLE.
 */
uint64_t backend_load_permille(const struct service *service,
			       const struct backend *backend,
			       struct instant now);

#endif
