#ifndef BENCH_FLEET_H
#define BENCH_FLEET_H

/**
 * DOC: processes of a measurement: instances, backend servers and the platform
 */

#include <glib.h>

#include "core/document.h"

#define FLEET_INSTANCES_MAX 40
#define FLEET_BACKENDS_MAX 32

/**
 * struct fleet_plan - sizes and settings of a fleet
 * @service: name of the service, key of its document
 * @instances: number of instances
 * @domains: number of failure domains; instances and backend servers are
 *	assigned to them in turn
 * @backends: number of backend servers
 * @slots: slots of each backend server
 * @work_ms: service time of a request that does not ask for another
 * @policy: value of the setting "policy" of the instances
 * @document_members: JSON members to add to the service's document: classes,
 *	routes, default budget
 * @seed: seed of the backend servers; instance i gets this plus i
 */
struct fleet_plan {
	const char *service;
	uint32_t instances;
	uint32_t domains;
	uint32_t backends;
	uint32_t slots;
	uint32_t work_ms;
	const char *policy;
	const char *document_members;
	uint32_t seed;
};

/**
 * struct fleet - a running fleet
 * @instances: addresses where callers connect
 * @instance_pids: process ids of the instances
 * @settings_paths: paths of their settings files, valid until all are ready
 * @instance_count: used entries of the three arrays above
 * @backends: addresses of the backend servers
 * @backend_count: used entries of @backends
 * @platform_pid: process id of the configuration service
 * @backends_pid: process id of the stand-in that runs all backend servers
 * @first_operator_port: operator port of instance 0; instance i listens on
 *	this plus i
 */
struct fleet {
	struct net_addr instances[FLEET_INSTANCES_MAX];
	int32_t instance_pids[FLEET_INSTANCES_MAX];
	char *settings_paths[FLEET_INSTANCES_MAX];
	uint32_t instance_count;
	struct net_addr backends[FLEET_BACKENDS_MAX];
	uint32_t backend_count;
	int32_t platform_pid;
	int32_t backends_pid;
	uint16_t first_operator_port;
};

/**
 * fleet_start() - start all processes and wait until all instances are ready
 * @plan: sizes and settings
 *
 * Aborts the program when a process is not ready within 10 s.
 *
 * Return: the fleet; fleet_stop() ends and frees it.
 */
struct fleet *fleet_start(const struct fleet_plan *plan);

/**
 * fleet_stop() - kill all processes and free the fleet
 * @fleet: fleet to stop
 */
void fleet_stop(struct fleet *fleet);

/**
 * fleet_cpu_us() - CPU time that all instances have used since their start
 * @fleet: running fleet
 *
 * Return: sum of user and system time, in microseconds.
 */
uint64_t fleet_cpu_us(const struct fleet *fleet);

#endif
