#include "fault_rule.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 512

static struct sockaddr_in to_sockaddr(struct net_addr addr);
static bool enable_option(int fd, int level, int name);

bool rule_parse(struct rule *rule, const char *text)
{
	char **fields = g_strsplit(text, "=", 2);
	char **parts = NULL;
	char *listen = NULL;
	char *target = NULL;
	bool valid = false;

	memset(rule, 0, sizeof(*rule));
	if (g_strv_length(fields) == 2)
		parts = g_strsplit(fields[1], ":", -1);
	if (parts != NULL && g_strv_length(parts) == 5) {
		listen = g_strjoin(":", parts[1], parts[2], NULL);
		target = g_strjoin(":", parts[3], parts[4], NULL);
		rule->kind = strcmp(parts[0], "udp") == 0 ? RULE_UDP : RULE_TCP;
		valid = (rule->kind == RULE_UDP ||
			 strcmp(parts[0], "tcp") == 0) &&
			name_set(&rule->name, fields[0]) &&
			addr_parse(listen, &rule->listen) &&
			addr_parse(target, &rule->target);
	}
	rule->faults = g_array_new(FALSE, FALSE, sizeof(struct traffic_fault));
	g_free(listen);
	g_free(target);
	g_strfreev(parts);
	g_strfreev(fields);
	return valid;
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
	if (tcp && !enable_option(rule->fd, SOL_SOCKET, SO_REUSEADDR))
		return false;
	if (bind(rule->fd, (struct sockaddr *)&addr, sizeof(addr)) != 0)
		return false;
	return !tcp || listen(rule->fd, BACKLOG) == 0;
}

void rule_set_fault(struct rule *rule, const struct traffic_fault *fault)
{
	for (uint32_t i = 0; i < rule->faults->len; i++) {
		struct traffic_fault *old =
			&g_array_index(rule->faults, struct traffic_fault, i);

		if (old->source_ip == fault->source_ip) {
			*old = *fault;
			return;
		}
	}
	g_array_append_val(rule->faults, *fault);
}

struct traffic_fault rule_fault(const struct rule *rule, uint32_t source_ip)
{
	struct traffic_fault found = { .kind = TRAFFIC_PASS };

	for (uint32_t i = 0; i < rule->faults->len; i++) {
		const struct traffic_fault *fault =
			&g_array_index(rule->faults, struct traffic_fault, i);

		if (fault->source_ip == source_ip)
			return *fault;
		if (fault->source_ip == 0)
			found = *fault;
	}
	return found;
}

uint32_t poll_add(GArray *polls, int fd, int16_t events)
{
	/* poll() reports hang-ups even for 0 events, but ignores fd -1. */
	struct pollfd entry = { .fd = events == 0 ? -1 : fd, .events = events };

	g_array_append_val(polls, entry);
	return polls->len - 1;
}

int16_t poll_events(const GArray *polls, uint32_t index)
{
	if (index >= polls->len)
		return 0;
	return g_array_index(polls, struct pollfd, index).revents;
}

int socket_connect_from(int type, uint32_t source_ip, struct net_addr target)
{
	struct sockaddr_in local =
		to_sockaddr((struct net_addr){ .ip = source_ip });
	struct sockaddr_in remote = to_sockaddr(target);
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (type == SOCK_STREAM && !enable_option(fd, IPPROTO_TCP, TCP_NODELAY))
		g_debug("cannot set TCP_NODELAY");
	if (!enable_option(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT))
		g_debug("cannot set IP_BIND_ADDRESS_NO_PORT");
	if (bind(fd, (struct sockaddr *)&local, sizeof(local)) != 0 ||
	    (connect(fd, (struct sockaddr *)&remote, sizeof(remote)) != 0 &&
	     errno != EINPROGRESS)) {
		close(fd);
		return -1;
	}
	return fd;
}

static struct sockaddr_in to_sockaddr(struct net_addr addr)
{
	struct sockaddr_in sockaddr = { .sin_family = AF_INET };

	sockaddr.sin_addr.s_addr = htonl(addr.ip);
	sockaddr.sin_port = htons(addr.port);
	return sockaddr;
}

static bool enable_option(int fd, int level, int name)
{
	int on = 1;

	return setsockopt(fd, level, name, &on, sizeof(on)) == 0;
}
