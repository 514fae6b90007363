#include "query/backend_load.h"

/*
 * Up to this mean load a backend server chosen at random nearly always has a
 * free slot. To prefer those with a report of less would only leave others
 * without work that shows their health.
 */
#define SPREAD_MEAN_MAX_PERMILLE (PERMILLE_ONE / 2)

uint64_t backend_load_permille(const struct service *service,
			       const struct backend *backend,
			       struct instant now)
{
	const struct backend_load *load = &backend->load;
	uint64_t mean_permille = service->load_mean_permille;
	uint64_t others_permille = load->others_permille;
	uint64_t left_us;

	if (load->expires_us <= now.mono_us)
		return mean_permille;
	left_us = MIN(load->expires_us - now.mono_us, BACKEND_LOAD_KEPT_US);
	if (mean_permille <= SPREAD_MEAN_MAX_PERMILLE)
		others_permille = MAX(others_permille, mean_permille);
	return (others_permille * left_us +
		mean_permille * (BACKEND_LOAD_KEPT_US - left_us)) /
	       BACKEND_LOAD_KEPT_US;
}
