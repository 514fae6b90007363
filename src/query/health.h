#ifndef QUERY_HEALTH_H
#define QUERY_HEALTH_H

/**
 * DOC: which requests a backend server may get, by its health
 */

#include "core/state.h"

/**
 * backend_open_slots() - slots of this home's share that health lets it use
 * @backend: the backend server
 * @now: current time
 *
 * Return: 0 while ejected, avoided, draining or paused; fewer than the share
 * while suspected, in a trickle or a ramp, or in slow start after a pause; the
 * whole share otherwise.
 */
uint32_t backend_open_slots(const struct backend *backend, struct instant now);

/**
 * backend_draining() - whether a backend server is draining
 * @backend: the backend server
 * @now: current time
 *
 * Return: true when its document, one of its answers, its load report or
 * another home says so.
 */
bool backend_draining(const struct backend *backend, struct instant now);

/**
 * backend_paused() - whether a backend server has asked for a pause
 * @backend: the backend server
 * @now: current time
 *
 * Return: true until the end of the pause that it asked this instance for.
 */
bool backend_paused(const struct backend *backend, struct instant now);

/**
 * backend_closed() - whether a backend server accepts no new request
 * @backend: the backend server
 * @now: current time
 *
 * Return: true while it is draining or paused.
 */
bool backend_closed(const struct backend *backend, struct instant now);

/**
 * service_pause_ends_us() - until when all backend servers are paused
 * @service: the service
 * @now: current time
 *
 * Return: boot time at which the first pause ends; 0 when a backend server that
 * is not draining has no pause, or when all are draining.
 */
uint64_t service_pause_ends_us(const struct service *service,
			       struct instant now);

/**
 * backend_sent_after_close_us() - how long after the close a request was sent
 * @backend: the backend server
 * @evidence: end of an exchange with it
 *
 * Return: microseconds from when this instance learned that the backend server
 * accepts no new work to the send; 0 when the request was sent before that or
 * not at all.
 */
uint64_t backend_sent_after_close_us(const struct backend *backend,
				     const struct evidence *evidence);

/**
 * backend_cold() - whether a backend server is slow because it just started
 * @backend: the backend server
 * @now: current time
 *
 * Return: true when it or another home has reported a cold start, for a limited
 * time, and during the ramp after a cold start.
 */
bool backend_cold(const struct backend *backend, struct instant now);

/**
 * enum caution_level - preference among backend servers in service
 * @CAUTION_NONE: no restriction
 * @CAUTION_TRIAL: no restriction for idempotent requests; others only when no
 *	trusted backend server has a free slot
 * @CAUTION_AVOID: only when no other backend server has a free slot
 */
enum caution_level { CAUTION_NONE, CAUTION_TRIAL, CAUTION_AVOID };

/**
 * backend_caution() - caution level from the latest requests
 * @backend: the backend server
 * @now: current time
 *
 * Caution takes effect well before a verdict can. It only orders the choice and
 * takes no capacity out of service, so the healthy floor does not limit it.
 *
 * Return: CAUTION_AVOID as long as backend_avoided_locally() is true;
 * CAUTION_TRIAL for a time after that, under suspicion, and when another home
 * avoids the backend server or most requests of the other homes failed or were
 * slow; else CAUTION_NONE.
 */
enum caution_level backend_caution(const struct backend *backend,
				   struct instant now);

/**
 * backend_avoided_locally() - whether this home prefers other backend servers
 * @backend: the backend server
 * @now: current time
 *
 * Return: true for a while after one of this home's requests to it failed, and
 * while one takes much longer than usual.
 */
bool backend_avoided_locally(const struct backend *backend, struct instant now);

/**
 * backend_unreachable() - whether the latest connection attempt failed
 * @backend: the backend server
 * @now: current time
 *
 * Return: true until the trial period after the failed attempt ends.
 */
bool backend_unreachable(const struct backend *backend, struct instant now);

/**
 * backend_path_failed() - whether only this instance cannot reach a backend
 *	server
 * @backend: the backend server
 * @now: current time
 *
 * Return: true when a verdict or a failed trial has shown a failed path, until
 * a ramp begins; also while no connection from here succeeds and another home
 * reports successful requests and no failure.
 */
bool backend_path_failed(const struct backend *backend, struct instant now);

/**
 * backend_idempotent_only() - whether a backend server gets idempotent
 *	requests only
 * @backend: the backend server
 *
 * Return: true in HEALTH_TRICKLE.
 */
bool backend_idempotent_only(const struct backend *backend);

/**
 * backend_in_service() - whether a backend server is healthy capacity
 * @backend: the backend server
 * @now: current time
 *
 * Return: false when it is ejected at any home, draining, paused or cold.
 */
bool backend_in_service(const struct backend *backend, struct instant now);

/**
 * service_in_service_slots() - healthy capacity of a service
 * @service: the service
 * @now: current time
 *
 * Return: slots for the whole fleet of the backend servers in service.
 */
uint32_t service_in_service_slots(const struct service *service,
				  struct instant now);

/**
 * service_self_isolated() - whether this instance has lost its network paths
 * @service: the service
 * @now: current time
 *
 * Return: true when more than half of the backend servers cannot be reached
 * from here while other homes use them. If the backend servers are in several
 * failure domains, the unreachable ones must be in at least two.
 */
bool service_self_isolated(const struct service *service, struct instant now);

/**
 * health_digest() - collect this home's evidence for the other homes
 * @service: the service
 * @now: current time
 * @out: gets the entries of the backend servers with something to report; when
 *	there is no room for all, those of ejected, charged, draining or cold
 *	ones go first, then those with evidence against them
 */
void health_digest(const struct service *service, struct instant now,
		   struct peer_digest *out);

/**
 * health_window() - this home's evidence within the evidence window
 * @backend: the backend server
 * @now: current time
 *
 * Return: sums over the buckets of the last 6 s, with begins_us 0; running
 * requests that are overdue count as slow.
 */
struct health_bucket health_window(const struct backend *backend,
				   struct instant now);

#endif
