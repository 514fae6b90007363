#ifndef PROCESS_STANDINS_H
#define PROCESS_STANDINS_H

/**
 * DOC: the stand-ins as process tests use them
 */

#include <memory>

#include "harness.h"

/**
 * struct run_record - one line of the backend servers' run log
 * @retry_after_s: what a refusal said, 0 for nothing
 */
struct run_record {
	std::string id;
	uint16_t port;
	uint64_t begin_unix_us;
	std::string end;
	uint32_t retry_after_s;
};

/**
 * class config_standin - the platform's configuration service
 */
class config_standin {
    public:
	config_standin();

	/* "ip:port" */
	std::string addr() const;

	/* Publishes a document; @query may set version and index_version. */
	bool publish(const std::string &key, const std::string &text,
		     const std::string &query = "");

	/* Publishes the list of instances, a JSON array. */
	bool publish_instances(const std::string &list);

	/* up, refuse, hang, error or stale */
	bool set_mode(const std::string &mode);

	/* Calls taken so far. */
	uint64_t reads();

    private:
	uint16_t port;
	child process;
};

/**
 * class store_standin - the users' platform's store
 */
class store_standin {
    public:
	/* @page_items: entries of one page of a range */
	explicit store_standin(uint32_t page_items);

	/* "ip:port" */
	std::string addr() const;

	/* Writes an entry; an empty @text removes it. */
	bool write(const std::string &key, const std::string &text);

	/* up, refuse, hang, unavailable or busy */
	bool set_mode(const std::string &mode);

	/* Calls of this IP number are refused; "" ends that. */
	bool turn_away(const std::string &ip);

	/* Forgets the history: watches are told so. */
	bool forget();

	/* Calls taken so far. */
	uint64_t reads();

    private:
	uint16_t port;
	child process;
};

/**
 * class backend_standin - backend servers, one a port, in one process
 */
class backend_standin {
    public:
	explicit backend_standin(
		uint32_t count, const std::string &drain_header = "X-Draining");

	uint16_t port(uint32_t index) const;

	/* Orders one backend server to behave. */
	bool order(uint32_t index, const std::string &order);

	/* Orders all of them. */
	bool order_all(const std::string &order);

	/* What ran; and with what was shed, whose end is "shed". */
	std::vector<struct run_record> runs();
	std::vector<struct run_record> arrivals();
	std::map<std::string, uint32_t> counts();

    private:
	uint16_t first;
	uint16_t admin;
	child process;
};

/**
 * struct fault_rule - one address that the fault proxy passes on
 */
struct fault_rule {
	std::string name;
	std::string transport;
	std::string listen;
	std::string target;
};

/**
 * class fault_standin - the fault proxy
 */
class fault_standin {
    public:
	explicit fault_standin(const std::vector<struct fault_rule> &rules);

	/* Puts a fault in force; an empty @rule or @source means all. */
	bool order(const std::string &rule, const std::string &kind,
		   uint32_t number = 0, const std::string &source = "");

    private:
	uint16_t admin;
	child process;
};

/**
 * json_text() - read one field of a JSON object
 * @object: JSON text
 * @field: its name
 *
 * Return: its value as text, empty when it is absent or @object is cut.
 */
std::string json_text(const std::string &object, const std::string &field);

#endif
