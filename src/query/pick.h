#ifndef QUERY_PICK_H
#define QUERY_PICK_H

/**
 * DOC: which slot a waiting request gets
 */

#include "core/state.h"

/**
 * struct pick - a free slot
 * @backend_index: whose
 * @borrowed_index: entry of the service's borrowed slots, TICKET_NONE for own
 * @choice: what there was to choose from
 */
struct pick {
	uint32_t backend_index;
	uint32_t borrowed_index;
	struct trace_choice choice;
};

/**
 * pick_slot() - find a slot for a request
 * @state: only read, but for its random numbers
 * @service: its service
 * @ticket: the request
 * @now: the time
 * @out: filled on success
 *
 * Own slots go before borrowed ones.
 *
 * Return: false when there is none now.
 */
bool pick_slot(const struct state *state, const struct service *service,
	       const struct ticket *ticket, struct instant now,
	       struct pick *out);

/**
 * backend_lendable_slots() - own slots that may go to another instance
 * @backend: the backend server
 * @now: the time
 *
 * Return: slots; lent ones count as long work, so that the reserve for short
 * work stays here.
 */
uint32_t backend_lendable_slots(const struct backend *backend,
				struct instant now);

/**
 * service_usable_slots() - slots that this instance may use at once
 * @service: the service
 * @now: the time
 *
 * Return: open own ones that are not lent, and borrowed ones.
 */
uint32_t service_usable_slots(const struct service *service,
			      struct instant now);

/**
 * service_expected_wait_us() - how long requests wait for a slot, as grants go now
 * @service: the service
 * @ahead_requests: how many go before
 * @now: the time
 *
 * Return: 0 when nothing is known.
 */
uint64_t service_expected_wait_us(const struct service *service,
				  uint32_t ahead_requests, struct instant now);

/**
 * service_backlogged() - whether those who wait need longer than the work takes
 * @service: the service
 * @now: the time
 *
 * Return: true under a peak.
 */
bool service_backlogged(const struct service *service, struct instant now);

#endif
