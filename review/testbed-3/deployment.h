#ifndef DEPLOYMENT_H
#define DEPLOYMENT_H

/**
 * DOC: a small deployment in three zones with one service
 */

#include "testbed.h"

#define SERVICE "roster-desk"
/* Memory of a machine of the site huon-ledger. */
#define MEMORY_MB 260
/* Bound of a client's body in the configuration of that site. */
#define BODY_MAX_BYTES 67108864

extern const char *const DEPLOYMENT_ZONES[];

/* Number of instances, three if a case does not change it. */
extern uint32_t deployment_instances;

/* Starts the instances, zone by zone, and waits until all are ready. */
void deployment_start(void);
/* Writes the configuration of deployment_open() with a version. */
void deployment_configure(uint32_t version, uint32_t timeout_ms);
/**
 * deployment_open() - start store, upstreams and instances, and wait until all
 *	instances are ready
 * @per_zone: upstreams in each zone
 * @slots: slots of each upstream
 * @timeout_ms: timeout of both routes
 *
 * The host small.example has a safe route /read/ and an unsafe one /write/.
 */
void deployment_open(uint32_t per_zone, uint32_t slots, uint32_t timeout_ms);

#endif
