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

/* Numbers in epoll and on the board that stand for no connection. */
#define BOARD_ID 0
#define LISTEN_ID 1
#define CALLER_ID_MIN 2
#define EVENTS_AT_ONCE 64
/* Answers end their connection when fewer connections are left than this. */
#define FREE_CONNECTIONS_PERCENT 25
#define ACCEPT_PAUSE_US (100 * US_PER_MS)

/**
 * struct front_duty - the duty
 * @links: shared by the connections
 * @listen_fd: where callers connect, -1 during a stop
 * @callers: struct caller by id
 * @next_id: of the next connection, never used again
 * @due_us: no connection's deadline is before this
 * @accept_due_us: nobody is accepted before this
 * @stopping: set by front_stop(), atomic
 * @thread: its thread
 */
struct front_duty {
	struct caller_links links;
	int32_t listen_fd;
	GHashTable *callers;
	uint64_t next_id;
	uint64_t due_us;
	uint64_t accept_due_us;
	gint stopping;
	pthread_t thread;
};

static bool open_fds(struct front_duty *front, GError **error);
static void close_fds(struct front_duty *front);
static bool watch(struct front_duty *front, int32_t fd, uint64_t id);
static void *run(void *data);
static void take_event(struct front_duty *front,
		       const struct epoll_event *event);
static void take_notices(struct front_duty *front);
static void accept_callers(struct front_duty *front);
static bool may_accept(const struct front_duty *front);
static bool accept_one(struct front_duty *front);
static void pause_accepting(struct front_duty *front);
static void resume_accepting(struct front_duty *front, uint64_t now_us);
static void look_after(struct front_duty *front, struct caller *caller);
static void run_due(struct front_duty *front, uint64_t now_us);
static void begin_stop(struct front_duty *front);
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
	front->due_us = DEADLINE_NONE_US;
	http_reader_set_head_max(settings->head_max_bytes);
	if (open_fds(front, error)) {
		if (pthread_create(&front->thread, NULL, run, front) == 0)
			return front;
		g_set_error_literal(error, DUTY_ERROR, DUTY_ERROR_THREAD,
				    "front: no thread");
	}
	close_fds(front);
	g_hash_table_unref(front->callers);
	g_free(front);
	return NULL;
}

void front_stop(struct front_duty *duty)
{
	if (!duty)
		return;
	g_atomic_int_set(&duty->stopping, 1);
	notify_queue_push(duty->links.notify, BOARD_ID);
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
	/* A notice for the ring in use, one for the ring before it. */
	front->links.notify =
		notify_queue_new(2 * settings->connections_max + 1);
	front->links.epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (front->links.notify && front->links.epoll_fd >= 0 &&
	    watch(front, notify_queue_fd(front->links.notify), BOARD_ID) &&
	    watch(front, front->listen_fd, LISTEN_ID))
		return true;
	g_set_error_literal(error, DUTY_ERROR, DUTY_ERROR_LISTEN,
			    "front: no descriptor left");
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

static void *run(void *data)
{
	struct front_duty *front = data;
	struct epoll_event events[EVENTS_AT_ONCE];
	int32_t timeout_ms;
	uint64_t now_us;
	int count;
	int i;

	while (front->listen_fd >= 0 || g_hash_table_size(front->callers) > 0) {
		timeout_ms =
			front->due_us == DEADLINE_NONE_US ?
				-1 :
				clock_ms_left(front->due_us, clock_now_us());
		count = epoll_wait(front->links.epoll_fd, events,
				   EVENTS_AT_ONCE, timeout_ms);
		if (count < 0 && errno != EINTR)
			g_error("front: cannot wait: %s", g_strerror(errno));
		for (i = 0; i < count; i++)
			take_event(front, &events[i]);
		now_us = clock_now_us();
		if (now_us >= front->due_us)
			run_due(front, now_us);
		if (front->listen_fd >= 0 &&
		    g_atomic_int_get(&front->stopping) != 0)
			begin_stop(front);
	}
	return NULL;
}

/* An event may be older than the end of its connection. */
static void take_event(struct front_duty *front,
		       const struct epoll_event *event)
{
	uint64_t id = event->data.u64;
	struct caller *caller;

	if (id == BOARD_ID) {
		take_notices(front);
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
	look_after(front, caller);
}

static void take_notices(struct front_duty *front)
{
	struct caller *caller;
	uint64_t id;

	notify_queue_clear_fd(front->links.notify);
	while (notify_queue_pop(front->links.notify, &id)) {
		caller = g_hash_table_lookup(front->callers, &id);
		if (!caller)
			continue;
		caller_handle_notice(caller);
		look_after(front, caller);
	}
}

static void accept_callers(struct front_duty *front)
{
	while (front->listen_fd >= 0 && front->accept_due_us == 0) {
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

/* Return: whether there may be another one. */
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
		g_warning("front: cannot accept: %s", g_strerror(errno));
		pause_accepting(front);
		return false;
	}
	if (setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes)) != 0)
		g_debug("front: cannot turn off delays: %s", g_strerror(errno));
	addr_ip_format(ntohl(addr.sin_addr.s_addr), ip);
	caller = caller_open(&front->links, front->next_id, fd, ip);
	if (!caller)
		return true;
	front->next_id++;
	g_hash_table_insert(front->callers, &caller->id, caller);
	look_after(front, caller);
	return true;
}

/* Those who come wait in the kernel's queue. */
static void pause_accepting(struct front_duty *front)
{
	if (epoll_ctl(front->links.epoll_fd, EPOLL_CTL_DEL, front->listen_fd,
		      NULL) != 0)
		g_warning("front: cannot pause: %s", g_strerror(errno));
	front->accept_due_us = clock_now_us() + ACCEPT_PAUSE_US;
	front->due_us = MIN(front->due_us, front->accept_due_us);
}

static void resume_accepting(struct front_duty *front, uint64_t now_us)
{
	if (front->accept_due_us == 0 || front->listen_fd < 0)
		return;
	if (now_us < front->accept_due_us) {
		front->due_us = MIN(front->due_us, front->accept_due_us);
		return;
	}
	front->accept_due_us = 0;
	if (!watch(front, front->listen_fd, LISTEN_ID)) {
		g_warning("front: cannot go on: %s", g_strerror(errno));
		front->accept_due_us = now_us + ACCEPT_PAUSE_US;
		front->due_us = MIN(front->due_us, front->accept_due_us);
	}
}

/* Frees a connection that has ended, else notes when it must be seen again. */
static void look_after(struct front_duty *front, struct caller *caller)
{
	if (caller->state == CALLER_ENDED)
		g_hash_table_remove(front->callers, &caller->id);
	else
		front->due_us = MIN(front->due_us, caller->deadline_us);
	front->links.close_after_answer =
		front->listen_fd < 0 ||
		g_hash_table_size(front->callers) * 100 >
			front->links.settings->connections_max *
				(100 - FREE_CONNECTIONS_PERCENT);
}

static void run_due(struct front_duty *front, uint64_t now_us)
{
	struct caller *caller;
	GHashTableIter iter;
	gpointer value;

	front->due_us = DEADLINE_NONE_US;
	g_hash_table_iter_init(&iter, front->callers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		caller = value;
		if (caller->deadline_us <= now_us)
			caller_handle_timeout(caller);
		if (caller->state == CALLER_ENDED)
			g_hash_table_iter_remove(&iter);
		else
			front->due_us = MIN(front->due_us, caller->deadline_us);
	}
	resume_accepting(front, now_us);
}

/* Connections without a request end now, the others with their answer. */
static void begin_stop(struct front_duty *front)
{
	struct caller *caller;
	GHashTableIter iter;
	gpointer value;

	close(front->listen_fd);
	front->listen_fd = -1;
	front->links.close_after_answer = true;
	g_hash_table_iter_init(&iter, front->callers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		caller = value;
		if (caller->state == CALLER_IDLE)
			g_hash_table_iter_remove(&iter);
		else
			caller->close = true;
	}
}

static void free_caller(gpointer data)
{
	caller_free(data);
}
