#ifndef STANDIN_FAULT_TCP_H
#define STANDIN_FAULT_TCP_H

/**
 * DOC: TCP connections through the fault proxy
 */

#include "fault_rule.h"

/**
 * tcp_accept() - accept the pending connections of a rule
 * @rule: the rule
 */
void tcp_accept(struct rule *rule);

/**
 * tcp_poll() - add all connections to the poll set
 * @polls: array of struct pollfd
 * @now_us: current boot time
 *
 * Return: boot-time deadline of the next delayed bytes, DEADLINE_NONE_US if
 * there are none.
 */
uint64_t tcp_poll(GArray *polls, uint64_t now_us);

/**
 * tcp_forward() - forward bytes as far as the faults allow
 * @polls: the poll set after poll()
 * @now_us: current boot time
 */
void tcp_forward(const GArray *polls, uint64_t now_us);

/**
 * tcp_apply_fault() - apply a newly requested fault to the open connections
 * @rule: rule of the connections
 * @fault: the fault
 *
 * Restarts the count of bytes from the target that TRAFFIC_TRUNCATE compares
 * with its limit.
 */
void tcp_apply_fault(const struct rule *rule,
		     const struct traffic_fault *fault);

#endif
