#include "ring/ring.h"

#include "core/clock.h"

#include <pthread.h>
#include <string.h>

struct ring {
	pthread_mutex_t lock;
	pthread_cond_t filled;
	uint64_t refused;
	uint32_t item_bytes;
	uint32_t room_items;
	uint32_t reserve_items;
	uint32_t first;
	uint32_t length;
	bool closed;
	bool announced;
	struct notice_board *board;
	uint64_t subject;
	uint8_t items[];
};

static enum ring_result push(struct ring *ring, const void *item,
			     uint32_t room_items);
static void wait_filled(struct ring *ring, uint64_t deadline_us);

struct ring *ring_new(uint32_t item_bytes, uint32_t room_items,
		      uint32_t reserve_items)
{
	struct ring *ring;
	pthread_condattr_t attr;

	g_assert(item_bytes > 0 && room_items > reserve_items);
	ring = g_malloc0(sizeof(*ring) + (size_t)item_bytes * room_items);
	ring->item_bytes = item_bytes;
	ring->room_items = room_items;
	ring->reserve_items = reserve_items;
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
	g_free(ring);
}

void ring_announce(struct ring *ring, struct notice_board *board,
		   uint64_t subject)
{
	ring->board = board;
	ring->subject = subject;
}

enum ring_result ring_push(struct ring *ring, const void *item)
{
	return push(ring, item, ring->room_items - ring->reserve_items);
}

enum ring_result ring_push_reserved(struct ring *ring, const void *item)
{
	return push(ring, item, ring->room_items);
}

enum ring_result ring_pop(struct ring *ring, void *item, uint64_t deadline_us)
{
	enum ring_result result = RING_OK;

	pthread_mutex_lock(&ring->lock);
	if (ring->length == 0 && !ring->closed && deadline_us != 0)
		wait_filled(ring, deadline_us);
	if (ring->length > 0) {
		memcpy(item,
		       ring->items + (size_t)ring->first * ring->item_bytes,
		       ring->item_bytes);
		ring->first = (ring->first + 1) % ring->room_items;
		ring->length--;
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
	length = ring->length;
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

static enum ring_result push(struct ring *ring, const void *item,
			     uint32_t room_items)
{
	enum ring_result result = RING_OK;
	uint32_t at;

	pthread_mutex_lock(&ring->lock);
	if (ring->closed) {
		result = RING_CLOSED;
	} else if (ring->length >= room_items) {
		result = RING_FULL;
		ring->refused++;
	} else {
		at = (ring->first + ring->length) % ring->room_items;
		memcpy(ring->items + (size_t)at * ring->item_bytes, item,
		       ring->item_bytes);
		ring->length++;
		pthread_cond_signal(&ring->filled);
		if (ring->board && !ring->announced) {
			ring->announced = true;
			notice_post(ring->board, ring->subject);
		}
	}
	pthread_mutex_unlock(&ring->lock);
	return result;
}

/* Waits until there is an item, the ring is closed or the deadline is past. */
static void wait_filled(struct ring *ring, uint64_t deadline_us)
{
	struct timespec until;
	int rc = 0;

	clock_wait_until(deadline_us, &until);
	while (ring->length == 0 && !ring->closed && rc == 0)
		rc = pthread_cond_timedwait(&ring->filled, &ring->lock, &until);
}
