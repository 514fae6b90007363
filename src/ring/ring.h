#ifndef RING_RING_H
#define RING_RING_H

/**
 * DOC: bounded ring
 *
 * Joins two duties. Items are copied in and out by value. A full ring refuses
 * at once; a reader waits on a condition variable until an item, a deadline
 * or the close. Part of the room may be reserved for items that must not be
 * lost, and there may be room of its own for items that go before all others.
 */

#include <glib.h>

#include "core/units.h"
#include "ring/notify_queue.h"

struct ring;

/**
 * enum ring_result - how a ring operation ended
 * @RING_OK: item moved
 * @RING_FULL: no room; nothing was stored
 * @RING_TIMEOUT: the deadline came first
 * @RING_CLOSED: closed, and nothing left to take
 */
enum ring_result { RING_OK, RING_FULL, RING_TIMEOUT, RING_CLOSED };

/**
 * ring_new() - make a ring
 * @item_bytes: size of one item, more than 0
 * @capacity_items: how many items fit, more than 0
 * @reserved_items: room that only ring_push_reserved() may use
 *
 * Return: a ring to be freed with ring_free().
 */
struct ring *ring_new(uint32_t item_bytes, uint32_t capacity_items,
		      uint32_t reserved_items);

/**
 * ring_free() - free a closed ring that no thread uses any more
 * @ring: the ring, or NULL
 */
void ring_free(struct ring *ring);

/**
 * ring_add_urgent() - give a ring room for items that go before all others
 * @ring: the ring, not shared yet
 * @capacity_items: how many, more than 0
 */
void ring_add_urgent(struct ring *ring, uint32_t capacity_items);

/**
 * ring_set_notify_queue() - let a board tell when there is something to take
 * @ring: the ring, not shared yet
 * @notify: must outlive the ring's open time
 * @subject: what the board says
 *
 * One notice at most is on the board for a ring; the next one comes after
 * ring_pop() found the ring empty.
 */
void ring_set_notify_queue(struct ring *ring, struct notify_queue *notify,
			   uint64_t subject);

/**
 * ring_push() - append an item without waiting
 * @ring: the ring
 * @item: copied
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result ring_push(struct ring *ring, const void *item);

/**
 * ring_push_reserved() - append an item that may use the reserve
 * @ring: the ring
 * @item: copied
 *
 * Return: RING_OK, RING_FULL or RING_CLOSED.
 */
enum ring_result ring_push_reserved(struct ring *ring, const void *item);

/**
 * ring_push_urgent() - append an item that goes before all that are not urgent
 * @ring: the ring
 * @item: copied
 *
 * Return: RING_OK, RING_FULL, also without room for such items, or RING_CLOSED.
 */
enum ring_result ring_push_urgent(struct ring *ring, const void *item);

/**
 * ring_pop() - take the oldest urgent item, or the oldest when there is none
 * @ring: the ring
 * @item: filled on RING_OK
 * @deadline_us: boot-time deadline; 0 polls, DEADLINE_NONE_US waits for good
 *
 * Return: RING_OK, RING_TIMEOUT or RING_CLOSED.
 */
enum ring_result ring_pop(struct ring *ring, void *item, uint64_t deadline_us);

/**
 * ring_close() - refuse further items; readers drain what is there
 * @ring: the ring
 */
void ring_close(struct ring *ring);

/**
 * ring_length() - items waiting now
 * @ring: the ring
 *
 * Return: a number that may be old by the time it is read.
 */
uint32_t ring_length(struct ring *ring);

/**
 * ring_refused() - items refused so far because the ring was full
 * @ring: the ring
 *
 * Return: the count.
 */
uint64_t ring_refused(struct ring *ring);

#endif
