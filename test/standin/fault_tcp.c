#include "fault_tcp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINKS_MAX 4096
#define STREAM_BYTES 65536

/**
 * struct stream - one direction of a connection
 * @from: socket bytes come from
 * @to: socket they go to
 * @bytes: bytes under way
 * @length_bytes: how many
 * @sent_bytes: how many of them are sent
 * @passed_bytes: sent since the last order
 * @due_us: not sent before this
 * @ended: @from will give no more
 * @poll_from: place in the poll set
 * @poll_to: place in the poll set
 */
struct stream {
	int from;
	int to;
	uint8_t bytes[STREAM_BYTES];
	size_t length_bytes;
	size_t sent_bytes;
	uint64_t passed_bytes;
	uint64_t due_us;
	bool ended;
	uint32_t poll_from;
	uint32_t poll_to;
};

/**
 * struct link - one connection and its further half
 * @rule: where it came in
 * @source_ip: from whom
 * @up: towards the target
 * @down: back
 * @silent: no byte moves any more
 */
struct link {
	const struct rule *rule;
	uint32_t source_ip;
	struct stream up;
	struct stream down;
	bool silent;
};

static GPtrArray *links;

static void link_open(struct rule *rule, int fd, uint32_t source_ip);
static void link_free(gpointer data);
static void link_reset(struct link *link);
static bool link_move(struct link *link, const GArray *polls, uint64_t now_us);
static bool held(const struct link *link, const struct stream *stream);
static uint64_t stream_poll(struct link *link, struct stream *stream,
			    GArray *polls, uint64_t now_us);
static bool stream_move(struct link *link, struct stream *stream,
			const GArray *polls, uint64_t now_us);
static bool stream_read(struct stream *stream, const struct order *order,
			uint64_t now_us);
static bool stream_write(struct stream *stream);
static bool stream_cut(const struct link *link, struct stream *stream,
		       const struct order *order);

void tcp_accept(struct rule *rule)
{
	struct sockaddr_in from = { 0 };
	socklen_t from_bytes = sizeof(from);
	int fd;

	while ((fd = accept4(rule->fd, (struct sockaddr *)&from, &from_bytes,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		link_open(rule, fd, ntohl(from.sin_addr.s_addr));
}

uint64_t tcp_poll(GArray *polls, uint64_t now_us)
{
	uint64_t deadline_us = DEADLINE_NONE_US;

	for (uint32_t i = 0; links != NULL && i < links->len; i++) {
		struct link *link = links->pdata[i];
		uint64_t up_us = stream_poll(link, &link->up, polls, now_us);
		uint64_t down_us =
			stream_poll(link, &link->down, polls, now_us);

		deadline_us = MIN(deadline_us, MIN(up_us, down_us));
	}
	return deadline_us;
}

void tcp_move(const GArray *polls, uint64_t now_us)
{
	for (uint32_t i = 0; links != NULL && i < links->len;) {
		if (link_move(links->pdata[i], polls, now_us))
			i++;
		else
			g_ptr_array_remove_index_fast(links, i);
	}
}

void tcp_order(const struct rule *rule, const struct order *order)
{
	for (uint32_t i = 0; links != NULL && i < links->len;) {
		struct link *link = links->pdata[i];
		bool meant = link->rule == rule &&
			     (order->source_ip == 0 ||
			      order->source_ip == link->source_ip);

		i++;
		if (!meant)
			continue;
		link->down.passed_bytes = 0;
		if (order->kind == ORDER_SILENCE_OPEN)
			link->silent = true;
		if (order->kind != ORDER_CUT_OPEN &&
		    order->kind != ORDER_REFUSE)
			continue;
		link_reset(link);
		g_ptr_array_remove_index_fast(links, --i);
	}
}

static void link_open(struct rule *rule, int fd, uint32_t source_ip)
{
	struct link *link;
	int target;

	if (links == NULL)
		links = g_ptr_array_new_with_free_func(link_free);
	target = links->len >= LINKS_MAX || rule_order(rule, source_ip).kind ==
						    ORDER_REFUSE ?
			 -1 :
			 socket_from(SOCK_STREAM, source_ip, rule->target);
	link = g_new0(struct link, 1);
	link->rule = rule;
	link->source_ip = source_ip;
	link->up.from = fd;
	link->up.to = target;
	link->down.from = target;
	link->down.to = fd;
	if (target < 0) {
		link_reset(link);
		link_free(link);
		return;
	}
	link->up.poll_from = link->up.poll_to = UINT32_MAX;
	link->down.poll_from = link->down.poll_to = UINT32_MAX;
	g_ptr_array_add(links, link);
}

static void link_free(gpointer data)
{
	struct link *link = data;

	close(link->up.from);
	if (link->up.to >= 0)
		close(link->up.to);
	g_free(link);
}

/* A close without lingering sends a reset. */
static void link_reset(struct link *link)
{
	struct linger none = { .l_onoff = 1, .l_linger = 0 };

	if (setsockopt(link->up.from, SOL_SOCKET, SO_LINGER, &none,
		       sizeof(none)) != 0 ||
	    (link->up.to >= 0 && setsockopt(link->up.to, SOL_SOCKET, SO_LINGER,
					    &none, sizeof(none)) != 0))
		g_debug("no reset");
}

/* Returns whether the link stays. */
static bool link_move(struct link *link, const GArray *polls, uint64_t now_us)
{
	if (link->silent)
		return true;
	if (!stream_move(link, &link->up, polls, now_us) ||
	    !stream_move(link, &link->down, polls, now_us))
		return false;
	return !link->up.ended || !link->down.ended;
}

static bool held(const struct link *link, const struct stream *stream)
{
	struct order order = rule_order(link->rule, link->source_ip);

	if (link->silent || order.kind == ORDER_DROP_BOTH)
		return true;
	if (stream == &link->up)
		return order.kind == ORDER_DROP_UP;
	return order.kind == ORDER_DROP_DOWN;
}

static uint64_t stream_poll(struct link *link, struct stream *stream,
			    GArray *polls, uint64_t now_us)
{
	bool waiting = stream->length_bytes > 0;
	bool due = waiting && now_us >= stream->due_us;
	bool stopped = held(link, stream);
	bool reads = !waiting && !stream->ended && !stopped;

	stream->poll_from = poll_add(polls, stream->from, reads ? POLLIN : 0);
	stream->poll_to =
		poll_add(polls, stream->to, due && !stopped ? POLLOUT : 0);
	return waiting && !due ? stream->due_us : DEADLINE_NONE_US;
}

/* Returns whether the connection stays. */
static bool stream_move(struct link *link, struct stream *stream,
			const GArray *polls, uint64_t now_us)
{
	struct order order = rule_order(link->rule, link->source_ip);
	bool readable = poll_events(polls, stream->poll_from) != 0;

	/* The places are of this round only. */
	stream->poll_from = UINT32_MAX;
	if (readable && !held(link, stream) && stream->length_bytes == 0 &&
	    !stream->ended && !stream_read(stream, &order, now_us))
		return false;
	if (stream->length_bytes == 0 || now_us < stream->due_us ||
	    held(link, stream))
		return true;
	return stream_cut(link, stream, &order) && stream_write(stream);
}

/* Returns false on a reset. */
static bool stream_read(struct stream *stream, const struct order *order,
			uint64_t now_us)
{
	ssize_t got = read(stream->from, stream->bytes, STREAM_BYTES);

	if (got < 0)
		return errno == EAGAIN;
	if (got == 0) {
		stream->ended = true;
		return shutdown(stream->to, SHUT_WR) == 0;
	}
	stream->length_bytes = (size_t)got;
	stream->sent_bytes = 0;
	stream->due_us = now_us;
	if (order->kind == ORDER_DELAY)
		stream->due_us += order->delay_ms * US_PER_MS;
	return true;
}

/* Returns false on a reset. */
static bool stream_write(struct stream *stream)
{
	ssize_t put = send(stream->to, stream->bytes + stream->sent_bytes,
			   stream->length_bytes - stream->sent_bytes,
			   MSG_NOSIGNAL);

	if (put < 0)
		return errno == EAGAIN || errno == ENOTCONN;
	stream->sent_bytes += (size_t)put;
	stream->passed_bytes += (size_t)put;
	if (stream->sent_bytes == stream->length_bytes)
		stream->length_bytes = 0;
	return true;
}

/* Sends what may pass still; returns false when the connection ends. */
static bool stream_cut(const struct link *link, struct stream *stream,
		       const struct order *order)
{
	uint64_t left_bytes;

	if (order->kind != ORDER_TRUNCATE || stream != &link->down)
		return true;
	left_bytes = order->left_bytes > stream->passed_bytes ?
			     order->left_bytes - stream->passed_bytes :
			     0;
	if (stream->length_bytes - stream->sent_bytes < left_bytes)
		return true;
	stream->length_bytes = stream->sent_bytes + left_bytes;
	if (left_bytes > 0 && !stream_write(stream))
		g_debug("peer is gone before the cut");
	return false;
}
