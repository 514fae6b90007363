#ifndef RING_NOTIFY_QUEUE_H
#define RING_NOTIFY_QUEUE_H

/**
 * DOC: notify queue
 *
 * Lets a duty wait for many rings in an event loop. Each ring has a number, its
 * subject. When an item is pushed to a ring that its reader found empty, the
 * subject is queued and the file descriptor of the queue becomes readable.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct notify_queue;

/**
 * notify_queue_new() - create a notify queue
 * @capacity_subjects: number of subjects that it can hold, more than 0
 *
 * Return: a queue to be freed with notify_queue_free(), NULL if no file
 * descriptor is available.
 */
struct notify_queue *notify_queue_new(uint32_t capacity_subjects);

/**
 * notify_queue_free() - free a queue that no open ring refers to
 * @notify: queue to free, or NULL
 */
void notify_queue_free(struct notify_queue *notify);

/**
 * notify_queue_fd() - file descriptor to wait for
 * @notify: notify queue
 *
 * Return: a descriptor that is readable while subjects may be queued.
 */
int32_t notify_queue_fd(const struct notify_queue *notify);

/**
 * notify_queue_push() - queue a subject and wake the reader
 * @notify: notify queue
 * @subject: subject to queue; dropped with a warning if the queue is full
 */
void notify_queue_push(struct notify_queue *notify, uint64_t subject);

/**
 * notify_queue_clear_fd() - reset the file descriptor, to be called before
 *	subjects are popped
 * @notify: notify queue
 */
void notify_queue_clear_fd(struct notify_queue *notify);

/**
 * notify_queue_pop() - take the oldest subject
 * @notify: notify queue
 * @subject: filled on success
 *
 * Return: false if no subject is queued.
 */
bool notify_queue_pop(struct notify_queue *notify, uint64_t *subject);

/**
 * notify_queue_drain() - reset the file descriptor and discard all subjects,
 *	for a queue with a single subject
 * @notify: notify queue
 */
void notify_queue_drain(struct notify_queue *notify);

#endif
