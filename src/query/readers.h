#ifndef QUERY_READERS_H
#define QUERY_READERS_H

/**
 * DOC: selection of the instances that read from the platform
 *
 * The readers fetch documents and the instance list from the platform for all
 * instances. There is one reader in each failure domain, or several when there
 * are few domains, so the platform's load grows with the number of failure
 * domains and not with the number of instances.
 *
 * Instances read in the order of their ranks. The instances next in rank after
 * a reader, its successors, count it as a reader only while they hear from it
 * that the platform answers it, whatever else they know of it; so they replace
 * one that is lost, paused, cut off or refused by the platform in the same way.
 */

#include "core/state.h"

/*
 * Most successors of a reader. More than half of a fleet may be lost at once, and
 * those next in rank with it.
 */
#define READERS_SUCCESSORS_MAX 10
/*
 * Number of instances of a failure domain that try at the same time while none
 * of them can reach the platform. Without this limit all instances would call a
 * platform that is down.
 */
#define READERS_TRYING_MAX 3

/**
 * readers_own_role() - reader role of this instance
 * @state: read only
 * @now: current time
 *
 * Return: READER_FIRST for one instance of the fleet, READER_STANDBY for the
 * other readers; READER_NONE for the rest, while this instance backs off, and while
 * no instance list is known.
 */
enum reader_role readers_own_role(const struct state *state,
				  struct instant now);

/**
 * readers_idle_before() - instances that may be about to begin to read
 * @state: read only
 * @now: current time
 *
 * Return: number of live instances whose successor this one is, and that do not
 * read.
 */
uint32_t readers_idle_before(const struct state *state, struct instant now);

/**
 * readers_successors() - instances that take over from this one
 * @state: read only
 * @successors: filled with members of @state, nearest in rank first
 *
 * Return: used entries of @successors.
 */
uint32_t
readers_successors(const struct state *state,
		   const struct member *successors[READERS_SUCCESSORS_MAX]);

/**
 * readers_domain_size() - number of live instances in the own failure domain
 * @state: read only
 *
 * Return: at least 1, for this instance.
 */
uint32_t readers_domain_size(const struct state *state);

/**
 * readers_rank() - rank of an instance
 * @peer: peer address of the instance
 *
 * Return: number that is the same on every instance; the instances with the
 * lowest ones read the platform.
 */
uint64_t readers_rank(struct net_addr peer);

#endif
