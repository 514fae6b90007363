#ifndef STANDIN_FAULT_TCP_H
#define STANDIN_FAULT_TCP_H

/**
 * DOC: connections through the fault proxy
 */

#include "fault_rule.h"

/**
 * tcp_accept() - take the connections that wait at a rule
 * @rule: the rule
 */
void tcp_accept(struct rule *rule);

/**
 * tcp_poll() - add all connections to the poll set
 * @polls: array of struct pollfd
 * @now_us: boot-time now
 *
 * Return: boot-time deadline of the next delayed byte.
 */
uint64_t tcp_poll(GArray *polls, uint64_t now_us);

/**
 * tcp_move() - move bytes as far as the faults let them
 * @polls: the poll set after poll()
 * @now_us: boot-time now
 */
void tcp_move(const GArray *polls, uint64_t now_us);

/**
 * tcp_order() - carry out an order on the open connections
 * @rule: its rule
 * @order: the order
 */
void tcp_order(const struct rule *rule, const struct order *order);

#endif
