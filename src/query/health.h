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
 * backend_paused() - whether it wants no request for a while
 * @backend: the backend server
 * @now: the time
 *
 * Return: true until the end of the pause that it asked this instance for.
 */
bool backend_paused(const struct backend *backend, struct instant now);

/**
 * backend_closed() - whether it must get no request now
 * @backend: the backend server
 * @now: the time
 *
 * Return: true while it drains or has asked for a pause.
 */
bool backend_closed(const struct backend *backend, struct instant now);

/**
 * service_pause_ends_us() - until when no backend server wants a request
 * @service: the service
 * @now: the time
 *
 * Return: when the first pause ends; 0 when any that does not drain has none.
 */
uint64_t service_pause_ends_us(const struct service *service,
			       struct instant now);

/**
 * backend_sent_after_close_us() - how long a request went out too late
 * @backend: the backend server
 * @evidence: end of an exchange with it
 *
 * Return: time from when the backend server was known to want no new work to
 * the send; 0 when it was sent before that or not at all.
 */
uint64_t backend_sent_after_close_us(const struct backend *backend,
				     const struct evidence *evidence);

/**
 * backend_cold() - whether it is starting and slow by right
 * @backend: the backend server
 * @now: the time
 *
 * Return: true by load report, for a bounded time, or on a first ramp.
 */
bool backend_cold(const struct backend *backend, struct instant now);

/**
 * enum caution_level - how gladly a backend server is given work
 * @CAUTION_NONE: like any other
 * @CAUTION_TRIAL: work that may be repeated goes there like anywhere, other work
 *	only when nobody else has room
 * @CAUTION_AVOID: only when nobody else has room
 */
enum caution_level { CAUTION_NONE, CAUTION_TRIAL, CAUTION_AVOID };

/**
 * backend_caution() - what the last work says, long before a verdict
 * @backend: the backend server
 * @now: the time
 *
 * Orders the choice only: it takes nothing out of service, so it needs no part
 * of the floor.
 *
 * Return: the level.
 */
enum caution_level backend_caution(const struct backend *backend,
				   struct instant now);

/**
 * backend_avoided_locally() - whether this home's own work speaks for others
 * @backend: the backend server
 * @now: the time
 *
 * Return: true for a while after failed work and while work hangs.
 */
bool backend_avoided_locally(const struct backend *backend, struct instant now);

/**
 * backend_unreachable() - whether the latest work here found no way to it
 * @backend: the backend server
 * @now: the time
 *
 * Return: false too when that was long ago.
 */
bool backend_unreachable(const struct backend *backend, struct instant now);

/**
 * backend_path_failed() - whether only this instance has no way to it
 * @backend: the backend server
 * @now: the time
 *
 * Return: true when it is not reached from here and another home works with it.
 */
bool backend_path_failed(const struct backend *backend, struct instant now);

/**
 * backend_idempotent_only() - whether it gets idempotent work alone
 * @backend: the backend server
 *
 * Return: true while it is tried with a trickle.
 */
bool backend_idempotent_only(const struct backend *backend);

/**
 * backend_in_service() - whether it counts as healthy capacity
 * @backend: the backend server
 * @now: the time
 *
 * Return: false when it is ejected at any home, draining or cold.
 */
bool backend_in_service(const struct backend *backend, struct instant now);

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
 * service_self_isolated() - whether it is this instance that is cut
 * @service: the service
 * @now: the time
 *
 * Return: true when most backend servers, in two or more failure domains where
 * there are as many, cannot be reached from here while other homes work with
 * them.
 */
bool service_self_isolated(const struct service *service, struct instant now);

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
