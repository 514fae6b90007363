#include "duty/peer_send.h"

#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include "codec/peer_rpc.h"
#include "core/member.h"
#include "duty/net_socket.h"
#include "ring/ring.h"

/* A planned stop is announced to all members at once. */
#define RING_ORDERS (MEMBERS_MAX + 1024)

struct peer_send_duty {
	struct ring *ring;
	pthread_t thread;
	uint32_t xid;
	int fd;
};

static void *peer_send_thread(void *data);
static void send_datagram(struct peer_send_duty *duty,
			  const struct peer_send_event *order);
static void free_duty(struct peer_send_duty *duty);

struct peer_send_duty *peer_send_start(const struct settings *settings,
				       struct ring *dispatch, GError **error)
{
	struct peer_send_duty *duty = g_new0(struct peer_send_duty, 1);

	/* Nobody replies to a datagram, so there is nothing to hand back. */
	(void)dispatch;
	duty->ring = ring_new(sizeof(struct peer_send_event), RING_ORDERS, 0);
	duty->fd = net_socket_udp_sender(settings->peer_bind.ip, error);
	if (duty->fd < 0) {
		free_duty(duty);
		return NULL;
	}
	if (pthread_create(&duty->thread, NULL, peer_send_thread, duty) != 0) {
		g_set_error(error, DUTY_ERROR, DUTY_ERROR_THREAD,
			    "peer_send: cannot make its thread");
		free_duty(duty);
		return NULL;
	}
	return duty;
}

void peer_send_stop(struct peer_send_duty *duty)
{
	if (!duty)
		return;
	ring_close(duty->ring);
	pthread_join(duty->thread, NULL);
	free_duty(duty);
}

enum ring_result peer_send_send(struct peer_send_duty *duty,
				const struct peer_send_event *order)
{
	return ring_push(duty->ring, order);
}

static void *peer_send_thread(void *data)
{
	struct peer_send_duty *duty = data;
	struct peer_send_event order;

	while (ring_pop(duty->ring, &order, DEADLINE_NONE_US) == RING_OK) {
		send_datagram(duty, &order);
		g_free(order.message);
	}
	return NULL;
}

/* One that does not go out is as good as one lost on its way. */
static void send_datagram(struct peer_send_duty *duty,
			  const struct peer_send_event *order)
{
	struct sockaddr_in to = net_socket_addr(order->to);
	uint8_t datagram[PEER_DATAGRAM_BYTES_MAX];
	uint32_t bytes = peer_message_encode(order->message, ++duty->xid,
					     datagram, sizeof(datagram));

	if (bytes == 0) {
		g_warning("peer_send: a message is above its bound");
		return;
	}
	if (sendto(duty->fd, datagram, bytes, 0, (const struct sockaddr *)&to,
		   sizeof(to)) < 0)
		g_debug("peer_send: a datagram did not go out");
}

static void free_duty(struct peer_send_duty *duty)
{
	if (duty->fd >= 0)
		close(duty->fd);
	ring_free(duty->ring);
	g_free(duty);
}
