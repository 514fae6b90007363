#include "fault_tcp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MAX 4096
#define STREAM_BUFFER_BYTES 65536

/**
 * struct stream - one direction of a connection
 * @from: socket that is read
 * @to: socket that is written
 * @buffer: bytes read and not yet sent in full
 * @length_bytes: used length of @buffer, 0 if there is nothing to send
 * @sent_bytes: part of @length_bytes that is sent
 * @forwarded_bytes: bytes sent since the last control request
 * @due_us: boot time before which @buffer is not sent
 * @ended: end of file was read from @from
 * @poll_from: index of @from in the poll set
 * @poll_to: index of @to in the poll set
 */
struct stream {
	int from;
	int to;
	uint8_t buffer[STREAM_BUFFER_BYTES];
	size_t length_bytes;
	size_t sent_bytes;
	uint64_t forwarded_bytes;
	uint64_t due_us;
	bool ended;
	uint32_t poll_from;
	uint32_t poll_to;
};

/**
 * struct connection - one accepted connection and its connection to the target
 * @rule: rule that accepted it
 * @source_ip: address of the client
 * @up: direction to the target
 * @down: direction to the client
 * @silent: no more bytes are transferred (TRAFFIC_SILENCE_OPEN)
 */
struct connection {
	const struct rule *rule;
	uint32_t source_ip;
	struct stream up;
	struct stream down;
	bool silent;
};

static GPtrArray *connections;

static void connection_open(struct rule *rule, int fd, uint32_t source_ip);
static void connection_free(gpointer data);
static void connection_set_reset(struct connection *connection);
static bool connection_forward(struct connection *connection,
			       const GArray *polls, uint64_t now_us);
static bool stream_blocked(const struct connection *connection,
			   const struct stream *stream);
static uint64_t stream_poll(struct connection *connection,
			    struct stream *stream, GArray *polls,
			    uint64_t now_us);
static bool stream_forward(struct connection *connection, struct stream *stream,
			   const GArray *polls, uint64_t now_us);
static bool stream_read(struct stream *stream,
			const struct traffic_fault *fault, uint64_t now_us);
static bool stream_write(struct stream *stream);
static bool stream_truncate(const struct connection *connection,
			    struct stream *stream,
			    const struct traffic_fault *fault);

void tcp_accept(struct rule *rule)
{
	struct sockaddr_in from = { 0 };
	socklen_t from_bytes = sizeof(from);
	int fd;

	while ((fd = accept4(rule->fd, (struct sockaddr *)&from, &from_bytes,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		connection_open(rule, fd, ntohl(from.sin_addr.s_addr));
}

uint64_t tcp_poll(GArray *polls, uint64_t now_us)
{
	uint64_t deadline_us = DEADLINE_NONE_US;

	for (uint32_t i = 0; connections != NULL && i < connections->len; i++) {
		struct connection *connection = connections->pdata[i];
		uint64_t up_us =
			stream_poll(connection, &connection->up, polls, now_us);
		uint64_t down_us = stream_poll(connection, &connection->down,
					       polls, now_us);

		deadline_us = MIN(deadline_us, MIN(up_us, down_us));
	}
	return deadline_us;
}

void tcp_forward(const GArray *polls, uint64_t now_us)
{
	for (uint32_t i = 0; connections != NULL && i < connections->len;) {
		if (connection_forward(connections->pdata[i], polls, now_us))
			i++;
		else
			g_ptr_array_remove_index_fast(connections, i);
	}
}

void tcp_apply_fault(const struct rule *rule, const struct traffic_fault *fault)
{
	for (uint32_t i = 0; connections != NULL && i < connections->len;) {
		struct connection *connection = connections->pdata[i];
		bool matches = connection->rule == rule &&
			       (fault->source_ip == 0 ||
				fault->source_ip == connection->source_ip);

		i++;
		if (!matches)
			continue;
		connection->down.forwarded_bytes = 0;
		if (fault->kind == TRAFFIC_SILENCE_OPEN)
			connection->silent = true;
		if (fault->kind != TRAFFIC_CUT_OPEN &&
		    fault->kind != TRAFFIC_REFUSE)
			continue;
		connection_set_reset(connection);
		g_ptr_array_remove_index_fast(connections, --i);
	}
}

static void connection_open(struct rule *rule, int fd, uint32_t source_ip)
{
	struct connection *connection;
	int target_fd;

	if (connections == NULL)
		connections = g_ptr_array_new_with_free_func(connection_free);
	target_fd = connections->len >= CONNECTIONS_MAX ||
				    rule_fault(rule, source_ip).kind ==
					    TRAFFIC_REFUSE ?
			    -1 :
			    socket_connect_from(SOCK_STREAM, source_ip,
						rule->target);
	connection = g_new0(struct connection, 1);
	connection->rule = rule;
	connection->source_ip = source_ip;
	connection->up.from = fd;
	connection->up.to = target_fd;
	connection->down.from = target_fd;
	connection->down.to = fd;
	if (target_fd < 0) {
		connection_set_reset(connection);
		connection_free(connection);
		return;
	}
	connection->up.poll_from = connection->up.poll_to = UINT32_MAX;
	connection->down.poll_from = connection->down.poll_to = UINT32_MAX;
	g_ptr_array_add(connections, connection);
}

static void connection_free(gpointer data)
{
	struct connection *connection = data;

	close(connection->up.from);
	if (connection->up.to >= 0)
		close(connection->up.to);
	g_free(connection);
}

/* Makes the next close() send a reset: it does so with a linger time of 0. */
static void connection_set_reset(struct connection *connection)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	if (setsockopt(connection->up.from, SOL_SOCKET, SO_LINGER, &linger,
		       sizeof(linger)) != 0 ||
	    (connection->up.to >= 0 &&
	     setsockopt(connection->up.to, SOL_SOCKET, SO_LINGER, &linger,
			sizeof(linger)) != 0))
		g_debug("cannot set SO_LINGER; closing without a reset");
}

/* Returns false if the connection is to be closed. */
static bool connection_forward(struct connection *connection,
			       const GArray *polls, uint64_t now_us)
{
	if (connection->silent)
		return true;
	if (!stream_forward(connection, &connection->up, polls, now_us) ||
	    !stream_forward(connection, &connection->down, polls, now_us))
		return false;
	return !connection->up.ended || !connection->down.ended;
}

static bool stream_blocked(const struct connection *connection,
			   const struct stream *stream)
{
	struct traffic_fault fault =
		rule_fault(connection->rule, connection->source_ip);

	if (connection->silent || fault.kind == TRAFFIC_DROP_BOTH)
		return true;
	if (stream == &connection->up)
		return fault.kind == TRAFFIC_DROP_UP;
	return fault.kind == TRAFFIC_DROP_DOWN;
}

static uint64_t stream_poll(struct connection *connection,
			    struct stream *stream, GArray *polls,
			    uint64_t now_us)
{
	bool pending = stream->length_bytes > 0;
	bool due = pending && now_us >= stream->due_us;
	bool blocked = stream_blocked(connection, stream);
	bool may_read = !pending && !stream->ended && !blocked;

	stream->poll_from =
		poll_add(polls, stream->from, may_read ? POLLIN : 0);
	stream->poll_to =
		poll_add(polls, stream->to, due && !blocked ? POLLOUT : 0);
	return pending && !due ? stream->due_us : DEADLINE_NONE_US;
}

/* Returns false if the connection is to be closed. */
static bool stream_forward(struct connection *connection, struct stream *stream,
			   const GArray *polls, uint64_t now_us)
{
	struct traffic_fault fault =
		rule_fault(connection->rule, connection->source_ip);
	bool readable = poll_events(polls, stream->poll_from) != 0;

	/* The index is valid only until the poll set is built again. */
	stream->poll_from = UINT32_MAX;
	if (readable && !stream_blocked(connection, stream) &&
	    stream->length_bytes == 0 && !stream->ended &&
	    !stream_read(stream, &fault, now_us))
		return false;
	if (stream->length_bytes == 0 || now_us < stream->due_us ||
	    stream_blocked(connection, stream))
		return true;
	return stream_truncate(connection, stream, &fault) &&
	       stream_write(stream);
}

/* Returns false if the connection was reset. */
static bool stream_read(struct stream *stream,
			const struct traffic_fault *fault, uint64_t now_us)
{
	ssize_t received =
		read(stream->from, stream->buffer, STREAM_BUFFER_BYTES);

	if (received < 0)
		return errno == EAGAIN;
	if (received == 0) {
		stream->ended = true;
		return shutdown(stream->to, SHUT_WR) == 0;
	}
	stream->length_bytes = (size_t)received;
	stream->sent_bytes = 0;
	stream->due_us = now_us;
	if (fault->kind == TRAFFIC_DELAY)
		stream->due_us += fault->delay_ms * US_PER_MS;
	return true;
}

/* Returns false if the connection was reset. */
static bool stream_write(struct stream *stream)
{
	ssize_t sent = send(stream->to, stream->buffer + stream->sent_bytes,
			    stream->length_bytes - stream->sent_bytes,
			    MSG_NOSIGNAL);

	if (sent < 0)
		return errno == EAGAIN || errno == ENOTCONN;
	stream->sent_bytes += (size_t)sent;
	stream->forwarded_bytes += (size_t)sent;
	if (stream->sent_bytes == stream->length_bytes)
		stream->length_bytes = 0;
	return true;
}

/*
 * Enforces TRAFFIC_TRUNCATE: sends at most the bytes left of the limit. Returns
 * false if the limit is reached and the connection is to be closed.
 */
static bool stream_truncate(const struct connection *connection,
			    struct stream *stream,
			    const struct traffic_fault *fault)
{
	uint64_t allowed_bytes;

	if (fault->kind != TRAFFIC_TRUNCATE || stream != &connection->down)
		return true;
	allowed_bytes = fault->limit_bytes > stream->forwarded_bytes ?
				fault->limit_bytes - stream->forwarded_bytes :
				0;
	if (stream->length_bytes - stream->sent_bytes < allowed_bytes)
		return true;
	stream->length_bytes = stream->sent_bytes + allowed_bytes;
	if (allowed_bytes > 0 && !stream_write(stream))
		g_debug("peer closed before the truncation");
	return false;
}
