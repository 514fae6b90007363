#ifndef DUTY_CONFIG_H
#define DUTY_CONFIG_H

/**
 * DOC: config duty: reads and watches the platform
 */

#include "core/error.h"
#include "core/event.h"

struct config_duty;

/**
 * config_start() - start the duty's thread
 * @settings: must outlive the duty
 * @dispatch: ring of struct message
 * @error: DUTY_ERROR on failure
 *
 * Return: the duty, to be ended with config_stop(), or NULL.
 */
struct config_duty *config_start(const struct settings *settings,
				 struct ring *dispatch, GError **error);

/**
 * config_stop() - end the thread and free the duty
 * @duty: the duty, or NULL
 */
void config_stop(struct config_duty *duty);

/**
 * config_send() - tell the duty whether to watch the platform itself
 * @duty: the duty
 * @role: the role
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result config_send(struct config_duty *duty,
			     const struct config_role_event *role);

#endif
