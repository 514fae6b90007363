#ifndef STANDIN_FAULT_RULE_H
#define STANDIN_FAULT_RULE_H

/**
 * DOC: forwarding rules of the fault proxy and the traffic faults set on them
 */

#include <glib.h>
#include <poll.h>

#include "core/ids.h"

#define RULES_MAX 128

/**
 * enum traffic_fault_kind - fault injected into the traffic of a rule
 * @TRAFFIC_PASS: no fault
 * @TRAFFIC_DELAY: each direction is delayed
 * @TRAFFIC_DROP_UP: nothing reaches the target. The bytes of a TCP stream are
 *	held back and sent once the fault is lifted, as by retransmission
 * @TRAFFIC_DROP_DOWN: nothing comes back from the target; the bytes of a TCP
 *	stream are held back as with TRAFFIC_DROP_UP
 * @TRAFFIC_DROP_BOTH: TRAFFIC_DROP_UP and TRAFFIC_DROP_DOWN at once
 * @TRAFFIC_REFUSE: new and open connections are reset
 * @TRAFFIC_TRUNCATE: a connection is closed after a number of bytes from the
 *	target
 * @TRAFFIC_SILENCE_OPEN: connections open at the time of the request never
 *	transfer another byte; new ones work
 * @TRAFFIC_CUT_OPEN: connections open at the time of the request are reset;
 *	new ones work
 */
enum traffic_fault_kind {
	TRAFFIC_PASS,
	TRAFFIC_DELAY,
	TRAFFIC_DROP_UP,
	TRAFFIC_DROP_DOWN,
	TRAFFIC_DROP_BOTH,
	TRAFFIC_REFUSE,
	TRAFFIC_TRUNCATE,
	TRAFFIC_SILENCE_OPEN,
	TRAFFIC_CUT_OPEN,
};

/**
 * struct traffic_fault - traffic fault (tagged union)
 * @kind: selects the union member
 * @source_ip: source address that the fault applies to, 0 for all
 * @delay_ms: delay of each direction (TRAFFIC_DELAY)
 * @limit_bytes: bytes from the target before the connection is closed
 *	(TRAFFIC_TRUNCATE)
 */
struct traffic_fault {
	enum traffic_fault_kind kind;
	uint32_t source_ip;
	union {
		uint32_t delay_ms;
		uint32_t limit_bytes;
	};
};

/**
 * enum rule_kind - transport protocol of a rule
 * @RULE_TCP: TCP connections
 * @RULE_UDP: UDP datagrams
 */
enum rule_kind { RULE_TCP, RULE_UDP };

/**
 * struct rule - forwarding of one address to a target
 * @name: name by which control requests refer to the rule
 * @kind: transport protocol
 * @listen: address on which the proxy listens
 * @target: address to which traffic is forwarded
 * @fd: listening socket
 * @faults: array of struct traffic_fault, at most one for each source, owned
 * @poll_index: index of @fd in the poll set
 */
struct rule {
	struct name name;
	enum rule_kind kind;
	struct net_addr listen;
	struct net_addr target;
	int fd;
	GArray *faults;
	uint32_t poll_index;
};

/**
 * rule_parse() - parse the listening address and the target of a rule
 * @rule: overwritten; complete only on success
 * @text: "NAME=tcp:IP:PORT:IP:PORT" or the same with "udp"
 *
 * Return: false if @text is not a valid rule.
 */
bool rule_parse(struct rule *rule, const char *text);

/**
 * rule_listen() - open the listening socket of a rule
 * @rule: the rule, whose @fd is set
 *
 * Return: false on a socket error.
 */
bool rule_listen(struct rule *rule);

/**
 * rule_set_fault() - set a fault; it replaces the one of the same source
 * @rule: the rule
 * @fault: the fault, copied
 */
void rule_set_fault(struct rule *rule, const struct traffic_fault *fault);

/**
 * rule_fault() - fault that applies to a source
 * @rule: the rule
 * @source_ip: source address
 *
 * Return: the fault set for this source, else the one set for all sources,
 * else TRAFFIC_PASS.
 */
struct traffic_fault rule_fault(const struct rule *rule, uint32_t source_ip);

/**
 * poll_add() - append a descriptor to the poll set
 * @polls: array of struct pollfd
 * @fd: the descriptor
 * @events: events to wait for; 0 to ignore the descriptor
 *
 * Return: index in the poll set.
 */
uint32_t poll_add(GArray *polls, int fd, int16_t events);

/**
 * poll_events() - events that poll() returned for a descriptor
 * @polls: array of struct pollfd
 * @index: index from poll_add()
 *
 * Return: the events, 0 if @index is not in the set.
 */
int16_t poll_events(const GArray *polls, uint32_t index);

/**
 * socket_connect_from() - open a socket to a target from a given address
 * @type: SOCK_STREAM or SOCK_DGRAM
 * @source_ip: local address; the kernel chooses the port
 * @target: remote address; the connect does not block
 *
 * Return: the socket, owned by the caller, or -1 on a socket error.
 */
int socket_connect_from(int type, uint32_t source_ip, struct net_addr target);

#endif
