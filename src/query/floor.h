#ifndef QUERY_FLOOR_H
#define QUERY_FLOOR_H

/**
 * DOC: the healthy floor and the budget of ejections above it
 *
 * What may be ejected, capacity less floor, is split among the homes in units
 * of whole backend servers, by rank in the home set. Each home begins
 * ejections only within its own part, so all homes together stay above the
 * floor whether they hear each other or not.
 */

#include "core/state.h"

/**
 * floor_budget_slots() - capacity that all homes together may eject
 * @service: the service
 * @now: the time
 *
 * Return: slots neither draining nor cold above the floor, 0 when there are
 * none.
 */
uint32_t floor_budget_slots(const struct service *service, struct instant now);

/**
 * floor_home_budget_slots() - part of the budget that a home may begin ejections with
 * @service: the service
 * @home: index into service->homes
 * @now: the time
 *
 * Return: a multiple of the largest backend server's slots.
 */
uint32_t floor_home_budget_slots(const struct service *service, uint32_t home,
				 struct instant now);

/**
 * floor_charged_slots() - what this home has used of its part
 * @service: the service
 * @now: the time
 *
 * Return: slots charged, and given back but still relied on.
 */
uint32_t floor_charged_slots(const struct service *service, struct instant now);

/**
 * floor_may_charge() - whether this home's part covers one more ejection
 * @service: the service
 * @backend: whom it would eject
 * @now: the time
 *
 * Return: false when its part or the floor would be crossed.
 */
bool floor_may_charge(const struct service *service,
		      const struct backend *backend, struct instant now);

/**
 * floor_excess_slots() - charges that must be given back
 * @service: the service
 * @now: the time
 *
 * Return: charges above the own part, or what lacks to the floor because of
 * all homes' charges, whichever is more.
 */
uint32_t floor_excess_slots(const struct service *service, struct instant now);

/**
 * floor_charged_elsewhere() - whether another home pays for an ejection
 * @backend: the backend server
 * @now: the time
 *
 * Return: true when a fresh view says so.
 */
bool floor_charged_elsewhere(const struct backend *backend, struct instant now);

/**
 * floor_charged_by_earlier_home() - whether a home of better rank pays too
 * @service: the service
 * @backend: the backend server
 * @now: the time
 *
 * Return: true when a fresh view of a home before this one says so.
 */
bool floor_charged_by_earlier_home(const struct service *service,
				   const struct backend *backend,
				   struct instant now);

/**
 * floor_preferred_home() - the home that ejects a backend server first
 * @service: the service
 * @backend: the backend server
 * @now: the time
 *
 * Return: index into service->homes, among those whose part is large enough;
 * HOMES_MAX when there is none.
 */
uint32_t floor_preferred_home(const struct service *service,
			      const struct backend *backend,
			      struct instant now);

#endif
