#ifndef QUERY_HOMES_H
#define QUERY_HOMES_H

/**
 * DOC: home sets by rendezvous hashing, and shares of slots
 */

#include "core/state.h"

/**
 * homes_choose() - home set of a service, from the published instance list
 * @state: read only
 * @service: the service, of which only the document is used
 * @out: gets peer addresses, best rank first
 *
 * Return: number of entries in @out.
 */
uint32_t homes_choose(const struct state *state, const struct service *service,
		      struct net_addr out[HOMES_MAX]);

/**
 * homes_rank() - order the homes of a service for one backend server
 * @service: the service with its homes
 * @backend: address of the backend server
 * @by_rank: gets indices into service->homes by rank; the home of the first
 *	rank probes the backend server
 */
void homes_rank(const struct service *service, struct net_addr backend,
		uint32_t by_rank[HOMES_MAX]);

/**
 * homes_share_slots() - one home's share of a backend server's slots
 * @service: the service with its homes
 * @backend: the backend server
 * @sharing: rule that assigns slots to homes
 * @home: index into service->homes
 * @long_slots: gets the number of slots in the share that long requests may use
 *
 * The slots of a dead home go to the next one alive in the backend server's
 * order.
 *
 * Return: number of slots in the share; 0 when @home is no home or has none.
 */
uint32_t homes_share_slots(const struct service *service,
			   const struct backend *backend,
			   enum sharing_kind sharing, uint32_t home,
			   uint32_t *long_slots);

#endif
