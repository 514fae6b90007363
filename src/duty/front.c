#include "duty/front.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/tcp.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"
#include "duty/caller.h"
#include "duty/net_socket.h"

/* Ids in epoll and in the notify queue that are not ids of connections. */
#define NOTIFY_ID 0
#define LISTEN_ID 1
#define CALLER_ID_MIN 2
#define EVENTS_PER_WAIT 64
/* With fewer free connections, each one is closed after its answer. */
#define FREE_CONNECTIONS_MIN_PERCENT 25
/* Pause after an error of accept() or at the limit of connections. */
#define ACCEPT_PAUSE_US (100 * US_PER_MS)

/**
 * struct front_duty - state of the front duty
 * @links: data shared by the connections
 * @listen_fd: listening socket, owned; -1 during a stop
 * @callers: table of struct caller by id, owned
 * @next_id: id of the next connection; ids are never reused
 * @next_deadline_us: no deadline of a connection is before this time
 * @accept_paused_until_us: time when accepting resumes, 0 when it is not paused
 * @close_by_us: during a stop, when connections that are still open are closed
 * @stopping: set by front_stop(), atomic
 * @thread: serves the connections
 */
struct front_duty {
	struct caller_links links;
	int32_t listen_fd;
	GHashTable *callers;
	uint64_t next_id;
	uint64_t next_deadline_us;
	uint64_t accept_paused_until_us;
	uint64_t close_by_us;
	gint stopping;
	pthread_t thread;
};

static bool open_fds(struct front_duty *front, GError **error);
static void close_fds(struct front_duty *front);
static bool watch(struct front_duty *front, int32_t fd, uint64_t id);
static void *front_thread(void *data);
static void handle_event(struct front_duty *front,
			 const struct epoll_event *event);
static void handle_notifications(struct front_duty *front);
static void accept_callers(struct front_duty *front);
static bool may_accept(const struct front_duty *front);
static bool accept_one(struct front_duty *front);
static void pause_accepting(struct front_duty *front);
static void resume_accepting(struct front_duty *front, uint64_t now_us);
static void reap_or_schedule(struct front_duty *front, struct caller *caller);
static void handle_timeouts(struct front_duty *front, uint64_t now_us);
static void begin_stop(struct front_duty *front);
static void close_callers(struct front_duty *front);
static void free_caller(gpointer data);

struct front_duty *front_start(const struct settings *settings,
			       struct ring *dispatch,
			       struct exchange_duty *exchange, GError **error)
{
	struct front_duty *front = g_new0(struct front_duty, 1);

	front->links.settings = settings;
	front->links.dispatch = dispatch;
	front->links.exchange = exchange;
	front->links.epoll_fd = -1;
	front->listen_fd = -1;
	front->callers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, free_caller);
	front->next_id = CALLER_ID_MIN;
	front->next_deadline_us = DEADLINE_NONE_US;
	http_reader_set_head_max(settings->head_max_bytes);
	if (open_fds(front, error)) {
		if (pthread_create(&front->thread, NULL, front_thread, front) ==
		    0)
			return front;
		g_set_error_literal(error, DUTY_ERROR, DUTY_ERROR_THREAD,
				    "front: cannot create its thread");
	}
	close_fds(front);
	g_hash_table_unref(front->callers);
	g_free(front);
	return NULL;
}

void front_stop(struct front_duty *duty, uint64_t close_by_us)
{
	if (!duty)
		return;
	duty->close_by_us = close_by_us;
	g_atomic_int_set(&duty->stopping, 1);
	notify_queue_push(duty->links.notify, NOTIFY_ID);
	pthread_join(duty->thread, NULL);
	g_hash_table_unref(duty->callers);
	close_fds(duty);
	g_free(duty);
}

static bool open_fds(struct front_duty *front, GError **error)
{
	const struct settings *settings = front->links.settings;

	front->listen_fd =
		net_socket_listen(SOCK_STREAM, settings->caller_listen, error);
	if (front->listen_fd < 0) {
		g_prefix_error(error, "front: ");
		return false;
	}
	/*
	 * Each connection is queued at most twice: for its current ring and for
	 * the one before. One more entry is for front_stop().
	 */
	front->links.notify =
		notify_queue_new(2 * settings->connections_max + 1);
	front->links.epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (front->links.notify && front->links.epoll_fd >= 0 &&
	    watch(front, notify_queue_fd(front->links.notify), NOTIFY_ID) &&
	    watch(front, front->listen_fd, LISTEN_ID))
		return true;
	g_set_error_literal(
		error, DUTY_ERROR, DUTY_ERROR_LISTEN,
		"front: cannot create its epoll or event descriptor");
	return false;
}

static void close_fds(struct front_duty *front)
{
	if (front->listen_fd >= 0)
		close(front->listen_fd);
	if (front->links.epoll_fd >= 0)
		close(front->links.epoll_fd);
	notify_queue_free(front->links.notify);
}

static bool watch(struct front_duty *front, int32_t fd, uint64_t id)
{
	struct epoll_event event = { .events = EPOLLIN, .data.u64 = id };

	return epoll_ctl(front->links.epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0;
}

static void *front_thread(void *data)
{
	struct front_duty *front = data;
	struct epoll_event events[EVENTS_PER_WAIT];
	int32_t timeout_ms;
	uint64_t now_us;
	int count;
	int i;

	while (front->listen_fd >= 0 || g_hash_table_size(front->callers) > 0) {
		timeout_ms = front->next_deadline_us == DEADLINE_NONE_US ?
				     -1 :
				     clock_ms_left(front->next_deadline_us,
						   clock_now_us());
		count = epoll_wait(front->links.epoll_fd, events,
				   EVENTS_PER_WAIT, timeout_ms);
		if (count < 0 && errno != EINTR)
			g_error("front: epoll_wait failed: %s",
				g_strerror(errno));
		for (i = 0; i < count; i++)
			handle_event(front, &events[i]);
		now_us = clock_now_us();
		if (now_us >= front->next_deadline_us)
			handle_timeouts(front, now_us);
		if (front->listen_fd >= 0 &&
		    g_atomic_int_get(&front->stopping) != 0)
			begin_stop(front);
	}
	return NULL;
}

/* The connection of an event may have ended already. */
static void handle_event(struct front_duty *front,
			 const struct epoll_event *event)
{
	uint64_t id = event->data.u64;
	struct caller *caller;

	if (id == NOTIFY_ID) {
		handle_notifications(front);
		return;
	}
	if (id == LISTEN_ID) {
		accept_callers(front);
		return;
	}
	caller = g_hash_table_lookup(front->callers, &id);
	if (!caller)
		return;
	caller_handle_events(caller, event->events);
	reap_or_schedule(front, caller);
}

static void handle_notifications(struct front_duty *front)
{
	struct caller *caller;
	uint64_t id;

	notify_queue_clear_fd(front->links.notify);
	while (notify_queue_pop(front->links.notify, &id)) {
		caller = g_hash_table_lookup(front->callers, &id);
		if (!caller)
			continue;
		caller_handle_notification(caller);
		reap_or_schedule(front, caller);
	}
}

static void accept_callers(struct front_duty *front)
{
	while (front->listen_fd >= 0 && front->accept_paused_until_us == 0) {
		if (!may_accept(front)) {
			pause_accepting(front);
			return;
		}
		if (!accept_one(front))
			return;
	}
}

static bool may_accept(const struct front_duty *front)
{
	return g_hash_table_size(front->callers) <
	       front->links.settings->connections_max;
}

/* Return: true when another connection may be waiting. */
static bool accept_one(struct front_duty *front)
{
	struct sockaddr_in addr = { 0 };
	socklen_t length = sizeof(addr);
	char ip[ADDR_TEXT_BYTES];
	struct caller *caller;
	int32_t yes = 1;
	int32_t fd = accept4(front->listen_fd, (struct sockaddr *)&addr,
			     &length, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0) {
		if (errno == EINTR || errno == ECONNABORTED)
			return true;
		if (errno == EAGAIN || errno == EWOULDBLOCK)
			return false;
		g_warning("front: cannot accept a connection: %s",
			  g_strerror(errno));
		pause_accepting(front);
		return false;
	}
	if (setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes)) != 0)
		g_debug("front: cannot set TCP_NODELAY: %s", g_strerror(errno));
	addr_ip_format(ntohl(addr.sin_addr.s_addr), ip);
	caller = caller_open(&front->links, front->next_id, fd, ip);
	if (!caller)
		return true;
	front->next_id++;
	g_hash_table_insert(front->callers, &caller->id, caller);
	reap_or_schedule(front, caller);
	return true;
}

/* New connections wait in the kernel's listen queue until accepting resumes. */
static void pause_accepting(struct front_duty *front)
{
	if (epoll_ctl(front->links.epoll_fd, EPOLL_CTL_DEL, front->listen_fd,
		      NULL) != 0)
		g_warning("front: cannot pause accepting: %s",
			  g_strerror(errno));
	front->accept_paused_until_us = clock_now_us() + ACCEPT_PAUSE_US;
	front->next_deadline_us =
		MIN(front->next_deadline_us, front->accept_paused_until_us);
}

static void resume_accepting(struct front_duty *front, uint64_t now_us)
{
	if (front->accept_paused_until_us == 0 || front->listen_fd < 0)
		return;
	if (now_us < front->accept_paused_until_us) {
		front->next_deadline_us = MIN(front->next_deadline_us,
					      front->accept_paused_until_us);
		return;
	}
	front->accept_paused_until_us = 0;
	if (!watch(front, front->listen_fd, LISTEN_ID)) {
		g_warning("front: cannot resume accepting: %s",
			  g_strerror(errno));
		front->accept_paused_until_us = now_us + ACCEPT_PAUSE_US;
		front->next_deadline_us = MIN(front->next_deadline_us,
					      front->accept_paused_until_us);
	}
}

/* Frees a connection that has ended, else takes its deadline into account. */
static void reap_or_schedule(struct front_duty *front, struct caller *caller)
{
	if (caller->state == CALLER_ENDED)
		g_hash_table_remove(front->callers, &caller->id);
	else
		front->next_deadline_us =
			MIN(front->next_deadline_us, caller->deadline_us);
	front->links.close_after_answer =
		front->listen_fd < 0 ||
		g_hash_table_size(front->callers) * 100 >
			front->links.settings->connections_max *
				(100 - FREE_CONNECTIONS_MIN_PERCENT);
}

static void handle_timeouts(struct front_duty *front, uint64_t now_us)
{
	struct caller *caller;
	GHashTableIter iter;
	gpointer value;

	front->next_deadline_us = DEADLINE_NONE_US;
	if (front->listen_fd < 0) {
		front->next_deadline_us = front->close_by_us;
		if (now_us >= front->close_by_us)
			close_callers(front);
	}
	g_hash_table_iter_init(&iter, front->callers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		caller = value;
		if (caller->deadline_us <= now_us)
			caller_handle_timeout(caller);
		if (caller->state == CALLER_ENDED)
			g_hash_table_iter_remove(&iter);
		else
			front->next_deadline_us = MIN(front->next_deadline_us,
						      caller->deadline_us);
	}
	resume_accepting(front, now_us);
}

/* Closes idle connections now and the others after their answer. */
static void begin_stop(struct front_duty *front)
{
	struct caller *caller;
	GHashTableIter iter;
	gpointer value;

	close(front->listen_fd);
	front->listen_fd = -1;
	front->links.close_after_answer = true;
	front->next_deadline_us =
		MIN(front->next_deadline_us, front->close_by_us);
	g_hash_table_iter_init(&iter, front->callers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		caller = value;
		if (caller->state == CALLER_IDLE)
			g_hash_table_iter_remove(&iter);
		else
			caller->close = true;
	}
}

static void close_callers(struct front_duty *front)
{
	guint count = g_hash_table_size(front->callers);

	if (count > 0)
		g_message("front: the planned stop closes %u connections that "
			  "are still open",
			  count);
	g_hash_table_remove_all(front->callers);
}

static void free_caller(gpointer data)
{
	caller_free(data);
}
