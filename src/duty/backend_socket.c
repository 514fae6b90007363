#include "duty/backend_socket.h"

#include <arpa/inet.h>
#include <glib.h>
#include <linux/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#define KEEPALIVE_IDLE_S 5
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3
#define UNACKED_MAX_MS 2000

static bool set_options(int32_t fd, uint32_t own_ip);

int32_t backend_socket_open(uint32_t own_ip)
{
	int32_t fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (set_options(fd, own_ip))
		return fd;
	close(fd);
	return -1;
}

/* Sets the keep-alive options and binds to the source address. */
static bool set_options(int32_t fd, uint32_t own_ip)
{
	const struct {
		int32_t level;
		int32_t option;
		int32_t value;
	} options[] = {
		{ SOL_SOCKET, SO_KEEPALIVE, 1 },
		{ IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
		{ IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S },
		{ IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES },
		{ IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_MAX_MS },
		{ IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1 },
	};
	struct sockaddr_in own = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(own_ip),
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(options); i++) {
		if (setsockopt(fd, options[i].level, options[i].option,
			       &options[i].value,
			       sizeof(options[i].value)) != 0)
			return false;
	}
	return bind(fd, (struct sockaddr *)&own, sizeof(own)) == 0;
}
