#ifndef QUERY_IDLE_H
#define QUERY_IDLE_H

/**
 * DOC: backend servers that caution or chance leaves without work
 */

#include "core/state.h"

/**
 * backend_left_idle() - whether a home must give a backend server work again
 * @service: the service
 * @backend: backend server of @service with open slots
 * @now: current time
 *
 * Caution prefers backend servers that worked last. With enough room at these,
 * all others would stay idle however long ago they failed; and with few requests
 * for each, a choice at random leaves some out. So the homes that share the
 * slots of a backend server give it a request in turn. One that goes on failing
 * gets few of them, since no home does so while any avoids it.
 *
 * Return: true when this home owns slots of it, nothing speaks against it now,
 * and it has been without a request of this home for its part of
 * IDLE_MAX_US.
 */
bool backend_left_idle(const struct service *service,
		       const struct backend *backend, struct instant now);

/**
 * backend_idle_since_us() - since when a backend server could have got work
 * @backend: the backend server
 *
 * Return: time of the latest request of this home, or the end of its caution if
 * that is later.
 */
uint64_t backend_idle_since_us(const struct backend *backend);

#endif
