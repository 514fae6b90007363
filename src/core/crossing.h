#ifndef CORE_CROSSING_H
#define CORE_CROSSING_H

/**
 * DOC: requests of one service that go to other failure domains
 */

#include "core/ids.h"

#define CROSSING_DOMAINS_MAX 8
/* In place of an index: a backend server that no request crosses to. */
#define CROSSING_DOMAIN_NONE UINT32_MAX

/**
 * enum crossing_reason - why requests go to other failure domains
 * @CROSSING_NONE: they do not
 * @CROSSING_NO_SERVER: the own domain has no backend server that takes work
 * @CROSSING_UNHEALTHY: those of the own domain are ejected or avoided, or so
 *	many tries there fail that a try elsewhere is expected to be faster
 * @CROSSING_WAITING: waiting in the own domain costs more than the crossing
 */
enum crossing_reason {
	CROSSING_NONE,
	CROSSING_NO_SERVER,
	CROSSING_UNHEALTHY,
	CROSSING_WAITING,
	CROSSING_REASON_COUNT,
};

/**
 * struct crossing_domain - requests sent to one other failure domain
 * @name: the failure domain
 * @part_requests: requests that this instance may have there at the same time
 * @running_requests: requests that hold a slot there
 * @requests: requests sent there, by reason
 */
struct crossing_domain {
	struct name name;
	uint32_t part_requests;
	uint32_t running_requests;
	uint64_t requests[CROSSING_REASON_COUNT];
};

/**
 * struct crossing_plan - which requests may go to other failure domains now
 * @reason: CROSSING_NONE while none need to go
 * @keep_requests: requests that stay in the queue, as their expected wait does
 *	not cost more than the crossing
 * @prefer_across: other domains are tried before free slots of the own one
 * @unlimited: the parts of the domains do not apply
 * @here_us: expected time of one more request in the own domain
 * @there_us: expected time elsewhere, with the cost of the crossing, or half of
 *	it while a crossing is in progress
 * @part_requests: requests that may run in each domain at the same time
 */
struct crossing_plan {
	enum crossing_reason reason;
	uint32_t keep_requests;
	bool prefer_across;
	bool unlimited;
	uint64_t here_us;
	uint64_t there_us;
	uint32_t part_requests[CROSSING_DOMAINS_MAX];
};

/**
 * struct crossing - state of the crossing of one service
 * @reason: reason of the crossing in progress, CROSSING_NONE if there is none
 * @plan: last decision
 * @decide_us: when the next decision is due while the own domain has free slots
 * @ends_us: end of the crossing if it is not needed again before
 * @open_until_us: until then other domains are used without regard to the
 *	cost, as a request would have been refused
 * @failed_us: moving average of the time that a failed try holds a slot
 * @crossed_permille: moving average of the share of grants that crossed
 * @domains: other failure domains with backend servers of the service
 * @domain_count: used entries of @domains, which are never removed
 */
struct crossing {
	enum crossing_reason reason;
	struct crossing_plan plan;
	uint64_t decide_us;
	uint64_t ends_us;
	uint64_t open_until_us;
	uint64_t failed_us;
	uint32_t crossed_permille;
	struct crossing_domain domains[CROSSING_DOMAINS_MAX];
	uint32_t domain_count;
};

/**
 * crossing_reason_text() - name of a reason in metrics
 * @reason: reason of a crossing
 *
 * Return: static text such as "waiting".
 */
const char *crossing_reason_text(enum crossing_reason reason);

#endif
