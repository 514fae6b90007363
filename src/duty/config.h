#ifndef DUTY_CONFIG_H
#define DUTY_CONFIG_H

/**
 * DOC: config duty: reads documents and the instance list from the platform
 */

#include "core/error.h"
#include "core/event.h"

struct config_duty;

/**
 * config_start() - start the thread of the config duty
 * @settings: must outlive the duty
 * @dispatch: ring of struct message to the dispatch duty, not owned
 * @error: DUTY_ERROR on failure
 *
 * Return: the config duty, to be ended with config_stop(), or NULL.
 */
struct config_duty *config_start(const struct settings *settings,
				 struct ring *dispatch, GError **error);

/**
 * config_stop() - stop the thread of the config duty and free it
 * @duty: config duty, or NULL
 */
void config_stop(struct config_duty *duty);

/**
 * config_send() - set the reader role of this instance
 * @duty: config duty
 * @role: role from now on; decides how often the platform is read
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result config_send(struct config_duty *duty,
			     const struct config_role_event *role);

#endif
