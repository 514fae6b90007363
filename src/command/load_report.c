#include "command/load_report.h"

#include "query/backend_load.h"

/* The mean load changes by 1 / 8 of the difference to a new report. */
#define MEAN_DIVISOR 8

static uint32_t others_permille(const struct backend *backend,
				const struct load_notice *report);
static void update_mean(struct service *service, uint32_t load_permille);

void load_report_observe(const struct state *state, struct service *service,
			 struct backend *backend,
			 const struct evidence *evidence, struct instant now)
{
	uint64_t received_us = evidence->load.received_us;
	uint32_t load_permille;

	if (state->settings->headers.load[0] == '\0')
		return;
	if (evidence_overloaded(evidence)) {
		load_permille = BACKEND_LOAD_MAX_PERMILLE;
		received_us = now.mono_us;
	} else if (evidence->load.given) {
		load_permille = others_permille(backend, &evidence->load);
	} else {
		return;
	}
	service->counters.load_reports++;
	/* The end of a long answer comes after later reports. */
	if (received_us + BACKEND_LOAD_KEPT_US < backend->load.expires_us)
		return;
	backend->load.others_permille = load_permille;
	backend->load.expires_us = received_us + BACKEND_LOAD_KEPT_US;
	update_mean(service, load_permille);
}

/* Load without the requests of this instance, which the choice counts itself. */
static uint32_t others_permille(const struct backend *backend,
				const struct load_notice *report)
{
	uint64_t requests =
		(uint64_t)report->running_requests + report->waiting_requests;

	if (requests <= backend->in_use_slots)
		return 0;
	requests -= backend->in_use_slots;
	return (uint32_t)MIN(requests * PERMILLE_ONE / report->slots,
			     BACKEND_LOAD_MAX_PERMILLE);
}

/*
 * Beyond all slots a report does not raise the mean further, so that a backend
 * server without a report never ranks behind every one that has a free slot.
 */
static void update_mean(struct service *service, uint32_t load_permille)
{
	int32_t difference_permille =
		(int32_t)MIN(load_permille, PERMILLE_ONE) -
		(int32_t)service->load_mean_permille;

	service->load_mean_permille =
		(uint32_t)((int32_t)service->load_mean_permille +
			   difference_permille / MEAN_DIVISOR);
}
