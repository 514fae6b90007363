#ifndef PROCESS_INVARIANTS_H
#define PROCESS_INVARIANTS_H

/**
 * DOC: checks of what must hold under any fault, from the callers' records, the
 * run log of the backend servers and the status of the instances
 */

#include "callers.h"

/**
 * struct outcome_counts - number of requests by outcome
 * @complete: outcome "complete"
 * @not_run: outcome "not-run"
 * @unknown: outcome "unknown"
 * @broken: no complete answer was received
 */
struct outcome_counts {
	uint32_t complete = 0;
	uint32_t not_run = 0;
	uint32_t unknown = 0;
	uint32_t broken = 0;
};

/**
 * check_outcomes() - check each request's outcome against the run log
 * @records: the callers' records
 * @runs: number of executions by request id
 *
 * No caller gets an answer to another request; a POST ran at most once; a
 * request with outcome "complete" ran and has its own answer; one with outcome
 * "not-run" did not run; each complete answer has an outcome.
 *
 * Return: number of requests by outcome.
 */
struct outcome_counts
check_outcomes(const std::vector<struct call_record> &records,
	       const std::map<std::string, uint32_t> &runs);

/**
 * check_none_broken_off() - check that each request to an instance was answered
 * @records: the callers' records
 * @entry: caller address of the instance
 */
void check_none_broken_off(const std::vector<struct call_record> &records,
			   const std::string &entry);

/**
 * check_no_work_after() - check that a backend server began no late work
 * @runs: run log of the backend servers
 * @port: port of the backend server
 * @after_unix_us: last permitted begin, microseconds since the Unix epoch
 */
void check_no_work_after(const std::vector<struct run_record> &runs,
			 uint16_t port, uint64_t after_unix_us);

/**
 * check_drain_notice() - check that drain notices in answers are obeyed
 * @records: the callers' records
 * @arrivals: all requests that backend servers received
 * @port: port of the backend server that drains
 * @from_unix_us: time from which its answers carry the drain notice,
 *	microseconds since the Unix epoch
 * @bound_ms: time that an instance has to act on the notice
 * @recorded_unix_us: times at which instances recorded that the server drains,
 *	by caller address, microseconds since the Unix epoch
 *
 * An instance has the notice when its caller has an answer of the server or
 * when it has recorded it, which it also does when a peer has the notice. The
 * server must not receive a request that a caller sent to this instance later
 * than @bound_ms after that.
 *
 * Return: times at which instances had the notice, by caller address,
 * microseconds since the Unix epoch.
 */
std::map<std::string, uint64_t>
check_drain_notice(const std::vector<struct call_record> &records,
		   const std::vector<struct run_record> &arrivals,
		   uint16_t port, uint64_t from_unix_us, uint64_t bound_ms,
		   const std::map<std::string, uint64_t> &recorded_unix_us);

/**
 * check_pause_notice() - check that Retry-After in refusals is obeyed
 * @records: the callers' records
 * @arrivals: all requests that backend servers received
 * @port: port of the backend server that refuses
 *
 * From 500 ms after the refusal until the pause ends, the refused instance
 * sends at most two requests to the server.
 *
 * Return: number of instances that got such a refusal.
 */
uint32_t check_pause_notice(const std::vector<struct call_record> &records,
			    const std::vector<struct run_record> &arrivals,
			    uint16_t port);

/**
 * class status_observer - checks the status of all instances during a test
 *
 * Checks that no instance goes back to an older version, and that the backend
 * servers that no instance has ejected have the slots of the healthy floor.
 */
class status_observer {
    public:
	explicit status_observer(const fleet &fleet);
	~status_observer();

	/* Forgets the version of an instance that is about to restart. */
	void reset_version(uint32_t index);
	/* Ends the thread. */
	void stop();

    private:
	void run();
	void check_status();

	const fleet &system;
	std::atomic<bool> stopping;
	std::mutex lock;
	std::vector<uint64_t> versions;
	uint32_t below_floor_rounds;
	std::thread thread;
};

#endif
