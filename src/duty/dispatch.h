#ifndef DUTY_DISPATCH_H
#define DUTY_DISPATCH_H

/**
 * DOC: dispatch duty: owns the routing state
 *
 * Takes one message at a time, applies it to the state and sends each
 * resulting event to the duty that carries it out. It never waits for another
 * duty.
 */

#include "core/error.h"
#include "core/state.h"
#include "duty/audit.h"
#include "duty/config.h"
#include "duty/exchange.h"
#include "duty/peer_pull.h"
#include "duty/peer_send.h"
#include "duty/probe.h"

/* Messages that may wait for the dispatch duty, without the reserved ones. */
#define DISPATCH_RING_CAPACITY_MESSAGES 4096
/*
 * Capacity reserved for ends of exchanges, cancellations and stops. Commands
 * that find the ring full even so are kept by the exchange duty, which tries
 * again.
 */
#define DISPATCH_RING_RESERVED_MESSAGES 2048

struct dispatch_duty;

/**
 * struct dispatch_links - duties that carry out the events, not owned
 * @exchange: gets grants, recalls and cancellations
 * @audit: gets audit and trace records
 * @config: gets this instance's reader role
 * @probe: gets the backend servers to probe
 * @peer_send: gets datagrams for peers
 * @peer_pull: gets documents to fetch from peers
 * @left: ring of struct left_event, gets one when a planned stop is done
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
 * dispatch_start() - start the thread of the dispatch duty
 * @settings: must outlive the duty
 * @ring: ring of struct message, must outlive the duty
 * @links: copied
 * @error: DUTY_ERROR on failure
 *
 * Return: the dispatch duty, to be ended with dispatch_stop(), or NULL.
 */
struct dispatch_duty *dispatch_start(const struct settings *settings,
				     struct ring *ring,
				     const struct dispatch_links *links,
				     GError **error);

/**
 * dispatch_stop() - close the ring, wait for the thread and free the
 *	dispatch duty
 * @duty: dispatch duty, or NULL
 */
void dispatch_stop(struct dispatch_duty *duty);

#endif
