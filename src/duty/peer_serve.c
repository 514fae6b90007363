#include "duty/peer_serve.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "codec/peer_rpc.h"
#include "core/clock.h"
#include "duty/net_socket.h"
#include "ring/ring.h"

#define CONNECTIONS_MAX 16
#define CONNECTION_TIMEOUT_US (2 * US_PER_S)
#define QUERY_TIMEOUT_US (200 * US_PER_MS)
#define DATAGRAMS_PER_WAKEUP 64

/*
 * All sockets are non-blocking and polled together, so no client can block the
 * thread: a connection whose call stays incomplete, or whose reply is not read,
 * is closed at its deadline. While all connections are in use, new ones stay in
 * the kernel's backlog. Apart from poll(), the thread waits only for the reply
 * of the dispatch duty to a pull, for at most QUERY_TIMEOUT_US; datagrams stay
 * in the socket's buffer meanwhile.
 */

/**
 * enum connection_state - state of an entry of the connection table
 * @CONNECTION_FREE: not in use
 * @CONNECTION_READING_CALL: the call is incomplete
 * @CONNECTION_WRITING_REPLY: the reply is not yet sent completely
 */
enum connection_state {
	CONNECTION_FREE,
	CONNECTION_READING_CALL,
	CONNECTION_WRITING_REPLY
};

/**
 * struct connection - one pull by another instance
 * @state: whether the entry is in use, and for which step
 * @fd: its socket
 * @deadline_us: boot time at which it is closed
 * @call: bytes of the call received so far
 * @call_bytes: used bytes of @call
 * @reply: owned, with CONNECTION_WRITING_REPLY
 * @sent_bytes: bytes of @reply sent so far
 */
struct connection {
	enum connection_state state;
	int fd;
	uint64_t deadline_us;
	uint8_t call[PEER_CALL_BYTES_MAX];
	uint32_t call_bytes;
	GByteArray *reply;
	uint32_t sent_bytes;
};

struct peer_serve_duty {
	struct ring *dispatch;
	pthread_t thread;
	int stop_fd;
	int datagram_fd;
	int listen_fd;
	struct connection connections[CONNECTIONS_MAX];
	uint64_t refused_datagrams;
};

enum { POLL_STOP, POLL_DATAGRAM, POLL_LISTEN, POLL_FIRST_CONNECTION };

#define POLL_COUNT (POLL_FIRST_CONNECTION + CONNECTIONS_MAX)

static bool open_sockets(struct peer_serve_duty *duty,
			 const struct settings *settings, GError **error);
static void *peer_serve_thread(void *data);
static int32_t prepare_poll(struct peer_serve_duty *duty, struct pollfd *fds);
static void receive_datagrams(struct peer_serve_duty *duty);
static void handle_datagram(struct peer_serve_duty *duty, const uint8_t *data,
			    uint32_t data_bytes);
static void accept_connections(struct peer_serve_duty *duty);
static struct connection *find_free_connection(struct peer_serve_duty *duty);
static void serve_connection(struct peer_serve_duty *duty,
			     struct connection *connection);
static void read_call(struct peer_serve_duty *duty,
		      struct connection *connection);
static void write_reply(struct connection *connection);
static GByteArray *make_reply(struct peer_serve_duty *duty,
			      const struct peer_call *call);
static GByteArray *reply_document(struct peer_serve_duty *duty,
				  const struct peer_call *call);
static GByteArray *reply_offers(struct peer_serve_duty *duty,
				const struct peer_call *call);
static GByteArray *reply_instances(struct peer_serve_duty *duty,
				   const struct peer_call *call);
static void close_connection(struct connection *connection);
static void free_duty(struct peer_serve_duty *duty);

struct peer_serve_duty *peer_serve_start(const struct settings *settings,
					 struct ring *dispatch, GError **error)
{
	struct peer_serve_duty *duty = g_new0(struct peer_serve_duty, 1);

	duty->dispatch = dispatch;
	duty->datagram_fd = -1;
	duty->listen_fd = -1;
	duty->stop_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (!open_sockets(duty, settings, error)) {
		free_duty(duty);
		return NULL;
	}
	if (duty->stop_fd < 0 ||
	    pthread_create(&duty->thread, NULL, peer_serve_thread, duty) != 0) {
		g_set_error(error, DUTY_ERROR, DUTY_ERROR_THREAD,
			    "peer_serve: cannot create its thread");
		free_duty(duty);
		return NULL;
	}
	return duty;
}

void peer_serve_stop(struct peer_serve_duty *duty)
{
	if (!duty)
		return;
	if (eventfd_write(duty->stop_fd, 1) != 0)
		g_error("peer_serve: cannot wake its thread to stop it");
	pthread_join(duty->thread, NULL);
	free_duty(duty);
}

static bool open_sockets(struct peer_serve_duty *duty,
			 const struct settings *settings, GError **error)
{
	duty->datagram_fd =
		net_socket_listen(SOCK_DGRAM, settings->peer_bind, error);
	if (duty->datagram_fd < 0)
		return false;
	duty->listen_fd =
		net_socket_listen(SOCK_STREAM, settings->peer_bind, error);
	return duty->listen_fd >= 0;
}

static void *peer_serve_thread(void *data)
{
	struct peer_serve_duty *duty = data;
	struct pollfd fds[POLL_COUNT];
	int32_t wait_ms;
	uint32_t i;

	for (;;) {
		wait_ms = prepare_poll(duty, fds);
		if (poll(fds, POLL_COUNT, wait_ms) < 0)
			continue;
		if (fds[POLL_STOP].revents)
			return NULL;
		if (fds[POLL_DATAGRAM].revents)
			receive_datagrams(duty);
		for (i = 0; i < CONNECTIONS_MAX; i++) {
			if (fds[POLL_FIRST_CONNECTION + i].revents)
				serve_connection(duty, &duty->connections[i]);
		}
		if (fds[POLL_LISTEN].revents)
			accept_connections(duty);
	}
}

/* Return: time-out for poll() in ms until the next deadline, -1 for none. */
static int32_t prepare_poll(struct peer_serve_duty *duty, struct pollfd *fds)
{
	uint64_t now_us = clock_now_us();
	uint64_t first_us = DEADLINE_NONE_US;
	struct connection *connection;
	uint32_t i;

	memset(fds, 0, POLL_COUNT * sizeof(*fds));
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		connection = &duty->connections[i];
		if (connection->state != CONNECTION_FREE &&
		    now_us >= connection->deadline_us)
			close_connection(connection);
		fds[POLL_FIRST_CONNECTION + i].fd = -1;
		if (connection->state == CONNECTION_FREE)
			continue;
		fds[POLL_FIRST_CONNECTION + i].fd = connection->fd;
		fds[POLL_FIRST_CONNECTION + i].events =
			connection->state == CONNECTION_READING_CALL ? POLLIN :
								       POLLOUT;
		first_us = MIN(first_us, connection->deadline_us);
	}
	fds[POLL_STOP].fd = duty->stop_fd;
	fds[POLL_STOP].events = POLLIN;
	fds[POLL_DATAGRAM].fd = duty->datagram_fd;
	fds[POLL_DATAGRAM].events = POLLIN;
	fds[POLL_LISTEN].fd = find_free_connection(duty) ? duty->listen_fd : -1;
	fds[POLL_LISTEN].events = POLLIN;
	if (first_us == DEADLINE_NONE_US)
		return -1;
	return clock_ms_left(first_us, now_us);
}

static void receive_datagrams(struct peer_serve_duty *duty)
{
	uint8_t datagram[PEER_DATAGRAM_BYTES_MAX + 1];
	ssize_t bytes;
	uint32_t i;

	for (i = 0; i < DATAGRAMS_PER_WAKEUP; i++) {
		bytes = recv(duty->datagram_fd, datagram, sizeof(datagram), 0);
		if (bytes < 0)
			return;
		handle_datagram(duty, datagram, (uint32_t)bytes);
	}
}

static void handle_datagram(struct peer_serve_duty *duty, const uint8_t *data,
			    uint32_t data_bytes)
{
	struct command command = { .kind = COMMAND_PEER_MESSAGE };
	struct peer_message *message = g_new(struct peer_message, 1);

	if (data_bytes > PEER_DATAGRAM_BYTES_MAX ||
	    !peer_message_decode(data, data_bytes, message, NULL)) {
		/* Logged at powers of two, so a flood does not fill the log. */
		duty->refused_datagrams++;
		if ((duty->refused_datagrams & (duty->refused_datagrams - 1)) ==
		    0)
			g_warning("peer_serve: refused %" G_GUINT64_FORMAT
				  " malformed datagrams so far",
				  duty->refused_datagrams);
		g_free(message);
		return;
	}
	command.peer_message = message;
	if (send_command(duty->dispatch, &command) != RING_OK)
		g_free(message);
}

static void accept_connections(struct peer_serve_duty *duty)
{
	struct connection *connection = find_free_connection(duty);
	int fd;

	while (connection) {
		fd = accept4(duty->listen_fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		connection->state = CONNECTION_READING_CALL;
		connection->fd = fd;
		connection->deadline_us =
			clock_now_us() + CONNECTION_TIMEOUT_US;
		connection->call_bytes = 0;
		connection->sent_bytes = 0;
		connection = find_free_connection(duty);
	}
}

static struct connection *find_free_connection(struct peer_serve_duty *duty)
{
	uint32_t i;

	for (i = 0; i < CONNECTIONS_MAX; i++) {
		if (duty->connections[i].state == CONNECTION_FREE)
			return &duty->connections[i];
	}
	return NULL;
}

static void serve_connection(struct peer_serve_duty *duty,
			     struct connection *connection)
{
	switch (connection->state) {
	case CONNECTION_FREE:
		break;
	case CONNECTION_READING_CALL:
		read_call(duty, connection);
		break;
	case CONNECTION_WRITING_REPLY:
		write_reply(connection);
		break;
	}
}

static void read_call(struct peer_serve_duty *duty,
		      struct connection *connection)
{
	uint32_t free_bytes = PEER_CALL_BYTES_MAX - connection->call_bytes;
	struct peer_call call;
	ssize_t bytes;

	bytes = recv(connection->fd, connection->call + connection->call_bytes,
		     free_bytes, 0);
	if (bytes < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (bytes <= 0) {
		close_connection(connection);
		return;
	}
	connection->call_bytes += (uint32_t)bytes;
	if (!peer_call_decode(connection->call, connection->call_bytes, &call,
			      NULL)) {
		if (connection->call_bytes == PEER_CALL_BYTES_MAX)
			close_connection(connection);
		return;
	}
	connection->reply = make_reply(duty, &call);
	if (!connection->reply) {
		close_connection(connection);
		return;
	}
	connection->state = CONNECTION_WRITING_REPLY;
	write_reply(connection);
}

static void write_reply(struct connection *connection)
{
	const GByteArray *reply = connection->reply;
	ssize_t bytes;

	bytes = send(connection->fd, reply->data + connection->sent_bytes,
		     reply->len - connection->sent_bytes,
		     MSG_NOSIGNAL | MSG_DONTWAIT);
	if (bytes < 0) {
		if (errno != EAGAIN && errno != EINTR)
			close_connection(connection);
		return;
	}
	connection->sent_bytes += (uint32_t)bytes;
	if (connection->sent_bytes == reply->len)
		close_connection(connection);
}

/* Return: an owned record, or NULL when the dispatch duty gave no reply. */
static GByteArray *make_reply(struct peer_serve_duty *duty,
			      const struct peer_call *call)
{
	switch (call->kind) {
	case PEER_CALL_DOCUMENT:
		return reply_document(duty, call);
	case PEER_CALL_OFFERS:
		return reply_offers(duty, call);
	case PEER_CALL_INSTANCES:
		return reply_instances(duty, call);
	}
	return NULL;
}

static GByteArray *reply_document(struct peer_serve_duty *duty,
				  const struct peer_call *call)
{
	struct query query = {
		.kind = QUERY_DOCUMENT,
		.service = call->offer.key,
	};
	struct query_reply reply;
	GByteArray *out;

	if (run_query(duty->dispatch, &query, &reply,
		      clock_now_us() + QUERY_TIMEOUT_US) != RING_OK)
		return NULL;
	if (reply.document.version < call->offer.version)
		g_clear_pointer(&reply.document.text, g_bytes_unref);
	out = peer_document_encode(call->xid, &reply.document);
	query_reply_clear(&reply);
	return out;
}

static GByteArray *reply_offers(struct peer_serve_duty *duty,
				const struct peer_call *call)
{
	struct query query = { .kind = QUERY_OFFERS };
	struct query_reply reply;
	GByteArray *out;

	if (run_query(duty->dispatch, &query, &reply,
		      clock_now_us() + QUERY_TIMEOUT_US) != RING_OK)
		return NULL;
	out = peer_offers_encode(call->xid, reply.offers);
	query_reply_clear(&reply);
	return out;
}

static GByteArray *reply_instances(struct peer_serve_duty *duty,
				   const struct peer_call *call)
{
	struct query query = { .kind = QUERY_INSTANCES };
	struct query_reply reply;
	GByteArray *out;

	if (run_query(duty->dispatch, &query, &reply,
		      clock_now_us() + QUERY_TIMEOUT_US) != RING_OK)
		return NULL;
	out = peer_instances_encode(call->xid, reply.instances);
	query_reply_clear(&reply);
	return out;
}

static void close_connection(struct connection *connection)
{
	close(connection->fd);
	if (connection->reply)
		g_byte_array_unref(connection->reply);
	connection->reply = NULL;
	connection->state = CONNECTION_FREE;
}

static void free_duty(struct peer_serve_duty *duty)
{
	uint32_t i;

	for (i = 0; i < CONNECTIONS_MAX; i++) {
		if (duty->connections[i].state != CONNECTION_FREE)
			close_connection(&duty->connections[i]);
	}
	if (duty->datagram_fd >= 0)
		close(duty->datagram_fd);
	if (duty->listen_fd >= 0)
		close(duty->listen_fd);
	if (duty->stop_fd >= 0)
		close(duty->stop_fd);
	g_free(duty);
}
