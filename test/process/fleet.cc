#include "fleet.h"

#include <glib.h>
#include <gtest/gtest.h>
#include <json.h>
#include <signal.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

namespace
{

/* Last byte of the first instance's address, 127.0.0.11. */
const uint32_t FIRST_IP = 11;
const uint32_t START_LIMIT_MS = 10000;
const uint32_t VIEW_TIMEOUT_MS = 500;
const char *const SERVICE = "gallery";

std::string addr_text(const std::string &ip, uint16_t port)
{
	return ip + ":" + std::to_string(port);
}

std::string failure_domain(uint32_t index)
{
	return std::string(1, (char)('a' + index % 3));
}

uint64_t number_field(json_object *object, const char *field)
{
	json_object *value = NULL;

	json_object_object_get_ex(object, field, &value);
	return json_object_get_uint64(value);
}

std::string text_field(json_object *object, const char *field)
{
	json_object *value = NULL;

	if (!json_object_object_get_ex(object, field, &value))
		return "";
	return json_object_get_string(value);
}

json_object *list_item(json_object *object, const char *list, size_t index)
{
	json_object *value = NULL;

	if (!json_object_object_get_ex(object, list, &value) ||
	    index >= json_object_array_length(value))
		return NULL;
	return json_object_array_get_idx(value, index);
}

/* Returns 0 if the text is not an ISO 8601 time. */
uint64_t parse_unix_us(const std::string &text)
{
	GDateTime *time = g_date_time_new_from_iso8601(text.c_str(), NULL);
	uint64_t unix_us;

	if (time == NULL)
		return 0;
	unix_us = (uint64_t)g_date_time_to_unix(time) * 1000000 +
		  (uint64_t)g_date_time_get_microsecond(time);
	g_date_time_unref(time);
	return unix_us;
}

} // namespace

fleet::fleet(const struct fleet_plan &plan)
    : plan(plan), backends(plan.backends), latest_version(0)
{
	std::vector<struct fault_rule> rules;
	uint32_t count = plan.instances + plan.spares;

	for (uint32_t i = 0; i < plan.backends; i++) {
		backend_ports.push_back(free_port());
		rules.push_back({ "backend" + std::to_string(i), "tcp",
				  addr_text("127.0.0.1", backend_ports[i]),
				  addr_text("127.0.0.1", backends.port(i)) });
	}
	for (uint32_t i = 0; i < count; i++) {
		struct instance_process instance = {};
		std::string name = std::to_string(i);

		instance.ip = "127.0.0." + std::to_string(FIRST_IP + i);
		instance.caller = free_port();
		instance.peer = free_port();
		instance.peer_bind = free_port();
		instance.operators = free_port();
		instance.platform = free_port();
		rules.push_back({ "platform" + name, "tcp",
				  addr_text("127.0.0.1", instance.platform),
				  config.addr() });
		for (const char *transport : { "tcp", "udp" })
			rules.push_back(
				{ "peer" + name, transport,
				  addr_text(instance.ip, instance.peer),
				  addr_text(instance.ip, instance.peer_bind) });
		instances.push_back(std::move(instance));
	}
	faults.reset(new fault_standin(rules));
	EXPECT_TRUE(backends.set_behaviour_of_all(
		"{\"slots\":" + std::to_string(plan.slots) + "}"));
	publish();
	publish_instances();
	for (uint32_t i = 0; i < count; i++)
		write_settings(i);
	for (uint32_t i = 0; i < plan.instances; i++)
		start(i);
	for (uint32_t i = 0; i < plan.instances; i++)
		EXPECT_TRUE(wait_ready(i, START_LIMIT_MS)) << i;
}

fleet::~fleet()
{
	for (auto &instance : instances) {
		instance.process.reset();
		unlink(instance.file.c_str());
	}
}

void fleet::start(uint32_t index)
{
	struct instance_process &instance = instances[index];

	instance.process.reset(new child_process(
		"instance " + std::to_string(index),
		{ "nutmegcrank", "run", "-c", instance.file }));
}

bool fleet::wait_ready(uint32_t index, uint32_t limit_ms)
{
	std::string url = "http://" + operator_addr(index) + "/ready";

	return wait_for(limit_ms,
			[&url] { return http_get(url).status == 200; });
}

bool fleet::set_peer_faults(uint32_t index, const std::string &to,
			    const std::string &from)
{
	bool done = faults->set_fault("peer" + std::to_string(index), to);

	for (uint32_t i = 0; i < instances.size(); i++) {
		if (i != index)
			done &= faults->set_fault("peer" + std::to_string(i),
						  from, 0, ip(index));
	}
	return done;
}

child_process &fleet::instance(uint32_t index)
{
	return *instances[index].process;
}

bool fleet::running(uint32_t index) const
{
	return instances[index].process != nullptr;
}

bool fleet::stop(uint32_t index, uint32_t limit_ms)
{
	int code = instances[index].process->stop(limit_ms);

	instances[index].process.reset();
	return code == 0;
}

std::string fleet::ip(uint32_t index) const
{
	return instances[index].ip;
}

std::string fleet::caller_addr(uint32_t index) const
{
	return addr_text(instances[index].ip, instances[index].caller);
}

std::string fleet::operator_addr(uint32_t index) const
{
	return addr_text("127.0.0.1", instances[index].operators);
}

uint32_t fleet::instance_count() const
{
	return (uint32_t)instances.size();
}

uint64_t fleet::publish()
{
	latest_version++;
	EXPECT_TRUE(publish_version(latest_version));
	return latest_version;
}

bool fleet::publish_version(uint64_t version)
{
	return config.publish(SERVICE, document(),
			      "version=" + std::to_string(version));
}

bool fleet::publish_instances(const std::set<uint32_t> &omitted,
			      const std::set<uint32_t> &leaving,
			      bool with_unreachable)
{
	std::string list;

	for (uint32_t i = 0; i < instances.size(); i++) {
		if (omitted.count(i) != 0 ||
		    (i >= plan.instances && !running(i)))
			continue;
		list += std::string(list.empty() ? "" : ",") +
			"{\"caller\":\"" + caller_addr(i) + "\",\"peer\":\"" +
			addr_text(instances[i].ip, instances[i].peer) +
			"\",\"failure_domain\":\"" + failure_domain(i) +
			"\",\"status\":\"" +
			(leaving.count(i) != 0 ? "leaving" : "live") + "\"}";
	}
	if (with_unreachable)
		list += ",{\"caller\":\"127.0.0.99:9\",\"peer\":"
			"\"127.0.0.99:10\",\"failure_domain\":\"a\","
			"\"status\":\"live\"}";
	return config.publish_instances("[" + list + "]");
}

void fleet::set_draining(uint32_t backend)
{
	draining.insert(backend);
}

uint64_t fleet::version() const
{
	return latest_version;
}

struct instance_view fleet::view(uint32_t index) const
{
	struct http_request request;
	struct http_reply reply;
	struct instance_view view;
	json_object *status;
	json_object *service;
	json_object *item;

	request.url = "http://" + operator_addr(index) + "/status";
	request.timeout_ms = VIEW_TIMEOUT_MS;
	reply = http_send(request);
	status = json_tokener_parse(reply.body.c_str());
	service = list_item(status, "services", 0);

	view.answered = reply.code == 0 && status != NULL;
	view.ready = text_field(status, "ready") == "true";
	for (size_t i = 0; (item = list_item(status, "instances", i)) != NULL;
	     i++)
		view.peers_alive += text_field(item, "status") == "alive";
	view.service.version = number_field(service, "version");
	view.service.floor_slots =
		(uint32_t)number_field(service, "floor_slots");
	view.service.in_service_slots =
		(uint32_t)number_field(service, "in_service_slots");
	view.service.home = text_field(service, "home") == "true";
	for (size_t i = 0; (item = list_item(service, "backends", i)) != NULL;
	     i++) {
		std::string addr = text_field(item, "backend");

		for (uint32_t b = 0; b < backend_ports.size(); b++) {
			if (addr == addr_text("127.0.0.1", backend_ports[b]) &&
			    text_field(item, "state") == "ejected")
				view.service.ejected.insert(b);
		}
	}
	json_object_put(status);
	return view;
}

bool fleet::in_force(uint64_t version) const
{
	for (uint32_t i = 0; i < instances.size(); i++) {
		if (running(i) && view(i).service.version != version)
			return false;
	}
	return true;
}

std::string fleet::audit(uint32_t index) const
{
	return http_get("http://" + operator_addr(index) + "/audit?since=0")
		.body;
}

uint64_t fleet::drain_begun_unix_us(uint32_t index, uint32_t backend) const
{
	std::istringstream lines(audit(index));
	std::string subject = addr_text("127.0.0.1", backend_ports[backend]);
	std::string line;

	while (std::getline(lines, line)) {
		if (json_text(line, "kind") == "drain_begun" &&
		    json_text(line, "subject") == subject)
			return parse_unix_us(json_text(line, "time"));
	}
	return 0;
}

std::string fleet::document() const
{
	std::string list;

	for (uint32_t i = 0; i < plan.backends; i++)
		list += std::string(list.empty() ? "" : ",") +
			"{\"ip\":\"127.0.0.1\",\"port\":" +
			std::to_string(backend_ports[i]) +
			",\"failure_domain\":\"" + failure_domain(i) +
			"\",\"slots\":" + std::to_string(plan.slots) +
			",\"connections\":" + std::to_string(plan.connections) +
			",\"draining\":" +
			(draining.count(i) != 0 ? "true" : "false") +
			",\"instance\":\"start-" + std::to_string(i) + "\"}";
	return std::string("{\"service\":\"") + SERVICE +
	       "\",\"path_prefix\":\"/gallery\",\"backends\":[" + list +
	       "],\"classes\":[{\"name\":\"judge\",\"priority\":0,"
	       "\"queue\":64},{\"name\":\"committee\",\"priority\":1,"
	       "\"queue\":64}],\"routes\":[{\"methods\":[\"GET\"],"
	       "\"path_prefix\":\"/gallery/works\",\"class\":\"judge\"},"
	       "{\"methods\":[\"POST\"],\"path_prefix\":\"/gallery/entries\","
	       "\"class\":\"committee\",\"idempotent\":false}],"
	       "\"healthy_floor\":{\"percent\":" +
	       std::to_string(plan.floor_percent) +
	       "},\"shed_marker\":{\"header\":\"X-Shed\",\"value\":\"1\"},"
	       "\"drain_marker\":{\"header\":\"X-Draining\",\"value\":\"1\"},"
	       "\"probe_path\":\"/health\",\"load_path\":\"/load\","
	       "\"default_budget_ms\":" +
	       std::to_string(plan.budget_ms) + "}";
}

void fleet::write_settings(uint32_t index)
{
	struct instance_process &instance = instances[index];
	char path[] = "/tmp/nutmegcrank-test-XXXXXX";
	int fd = mkstemp(path);

	close(fd);
	instance.file = path;
	std::ofstream(path)
		<< "{\"callers\":\"" << caller_addr(index) << "\",\"peers\":\""
		<< addr_text(instance.ip, instance.peer)
		<< "\",\"peers_bind\":\""
		<< addr_text(instance.ip, instance.peer_bind)
		<< "\",\"operators\":\"" << operator_addr(index)
		<< "\",\"failure_domain\":\"" << failure_domain(index)
		<< "\",\"platform\":\""
		<< addr_text("127.0.0.1", instance.platform)
		<< "\",\"entries_ttl_ms\":1000,\"stop_grace\":\"6s\","
		   "\"random_seed\":"
		<< index + 1 << "}";
}
