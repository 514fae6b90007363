#ifndef PROCESS_FLEET_H
#define PROCESS_FLEET_H

/**
 * DOC: a fleet of instances with backend servers, platform and fault proxy
 *
 * The fault proxy forwards traffic to every backend server, from every instance
 * to the platform, and to every instance's peer address. Its rules are called
 * "backend0", "platform0", "peer0" and so on. Each instance has its own IP
 * address, so that a fault can be limited to one source.
 */

#include <memory>
#include <set>

#include "standins.h"

/**
 * struct fleet_plan - size of the fleet and values of the service's document
 * @instances: instances started by the constructor; they belong to failure
 *	domains a, b, c in turn
 * @spares: further instances that have settings only; the test starts them
 * @backends: number of backend servers
 * @slots: concurrent requests that each backend server takes
 * @connections: connections that each backend server takes from the whole fleet
 * @floor_percent: healthy floor in percent of all slots
 * @budget_ms: time allowed for a request without a deadline
 */
struct fleet_plan {
	uint32_t instances = 3;
	uint32_t spares = 0;
	uint32_t backends = 6;
	uint32_t slots = 6;
	uint32_t connections = 350;
	uint32_t floor_percent = 50;
	uint32_t budget_ms = 1500;
};

/**
 * struct service_view - the service in the status of one instance
 * @version: version in force; 0 if the instance does not know the service
 * @floor_slots: healthy floor in slots
 * @in_service_slots: slots of the backend servers in service
 * @ejected: indices of ejected backend servers
 * @home: the instance is one of the service's homes
 */
struct service_view {
	uint64_t version = 0;
	uint32_t floor_slots = 0;
	uint32_t in_service_slots = 0;
	std::set<uint32_t> ejected;
	bool home = false;
};

/**
 * struct instance_view - status of one instance
 * @answered: the instance answered the status request
 * @ready: the instance reports that it is ready
 * @peers_alive: number of other instances that it considers alive
 * @service: the service that the fleet serves
 */
struct instance_view {
	bool answered = false;
	bool ready = false;
	uint32_t peers_alive = 0;
	struct service_view service;
};

/**
 * class fleet - all processes of one test
 *
 * The constructor starts them and waits until the instances are ready; the
 * destructor ends them.
 */
class fleet {
    public:
	explicit fleet(const struct fleet_plan &plan);
	~fleet();

	/* Starts an instance; for spares and for those that have ended. */
	void start(uint32_t index);
	/* Waits until an instance is ready. */
	bool wait_ready(uint32_t index, uint32_t limit_ms);
	child_process &instance(uint32_t index);
	bool running(uint32_t index) const;
	/* Sends SIGTERM; false unless the instance exits with 0 in time. */
	bool stop(uint32_t index, uint32_t limit_ms);

	std::string ip(uint32_t index) const;
	std::string caller_addr(uint32_t index) const;
	std::string operator_addr(uint32_t index) const;
	uint32_t instance_count() const;

	/*
	 * Sets the proxy's fault @to for peer messages to an instance, and the
	 * fault @from for peer messages that it sends to the others.
	 */
	bool set_peer_faults(uint32_t index, const std::string &to,
			     const std::string &from);

	/* Publishes the document as the next version, which is returned. */
	uint64_t publish();
	/* Publishes the current document as @version. */
	bool publish_version(uint64_t version);
	/*
	 * Publishes the instance list without those in @omitted and with those
	 * in @leaving marked as leaving. @with_unreachable adds an instance
	 * that does not exist.
	 */
	bool publish_instances(const std::set<uint32_t> &omitted = {},
			       const std::set<uint32_t> &leaving = {},
			       bool with_unreachable = false);
	/* Marks a backend server as draining from the next publish() on. */
	void set_draining(uint32_t backend);
	/* Latest version that publish() has published. */
	uint64_t version() const;

	/* Reads the status of an instance. */
	struct instance_view view(uint32_t index) const;
	/* Whether all started instances have this version in force. */
	bool in_force(uint64_t version) const;
	/* Audit records of an instance, one JSON object per line. */
	std::string audit(uint32_t index) const;
	/*
	 * Time of the first audit record of an instance that says that a
	 * backend server drains, microseconds since the Unix epoch; 0 if there
	 * is none.
	 */
	uint64_t drain_begun_unix_us(uint32_t index, uint32_t backend) const;

	struct fleet_plan plan;
	config_standin config;
	backend_standin backends;
	std::unique_ptr<fault_standin> faults;

    private:
	/* Addresses, settings file and process of one instance. */
	struct instance_process {
		std::string ip;
		uint16_t caller;
		uint16_t peer;
		uint16_t peer_bind;
		uint16_t operators;
		uint16_t platform;
		std::string file;
		std::unique_ptr<child_process> process;
	};

	std::string document() const;
	void write_settings(uint32_t index);

	std::vector<struct instance_process> instances;
	std::vector<uint16_t> backend_ports;
	std::set<uint32_t> draining;
	uint64_t latest_version;
};

#endif
