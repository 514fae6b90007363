#ifndef QUERY_FLOOR_H
#define QUERY_FLOOR_H

/**
 * DOC: the healthy floor and the ejection budget above it
 *
 * The ejection budget is the capacity of a service minus its healthy floor. It
 * is split among the homes in units of whole backend servers, by rank in the
 * home set. Each home starts ejections only within its own budget, so that all
 * homes together stay above the floor even while they cannot reach each other.
 *
 * An ejection is charged to the budget of the home that started it. Other
 * homes that learn of the charge eject the backend server without a charge of
 * their own.
 */

#include "core/state.h"

/**
 * floor_budget_slots() - capacity that all homes together may eject
 * @service: the service
 * @now: current time
 *
 * Return: slots of backend servers that are neither draining nor cold, minus
 * the floor; 0 when they do not exceed the floor.
 */
uint32_t floor_budget_slots(const struct service *service, struct instant now);

/**
 * floor_home_budget_slots() - part of the ejection budget of one home
 * @service: the service
 * @home: index into service->homes
 * @now: current time
 *
 * Return: slots, a multiple of those of the largest backend server.
 */
uint32_t floor_home_budget_slots(const struct service *service, uint32_t home,
				 struct instant now);

/**
 * floor_charged_slots() - slots charged to the budget of this home
 * @service: the service
 * @now: current time
 *
 * Return: slots with a charge in force, or with a released charge that other
 * homes may still rely on.
 */
uint32_t floor_charged_slots(const struct service *service, struct instant now);

/**
 * floor_may_charge() - whether this home's budget allows an ejection
 * @service: the service
 * @backend: backend server to eject
 * @now: current time
 *
 * Return: false when the ejection would exceed the home's budget or leave less
 * capacity in service than the floor.
 */
bool floor_may_charge(const struct service *service,
		      const struct backend *backend, struct instant now);

/**
 * floor_excess_slots() - charges that this home must release
 * @service: the service
 * @now: current time
 *
 * Return: slots charged above this home's budget, or slots charged by all homes
 * above the whole budget, whichever is more.
 */
uint32_t floor_excess_slots(const struct service *service, struct instant now);

/**
 * floor_charged_elsewhere() - whether another home is charged for an ejection
 * @backend: the backend server
 * @now: current time
 *
 * Return: true when a fresh view of another home reports a charge.
 */
bool floor_charged_elsewhere(const struct backend *backend, struct instant now);

/**
 * floor_charged_by_earlier_home() - whether a home of better rank is charged
 * @service: the service
 * @backend: the backend server
 * @now: current time
 *
 * Return: true when a fresh view of a home that stands before this one in the
 * home set reports a charge for the same backend server.
 */
bool floor_charged_by_earlier_home(const struct service *service,
				   const struct backend *backend,
				   struct instant now);

/**
 * floor_preferred_home() - the home that may eject a backend server first
 * @service: the service
 * @backend: the backend server
 * @now: current time
 *
 * Return: index into service->homes of the first home in rendezvous order whose
 * budget covers the backend server; HOMES_MAX when there is none.
 */
uint32_t floor_preferred_home(const struct service *service,
			      const struct backend *backend,
			      struct instant now);

#endif
