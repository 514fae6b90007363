#include "fault_rule.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 512

static struct sockaddr_in to_sockaddr(struct net_addr addr);
static bool set_flag(int fd, int level, int name);

bool rule_parse(struct rule *rule, const char *text)
{
	char **halves = g_strsplit(text, "=", 2);
	char **parts = NULL;
	char *listen = NULL;
	char *target = NULL;
	bool good = false;

	memset(rule, 0, sizeof(*rule));
	if (g_strv_length(halves) == 2)
		parts = g_strsplit(halves[1], ":", -1);
	if (parts != NULL && g_strv_length(parts) == 5) {
		listen = g_strjoin(":", parts[1], parts[2], NULL);
		target = g_strjoin(":", parts[3], parts[4], NULL);
		rule->kind = strcmp(parts[0], "udp") == 0 ? RULE_UDP : RULE_TCP;
		good = (rule->kind == RULE_UDP ||
			strcmp(parts[0], "tcp") == 0) &&
		       name_set(&rule->name, halves[0]) &&
		       addr_parse(listen, &rule->listen) &&
		       addr_parse(target, &rule->target);
	}
	rule->orders = g_array_new(FALSE, FALSE, sizeof(struct order));
	g_free(listen);
	g_free(target);
	g_strfreev(parts);
	g_strfreev(halves);
	return good;
}

bool rule_listen(struct rule *rule)
{
	struct sockaddr_in addr = to_sockaddr(rule->listen);
	bool tcp = rule->kind == RULE_TCP;

	rule->fd = socket(AF_INET,
			  (tcp ? SOCK_STREAM : SOCK_DGRAM) | SOCK_NONBLOCK |
				  SOCK_CLOEXEC,
			  0);
	if (rule->fd < 0)
		return false;
	if (tcp && !set_flag(rule->fd, SOL_SOCKET, SO_REUSEADDR))
		return false;
	if (bind(rule->fd, (struct sockaddr *)&addr, sizeof(addr)) != 0)
		return false;
	return !tcp || listen(rule->fd, BACKLOG) == 0;
}

void rule_set(struct rule *rule, const struct order *order)
{
	for (uint32_t i = 0; i < rule->orders->len; i++) {
		struct order *old =
			&g_array_index(rule->orders, struct order, i);

		if (old->source_ip == order->source_ip) {
			*old = *order;
			return;
		}
	}
	g_array_append_val(rule->orders, *order);
}

struct order rule_order(const struct rule *rule, uint32_t source_ip)
{
	struct order found = { .kind = ORDER_PASS };

	for (uint32_t i = 0; i < rule->orders->len; i++) {
		const struct order *order =
			&g_array_index(rule->orders, struct order, i);

		if (order->source_ip == source_ip)
			return *order;
		if (order->source_ip == 0)
			found = *order;
	}
	return found;
}

uint32_t poll_add(GArray *polls, int fd, int16_t events)
{
	/* A negative descriptor keeps a hang-up from waking the loop. */
	struct pollfd item = { .fd = events == 0 ? -1 : fd, .events = events };

	g_array_append_val(polls, item);
	return polls->len - 1;
}

int16_t poll_events(const GArray *polls, uint32_t index)
{
	if (index >= polls->len)
		return 0;
	return g_array_index(polls, struct pollfd, index).revents;
}

int socket_from(int type, uint32_t source_ip, struct net_addr target)
{
	struct sockaddr_in from =
		to_sockaddr((struct net_addr){ .ip = source_ip });
	struct sockaddr_in to = to_sockaddr(target);
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (type == SOCK_STREAM && !set_flag(fd, IPPROTO_TCP, TCP_NODELAY))
		g_debug("no TCP_NODELAY");
	if (!set_flag(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT))
		g_debug("no IP_BIND_ADDRESS_NO_PORT");
	if (bind(fd, (struct sockaddr *)&from, sizeof(from)) != 0 ||
	    (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0 &&
	     errno != EINPROGRESS)) {
		close(fd);
		return -1;
	}
	return fd;
}

static struct sockaddr_in to_sockaddr(struct net_addr addr)
{
	struct sockaddr_in out = { .sin_family = AF_INET };

	out.sin_addr.s_addr = htonl(addr.ip);
	out.sin_port = htons(addr.port);
	return out;
}

static bool set_flag(int fd, int level, int name)
{
	int on = 1;

	return setsockopt(fd, level, name, &on, sizeof(on)) == 0;
}
