#ifndef RING_NOTIFY_QUEUE_H
#define RING_NOTIFY_QUEUE_H

/**
 * DOC: notice board
 *
 * A duty with one small ring for each of many subjects cannot wait on all of
 * them. Such rings are announced to a board: the first item after the ring was
 * found empty puts the ring's subject there and makes the board's descriptor
 * readable, so that the duty can wait in an event loop.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct notify_queue;

/**
 * notify_queue_new() - make a board
 * @capacity_subjects: how many notices fit, more than 0
 *
 * Return: a board to be freed with notify_queue_free(), NULL when the process
 * has no descriptor left.
 */
struct notify_queue *notify_queue_new(uint32_t capacity_subjects);

/**
 * notify_queue_free() - free a board that no open ring is announced to
 * @notify: the board, or NULL
 */
void notify_queue_free(struct notify_queue *notify);

/**
 * notify_queue_fd() - the descriptor to wait for
 * @notify: the board
 *
 * Return: readable while notices may be there.
 */
int32_t notify_queue_fd(const struct notify_queue *notify);

/**
 * notify_queue_push() - put a subject on the board
 * @notify: the board
 * @subject: the subject
 */
void notify_queue_push(struct notify_queue *notify, uint64_t subject);

/**
 * notify_queue_clear_fd() - make the descriptor unreadable before notices are taken
 * @notify: the board
 */
void notify_queue_clear_fd(struct notify_queue *notify);

/**
 * notify_queue_pop() - take the oldest notice
 * @notify: the board
 * @subject: filled on success
 *
 * Return: false when there is none.
 */
bool notify_queue_pop(struct notify_queue *notify, uint64_t *subject);

/**
 * notify_queue_drain() - take all notices, where it is known whom they are for
 * @notify: the board
 */
void notify_queue_drain(struct notify_queue *notify);

#endif
