#ifndef PROCESS_FLEET_H
#define PROCESS_FLEET_H

/**
 * DOC: instances with all their surroundings behind the fault proxy
 *
 * Every backend server, every instance's way to the platform and every
 * instance's peer address lies behind a rule of the proxy: "backend0",
 * "platform0", "peer0". Instances have IP numbers of their own, so that an
 * order can name a source.
 */

#include <memory>
#include <set>

#include "standins.h"

/**
 * struct fleet_plan - sizes and the service's document
 * @instances: started at once, one failure domain each in turn
 * @spares: settings only, started by the test
 * @backends: backend servers
 * @slots: of each backend server
 * @connections: that each backend server takes from the whole fleet
 * @floor_percent: healthy floor
 * @budget_ms: time of a request that names no deadline
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
 * struct service_view - one service as one instance's status shows it
 * @version: in force; 0 when the instance does not know the service
 * @floor_slots: its floor
 * @in_service_slots: its capacity in service
 * @ejected: backend servers, by index, that get no work
 * @home: the instance is one of its homes
 */
struct service_view {
	uint64_t version = 0;
	uint32_t floor_slots = 0;
	uint32_t in_service_slots = 0;
	std::set<uint32_t> ejected;
	bool home = false;
};

/**
 * struct instance_view - what one instance's status shows
 * @answered: it answered
 * @ready: it says so
 * @peers_alive: other instances it believes alive
 * @service: the service
 */
struct instance_view {
	bool answered = false;
	bool ready = false;
	uint32_t peers_alive = 0;
	struct service_view service;
};

/**
 * class fleet - the whole
 */
class fleet {
    public:
	explicit fleet(const struct fleet_plan &plan);
	~fleet();

	/* Starts an instance. */
	void start(uint32_t index);
	/* Waits until it is ready. */
	bool wait_ready(uint32_t index, uint32_t limit_ms);
	child &instance(uint32_t index);
	bool running(uint32_t index) const;
	/* SIGTERM; false when it does not end well in time. */
	bool stop(uint32_t index, uint32_t limit_ms);

	std::string ip(uint32_t index) const;
	std::string caller_addr(uint32_t index) const;
	std::string operator_addr(uint32_t index) const;
	uint32_t instance_count() const;

	/*
	 * Orders of the proxy for what others send to an instance, and for what
	 * it sends to others.
	 */
	bool order_peers(uint32_t index, const std::string &to,
			 const std::string &from);

	/* Publishes the next version of the document; returns it. */
	uint64_t publish();
	/* Publishes the document as it is now with a version of choice. */
	bool publish_as(uint64_t version);
	/* Publishes the list; instances in @without are not named. */
	bool publish_list(const std::set<uint32_t> &without = {},
			  const std::set<uint32_t> &leaving = {},
			  bool with_ghost = false);
	void set_draining(uint32_t backend);
	uint64_t version() const;

	struct instance_view view(uint32_t index) const;
	/* Whether all that run have this version in force. */
	bool in_force(uint64_t version) const;
	/* Audit records of an instance, one JSON object a line. */
	std::string audit(uint32_t index) const;

	struct fleet_plan plan;
	config_standin config;
	backend_standin backends;
	std::unique_ptr<fault_standin> faults;

    private:
	struct place {
		std::string ip;
		uint16_t caller;
		uint16_t peer;
		uint16_t peer_bind;
		uint16_t operators;
		uint16_t platform;
		std::string file;
		std::unique_ptr<child> process;
	};

	std::string document() const;
	void write_settings(uint32_t index);

	std::vector<struct place> places;
	std::vector<uint16_t> backend_ports;
	std::set<uint32_t> draining;
	uint64_t version_now;
};

#endif
