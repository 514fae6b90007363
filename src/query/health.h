#ifndef QUERY_HEALTH_H
#define QUERY_HEALTH_H

/**
 * DOC: what health allows
 */

#include "core/state.h"

/**
 * backend_open_slots() - slots of a home's share that health lets it use
 * @backend: the backend server
 * @now: the time
 *
 * Return: 0 while ejected, avoided or draining; all when in service.
 */
uint32_t backend_open_slots(const struct backend *backend, struct instant now);

/**
 * backend_draining() - whether it shall get no new work
 * @backend: the backend server
 * @now: the time
 *
 * Return: true by document, drain answer or load report.
 */
bool backend_draining(const struct backend *backend, struct instant now);

/**
 * backend_idempotent_only() - whether it gets idempotent work alone
 * @backend: the backend server
 *
 * Return: true while it is tried with a trickle.
 */
bool backend_idempotent_only(const struct backend *backend);

/**
 * service_in_service_slots() - capacity ejected nowhere, not draining nor cold
 * @service: the service
 * @now: the time
 *
 * Return: slots of the whole fleet.
 */
uint32_t service_in_service_slots(const struct service *service,
				  struct instant now);

/**
 * health_digest() - write this home's evidence for the others
 * @service: the service
 * @now: the time
 * @out: entries of backend servers with something to tell
 */
void health_digest(const struct service *service, struct instant now,
		   struct peer_digest *out);

/**
 * health_window() - own evidence in the window
 * @backend: the backend server
 * @now: the time
 *
 * Return: the sums, with begins_us 0.
 */
struct health_bucket health_window(const struct backend *backend,
				   struct instant now);

#endif
