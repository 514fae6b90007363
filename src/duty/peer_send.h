#ifndef DUTY_PEER_SEND_H
#define DUTY_PEER_SEND_H

/**
 * DOC: peer send duty: sends datagrams to other instances
 */

#include "core/error.h"
#include "core/event.h"

struct peer_send_duty;

/**
 * peer_send_start() - start the thread of the peer send duty
 * @settings: must outlive the duty
 * @dispatch: ring of struct message to the dispatch duty, not owned
 * @error: DUTY_ERROR on failure
 *
 * Return: the peer send duty, to be ended with peer_send_stop(), or NULL.
 */
struct peer_send_duty *peer_send_start(const struct settings *settings,
				       struct ring *dispatch, GError **error);

/**
 * peer_send_stop() - stop the thread of the peer send duty and free it
 * @duty: peer send duty, or NULL
 */
void peer_send_stop(struct peer_send_duty *duty);

/**
 * peer_send_send() - send a datagram
 * @duty: peer send duty
 * @event: the datagram; its message is taken over on RING_OK only
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result peer_send_send(struct peer_send_duty *duty,
				const struct peer_send_event *event);

#endif
