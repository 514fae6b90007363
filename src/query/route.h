#ifndef QUERY_ROUTE_H
#define QUERY_ROUTE_H

/**
 * DOC: matching of requests to services and routes
 */

#include "core/state.h"

/**
 * enum route_result - result of the search for a service
 * @ROUTE_FOUND: a service handles the request
 * @ROUTE_NONE: no service does
 * @ROUTE_REJECTED: the platform has configured for it what cannot be used
 * @ROUTE_DENIED: the route needs the key of a customer, and the request has none
 * @ROUTE_UNKNOWN: the documents needed to decide have not been received yet
 */
enum route_result {
	ROUTE_FOUND,
	ROUTE_NONE,
	ROUTE_REJECTED,
	ROUTE_DENIED,
	ROUTE_UNKNOWN,
};

/**
 * struct route_match - properties of a request by documents and routing table
 * @service: service that handles it, owned by the state
 * @customer: customer of the request, owned by the routing table; NULL if none
 *	is known
 * @weight_milli: weight of the customer in fair queueing; 0 if no customers are
 *	configured
 * @drop_credentials: the backend server must not get the credentials
 * @route_index: route in the service's document, or index of the typical time
 *	of a routing table's route; DOC_ROUTES_MAX when no route matches
 * @class_index: class in the service's document; the lowest when no route
 *	matches
 * @budget_ms: time allowed when the caller sets no deadline
 * @objective_ms: target for the time to the answer, 0 for none
 * @idempotent: may be executed more than once
 * @long_work: takes many times longer than other requests
 * @budget_is_limit: @budget_ms applies even if the caller allows more time
 * @tries_max: limit of backend servers it may be sent to
 */
struct route_match {
	struct service *service;
	const struct customer *customer;
	uint32_t weight_milli;
	bool drop_credentials;
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
 * @state: read only, except for its random number generator
 * @facts: method, host and path of the request
 * @out: filled in with ROUTE_FOUND
 *
 * Return: whether a service handles the request.
 */
enum route_result route_find(const struct state *state,
			     const struct request_facts *facts,
			     struct route_match *out);

/**
 * class_lowest_priority() - class of a service that is served last
 * @doc: document of the service
 *
 * Return: index into doc->classes.
 */
uint32_t class_lowest_priority(const struct service_doc *doc);

#endif
