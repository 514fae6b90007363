#ifndef QUERY_HOMES_H
#define QUERY_HOMES_H

/**
 * DOC: home sets by rendezvous hashing
 */

#include "core/state.h"

/**
 * homes_choose() - the home set of a service by the published list
 * @state: only read
 * @service: only its document is used
 * @out: peer addresses, best rank first
 *
 * Return: how many.
 */
uint32_t homes_choose(const struct state *state, const struct service *service,
		      struct net_addr out[HOMES_MAX]);

/**
 * homes_rank() - order of the homes for one backend server
 * @service: the service with its homes
 * @backend: the backend server
 * @by_rank: gets indices into service->homes, the first one probes the server
 */
void homes_rank(const struct service *service, struct net_addr backend,
		uint32_t by_rank[HOMES_MAX]);

/**
 * homes_share_slots() - slots of a backend server that belong to one home
 * @service: the service with its homes
 * @backend: the backend server
 * @sharing: how slots are dealt to homes
 * @home: index into service->homes
 * @long_slots: gets how many of them long work may use
 *
 * A dead home's slots go to the next living one in the backend server's order.
 *
 * Return: slots.
 */
uint32_t homes_share_slots(const struct service *service,
			   const struct backend *backend,
			   enum sharing_kind sharing, uint32_t home,
			   uint32_t *long_slots);

#endif
