#ifndef DUTY_DISPATCH_H
#define DUTY_DISPATCH_H

/**
 * DOC: dispatch duty: owns the routing state
 *
 * Takes one message at a time, lets the decisions judge it and hands each
 * event to the duty that carries it out. It never waits for another duty.
 */

#include "core/error.h"
#include "core/state.h"
#include "duty/audit.h"
#include "duty/config.h"
#include "duty/exchange.h"
#include "duty/peer_pull.h"
#include "duty/peer_send.h"
#include "duty/probe.h"

/* Requests and messages that may wait for the dispatch thread. */
#define DISPATCH_RING_CAPACITY_MESSAGES 4096
/*
 * Room kept for ends of exchanges, cancellations and stops; the exchange duty keeps
 * what finds none and tries again.
 */
#define DISPATCH_RING_RESERVED_MESSAGES 2048

struct dispatch_duty;

/**
 * struct dispatch_links - whom the events go to
 * @exchange: grants and cancellations
 * @audit: audit records
 * @config: role
 * @probe: plan
 * @peer_send: datagrams
 * @peer_pull: pulls
 * @left: ring of struct instant, gets one when a planned stop is done
 */
struct dispatch_links {
	struct exchange_duty *exchange;
	struct audit_duty *audit;
	struct config_duty *config;
	struct probe_duty *probe;
	struct peer_send_duty *peer_send;
	struct peer_pull_duty *peer_pull;
	struct ring *left;
};

/**
 * dispatch_start() - start the duty's thread
 * @settings: must outlive the duty
 * @ring: ring of struct message, must outlive the duty
 * @links: copied
 * @error: DUTY_ERROR on failure
 *
 * Return: the duty, to be ended with dispatch_stop(), or NULL.
 */
struct dispatch_duty *dispatch_start(const struct settings *settings,
				     struct ring *ring,
				     const struct dispatch_links *links,
				     GError **error);

/**
 * dispatch_stop() - close the ring, let the thread end, free the duty
 * @duty: the duty, or NULL
 */
void dispatch_stop(struct dispatch_duty *duty);

#endif
