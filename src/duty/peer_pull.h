#ifndef DUTY_PEER_PULL_H
#define DUTY_PEER_PULL_H

/**
 * DOC: peer pull duty: fetches documents from other instances over TCP
 */

#include "core/error.h"
#include "core/event.h"

struct peer_pull_duty;

/**
 * peer_pull_start() - start the thread of the peer pull duty
 * @settings: must outlive the duty
 * @dispatch: ring of struct message to the dispatch duty, not owned
 * @error: DUTY_ERROR on failure
 *
 * Return: the peer pull duty, to be ended with peer_pull_stop(), or NULL.
 */
struct peer_pull_duty *peer_pull_start(const struct settings *settings,
				       struct ring *dispatch, GError **error);

/**
 * peer_pull_stop() - stop the thread of the peer pull duty and free it
 * @duty: peer pull duty, or NULL
 */
void peer_pull_stop(struct peer_pull_duty *duty);

/**
 * peer_pull_send() - fetch documents from a peer
 * @duty: peer pull duty
 * @event: the peer and what to fetch; copied
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result peer_pull_send(struct peer_pull_duty *duty,
				const struct config_pull_event *event);

#endif
