#ifndef COMMAND_SHEDDING_H
#define COMMAND_SHEDDING_H

/**
 * DOC: admission while the backend servers of a service shed most arrivals
 *
 * Takes effect only with the setting headers.load. shed_window_active() tells
 * when; retries stop meanwhile.
 */

#include "core/state.h"

/**
 * shedding_enabled() - whether the settings ask for this module
 * @state: routing state
 *
 * Return: true with the setting headers.load.
 */
bool shedding_enabled(const struct state *state);

/**
 * shedding_observe() - count the arrival of an exchange that has ended
 * @state: routing state
 * @service: service of the exchange
 * @evidence: end of the exchange
 * @now: current time
 */
void shedding_observe(const struct state *state, struct service *service,
		      const struct evidence *evidence, struct instant now);

/**
 * shedding_admits() - whether a new request may be admitted
 * @service: service of the request
 * @now: current time
 *
 * While shed_window_active(), requests are admitted at the rate of
 * shed_window_worthwhile(), and at least at a small rate that shows when the
 * backend servers accept work again. The others are refused before they wait.
 * Counts the request towards that rate, or as refused.
 *
 * Return: false when the request must be refused with REFUSAL_SHED.
 */
bool shedding_admits(struct service *service, struct instant now);

#endif
