#include "duty/caller.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"

#define READ_BYTES 16384
/* A caller that sends ahead is not read from beyond this. */
#define UNREAD_MAX_BYTES 65536
#define LINGER_MAX_US (500 * US_PER_MS)
/* A caller is told that its connection may be idle for this much less. */
#define IDLE_MARGIN_S UINT32_C(1)

static void read_socket(struct caller *caller);
static void take_what_came(struct caller *caller);
static void sent_all(struct caller *caller);
static void end_answer(struct caller *caller);
static void linger(struct caller *caller);
static void watch(struct caller *caller);
static uint32_t wanted_events(const struct caller *caller);

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
	caller->watched = wanted_events(caller);
	event.events = caller->watched;
	if (epoll_ctl(links->epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0)
		return caller;
	g_warning("front: cannot watch a connection: %s", g_strerror(errno));
	caller_free(caller);
	return NULL;
}

void caller_free(struct caller *caller)
{
	caller_gone(caller);
	close(caller->fd);
	http_reader_free(caller->reader);
	g_byte_array_unref(caller->unread);
	g_byte_array_unref(caller->out);
	g_free(caller);
}

void caller_handle_events(struct caller *caller, uint32_t events)
{
	if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
		caller_gone(caller);
		return;
	}
	if (events & EPOLLOUT)
		caller_flush(caller);
	if (events & EPOLLIN)
		read_socket(caller);
	take_what_came(caller);
	watch(caller);
}

void caller_handle_notice(struct caller *caller)
{
	take_what_came(caller);
	watch(caller);
}

void caller_handle_timeout(struct caller *caller)
{
	const struct refusal no_answer = {
		.cause = REFUSAL_BACKEND_TIMEOUT,
		.outcome = OUTCOME_UNKNOWN,
	};

	switch (caller->state) {
	case CALLER_AWAITING_ANSWER:
		/* Nothing is known of the work. */
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
		caller_gone(caller);
		break;
	}
	watch(caller);
}

void caller_gone(struct caller *caller)
{
	caller_cancel(caller);
	if (caller->port) {
		ring_close(caller->port->ring);
		g_clear_pointer(&caller->port, reply_channel_unref);
	}
	caller_set_state(caller, CALLER_ENDED, 0);
}

void caller_cancel(struct caller *caller)
{
	struct command command = { .kind = COMMAND_CANCEL };
	struct request *request = g_steal_pointer(&caller->request);

	if (!request)
		return;
	/* One that was not handed on is known to nobody. */
	if (caller->state != CALLER_AWAITING_ANSWER &&
	    caller->state != CALLER_SENDING_ANSWER) {
		request_unref(request);
		return;
	}
	g_atomic_int_set(&request->caller_gone, 1);
	ring_close(request->answer);
	command.cancel.request = request;
	/* When it is not taken, the send point sees that the caller is gone. */
	if (send_command(caller->links->dispatch, &command) != RING_OK) {
		g_warning("front: a cancellation found no room");
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
			g_debug("front: a caller is gone: %s",
				g_strerror(errno));
			caller_gone(caller);
			return;
		}
		caller->begun = true;
		caller->out_sent += (size_t)sent;
	}
	sent_all(caller);
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
		caller_gone(caller);
		return;
	}
	if (caller->state == CALLER_LINGERING)
		return;
	g_byte_array_append(caller->unread, (const guint8 *)bytes,
			    (guint)count);
}

/* Goes on with whatever has come: bytes, a reply or parts of an answer. */
static void take_what_came(struct caller *caller)
{
	if (caller->state == CALLER_AWAITING_REPLY)
		caller_handle_reply(caller);
	if (caller->state == CALLER_AWAITING_ANSWER ||
	    caller->state == CALLER_SENDING_ANSWER)
		caller_forward_answer(caller);
	caller_read_requests(caller);
}

static void sent_all(struct caller *caller)
{
	g_byte_array_set_size(caller->out, 0);
	caller->out_sent = 0;
	if (caller->state != CALLER_FLUSHING)
		return;
	if (caller->close)
		linger(caller);
	else
		end_answer(caller);
}

/* The next request on the connection may come. */
static void end_answer(struct caller *caller)
{
	uint64_t idle_us = caller->links->settings->idle_max_ms * US_PER_MS;

	http_reader_reset(caller->reader);
	caller->begun = false;
	caller->head_method = false;
	caller_set_state(caller, CALLER_IDLE, clock_now_us() + idle_us);
}

static void linger(struct caller *caller)
{
	if (shutdown(caller->fd, SHUT_WR) != 0) {
		caller_gone(caller);
		return;
	}
	caller_set_state(caller, CALLER_LINGERING,
			 clock_now_us() + LINGER_MAX_US);
}

static void watch(struct caller *caller)
{
	struct epoll_event event = {
		.events = wanted_events(caller),
		.data.u64 = caller->id,
	};

	if (caller->state == CALLER_ENDED || event.events == caller->watched)
		return;
	caller->watched = event.events;
	if (epoll_ctl(caller->links->epoll_fd, EPOLL_CTL_MOD, caller->fd,
		      &event) == 0)
		return;
	g_warning("front: cannot watch a connection: %s", g_strerror(errno));
	caller_gone(caller);
}

static uint32_t wanted_events(const struct caller *caller)
{
	/* A head alone waits: until then its answer may still be refused. */
	bool holds_head = caller->state == CALLER_SENDING_ANSWER &&
			  !caller->body_begun;
	uint32_t events = EPOLLRDHUP;

	if (caller->unread->len < UNREAD_MAX_BYTES)
		events |= EPOLLIN;
	if (caller->out_sent < caller->out->len && !holds_head)
		events |= EPOLLOUT;
	return events;
}
