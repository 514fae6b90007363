#include "ring/ring.h"

#include "core/clock.h"

#include <pthread.h>
#include <string.h>

/**
 * struct lane - items in the order in which they came
 * @items: room for @capacity_items
 * @capacity_items: how many fit
 * @first: the oldest
 * @length: how many wait
 */
struct lane {
	uint8_t *items;
	uint32_t capacity_items;
	uint32_t first;
	uint32_t length;
};

struct ring {
	pthread_mutex_t lock;
	pthread_cond_t filled;
	uint64_t refused;
	uint32_t item_bytes;
	uint32_t reserved_items;
	struct lane usual;
	struct lane urgent;
	bool closed;
	bool announced;
	struct notify_queue *notify;
	uint64_t subject;
};

static void lane_init(const struct ring *ring, struct lane *lane,
		      uint32_t capacity_items);
static enum ring_result push(struct ring *ring, struct lane *lane,
			     const void *item, uint32_t capacity_items);
static void pop(const struct ring *ring, struct lane *lane, void *item);
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
	lane_init(ring, &ring->usual, capacity_items);
	if (pthread_mutex_init(&ring->lock, NULL) != 0 ||
	    pthread_condattr_init(&attr) != 0 ||
	    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC) != 0 ||
	    pthread_cond_init(&ring->filled, &attr) != 0)
		g_error("ring: cannot make its lock");
	pthread_condattr_destroy(&attr);
	return ring;
}

void ring_free(struct ring *ring)
{
	if (!ring)
		return;
	pthread_cond_destroy(&ring->filled);
	pthread_mutex_destroy(&ring->lock);
	g_free(ring->usual.items);
	g_free(ring->urgent.items);
	g_free(ring);
}

void ring_add_urgent(struct ring *ring, uint32_t capacity_items)
{
	lane_init(ring, &ring->urgent, capacity_items);
}

void ring_set_notify_queue(struct ring *ring, struct notify_queue *notify,
			   uint64_t subject)
{
	ring->notify = notify;
	ring->subject = subject;
}

enum ring_result ring_push(struct ring *ring, const void *item)
{
	return push(ring, &ring->usual, item,
		    ring->usual.capacity_items - ring->reserved_items);
}

enum ring_result ring_push_reserved(struct ring *ring, const void *item)
{
	return push(ring, &ring->usual, item, ring->usual.capacity_items);
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
	} else if (ring->usual.length > 0) {
		pop(ring, &ring->usual, item);
	} else {
		result = ring->closed ? RING_CLOSED : RING_TIMEOUT;
		ring->announced = false;
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
	length = ring->usual.length + ring->urgent.length;
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

static void lane_init(const struct ring *ring, struct lane *lane,
		      uint32_t capacity_items)
{
	lane->items = g_malloc0((size_t)ring->item_bytes * capacity_items);
	lane->capacity_items = capacity_items;
}

static enum ring_result push(struct ring *ring, struct lane *lane,
			     const void *item, uint32_t capacity_items)
{
	enum ring_result result = RING_OK;
	uint32_t at;

	pthread_mutex_lock(&ring->lock);
	if (ring->closed) {
		result = RING_CLOSED;
	} else if (lane->length >= capacity_items) {
		result = RING_FULL;
		ring->refused++;
	} else {
		at = (lane->first + lane->length) % lane->capacity_items;
		memcpy(lane->items + (size_t)at * ring->item_bytes, item,
		       ring->item_bytes);
		lane->length++;
		pthread_cond_signal(&ring->filled);
		if (ring->notify && !ring->announced) {
			ring->announced = true;
			notify_queue_push(ring->notify, ring->subject);
		}
	}
	pthread_mutex_unlock(&ring->lock);
	return result;
}

static void pop(const struct ring *ring, struct lane *lane, void *item)
{
	memcpy(item, lane->items + (size_t)lane->first * ring->item_bytes,
	       ring->item_bytes);
	lane->first = (lane->first + 1) % lane->capacity_items;
	lane->length--;
}

static bool empty(const struct ring *ring)
{
	return ring->usual.length == 0 && ring->urgent.length == 0;
}

/* Waits until there is an item, the ring is closed or the deadline is past. */
static void wait_filled(struct ring *ring, uint64_t deadline_us)
{
	struct timespec until;
	int rc = 0;

	clock_monotonic_deadline(deadline_us, &until);
	while (empty(ring) && !ring->closed && rc == 0)
		rc = pthread_cond_timedwait(&ring->filled, &ring->lock, &until);
}
