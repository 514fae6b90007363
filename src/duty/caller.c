#include "duty/caller.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"

#define READ_BYTES 16384
/* Reading pauses while this many bytes of pipelined requests are buffered. */
#define UNREAD_MAX_BYTES 65536
/* Time limit for reading and dropping what a caller sends after its answer. */
#define LINGER_TIMEOUT_US (500 * US_PER_MS)
/*
 * The idle time-out announced to callers is shorter than the one in force by
 * this margin, so that no request is on its way when the connection is closed.
 */
#define IDLE_MARGIN_S UINT32_C(1)

static void read_socket(struct caller *caller);
static void process_pending(struct caller *caller);
static void handle_all_sent(struct caller *caller);
static void await_next_request(struct caller *caller);
static void start_lingering(struct caller *caller);
static void update_watched_events(struct caller *caller);
static uint32_t events_to_watch(const struct caller *caller);

struct caller *caller_open(const struct caller_links *links, uint64_t id,
			   int32_t fd, const char *ip)
{
	struct caller *caller = g_new0(struct caller, 1);
	struct epoll_event event = { .data.u64 = id };

	caller->links = links;
	caller->id = id;
	caller->fd = fd;
	g_strlcpy(caller->ip, ip, sizeof(caller->ip));
	caller->reader = http_reader_new(links->settings->body_max_bytes);
	caller->unread = g_byte_array_new();
	caller->out = g_byte_array_new();
	caller_set_state(caller, CALLER_IDLE,
			 clock_now_us() +
				 links->settings->idle_max_ms * US_PER_MS);
	caller->watched_events = events_to_watch(caller);
	event.events = caller->watched_events;
	if (epoll_ctl(links->epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0)
		return caller;
	g_warning("front: epoll cannot watch a connection: %s",
		  g_strerror(errno));
	caller_free(caller);
	return NULL;
}

void caller_free(struct caller *caller)
{
	caller_abort(caller);
	close(caller->fd);
	http_reader_free(caller->reader);
	g_byte_array_unref(caller->unread);
	g_byte_array_unref(caller->out);
	g_free(caller);
}

void caller_handle_events(struct caller *caller, uint32_t events)
{
	if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
		caller_abort(caller);
		return;
	}
	if (events & EPOLLOUT)
		caller_flush(caller);
	if (events & EPOLLIN)
		read_socket(caller);
	process_pending(caller);
	update_watched_events(caller);
}

void caller_handle_notification(struct caller *caller)
{
	process_pending(caller);
	update_watched_events(caller);
}

void caller_handle_timeout(struct caller *caller)
{
	const struct refusal no_answer = {
		.cause = REFUSAL_BACKEND_TIMEOUT,
		.outcome = OUTCOME_UNKNOWN,
	};

	switch (caller->state) {
	case CALLER_AWAITING_ANSWER:
		/* The request may have run: the outcome is unknown. */
		caller_cancel(caller);
		caller->close = true;
		caller_refuse(caller, &no_answer);
		break;
	case CALLER_AWAITING_REPLY:
		caller_refuse_unsent(caller, REFUSAL_OVERLOAD);
		break;
	case CALLER_IDLE:
	case CALLER_READING_HEAD:
	case CALLER_READING_BODY:
	case CALLER_SENDING_ANSWER:
	case CALLER_FLUSHING:
	case CALLER_LINGERING:
	case CALLER_ENDED:
		caller_abort(caller);
		break;
	}
	update_watched_events(caller);
}

void caller_abort(struct caller *caller)
{
	caller_cancel(caller);
	if (caller->reply_channel) {
		ring_close(caller->reply_channel->ring);
		g_clear_pointer(&caller->reply_channel, reply_channel_unref);
	}
	caller_set_state(caller, CALLER_ENDED, 0);
}

void caller_cancel(struct caller *caller)
{
	struct command command = { .kind = COMMAND_CANCEL };
	struct request *request = g_steal_pointer(&caller->request);

	if (!request)
		return;
	/* The dispatch duty does not know of the request before it is sent. */
	if (caller->state != CALLER_AWAITING_ANSWER &&
	    caller->state != CALLER_SENDING_ANSWER) {
		request_unref(request);
		return;
	}
	g_atomic_int_set(&request->caller_gone, 1);
	ring_close(request->answer);
	command.cancel.request = request;
	/*
	 * If the ring is full, the exchange duty still checks caller_gone
	 * before it sends the request.
	 */
	if (send_command(caller->links->dispatch, &command) != RING_OK) {
		g_warning("front: dispatch ring refused a cancellation");
		command_clear(&command);
	}
}

uint32_t caller_keep_alive_s(const struct caller *caller)
{
	uint32_t idle_s =
		caller->links->settings->idle_max_ms / (uint32_t)MS_PER_S;

	if (caller->close)
		return 0;
	return idle_s > IDLE_MARGIN_S ? idle_s - IDLE_MARGIN_S : 1;
}

void caller_set_state(struct caller *caller, enum caller_state state,
		      uint64_t deadline_us)
{
	caller->state = state;
	caller->deadline_us = deadline_us;
}

void caller_flush(struct caller *caller)
{
	GByteArray *out = caller->out;
	ssize_t sent;

	while (caller->out_sent < out->len) {
		sent = send(caller->fd, out->data + caller->out_sent,
			    out->len - caller->out_sent, MSG_NOSIGNAL);
		if (sent < 0 && errno == EINTR)
			continue;
		if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return;
		if (sent < 0) {
			g_debug("front: cannot send to a caller: %s",
				g_strerror(errno));
			caller_abort(caller);
			return;
		}
		caller->answer_started = true;
		caller->out_sent += (size_t)sent;
	}
	handle_all_sent(caller);
}

void caller_finish(struct caller *caller, const GString *text)
{
	if (caller->request)
		ring_close(caller->request->answer);
	g_clear_pointer(&caller->request, request_unref);
	g_byte_array_append(caller->out, (const guint8 *)text->str,
			    (guint)text->len);
	caller_set_state(caller, CALLER_FLUSHING,
			 clock_now_us() + CALLER_WRITE_TIMEOUT_US);
	caller_flush(caller);
}

static void read_socket(struct caller *caller)
{
	char bytes[READ_BYTES];
	ssize_t count = recv(caller->fd, bytes, sizeof(bytes), 0);

	if (count < 0 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return;
	if (count <= 0) {
		caller_abort(caller);
		return;
	}
	if (caller->state == CALLER_LINGERING)
		return;
	g_byte_array_append(caller->unread, (const guint8 *)bytes,
			    (guint)count);
}

/* Handles received bytes, an arrived reply and arrived parts of an answer. */
static void process_pending(struct caller *caller)
{
	if (caller->state == CALLER_AWAITING_REPLY)
		caller_handle_reply(caller);
	if (caller->state == CALLER_AWAITING_ANSWER ||
	    caller->state == CALLER_SENDING_ANSWER)
		caller_forward_answer(caller);
	caller_read_requests(caller);
}

static void handle_all_sent(struct caller *caller)
{
	g_byte_array_set_size(caller->out, 0);
	caller->out_sent = 0;
	if (caller->state != CALLER_FLUSHING)
		return;
	if (caller->close)
		start_lingering(caller);
	else
		await_next_request(caller);
}

/* Makes the connection idle until its next request. */
static void await_next_request(struct caller *caller)
{
	uint64_t idle_us = caller->links->settings->idle_max_ms * US_PER_MS;

	http_reader_reset(caller->reader);
	caller->answer_started = false;
	caller->head_method = false;
	caller_set_state(caller, CALLER_IDLE, clock_now_us() + idle_us);
}

static void start_lingering(struct caller *caller)
{
	if (shutdown(caller->fd, SHUT_WR) != 0) {
		caller_abort(caller);
		return;
	}
	caller_set_state(caller, CALLER_LINGERING,
			 clock_now_us() + LINGER_TIMEOUT_US);
}

static void update_watched_events(struct caller *caller)
{
	struct epoll_event event = {
		.events = events_to_watch(caller),
		.data.u64 = caller->id,
	};

	if (caller->state == CALLER_ENDED ||
	    event.events == caller->watched_events)
		return;
	caller->watched_events = event.events;
	if (epoll_ctl(caller->links->epoll_fd, EPOLL_CTL_MOD, caller->fd,
		      &event) == 0)
		return;
	g_warning("front: epoll cannot watch a connection: %s",
		  g_strerror(errno));
	caller_abort(caller);
}

static uint32_t events_to_watch(const struct caller *caller)
{
	/*
	 * A head is sent together with the first bytes of its body: until then
	 * the answer can still be replaced by a refusal.
	 */
	bool head_held = caller->state == CALLER_SENDING_ANSWER &&
			 !caller->body_received;
	uint32_t events = EPOLLRDHUP;

	if (caller->unread->len < UNREAD_MAX_BYTES)
		events |= EPOLLIN;
	if (caller->out_sent < caller->out->len && !head_held)
		events |= EPOLLOUT;
	return events;
}
