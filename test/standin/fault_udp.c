#include "fault_udp.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SESSIONS_MAX 1024
#define DELAYED_MAX 4096
#define DATAGRAM_BYTES 65536

/**
 * struct session - one sender and its socket to the target
 * @rule: rule that received its datagrams
 * @sender: address of the sender
 * @fd: socket connected to the target
 * @poll_index: index of @fd in the poll set
 */
struct session {
	const struct rule *rule;
	struct sockaddr_in sender;
	int fd;
	uint32_t poll_index;
};

/**
 * struct datagram - one delayed datagram
 * @due_us: boot time at which it is sent
 * @fd: socket that sends it
 * @to: destination; port 0 if @fd is connected
 * @bytes: content, one reference owned
 */
struct datagram {
	uint64_t due_us;
	int fd;
	struct sockaddr_in to;
	GBytes *bytes;
};

static GArray *sessions;
static GArray *delayed;
static uint8_t buffer[DATAGRAM_BYTES];

static struct session *session_find_or_open(const struct rule *rule,
					    const struct sockaddr_in *sender);
static void session_forward_replies(struct session *session, uint64_t now_us);
static void forward_datagram(const struct traffic_fault *fault, int fd,
			     const struct sockaddr_in *to, size_t length_bytes,
			     uint64_t now_us);
static void send_delayed(const struct datagram *datagram);
static void send_datagram(int fd, const struct sockaddr_in *to,
			  const void *bytes, size_t length_bytes);
static gint compare_due(gconstpointer a, gconstpointer b);

void udp_receive(struct rule *rule, uint64_t now_us)
{
	struct sockaddr_in connected = { 0 };
	struct sockaddr_in sender = { 0 };
	socklen_t sender_bytes = sizeof(sender);
	ssize_t received;

	while ((received = recvfrom(rule->fd, buffer, sizeof(buffer), 0,
				    (struct sockaddr *)&sender,
				    &sender_bytes)) >= 0) {
		struct traffic_fault fault =
			rule_fault(rule, ntohl(sender.sin_addr.s_addr));
		struct session *session = session_find_or_open(rule, &sender);

		if (session == NULL || fault.kind == TRAFFIC_DROP_UP ||
		    fault.kind == TRAFFIC_DROP_BOTH)
			continue;
		forward_datagram(&fault, session->fd, &connected,
				 (size_t)received, now_us);
	}
}

uint64_t udp_poll(GArray *polls)
{
	for (uint32_t i = 0; sessions != NULL && i < sessions->len; i++) {
		struct session *session =
			&g_array_index(sessions, struct session, i);

		session->poll_index = poll_add(polls, session->fd, POLLIN);
	}
	if (delayed == NULL || delayed->len == 0)
		return DEADLINE_NONE_US;
	return g_array_index(delayed, struct datagram, 0).due_us;
}

void udp_forward(const GArray *polls, uint64_t now_us)
{
	for (uint32_t i = 0; sessions != NULL && i < sessions->len; i++) {
		struct session *session =
			&g_array_index(sessions, struct session, i);

		if (poll_events(polls, session->poll_index) != 0)
			session_forward_replies(session, now_us);
	}
	while (delayed != NULL && delayed->len > 0 &&
	       g_array_index(delayed, struct datagram, 0).due_us <= now_us) {
		send_delayed(&g_array_index(delayed, struct datagram, 0));
		g_array_remove_index(delayed, 0);
	}
}

static struct session *session_find_or_open(const struct rule *rule,
					    const struct sockaddr_in *sender)
{
	struct session session = { .rule = rule,
				   .sender = *sender,
				   .poll_index = UINT32_MAX };

	if (sessions == NULL)
		sessions = g_array_new(FALSE, FALSE, sizeof(session));
	for (uint32_t i = 0; i < sessions->len; i++) {
		struct session *existing =
			&g_array_index(sessions, struct session, i);

		if (existing->rule == rule &&
		    existing->sender.sin_port == sender->sin_port &&
		    existing->sender.sin_addr.s_addr == sender->sin_addr.s_addr)
			return existing;
	}
	if (sessions->len >= SESSIONS_MAX)
		return NULL;
	session.fd = socket_connect_from(
		SOCK_DGRAM, ntohl(sender->sin_addr.s_addr), rule->target);
	if (session.fd < 0)
		return NULL;
	g_array_append_val(sessions, session);
	return &g_array_index(sessions, struct session, sessions->len - 1);
}

static void session_forward_replies(struct session *session, uint64_t now_us)
{
	struct traffic_fault fault = rule_fault(
		session->rule, ntohl(session->sender.sin_addr.s_addr));
	ssize_t received;

	while ((received = recv(session->fd, buffer, sizeof(buffer), 0)) >= 0) {
		if (fault.kind == TRAFFIC_DROP_DOWN ||
		    fault.kind == TRAFFIC_DROP_BOTH)
			continue;
		forward_datagram(&fault, session->rule->fd, &session->sender,
				 (size_t)received, now_us);
	}
}

static void forward_datagram(const struct traffic_fault *fault, int fd,
			     const struct sockaddr_in *to, size_t length_bytes,
			     uint64_t now_us)
{
	struct datagram datagram = { .fd = fd, .to = *to };

	if (fault->kind != TRAFFIC_DELAY) {
		send_datagram(fd, to, buffer, length_bytes);
		return;
	}
	if (delayed == NULL)
		delayed = g_array_new(FALSE, FALSE, sizeof(datagram));
	if (delayed->len >= DELAYED_MAX)
		return;
	datagram.due_us = now_us + fault->delay_ms * US_PER_MS;
	datagram.bytes = g_bytes_new(buffer, length_bytes);
	g_array_append_val(delayed, datagram);
	g_array_sort(delayed, compare_due);
}

static void send_delayed(const struct datagram *datagram)
{
	gsize length_bytes;
	const void *bytes = g_bytes_get_data(datagram->bytes, &length_bytes);

	send_datagram(datagram->fd, &datagram->to, bytes, length_bytes);
	g_bytes_unref(datagram->bytes);
}

/* Send errors are ignored: UDP may lose datagrams. */
static void send_datagram(int fd, const struct sockaddr_in *to,
			  const void *bytes, size_t length_bytes)
{
	const struct sockaddr *addr =
		to->sin_port == 0 ? NULL : (const struct sockaddr *)to;

	if (sendto(fd, bytes, length_bytes, MSG_NOSIGNAL, addr,
		   addr == NULL ? 0 : sizeof(*to)) < 0)
		g_debug("cannot send a datagram");
}

static gint compare_due(gconstpointer a, gconstpointer b)
{
	const struct datagram *first = a;
	const struct datagram *second = b;

	return first->due_us < second->due_us ? -1 :
						first->due_us > second->due_us;
}
