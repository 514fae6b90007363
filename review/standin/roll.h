#ifndef REVIEW_ROLL_H
#define REVIEW_ROLL_H

#include "world.h"

/*
 * A deployment of three zones with two services. /duty/ (safe) goes to alpha
 * and later to beta, /swap/ (unsafe) goes to beta. Clients ask every machine
 * all the time; requests sent after the bounds of CONFIG and DRAIN are judged.
 */

#define ROLL_ZONES 3
#define ROLL_CONFIG_MS 2000
#define ROLL_DRAIN_MS 2000
#define ROLL_MAX_SKEW_MS 5000

struct roll_result {
	int late_requests; /* judged: sent after the bound of CONFIG */
	int old_route; /* of these, run by the old service */
	int old_route_skew; /* of these, beyond the stretched bound */
	int drained; /* reached the draining upstream too late */
};

/* Starts upstreams and machines; waits until all are ready and settled. */
void roll_start(int machines_per_zone);
/* Starts the clients of all machines. */
void roll_clients_start(void);
/* The operator moves /duty/ to beta and an upstream of beta drains. */
void roll_change(void);
/* Machines for which this returns false are not judged. */
extern bool (*roll_in_touch)(int instance);
/* Ends the clients and gives the result. */
struct roll_result roll_end(void);

#endif
