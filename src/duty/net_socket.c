#include "duty/net_socket.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG_CONNECTIONS 512

static int open_bound(int type, struct net_addr addr);
static int fail(int fd, const char *operation, struct net_addr addr,
		GQuark domain, int code, GError **error);

int net_socket_listen(int type, struct net_addr addr, GError **error)
{
	int fd = open_bound(type, addr);

	if (fd < 0 ||
	    (type == SOCK_STREAM && listen(fd, BACKLOG_CONNECTIONS) != 0))
		return fail(fd, "listen on", addr, DUTY_ERROR,
			    DUTY_ERROR_LISTEN, error);
	return fd;
}

int net_socket_udp_sender(uint32_t ip, GError **error)
{
	struct net_addr own = { .ip = ip };
	int fd = open_bound(SOCK_DGRAM, own);

	if (fd < 0)
		return fail(fd, "send from", own, DUTY_ERROR, DUTY_ERROR_LISTEN,
			    error);
	return fd;
}

int net_socket_connect(uint32_t ip, struct net_addr to, GError **error)
{
	struct net_addr own = { .ip = ip };
	struct sockaddr_in remote = net_socket_addr(to);
	int fd = open_bound(SOCK_STREAM, own);

	if (fd < 0)
		return fail(fd, "connect from", own, PEER_ERROR,
			    PEER_ERROR_UNREACHABLE, error);
	if (connect(fd, (const struct sockaddr *)&remote, sizeof(remote)) !=
		    0 &&
	    errno != EINPROGRESS)
		return fail(fd, "connect to", to, PEER_ERROR,
			    PEER_ERROR_UNREACHABLE, error);
	return fd;
}

struct sockaddr_in net_socket_addr(struct net_addr addr)
{
	struct sockaddr_in out = {
		.sin_family = AF_INET,
		.sin_port = htons(addr.port),
		.sin_addr.s_addr = htonl(addr.ip),
	};

	return out;
}

static int open_bound(int type, struct net_addr addr)
{
	struct sockaddr_in local = net_socket_addr(addr);
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0)
		return -1;
	/*
	 * SO_REUSEADDR lets a restarted instance listen on its TCP port at
	 * once. On UDP it would let a second process bind the same port.
	 */
	if ((type == SOCK_DGRAM ||
	     setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0) &&
	    bind(fd, (const struct sockaddr *)&local, sizeof(local)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Sets @error from errno and closes @fd unless it is -1. */
static int fail(int fd, const char *operation, struct net_addr addr,
		GQuark domain, int code, GError **error)
{
	char text[ADDR_TEXT_BYTES];

	g_set_error(error, domain, code, "cannot %s %s: %s", operation,
		    addr_format(addr, text), g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}
