#include "ring/ring.h"

#include "core/clock.h"

#include <pthread.h>
#include <string.h>

/**
 * struct fifo - bounded queue of items
 * @items: storage for @capacity_items items, owned
 * @capacity_items: number of items it can hold
 * @first: index of the oldest item
 * @length: number of items
 */
struct fifo {
	uint8_t *items;
	uint32_t capacity_items;
	uint32_t first;
	uint32_t length;
};

/**
 * struct ring - bounded ring
 * @lock: protects the fields that change once the ring is shared
 * @filled: signalled when an item is pushed or the ring is closed
 * @refused: number of items refused because the ring was full
 * @item_bytes: size of one item
 * @reserved_items: part of the capacity of @normal for ring_push_reserved()
 * @normal: items that are not urgent
 * @urgent: urgent items, without capacity until ring_add_urgent()
 * @closed: no further items are accepted
 * @notified: @subject has been queued since the ring was last found empty
 * @notify: queue to notify, not owned, NULL for none
 * @subject: subject that identifies the ring in @notify
 */
struct ring {
	pthread_mutex_t lock;
	pthread_cond_t filled;
	uint64_t refused;
	uint32_t item_bytes;
	uint32_t reserved_items;
	struct fifo normal;
	struct fifo urgent;
	bool closed;
	bool notified;
	struct notify_queue *notify;
	uint64_t subject;
};

static void fifo_init(const struct ring *ring, struct fifo *fifo,
		      uint32_t capacity_items);
static enum ring_result push(struct ring *ring, struct fifo *fifo,
			     const void *item, uint32_t capacity_items);
static void pop(const struct ring *ring, struct fifo *fifo, void *item);
static bool empty(const struct ring *ring);
static void wait_filled(struct ring *ring, uint64_t deadline_us);

struct ring *ring_new(uint32_t item_bytes, uint32_t capacity_items,
		      uint32_t reserved_items)
{
	struct ring *ring;
	pthread_condattr_t attr;

	g_assert(item_bytes > 0 && capacity_items > reserved_items);
	ring = g_new0(struct ring, 1);
	ring->item_bytes = item_bytes;
	ring->reserved_items = reserved_items;
	fifo_init(ring, &ring->normal, capacity_items);
	if (pthread_mutex_init(&ring->lock, NULL) != 0 ||
	    pthread_condattr_init(&attr) != 0 ||
	    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC) != 0 ||
	    pthread_cond_init(&ring->filled, &attr) != 0)
		g_error("ring: cannot initialize its lock");
	pthread_condattr_destroy(&attr);
	return ring;
}

void ring_free(struct ring *ring)
{
	if (!ring)
		return;
	pthread_cond_destroy(&ring->filled);
	pthread_mutex_destroy(&ring->lock);
	g_free(ring->normal.items);
	g_free(ring->urgent.items);
	g_free(ring);
}

void ring_add_urgent(struct ring *ring, uint32_t capacity_items)
{
	fifo_init(ring, &ring->urgent, capacity_items);
}

void ring_set_notify_queue(struct ring *ring, struct notify_queue *notify,
			   uint64_t subject)
{
	ring->notify = notify;
	ring->subject = subject;
}

enum ring_result ring_push(struct ring *ring, const void *item)
{
	return push(ring, &ring->normal, item,
		    ring->normal.capacity_items - ring->reserved_items);
}

enum ring_result ring_push_reserved(struct ring *ring, const void *item)
{
	return push(ring, &ring->normal, item, ring->normal.capacity_items);
}

enum ring_result ring_push_urgent(struct ring *ring, const void *item)
{
	return push(ring, &ring->urgent, item, ring->urgent.capacity_items);
}

enum ring_result ring_pop(struct ring *ring, void *item, uint64_t deadline_us)
{
	enum ring_result result = RING_OK;

	pthread_mutex_lock(&ring->lock);
	if (empty(ring) && !ring->closed && deadline_us != 0)
		wait_filled(ring, deadline_us);
	if (ring->urgent.length > 0) {
		pop(ring, &ring->urgent, item);
	} else if (ring->normal.length > 0) {
		pop(ring, &ring->normal, item);
	} else {
		result = ring->closed ? RING_CLOSED : RING_TIMEOUT;
		ring->notified = false;
	}
	pthread_mutex_unlock(&ring->lock);
	return result;
}

void ring_close(struct ring *ring)
{
	pthread_mutex_lock(&ring->lock);
	ring->closed = true;
	pthread_cond_broadcast(&ring->filled);
	pthread_mutex_unlock(&ring->lock);
}

uint32_t ring_length(struct ring *ring)
{
	uint32_t length;

	pthread_mutex_lock(&ring->lock);
	length = ring->normal.length + ring->urgent.length;
	pthread_mutex_unlock(&ring->lock);
	return length;
}

uint64_t ring_refused(struct ring *ring)
{
	uint64_t refused;

	pthread_mutex_lock(&ring->lock);
	refused = ring->refused;
	pthread_mutex_unlock(&ring->lock);
	return refused;
}

static void fifo_init(const struct ring *ring, struct fifo *fifo,
		      uint32_t capacity_items)
{
	fifo->items = g_malloc0((size_t)ring->item_bytes * capacity_items);
	fifo->capacity_items = capacity_items;
}

static enum ring_result push(struct ring *ring, struct fifo *fifo,
			     const void *item, uint32_t capacity_items)
{
	enum ring_result result = RING_OK;
	uint32_t at;

	pthread_mutex_lock(&ring->lock);
	if (ring->closed) {
		result = RING_CLOSED;
	} else if (fifo->length >= capacity_items) {
		result = RING_FULL;
		ring->refused++;
	} else {
		at = (fifo->first + fifo->length) % fifo->capacity_items;
		memcpy(fifo->items + (size_t)at * ring->item_bytes, item,
		       ring->item_bytes);
		fifo->length++;
		pthread_cond_signal(&ring->filled);
		if (ring->notify && !ring->notified) {
			ring->notified = true;
			notify_queue_push(ring->notify, ring->subject);
		}
	}
	pthread_mutex_unlock(&ring->lock);
	return result;
}

static void pop(const struct ring *ring, struct fifo *fifo, void *item)
{
	memcpy(item, fifo->items + (size_t)fifo->first * ring->item_bytes,
	       ring->item_bytes);
	fifo->first = (fifo->first + 1) % fifo->capacity_items;
	fifo->length--;
}

static bool empty(const struct ring *ring)
{
	return ring->normal.length == 0 && ring->urgent.length == 0;
}

/* Waits for an item, the close of the ring or the deadline. */
static void wait_filled(struct ring *ring, uint64_t deadline_us)
{
	struct timespec until;
	int rc = 0;

	clock_monotonic_deadline(deadline_us, &until);
	while (empty(ring) && !ring->closed && rc == 0)
		rc = pthread_cond_timedwait(&ring->filled, &ring->lock, &until);
}
