#ifndef BENCH_FLEET_H
#define BENCH_FLEET_H

/**
 * DOC: instances, backend servers and platform of one measurement
 */

#include <glib.h>

#include "core/document.h"

#define FLEET_INSTANCES_MAX 40
#define FLEET_BACKENDS_MAX 32

/**
 * struct fleet_plan - sizes and ways
 * @service: key of the document
 * @instances: how many
 * @domains: failure domains, instances and backend servers in turn
 * @backends: how many
 * @slots: of each backend server
 * @work_ms: time of a request that names none
 * @policy: word of the settings
 * @rest: classes, routes and the like, members of the document
 * @seed: of instances and stand-ins
 */
struct fleet_plan {
	const char *service;
	uint32_t instances;
	uint32_t domains;
	uint32_t backends;
	uint32_t slots;
	uint32_t work_ms;
	const char *policy;
	const char *rest;
	uint32_t seed;
};

/**
 * struct fleet - what runs
 * @instances: where callers connect
 * @instance_ids: processes
 * @settings: paths of their settings files, while they start
 * @instance_count: used entries of these
 * @backends: backend servers
 * @backend_count: used entries of @backends
 * @platform_id: process of the configuration service
 * @backend_id: process of the backend servers
 * @operator_port: of the first instance, the others follow
 */
struct fleet {
	struct net_addr instances[FLEET_INSTANCES_MAX];
	int32_t instance_ids[FLEET_INSTANCES_MAX];
	char *settings[FLEET_INSTANCES_MAX];
	uint32_t instance_count;
	struct net_addr backends[FLEET_BACKENDS_MAX];
	uint32_t backend_count;
	int32_t platform_id;
	int32_t backend_id;
	uint16_t operator_port;
};

/**
 * fleet_start() - start everything and wait until all instances are ready
 * @plan: the plan
 *
 * Return: to be ended with fleet_stop().
 */
struct fleet *fleet_start(const struct fleet_plan *plan);

/**
 * fleet_stop() - end all processes and free the fleet
 * @fleet: the fleet
 */
void fleet_stop(struct fleet *fleet);

/**
 * fleet_cpu_us() - CPU time of all instances so far
 * @fleet: the fleet
 *
 * Return: microseconds.
 */
uint64_t fleet_cpu_us(const struct fleet *fleet);

#endif
