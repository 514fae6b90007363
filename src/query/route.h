#ifndef QUERY_ROUTE_H
#define QUERY_ROUTE_H

/**
 * DOC: which service and route a request is for
 */

#include "core/state.h"

/**
 * struct route_match - what the document says of a request
 * @service: its service
 * @route_index: its route, DOC_ROUTES_MAX when none covers it
 * @class_index: its class; the lowest when no route covers it
 * @budget_ms: time it has when its caller names no deadline
 * @idempotent: may run more than once
 * @long_work: runs many times longer than the rest
 */
struct route_match {
	struct service *service;
	uint32_t route_index;
	uint32_t class_index;
	uint32_t budget_ms;
	bool idempotent;
	bool long_work;
};

/**
 * route_find() - match a request by Host, else by path
 * @state: only read
 * @facts: the request
 * @out: filled on success
 *
 * Return: false when no service takes it.
 */
bool route_find(const struct state *state, const struct request_facts *facts,
		struct route_match *out);

/**
 * class_lowest() - the class that goes last
 * @doc: the document
 *
 * Return: its index.
 */
uint32_t class_lowest(const struct service_doc *doc);

#endif
