#include "duty/pull_transfer.h"

#include <errno.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"
#include "duty/net_socket.h"

#define TRANSFER_TIMEOUT_US (2 * US_PER_S)
#define RECEIVE_BYTES 16384

static enum pull_result send_call(struct pull_transfer *transfer,
				  GError **error);
static enum pull_result receive_reply(struct pull_transfer *transfer,
				      GError **error);
static enum pull_result fail(const char *reason, GError **error);

struct pull_transfer *pull_transfer_begin(uint32_t ip, struct net_addr from,
					  const struct peer_call *call,
					  GError **error)
{
	int fd = net_socket_connect(ip, from, error);
	struct pull_transfer *transfer;

	if (fd < 0)
		return NULL;
	transfer = g_new0(struct pull_transfer, 1);
	transfer->from = from;
	transfer->call = *call;
	transfer->call.xid = g_random_int();
	transfer->fd = fd;
	transfer->deadline_us = clock_now_us() + TRANSFER_TIMEOUT_US;
	transfer->out = peer_call_encode(&transfer->call);
	transfer->in = g_byte_array_new();
	return transfer;
}

int16_t pull_transfer_events(const struct pull_transfer *transfer)
{
	return transfer->sent_bytes < transfer->out->len ? POLLOUT : POLLIN;
}

enum pull_result pull_transfer_advance(struct pull_transfer *transfer,
				       uint64_t now_us, GError **error)
{
	enum pull_result result;

	if (now_us >= transfer->deadline_us)
		return fail("timed out waiting for the peer", error);
	if (transfer->sent_bytes < transfer->out->len) {
		result = send_call(transfer, error);
		if (result != PULL_RUNNING ||
		    transfer->sent_bytes < transfer->out->len)
			return result;
	}
	return receive_reply(transfer, error);
}

void pull_transfer_free(struct pull_transfer *transfer)
{
	if (!transfer)
		return;
	close(transfer->fd);
	g_byte_array_unref(transfer->out);
	g_byte_array_unref(transfer->in);
	g_free(transfer);
}

static enum pull_result send_call(struct pull_transfer *transfer,
				  GError **error)
{
	ssize_t bytes =
		send(transfer->fd, transfer->out->data + transfer->sent_bytes,
		     transfer->out->len - transfer->sent_bytes, MSG_NOSIGNAL);

	if (bytes < 0 && (errno == EAGAIN || errno == EINTR))
		return PULL_RUNNING;
	if (bytes < 0)
		return fail(g_strerror(errno), error);
	transfer->sent_bytes += (uint32_t)bytes;
	return PULL_RUNNING;
}

static enum pull_result receive_reply(struct pull_transfer *transfer,
				      GError **error)
{
	uint8_t buffer[RECEIVE_BYTES];
	ssize_t bytes;

	for (;;) {
		bytes = recv(transfer->fd, buffer, sizeof(buffer), 0);
		if (bytes < 0 && (errno == EAGAIN || errno == EINTR))
			return PULL_RUNNING;
		if (bytes < 0)
			return fail(g_strerror(errno), error);
		if (bytes == 0)
			return PULL_DONE;
		if (transfer->in->len + (uint32_t)bytes > PEER_REPLY_BYTES_MAX)
			return fail("the reply is too large", error);
		g_byte_array_append(transfer->in, buffer, (guint)bytes);
	}
}

static enum pull_result fail(const char *reason, GError **error)
{
	g_set_error_literal(error, PEER_ERROR, PEER_ERROR_UNREACHABLE, reason);
	return PULL_FAILED;
}
