#ifndef QUERY_ROUTE_H
#define QUERY_ROUTE_H

/**
 * DOC: which service and route a request is for
 */

#include "core/state.h"

/**
 * enum route_result - end of a search
 * @ROUTE_FOUND: a service takes the request
 * @ROUTE_NONE: no service does
 * @ROUTE_UNKNOWN: not enough is known yet to tell
 */
enum route_result { ROUTE_FOUND, ROUTE_NONE, ROUTE_UNKNOWN };

/**
 * struct route_match - what documents and routing table say of a request
 * @service: its service
 * @route_index: its route, DOC_ROUTES_MAX when none covers it
 * @class_index: its class; the lowest when no route covers it
 * @budget_ms: time it has when its caller names no deadline
 * @objective_ms: an answer within this time is worth most, 0 for any time
 * @idempotent: may run more than once
 * @long_work: runs many times longer than the rest
 * @budget_is_limit: @budget_ms holds also when its caller gives more time
 * @tries_max: backend servers it may be sent to
 */
struct route_match {
	struct service *service;
	uint32_t route_index;
	uint32_t class_index;
	uint32_t budget_ms;
	uint32_t objective_ms;
	bool idempotent;
	bool long_work;
	bool budget_is_limit;
	uint32_t tries_max;
};

/**
 * route_find() - match a request by routing table, else by Host, else by path
 * @state: only read
 * @facts: the request
 * @out: filled on success
 *
 * Return: whether a service takes it.
 */
enum route_result route_find(const struct state *state,
			     const struct request_facts *facts,
			     struct route_match *out);

/**
 * class_lowest_priority() - the class that goes last
 * @doc: the document
 *
 * Return: its index.
 */
uint32_t class_lowest_priority(const struct service_doc *doc);

#endif
