#include "ring/notify_queue.h"

#include <errno.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "ring/ring.h"

/**
 * struct notify_queue - queue of subjects with a file descriptor to wait for
 * @subjects: ring of uint64_t, owned
 * @woken: @fd has been made readable and not been reset since, atomic
 * @fd: eventfd, owned
 */
struct notify_queue {
	struct ring *subjects;
	gint woken;
	int32_t fd;
};

struct notify_queue *notify_queue_new(uint32_t capacity_subjects)
{
	struct notify_queue *notify;
	int32_t fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);

	if (fd < 0)
		return NULL;
	notify = g_new0(struct notify_queue, 1);
	notify->subjects = ring_new(sizeof(uint64_t), capacity_subjects, 0);
	notify->fd = fd;
	return notify;
}

void notify_queue_free(struct notify_queue *notify)
{
	if (!notify)
		return;
	ring_close(notify->subjects);
	ring_free(notify->subjects);
	close(notify->fd);
	g_free(notify);
}

int32_t notify_queue_fd(const struct notify_queue *notify)
{
	return notify->fd;
}

void notify_queue_push(struct notify_queue *notify, uint64_t subject)
{
	if (ring_push(notify->subjects, &subject) != RING_OK)
		g_warning("notify queue: full, notification lost");
	if (!g_atomic_int_compare_and_exchange(&notify->woken, 0, 1))
		return;
	if (eventfd_write(notify->fd, 1) != 0)
		g_warning("notify queue: cannot wake the reader: %s",
			  g_strerror(errno));
}

void notify_queue_clear_fd(struct notify_queue *notify)
{
	eventfd_t count;

	if (eventfd_read(notify->fd, &count) != 0)
		g_debug("notify queue: woken without a notification");
	/* Reset before subjects are popped, so that later ones wake again. */
	g_atomic_int_set(&notify->woken, 0);
}

bool notify_queue_pop(struct notify_queue *notify, uint64_t *subject)
{
	return ring_pop(notify->subjects, subject, 0) == RING_OK;
}

void notify_queue_drain(struct notify_queue *notify)
{
	uint64_t subject;

	notify_queue_clear_fd(notify);
	while (notify_queue_pop(notify, &subject))
		;
}
