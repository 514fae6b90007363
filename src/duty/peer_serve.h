#ifndef DUTY_PEER_SERVE_H
#define DUTY_PEER_SERVE_H

/**
 * DOC: peer serve duty: receives datagrams and serves pulls of other instances
 */

#include "core/error.h"
#include "core/event.h"

struct peer_serve_duty;

/**
 * peer_serve_start() - start the thread of the peer serve duty
 * @settings: must outlive the duty
 * @dispatch: ring of struct message to the dispatch duty, not owned
 * @error: DUTY_ERROR on failure
 *
 * Return: the peer serve duty, to be ended with peer_serve_stop(), or NULL.
 */
struct peer_serve_duty *peer_serve_start(const struct settings *settings,
					 struct ring *dispatch, GError **error);

/**
 * peer_serve_stop() - stop the thread of the peer serve duty and free it
 * @duty: peer serve duty, or NULL
 */
void peer_serve_stop(struct peer_serve_duty *duty);

#endif
