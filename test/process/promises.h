#ifndef PROCESS_PROMISES_H
#define PROCESS_PROMISES_H

/**
 * DOC: what must always hold, checked from the callers' records, the backend
 * servers' run log and the instances' status
 */

#include "callers.h"

/**
 * struct call_counts - how requests ended
 */
struct call_counts {
	uint32_t complete = 0;
	uint32_t not_run = 0;
	uint32_t unknown = 0;
	uint32_t broken = 0;
};

/**
 * check_calls() - whole own answers, not-run never run, at most once
 * @records: the callers' records
 * @runs: how often each request id ran
 *
 * Return: how the requests ended.
 */
struct call_counts check_calls(const std::vector<struct call_record> &records,
			       const std::map<std::string, uint32_t> &runs);

/**
 * check_none_cut() - no request that was sent to an instance broke off
 * @records: the callers' records
 * @entry: the instance's caller address
 */
void check_none_cut(const std::vector<struct call_record> &records,
		    const std::string &entry);

/**
 * check_drained() - a backend server began no work after a point in time
 * @runs: the run log
 * @port: the backend server
 * @after_unix_us: the point in time
 */
void check_drained(const std::vector<struct run_record> &runs, uint16_t port,
		   uint64_t after_unix_us);

/**
 * check_said_drain() - once a backend server's answer has gone to a caller with its
 *	word that it drains, that instance sends it nothing that comes later
 * @records: the callers' records
 * @arrivals: what came to backend servers
 * @port: the backend server
 * @from_unix_us: since when its answers say so
 * @bound_ms: time that an instance has
 *
 * Return: how many instances were told.
 */
uint32_t check_said_drain(const std::vector<struct call_record> &records,
			  const std::vector<struct run_record> &arrivals,
			  uint16_t port, uint64_t from_unix_us,
			  uint64_t bound_ms);

/**
 * check_paused() - after a refusal with a pause the instance that was refused sends
 *	at most two requests until its end
 * @records: the callers' records
 * @arrivals: what came to backend servers, with what their refusals said
 * @port: the backend server
 *
 * Return: how many instances were refused so.
 */
uint32_t check_paused(const std::vector<struct call_record> &records,
		      const std::vector<struct run_record> &arrivals,
		      uint16_t port);

/**
 * class observer - watches all instances' status while a test runs
 *
 * Checks that no version reverts and that ejections, all instances' taken
 * together, leave the floor.
 */
class observer {
    public:
	explicit observer(const fleet &fleet);
	~observer();

	/* Forgets an instance's version: it starts anew. */
	void restarted(uint32_t index);
	void stop();

    private:
	void run();
	void look();

	const fleet &system;
	std::atomic<bool> stopping;
	std::mutex lock;
	std::vector<uint64_t> versions;
	uint32_t below_floor;
	std::thread thread;
};

#endif
