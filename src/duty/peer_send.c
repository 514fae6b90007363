#include "duty/peer_send.h"

#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include "codec/peer_rpc.h"
#include "core/member.h"
#include "duty/net_socket.h"
#include "ring/ring.h"

/* A planned stop queues a datagram to each member at once. */
#define RING_CAPACITY_DATAGRAMS (MEMBERS_MAX + 1024)

struct peer_send_duty {
	struct ring *ring;
	pthread_t thread;
	uint32_t xid;
	int fd;
};

static void *peer_send_thread(void *data);
static void send_datagram(struct peer_send_duty *duty,
			  const struct peer_send_event *event);
static void free_duty(struct peer_send_duty *duty);

struct peer_send_duty *peer_send_start(const struct settings *settings,
				       struct ring *dispatch, GError **error)
{
	struct peer_send_duty *duty = g_new0(struct peer_send_duty, 1);

	/* Datagrams have no reply, so the dispatch duty is sent nothing. */
	(void)dispatch;
	duty->ring = ring_new(sizeof(struct peer_send_event),
			      RING_CAPACITY_DATAGRAMS, 0);
	duty->fd = net_socket_udp_sender(settings->peer_bind.ip, error);
	if (duty->fd < 0) {
		free_duty(duty);
		return NULL;
	}
	if (pthread_create(&duty->thread, NULL, peer_send_thread, duty) != 0) {
		g_set_error(error, DUTY_ERROR, DUTY_ERROR_THREAD,
			    "peer_send: cannot create its thread");
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
				const struct peer_send_event *event)
{
	return ring_push(duty->ring, event);
}

static void *peer_send_thread(void *data)
{
	struct peer_send_duty *duty = data;
	struct peer_send_event event;

	while (ring_pop(duty->ring, &event, DEADLINE_NONE_US) == RING_OK) {
		send_datagram(duty, &event);
		g_free(event.message);
	}
	return NULL;
}

/* A datagram that cannot be sent counts as lost in transit. */
static void send_datagram(struct peer_send_duty *duty,
			  const struct peer_send_event *event)
{
	struct sockaddr_in to = net_socket_addr(event->to);
	uint8_t datagram[PEER_DATAGRAM_BYTES_MAX];
	uint32_t bytes = peer_message_encode(event->message, ++duty->xid,
					     datagram, sizeof(datagram));

	if (bytes == 0) {
		g_warning("peer_send: a message exceeds the size limit");
		return;
	}
	if (sendto(duty->fd, datagram, bytes, 0, (const struct sockaddr *)&to,
		   sizeof(to)) < 0)
		g_debug("peer_send: cannot send a datagram");
}

static void free_duty(struct peer_send_duty *duty)
{
	if (duty->fd >= 0)
		close(duty->fd);
	ring_free(duty->ring);
	g_free(duty);
}
