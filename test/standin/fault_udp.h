#ifndef STANDIN_FAULT_UDP_H
#define STANDIN_FAULT_UDP_H

/**
 * DOC: UDP datagrams through the fault proxy
 */

#include "fault_rule.h"

/**
 * udp_receive() - receive and forward the pending datagrams of a rule
 * @rule: the rule
 * @now_us: current boot time
 */
void udp_receive(struct rule *rule, uint64_t now_us);

/**
 * udp_poll() - add all sessions to the poll set
 * @polls: array of struct pollfd
 *
 * Return: boot-time deadline of the next delayed datagram, DEADLINE_NONE_US if
 * there is none.
 */
uint64_t udp_poll(GArray *polls);

/**
 * udp_forward() - forward replies to senders and send delayed datagrams that
 *	are due
 * @polls: the poll set after poll()
 * @now_us: current boot time
 */
void udp_forward(const GArray *polls, uint64_t now_us);

#endif
