#include "fault_udp.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SESSIONS_MAX 1024
#define DELAYED_MAX 4096
#define DATAGRAM_BYTES 65536

/**
 * struct session - one sender and its socket towards the target
 * @rule: where its datagrams came in
 * @sender: its address
 * @fd: socket towards the target
 * @poll_index: place in the poll set
 */
struct session {
	const struct rule *rule;
	struct sockaddr_in sender;
	int fd;
	uint32_t poll_index;
};

/**
 * struct datagram - one that waits for its time
 * @due_us: when it goes out
 * @fd: by which socket
 * @to: to whom; port 0 for a connected socket
 * @bytes: content
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

static struct session *session_for(const struct rule *rule,
				   const struct sockaddr_in *sender);
static void session_return(struct session *session, uint64_t now_us);
static void pass(const struct order *order, int fd,
		 const struct sockaddr_in *to, size_t length_bytes,
		 uint64_t now_us);
static void send_delayed(const struct datagram *datagram);
static void put(int fd, const struct sockaddr_in *to, const void *bytes,
		size_t length_bytes);
static gint by_due(gconstpointer a, gconstpointer b);

void udp_receive(struct rule *rule, uint64_t now_us)
{
	struct sockaddr_in none = { 0 };
	struct sockaddr_in sender = { 0 };
	socklen_t sender_bytes = sizeof(sender);
	ssize_t got;

	while ((got = recvfrom(rule->fd, buffer, sizeof(buffer), 0,
			       (struct sockaddr *)&sender, &sender_bytes)) >=
	       0) {
		struct order order =
			rule_order(rule, ntohl(sender.sin_addr.s_addr));
		struct session *session = session_for(rule, &sender);

		if (session == NULL || order.kind == ORDER_DROP_UP ||
		    order.kind == ORDER_DROP_BOTH)
			continue;
		pass(&order, session->fd, &none, (size_t)got, now_us);
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

void udp_move(const GArray *polls, uint64_t now_us)
{
	for (uint32_t i = 0; sessions != NULL && i < sessions->len; i++) {
		struct session *session =
			&g_array_index(sessions, struct session, i);

		if (poll_events(polls, session->poll_index) != 0)
			session_return(session, now_us);
	}
	while (delayed != NULL && delayed->len > 0 &&
	       g_array_index(delayed, struct datagram, 0).due_us <= now_us) {
		send_delayed(&g_array_index(delayed, struct datagram, 0));
		g_array_remove_index(delayed, 0);
	}
}

static struct session *session_for(const struct rule *rule,
				   const struct sockaddr_in *sender)
{
	struct session session = { .rule = rule,
				   .sender = *sender,
				   .poll_index = UINT32_MAX };

	if (sessions == NULL)
		sessions = g_array_new(FALSE, FALSE, sizeof(session));
	for (uint32_t i = 0; i < sessions->len; i++) {
		struct session *known =
			&g_array_index(sessions, struct session, i);

		if (known->rule == rule &&
		    known->sender.sin_port == sender->sin_port &&
		    known->sender.sin_addr.s_addr == sender->sin_addr.s_addr)
			return known;
	}
	if (sessions->len >= SESSIONS_MAX)
		return NULL;
	session.fd = socket_from(SOCK_DGRAM, ntohl(sender->sin_addr.s_addr),
				 rule->target);
	if (session.fd < 0)
		return NULL;
	g_array_append_val(sessions, session);
	return &g_array_index(sessions, struct session, sessions->len - 1);
}

static void session_return(struct session *session, uint64_t now_us)
{
	struct order order = rule_order(session->rule,
					ntohl(session->sender.sin_addr.s_addr));
	ssize_t got;

	while ((got = recv(session->fd, buffer, sizeof(buffer), 0)) >= 0) {
		if (order.kind == ORDER_DROP_DOWN ||
		    order.kind == ORDER_DROP_BOTH)
			continue;
		pass(&order, session->rule->fd, &session->sender, (size_t)got,
		     now_us);
	}
}

static void pass(const struct order *order, int fd,
		 const struct sockaddr_in *to, size_t length_bytes,
		 uint64_t now_us)
{
	struct datagram datagram = { .fd = fd, .to = *to };

	if (order->kind != ORDER_DELAY) {
		put(fd, to, buffer, length_bytes);
		return;
	}
	if (delayed == NULL)
		delayed = g_array_new(FALSE, FALSE, sizeof(datagram));
	if (delayed->len >= DELAYED_MAX)
		return;
	datagram.due_us = now_us + order->delay_ms * US_PER_MS;
	datagram.bytes = g_bytes_new(buffer, length_bytes);
	g_array_append_val(delayed, datagram);
	g_array_sort(delayed, by_due);
}

static void send_delayed(const struct datagram *datagram)
{
	gsize length_bytes;
	const void *bytes = g_bytes_get_data(datagram->bytes, &length_bytes);

	put(datagram->fd, &datagram->to, bytes, length_bytes);
	g_bytes_unref(datagram->bytes);
}

/* A lost datagram is no error. */
static void put(int fd, const struct sockaddr_in *to, const void *bytes,
		size_t length_bytes)
{
	const struct sockaddr *addr =
		to->sin_port == 0 ? NULL : (const struct sockaddr *)to;

	if (sendto(fd, bytes, length_bytes, MSG_NOSIGNAL, addr,
		   addr == NULL ? 0 : sizeof(*to)) < 0)
		g_debug("datagram lost");
}

static gint by_due(gconstpointer a, gconstpointer b)
{
	const struct datagram *one = a;
	const struct datagram *other = b;

	return one->due_us < other->due_us ? -1 : one->due_us > other->due_us;
}
