#ifndef QUERY_SHED_WINDOW_H
#define QUERY_SHED_WINDOW_H

/**
 * DOC: share of a service's work that its backend servers shed
 *
 * While all backend servers of a service are full, further requests would cost
 * them work and gain the callers nothing.
 */

#include "core/state.h"

/**
 * shed_window_active() - whether most arrivals of the last second were shed
 * @service: the service
 * @now: current time
 *
 * Return: true when less than a third was accepted, of at least a few; always
 * false without the setting headers.load, as nothing is counted then.
 */
bool shed_window_active(const struct service *service, struct instant now);

/**
 * shed_window_worthwhile() - arrivals of which a third would be accepted
 * @service: the service
 * @now: current time
 *
 * Return: three times the arrivals of the last second that were not shed.
 */
uint32_t shed_window_worthwhile(const struct service *service,
				struct instant now);

#endif
