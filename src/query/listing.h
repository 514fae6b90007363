#ifndef QUERY_LISTING_H
#define QUERY_LISTING_H

/**
 * DOC: copies of the routing state for operators and peers
 */

#include "core/report.h"
#include "core/state.h"

/**
 * list_status() - report on services, backend servers and instances
 * @state: read only
 * @service: one service, or an empty name for all
 * @now: current time
 *
 * Return: report, to be freed with status_report_free().
 */
struct status_report *list_status(const struct state *state,
				  const struct name *service,
				  struct instant now);

/**
 * list_metrics() - copy the counters
 * @state: read only
 * @now: current time
 *
 * Return: report, to be freed with metrics_report_free(). The dispatch thread
 * fills in dispatch_ring_refused.
 */
struct metrics_report *list_metrics(const struct state *state,
				    struct instant now);

/**
 * list_audit() - copy the audit records after a sequence number
 * @state: read only
 * @since_sequence: only records with a greater sequence number are copied
 *
 * Return: new array of struct audit_record, oldest first, owned by the caller.
 * Records that are not kept any more are missing.
 */
GArray *list_audit(const struct state *state, uint64_t since_sequence);

/**
 * list_offers() - versions of the documents that this instance holds
 * @state: read only
 *
 * Return: new array of struct config_offer, sorted by key, owned by the caller.
 */
GArray *list_offers(const struct state *state);

/**
 * offer_find() - version and hash of one document
 * @state: read only
 * @key: service name, or ROUTING_KEY for the routing table
 * @offer: filled in on success
 *
 * Return: false when this instance does not hold the document.
 */
bool offer_find(const struct state *state, const struct name *key,
		struct config_offer *offer);

/**
 * list_instances() - published list of instances as last read; with seed
 *	discovery, this instance and the members that are neither dead nor
 *	leaving
 * @state: read only
 *
 * Return: new array of struct instance_doc, owned by the caller; empty while no
 * list is known.
 */
GArray *list_instances(const struct state *state);

/**
 * members_digest() - hash over this instance and all members alive or suspected
 * @state: read only
 *
 * This instance is left out while it is leaving.
 *
 * Return: the same value on all instances that know the same members.
 */
uint64_t members_digest(const struct state *state);

/**
 * offers_digest() - hash over the keys, versions and contents of all documents
 * @state: read only
 *
 * Return: the same value on all instances that hold the same documents.
 */
uint64_t offers_digest(const struct state *state);

#endif
