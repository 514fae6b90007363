#ifndef QUERY_PICK_H
#define QUERY_PICK_H

/**
 * DOC: choice of a slot for a waiting request
 */

#include "core/state.h"

/**
 * struct pick - a free slot
 * @backend_index: backend server of the slot, index into service->backends
 * @borrowed_index: index into service->borrowed, TICKET_NONE for an own slot
 * @left_idle: chosen because the backend server was left without work
 * @choice: counts of the backend servers that were considered, for the trace
 */
struct pick {
	uint32_t backend_index;
	uint32_t borrowed_index;
	bool left_idle;
	struct trace_choice choice;
};

/**
 * pick_slot() - find a slot for a request
 * @state: read only, except for its random number generator
 * @service: service of the request
 * @ticket: the request
 * @now: current time
 * @out: filled in on success
 *
 * Own slots are preferred to borrowed ones.
 *
 * Return: false when no suitable slot is free now.
 */
bool pick_slot(const struct state *state, const struct service *service,
	       const struct ticket *ticket, struct instant now,
	       struct pick *out);

/**
 * backend_lendable_slots() - free own slots that may be lent to other instances
 * @backend: the backend server
 * @now: current time
 *
 * Lent slots count as used by long requests, so that this instance keeps the
 * slots reserved for short ones.
 *
 * Return: number of slots; 0 for a backend server in HEALTH_TRICKLE or under
 * caution.
 */
uint32_t backend_lendable_slots(const struct backend *backend,
				struct instant now);

/**
 * service_usable_slots() - slots that this instance may use at the same time
 * @service: the service
 * @now: current time
 *
 * Return: open own slots that are not lent, plus borrowed slots.
 */
uint32_t service_usable_slots(const struct service *service,
			      struct instant now);

/**
 * service_expected_wait_us() - expected wait for a slot at the current rate
 * @service: the service
 * @ahead_requests: requests that get a slot earlier
 * @now: current time
 *
 * Return: microseconds; 0 also when they cannot be estimated, as no slot is
 * usable or no service time is known.
 */
uint64_t service_expected_wait_us(const struct service *service,
				  uint32_t ahead_requests, struct instant now);

/**
 * service_backlogged() - whether a service has a backlog
 * @service: the service
 * @now: current time
 *
 * Return: true when the expected wait of a new request exceeds the mean time
 * that requests take on a slot.
 */
bool service_backlogged(const struct service *service, struct instant now);

#endif
