#ifndef PROCESS_CALLERS_H
#define PROCESS_CALLERS_H

/**
 * DOC: concurrent callers that record each request and its result
 */

#include <atomic>
#include <mutex>
#include <thread>

#include "fleet.h"

/**
 * struct load_profile - load that the callers generate
 * @callers: number of callers, each with one request at a time
 * @gap_ms: time between an answer and the next request
 * @work_ms: processing time that the backend server is asked to take
 * @fill_bytes: least length of the padding in the answer, which repeats the
 *	request id
 * @body_bytes: length of the body of a POST
 * @post_percent: percentage of POST requests, which are not idempotent; the
 *	rest are GET
 * @fixed_instance: index of the only instance to use; -1 to use the entries
 *	answer
 * @timeout_ms: time-out of a request at the caller
 */
struct load_profile {
	uint32_t callers = 6;
	uint32_t gap_ms = 5;
	uint32_t work_ms = 5;
	uint32_t fill_bytes = 100;
	uint32_t body_bytes = 100;
	uint32_t post_percent = 50;
	int32_t fixed_instance = -1;
	uint32_t timeout_ms = 6000;
};

/**
 * enum answer_owner - which request an answer belongs to
 * @ANSWER_NONE: no complete answer of a backend server
 * @ANSWER_OWN: the answer to this request, unchanged
 * @ANSWER_FOREIGN: an answer to another request, or an altered one
 */
enum answer_owner { ANSWER_NONE, ANSWER_OWN, ANSWER_FOREIGN };

/**
 * struct call_record - one request as its caller saw it
 * @id: unique request id
 * @method: request method
 * @entry: address "ip:port" of the instance that was used
 * @begin_unix_us: time of sending, microseconds since the Unix epoch
 * @end_unix_us: time of the answer or error, microseconds since the Unix epoch
 * @code: 0 if a complete answer was received, else the CURLcode
 * @status: HTTP status
 * @outcome: value of the Nutmegcrank-Outcome header
 * @error: error code in the body of a refusal
 * @owner: which request the answer belongs to
 */
struct call_record {
	std::string id;
	std::string method;
	std::string entry;
	uint64_t begin_unix_us;
	uint64_t end_unix_us;
	int code;
	uint32_t status;
	std::string outcome;
	std::string error;
	enum answer_owner owner;
};

/**
 * class callers - caller threads that send requests until they are stopped
 *
 * Each caller asks an instance for the entries of the service, caches them
 * until they expire and sends its requests to one of them. It changes to the
 * next entry after a request without a complete own answer of status 200.
 */
class callers {
    public:
	/* Starts the callers; request ids begin with @prefix. */
	callers(const fleet &fleet, const struct load_profile &profile,
		const std::string &prefix);
	~callers();

	/* Ends the callers after their current request; returns all records. */
	std::vector<struct call_record> stop();

	/* Number of complete own answers with status 200 so far. */
	uint32_t complete() const;

    private:
	struct entry_list {
		std::vector<std::string> entries;
		uint64_t expires_unix_ms = 0;
		uint32_t next = 0;
	};

	void run(uint32_t number);
	void send_request(http_client &client, struct entry_list &list,
			  uint32_t number, uint32_t count);
	void refresh_entries(struct entry_list &list, uint32_t number);
	void add_record(const struct call_record &record);

	const fleet &system;
	struct load_profile profile;
	std::string prefix;
	std::atomic<bool> stopping;
	std::atomic<uint32_t> complete_count;
	std::mutex lock;
	std::vector<struct call_record> records;
	std::vector<std::thread> threads;
};

#endif
