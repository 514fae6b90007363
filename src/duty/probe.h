#ifndef DUTY_PROBE_H
#define DUTY_PROBE_H

/**
 * DOC: probe duty: polls the health and load paths of backend servers
 *
 * Each result goes to the dispatch duty as COMMAND_PROBE_RESULT.
 */

#include "core/error.h"
#include "core/event.h"

struct probe_duty;

/**
 * probe_start() - start the thread of the probe duty
 * @settings: must outlive the duty
 * @dispatch: ring of struct message, must outlive the duty
 * @error: DUTY_ERROR on failure
 *
 * Return: the probe duty, to be ended with probe_stop(), or NULL.
 */
struct probe_duty *probe_start(const struct settings *settings,
			       struct ring *dispatch, GError **error);

/**
 * probe_stop() - stop the thread of the probe duty and free it
 * @duty: probe duty, or NULL
 */
void probe_stop(struct probe_duty *duty);

/**
 * probe_send() - replace the list of backend servers to probe
 * @duty: probe duty
 * @plan: taken over on RING_OK, untouched otherwise
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result probe_send(struct probe_duty *duty,
			    const struct probe_plan_event *plan);

#endif
