#ifndef RING_RING_H
#define RING_RING_H

/**
 * DOC: bounded ring
 *
 * Passes items by value from one duty to another. A push to a full ring fails
 * at once; a pop waits on a condition variable until there is an item, the
 * deadline has passed or the ring is closed. Part of the capacity may be
 * reserved for items that must not be lost. Urgent items have a capacity of
 * their own and are popped before all others.
 */

#include <glib.h>

#include "core/units.h"
#include "ring/notify_queue.h"

struct ring;

/**
 * enum ring_result - result of a ring operation
 * @RING_OK: the item was pushed or popped
 * @RING_FULL: the ring is full; nothing was pushed
 * @RING_TIMEOUT: the deadline passed without an item
 * @RING_CLOSED: the ring is closed and, for a pop, empty
 */
enum ring_result { RING_OK, RING_FULL, RING_TIMEOUT, RING_CLOSED };

/**
 * ring_new() - create a ring
 * @item_bytes: size of one item, more than 0
 * @capacity_items: number of items it can hold, more than @reserved_items
 * @reserved_items: part of the capacity that only ring_push_reserved() may use
 *
 * Return: a ring to be freed with ring_free().
 */
struct ring *ring_new(uint32_t item_bytes, uint32_t capacity_items,
		      uint32_t reserved_items);

/**
 * ring_free() - free a ring that no thread uses any more
 * @ring: ring to free, or NULL
 */
void ring_free(struct ring *ring);

/**
 * ring_add_urgent() - add capacity for urgent items
 * @ring: ring that is not shared between threads yet
 * @capacity_items: number of urgent items it can hold, more than 0
 */
void ring_add_urgent(struct ring *ring, uint32_t capacity_items);

/**
 * ring_set_notify_queue() - notify a queue when the ring has items
 * @ring: ring that is not shared between threads yet
 * @notify: queue to notify, must not be freed before the ring is closed
 * @subject: subject that identifies the ring in the queue
 *
 * The subject is queued at most once at a time; the next push queues it again
 * only after ring_pop() has found the ring empty.
 */
void ring_set_notify_queue(struct ring *ring, struct notify_queue *notify,
			   uint64_t subject);

/**
 * ring_push() - append an item without waiting
 * @ring: ring to append to
 * @item: item to copy into the ring
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result ring_push(struct ring *ring, const void *item);

/**
 * ring_push_reserved() - append an item that may use the reserved capacity
 * @ring: ring to append to
 * @item: item to copy into the ring
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result ring_push_reserved(struct ring *ring, const void *item);

/**
 * ring_push_urgent() - append an urgent item
 * @ring: ring to append to
 * @item: item to copy into the ring
 *
 * Return: RING_OK, RING_FULL, also if the ring has no capacity for urgent
 * items, or RING_CLOSED.
 */
enum ring_result ring_push_urgent(struct ring *ring, const void *item);

/**
 * ring_pop() - take the oldest urgent item, or the oldest item if none is
 *	urgent
 * @ring: ring to take from
 * @item: filled on RING_OK
 * @deadline_us: boot-time deadline; 0 does not wait, and one more than a day
 *	ahead, DEADLINE_NONE_US included, counts as one day
 *
 * Return: RING_OK, RING_TIMEOUT or RING_CLOSED.
 */
enum ring_result ring_pop(struct ring *ring, void *item, uint64_t deadline_us);

/**
 * ring_close() - refuse further items; items in the ring can still be popped
 * @ring: ring to close
 */
void ring_close(struct ring *ring);

/**
 * ring_length() - number of items in the ring
 * @ring: ring
 *
 * Return: number of items, urgent ones included; other threads may have changed
 * it since.
 */
uint32_t ring_length(struct ring *ring);

/**
 * ring_refused() - items that a full ring has refused
 * @ring: ring
 *
 * Return: number of items since the ring was created, urgent ones included.
 */
uint64_t ring_refused(struct ring *ring);

#endif
