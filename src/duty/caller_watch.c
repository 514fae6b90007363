#include "duty/caller_watch.h"

#include <errno.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"

#define EVENTS_AT_ONCE 64

/**
 * struct watched_caller - one connection
 * @id: key, never used again, so that a late event meets nobody
 * @fd: its socket
 * @gone: the caller has ended its side
 * @request: a worker waits for its answer; holds a reference
 * @deadline_us: the connection is cut off then
 */
struct watched_caller {
	uint64_t id;
	int32_t fd;
	bool gone;
	struct request *request;
	uint64_t deadline_us;
};

/**
 * struct caller_watch - the watch
 * @dispatch: where cancel commands go
 * @lock: over all below
 * @callers: struct watched_caller by id
 * @next_id: of the next connection; 0 stands for @wake_fd
 * @sleeps_until_us: when the thread wakes by itself
 * @stopping: the thread shall end
 * @epoll_fd: sockets and @wake_fd
 * @wake_fd: wakes the thread
 * @thread: its thread
 */
struct caller_watch {
	struct ring *dispatch;
	pthread_mutex_t lock;
	GHashTable *callers;
	uint64_t next_id;
	uint64_t sleeps_until_us;
	bool stopping;
	int32_t epoll_fd;
	int32_t wake_fd;
	pthread_t thread;
};

static void *run(void *data);
static bool open_fds(struct caller_watch *watch);
static void close_fds(struct caller_watch *watch);
static void wake(struct caller_watch *watch);
static void clear_wake(struct caller_watch *watch);
static void take_event(struct caller_watch *watch,
		       const struct epoll_event *event);
static void cancel(struct caller_watch *watch, struct watched_caller *caller);
static int32_t cut_off_late(struct caller_watch *watch);

struct caller_watch *caller_watch_start(struct ring *dispatch, GError **error)
{
	struct caller_watch *watch = g_new0(struct caller_watch, 1);

	watch->dispatch = dispatch;
	watch->callers = g_hash_table_new(g_int64_hash, g_int64_equal);
	watch->next_id = 1;
	watch->sleeps_until_us = DEADLINE_NONE_US;
	watch->epoll_fd = -1;
	watch->wake_fd = -1;
	if (pthread_mutex_init(&watch->lock, NULL) != 0)
		g_error("caller watch: cannot make its lock");
	if (open_fds(watch) &&
	    pthread_create(&watch->thread, NULL, run, watch) == 0)
		return watch;
	g_set_error_literal(error, DUTY_ERROR, DUTY_ERROR_THREAD,
			    "caller watch: no thread or descriptor");
	close_fds(watch);
	pthread_mutex_destroy(&watch->lock);
	g_hash_table_unref(watch->callers);
	g_free(watch);
	return NULL;
}

void caller_watch_stop(struct caller_watch *watch)
{
	if (!watch)
		return;
	pthread_mutex_lock(&watch->lock);
	watch->stopping = true;
	wake(watch);
	pthread_mutex_unlock(&watch->lock);
	pthread_join(watch->thread, NULL);
	close_fds(watch);
	pthread_mutex_destroy(&watch->lock);
	g_hash_table_unref(watch->callers);
	g_free(watch);
}

struct watched_caller *caller_watch_open(struct caller_watch *watch, int32_t fd)
{
	struct watched_caller *caller = g_new0(struct watched_caller, 1);
	struct epoll_event event = {
		.events = EPOLLRDHUP | EPOLLET,
	};

	caller->fd = fd;
	caller->deadline_us = DEADLINE_NONE_US;
	pthread_mutex_lock(&watch->lock);
	caller->id = watch->next_id++;
	event.data.u64 = caller->id;
	g_hash_table_insert(watch->callers, &caller->id, caller);
	if (epoll_ctl(watch->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
		g_warning("caller watch: cannot watch a connection");
	pthread_mutex_unlock(&watch->lock);
	return caller;
}

void caller_watch_close(struct caller_watch *watch,
			struct watched_caller *caller)
{
	if (!caller)
		return;
	pthread_mutex_lock(&watch->lock);
	if (epoll_ctl(watch->epoll_fd, EPOLL_CTL_DEL, caller->fd, NULL) != 0)
		g_debug("caller watch: connection was not watched");
	g_hash_table_remove(watch->callers, &caller->id);
	pthread_mutex_unlock(&watch->lock);
	request_unref(caller->request);
	g_free(caller);
}

void caller_watch_wait(struct caller_watch *watch,
		       struct watched_caller *caller, struct request *request)
{
	if (!caller)
		return;
	pthread_mutex_lock(&watch->lock);
	caller->request = request_ref(request);
	caller->deadline_us = DEADLINE_NONE_US;
	if (caller->gone)
		cancel(watch, caller);
	pthread_mutex_unlock(&watch->lock);
}

void caller_watch_limit(struct caller_watch *watch,
			struct watched_caller *caller, uint64_t deadline_us)
{
	struct request *request;

	if (!caller)
		return;
	pthread_mutex_lock(&watch->lock);
	request = g_steal_pointer(&caller->request);
	caller->deadline_us = deadline_us;
	if (deadline_us < watch->sleeps_until_us) {
		watch->sleeps_until_us = deadline_us;
		wake(watch);
	}
	pthread_mutex_unlock(&watch->lock);
	request_unref(request);
}

static void *run(void *data)
{
	struct caller_watch *watch = data;
	struct epoll_event events[EVENTS_AT_ONCE];
	int32_t timeout_ms;
	int count;
	int i;

	for (;;) {
		pthread_mutex_lock(&watch->lock);
		timeout_ms = watch->stopping ? 0 : cut_off_late(watch);
		pthread_mutex_unlock(&watch->lock);
		count = epoll_wait(watch->epoll_fd, events, EVENTS_AT_ONCE,
				   timeout_ms);
		if (count < 0 && errno != EINTR)
			g_error("caller watch: cannot wait");
		pthread_mutex_lock(&watch->lock);
		for (i = 0; i < count; i++)
			take_event(watch, &events[i]);
		if (watch->stopping)
			break;
		pthread_mutex_unlock(&watch->lock);
	}
	pthread_mutex_unlock(&watch->lock);
	return NULL;
}

static bool open_fds(struct caller_watch *watch)
{
	struct epoll_event event = { .events = EPOLLIN };

	watch->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	watch->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	return watch->epoll_fd >= 0 && watch->wake_fd >= 0 &&
	       epoll_ctl(watch->epoll_fd, EPOLL_CTL_ADD, watch->wake_fd,
			 &event) == 0;
}

static void close_fds(struct caller_watch *watch)
{
	if (watch->epoll_fd >= 0)
		close(watch->epoll_fd);
	if (watch->wake_fd >= 0)
		close(watch->wake_fd);
}

static void wake(struct caller_watch *watch)
{
	if (eventfd_write(watch->wake_fd, 1) != 0)
		g_warning("caller watch: cannot wake its thread");
}

static void clear_wake(struct caller_watch *watch)
{
	eventfd_t count;

	if (eventfd_read(watch->wake_fd, &count) != 0)
		g_debug("caller watch: woken for nothing");
}

/* An event may be older than the end of its connection. */
static void take_event(struct caller_watch *watch,
		       const struct epoll_event *event)
{
	uint64_t id = event->data.u64;
	struct watched_caller *caller;

	if (id == 0) {
		clear_wake(watch);
		return;
	}
	caller = g_hash_table_lookup(watch->callers, &id);
	if (!caller)
		return;
	caller->gone = true;
	if (caller->request)
		cancel(watch, caller);
}

static void cancel(struct caller_watch *watch, struct watched_caller *caller)
{
	struct command command = { .kind = COMMAND_CANCEL };

	g_atomic_int_set(&caller->request->caller_gone, 1);
	ring_close(caller->request->answer);
	command.cancel.request = caller->request;
	caller->request = NULL;
	/* When it is not taken, the send point sees that the caller is gone. */
	if (send_command(watch->dispatch, &command) != RING_OK)
		command_clear(&command);
}

/*
 * Cuts off connections whose deadline is past.
 *
 * Return: milliseconds until the next deadline, -1 when there is none.
 */
static int32_t cut_off_late(struct caller_watch *watch)
{
	uint64_t now_us = clock_now_us();
	struct watched_caller *caller;
	GHashTableIter iter;
	gpointer value;

	watch->sleeps_until_us = DEADLINE_NONE_US;
	g_hash_table_iter_init(&iter, watch->callers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		caller = value;
		if (caller->deadline_us <= now_us) {
			shutdown(caller->fd, SHUT_RDWR);
			caller->deadline_us = DEADLINE_NONE_US;
		}
		watch->sleeps_until_us =
			MIN(watch->sleeps_until_us, caller->deadline_us);
	}
	if (watch->sleeps_until_us == DEADLINE_NONE_US)
		return -1;
	return clock_ms_left(watch->sleeps_until_us, now_us);
}
