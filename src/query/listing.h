#ifndef QUERY_LISTING_H
#define QUERY_LISTING_H

/**
 * DOC: listings for operators and peers
 */

#include "core/report.h"
#include "core/state.h"

/**
 * list_status() - copy what status shows
 * @state: only read
 * @service: one service, or an empty name for all
 * @now: the time
 *
 * Return: an owned report.
 */
struct status_report *list_status(const struct state *state,
				  const struct name *service,
				  struct instant now);

/**
 * list_metrics() - copy the counters
 * @state: only read
 * @now: the time
 *
 * Return: an owned report; dispatch_ring_refused is left to the duty.
 */
struct metrics_report *list_metrics(const struct state *state,
				    struct instant now);

/**
 * list_audit() - copy the kept records after a sequence
 * @state: only read
 * @since_sequence: records above it
 *
 * Return: an owned array of struct audit_record, oldest first.
 */
GArray *list_audit(const struct state *state, uint64_t since_sequence);

/**
 * list_offers() - what documents this instance holds
 * @state: only read
 *
 * Return: an owned array of struct config_offer, by key.
 */
GArray *list_offers(const struct state *state);

/**
 * offer_find() - version and hash of one document held
 * @state: only read
 * @key: service, or ROUTING_KEY for the routing table
 * @offer: filled on success
 *
 * Return: false when this instance does not hold it.
 */
bool offer_find(const struct state *state, const struct name *key,
		struct config_offer *offer);

/**
 * list_instances() - the published list as it was last read
 * @state: only read
 *
 * Return: an owned array of struct instance_doc, empty while none is known.
 */
GArray *list_instances(const struct state *state);

/**
 * members_digest() - one hash over this instance and the members not dead
 * @state: only read
 *
 * Return: the same on instances that know the same members.
 */
uint64_t members_digest(const struct state *state);

/**
 * offers_digest() - one hash over all documents held
 * @state: only read
 *
 * Return: the same on instances that hold the same.
 */
uint64_t offers_digest(const struct state *state);

#endif
