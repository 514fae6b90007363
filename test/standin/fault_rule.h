#ifndef STANDIN_FAULT_RULE_H
#define STANDIN_FAULT_RULE_H

/**
 * DOC: rules of the fault proxy and the faults that are in force on them
 */

#include <glib.h>
#include <poll.h>

#include "core/ids.h"

#define RULES_MAX 128

/**
 * enum order_kind - what happens to traffic of a rule
 * @ORDER_PASS: nothing
 * @ORDER_DELAY: each direction takes longer
 * @ORDER_DROP_UP: nothing arrives at the target. A stream is held and goes on
 *	later, as by retransmission
 * @ORDER_DROP_DOWN: nothing comes back from the target
 * @ORDER_DROP_BOTH: both
 * @ORDER_REFUSE: connections are reset, open ones too
 * @ORDER_TRUNCATE: a connection ends after so many bytes from the target
 * @ORDER_SILENCE_OPEN: connections open now go silent for good, at once and
 *	once; new ones work
 * @ORDER_CUT_OPEN: connections open now are reset, at once and once
 */
enum order_kind {
	ORDER_PASS,
	ORDER_DELAY,
	ORDER_DROP_UP,
	ORDER_DROP_DOWN,
	ORDER_DROP_BOTH,
	ORDER_REFUSE,
	ORDER_TRUNCATE,
	ORDER_SILENCE_OPEN,
	ORDER_CUT_OPEN,
};

/**
 * struct order - tagged union
 * @kind: which member of the union holds
 * @source_ip: only traffic from there, 0 for all
 * @delay_ms: with ORDER_DELAY
 * @left_bytes: with ORDER_TRUNCATE
 */
struct order {
	enum order_kind kind;
	uint32_t source_ip;
	union {
		uint32_t delay_ms;
		uint32_t left_bytes;
	};
};

/**
 * enum rule_kind - transport of a rule
 */
enum rule_kind { RULE_TCP, RULE_UDP };

/**
 * struct rule - one address that is passed on
 * @name: for orders
 * @kind: transport
 * @listen: where peers send
 * @target: where it goes
 * @fd: listening socket
 * @orders: array of struct order, at most one a source
 * @poll_index: place in the poll set
 */
struct rule {
	struct name name;
	enum rule_kind kind;
	struct net_addr listen;
	struct net_addr target;
	int fd;
	GArray *orders;
	uint32_t poll_index;
};

/**
 * rule_parse() - read "name=tcp:IP:PORT:IP:PORT"
 * @rule: filled on success
 * @text: the text
 *
 * Return: whether it is one.
 */
bool rule_parse(struct rule *rule, const char *text);

/**
 * rule_listen() - open a rule's socket
 * @rule: the rule
 *
 * Return: whether it listens.
 */
bool rule_listen(struct rule *rule);

/**
 * rule_set() - put an order in force; it replaces one for the same source
 * @rule: the rule
 * @order: the order
 */
void rule_set(struct rule *rule, const struct order *order);

/**
 * rule_order() - what is in force for a source
 * @rule: the rule
 * @source_ip: the source
 *
 * Return: its own order, else the one for all, else ORDER_PASS.
 */
struct order rule_order(const struct rule *rule, uint32_t source_ip);

/**
 * poll_add() - watch a descriptor in this round
 * @polls: array of struct pollfd
 * @fd: the descriptor
 * @events: what to wait for; 0 leaves it out
 *
 * Return: its place.
 */
uint32_t poll_add(GArray *polls, int fd, int16_t events);

/**
 * poll_events() - what happened to a descriptor
 * @polls: array of struct pollfd
 * @index: its place
 *
 * Return: the events.
 */
int16_t poll_events(const GArray *polls, uint32_t index);

/**
 * socket_from() - make a socket that sends from an address
 * @type: SOCK_STREAM or SOCK_DGRAM
 * @source_ip: its own address; the port is free
 * @target: connected to this without waiting
 *
 * Return: the socket or -1.
 */
int socket_from(int type, uint32_t source_ip, struct net_addr target);

#endif
