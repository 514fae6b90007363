/*
 * Instances on the users' platform: its store is a stand-in, instances find each
 * other by seeds. Bounds are the platform's: a change is in force 2 s after the
 * store's word, what drains gets nothing 2 s after it.
 */
#include <gtest/gtest.h>

#include <signal.h>
#include <unistd.h>

#include <fstream>
#include <memory>
#include <thread>

#include "standins.h"

namespace
{

const uint32_t IN_FORCE_MS = 2000;
const uint32_t READY_MS = 10000;
const uint32_t INSTANCES = 4;
const uint32_t BACKENDS = 6;
const uint32_t FIRST_IP = 41;
/* Less than the entries, so that a range takes several calls. */
const uint32_t PAGE_ITEMS = 3;
/* A quiet fleet of any size reads the store this often. */
const uint32_t QUIET_READS_PER_S = 3;
/* The store holds more readers than this back at most. */
const uint32_t QUIET_MS = 5000;

std::string domain(uint32_t index)
{
	return std::string(1, (char)('a' + index % 2));
}

class store_fleet {
    public:
	store_fleet() : store(PAGE_ITEMS), backends(BACKENDS, "Server-Leaving")
	{
		for (uint32_t i = 0; i < INSTANCES; i++) {
			struct place place = {};

			place.ip = "127.0.0." + std::to_string(FIRST_IP + i);
			for (uint16_t *port :
			     { &place.callers, &place.directory, &place.ready,
			       &place.peers, &place.operators })
				*port = free_port();
			places.push_back(std::move(place));
		}
		for (uint32_t i = 0; i < BACKENDS; i++)
			EXPECT_TRUE(write_backend(i, "ready"));
		EXPECT_TRUE(write_config(1, "gallery"));
		for (uint32_t i = 0; i < INSTANCES; i++) {
			write_settings(i);
			start(i);
		}
		EXPECT_TRUE(wait_for(READY_MS, [this] { return all_ready(); }));
	}
	~store_fleet()
	{
		for (auto &place : places) {
			place.process.reset();
			unlink(place.file.c_str());
		}
	}
	void start(uint32_t index)
	{
		struct place &place = places[index];

		place.process.reset(
			new child("instance " + std::to_string(index),
				  { "nutmegcrank", "run", "-c", place.file }));
	}
	void kill(uint32_t index)
	{
		places[index].process->signal(SIGKILL);
		places[index].process->wait_exit(READY_MS);
		places[index].process.reset();
	}
	int stop(uint32_t index)
	{
		int code = places[index].process->stop(READY_MS);

		places[index].process.reset();
		return code;
	}
	bool ready(uint32_t index) const
	{
		return http_get("http://" + at(index, &place::ready) +
				"/readiness")
			       .status == 200;
	}
	bool all_ready() const
	{
		for (uint32_t i = 0; i < INSTANCES; i++) {
			if (places[i].process && !ready(i))
				return false;
		}
		return true;
	}
	std::string resolve(uint32_t index) const
	{
		return http_get("http://" + at(index, &place::directory) +
				"/resolve?name=vp.example&region=r&zone=" +
				domain(index))
			.body;
	}
	std::string caller_addr(uint32_t index) const
	{
		return at(index, &place::callers);
	}
	std::string ip(uint32_t index) const
	{
		return places[index].ip;
	}
	/* Asks one instance; @id tells the run apart. */
	struct http_reply ask(uint32_t index, const std::string &path,
			      const std::string &id) const
	{
		struct http_request request;

		request.url = "http://" + caller_addr(index) + path;
		request.headers = { "Host: vp.example", "X-Request-Id: " + id,
				    "Nutmegcrank-Deadline-Ms: 2000" };
		return http_ask(request);
	}
	/* Even ones belong to the gallery, odd ones to the archive. */
	bool write_backend(uint32_t index, const std::string &state)
	{
		std::string text =
			"{\"address\":\"127.0.0.1:" +
			std::to_string(backends.port(index)) +
			"\",\"born\":" + std::to_string(1000 + index) +
			",\"info\":{\"service\":\"" +
			(index % 2 ? "archive" : "gallery") +
			"\",\"version\":\"v1\",\"zone\":\"" +
			domain(index / 2) +
			"\",\"maxConcurrency\":6},\"status\":{\"state\":\"" +
			state + "\",\"sequence\":1}}";

		return store.write("servers/i-" + std::to_string(index), text);
	}
	bool write_config(uint32_t version, const std::string &service)
	{
		return store.write(
			"op/config",
			"{\"version\":\"r" + std::to_string(version) +
				"\",\"services\":[" +
				"{\"name\":\"archive\",\"healthPath\":"
				"\"/health\",\"maxConnections\":300},"
				"{\"name\":\"gallery\",\"healthPath\":"
				"\"/health\",\"maxConnections\":300}],"
				"\"limits\":{\"maxHeaderBytes\":16384,"
				"\"maxBodyBytes\":1048576,\"headerTimeout\":"
				"\"3000ms\",\"idleTimeout\":\"15000ms\"},"
				"\"hosts\":[{\"host\":\"vp.example\","
				"\"paths\":[{\"name\":\"works\",\"prefix\":"
				"\"/works/\",\"routeType\":\"safe\","
				"\"timeout\":\"2000ms\",\"targetLatency\":"
				"\"1000ms\",\"priority\":1,\"service\":\"" +
				service + "\",\"maxAttempts\":2}]}]}");
	}
	/* Which service ran a request, "" when none did. */
	std::string ran_at(const std::string &id)
	{
		for (const auto &run : backends.runs()) {
			if (run.id == id)
				return (run.port - backends.port(0)) % 2 ?
					       "archive" :
					       "gallery";
		}
		return "";
	}
	/* Whether all instances that run route to @service. */
	bool all_route_to(const std::string &service)
	{
		for (uint32_t i = 0; i < INSTANCES; i++) {
			std::string id = "probe-" + std::to_string(++asked);

			if (!places[i].process)
				continue;
			if (ask(i, "/works/1", id).status != 200 ||
			    ran_at(id) != service)
				return false;
		}
		return true;
	}

	store_standin store;
	backend_standin backends;

    private:
	struct place {
		std::string ip;
		uint16_t callers;
		uint16_t directory;
		uint16_t ready;
		uint16_t peers;
		uint16_t operators;
		std::string file;
		std::unique_ptr<child> process;
	};

	std::string at(uint32_t index, uint16_t place::*port) const
	{
		return places[index].ip + ":" +
		       std::to_string(places[index].*port);
	}
	void write_settings(uint32_t index)
	{
		struct place &place = places[index];
		char path[] = "/tmp/nutmegcrank-test-XXXXXX";
		int fd = mkstemp(path);

		close(fd);
		place.file = path;
		std::ofstream(path)
			<< "{\"callers\":\"" << at(index, &place::callers)
			<< "\",\"directory\":\"" << at(index, &place::directory)
			<< "\",\"ready\":\"" << at(index, &place::ready)
			<< "\",\"peers\":\"" << at(index, &place::peers)
			<< "\",\"operators\":\"" << at(index, &place::operators)
			<< "\",\"failure_domain\":\"" << domain(index)
			<< "\",\"platform\":\"" << store.addr()
			<< "\",\"platform_kind\":\"store\","
			   "\"platform_poll_ms\":1500,"
			   "\"platform_answer_ms\":700,\"seeds\":[\""
			<< at(0, &place::peers) << "\",\""
			<< at(1, &place::peers)
			<< "\"],\"headers\":{\"request_id\":\"X-Request-Id\","
			   "\"time_left_ms\":\"Nutmegcrank-Deadline-Ms\","
			   "\"instance\":\"Nutmegcrank-Target-Instance\"},"
			   "\"not_run_is_503\":true,\"policy\":\"domain\","
			   "\"entries_ttl_ms\":1000,\"drain_max_ms\":5500,"
			   "\"random_seed\":"
			<< index + 1 << "}";
	}

	std::vector<struct place> places;
	uint32_t asked = 0;
};

/* What the store or an instance suffers before the configuration changes. */
enum trouble {
	TROUBLE_NONE,
	TROUBLE_FORGOTTEN,
	TROUBLE_READER_TURNED_AWAY,
	TROUBLE_STORE_AWAY_AND_BACK,
	TROUBLE_BUSY_AND_BACK,
	TROUBLE_SILENT_AND_BACK,
	TROUBLE_INSTANCE_KILLED,
};

struct change_case {
	const char *name;
	enum trouble trouble;
	uint32_t in_force_ms;
};

/* After trouble with the store its next try may be a pause away. */
const struct change_case change_cases[] = {
	{ "no trouble", TROUBLE_NONE, IN_FORCE_MS },
	{ "the history is forgotten", TROUBLE_FORGOTTEN, IN_FORCE_MS },
	{ "one reader is turned away", TROUBLE_READER_TURNED_AWAY,
	  IN_FORCE_MS },
	{ "an instance is killed", TROUBLE_INSTANCE_KILLED, IN_FORCE_MS },
	{ "the store was away", TROUBLE_STORE_AWAY_AND_BACK, 2 * IN_FORCE_MS },
	{ "the store was busy", TROUBLE_BUSY_AND_BACK, 2 * IN_FORCE_MS },
	{ "the store was silent", TROUBLE_SILENT_AND_BACK, 2 * IN_FORCE_MS },
};

void make_trouble(store_fleet &fleet, enum trouble trouble)
{
	switch (trouble) {
	case TROUBLE_NONE:
		break;
	case TROUBLE_FORGOTTEN:
		EXPECT_TRUE(fleet.store.forget());
		break;
	case TROUBLE_READER_TURNED_AWAY:
		EXPECT_TRUE(fleet.store.turn_away(fleet.ip(0)));
		break;
	case TROUBLE_STORE_AWAY_AND_BACK:
	case TROUBLE_BUSY_AND_BACK:
	case TROUBLE_SILENT_AND_BACK:
		EXPECT_TRUE(fleet.store.set_mode(
			trouble == TROUBLE_STORE_AWAY_AND_BACK ? "refuse" :
			trouble == TROUBLE_BUSY_AND_BACK       ? "busy" :
								 "hang"));
		pause_ms(3000);
		EXPECT_TRUE(fleet.all_route_to("gallery"));
		EXPECT_TRUE(fleet.store.set_mode("up"));
		break;
	case TROUBLE_INSTANCE_KILLED:
		fleet.kill(0);
		break;
	}
}

TEST(StorePlatform, ChangesAreInForceEverywhereInTime)
{
	for (const auto &c : change_cases) {
		SCOPED_TRACE(c.name);
		store_fleet fleet;
		uint64_t began_ms;

		ASSERT_TRUE(fleet.all_route_to("gallery"));
		make_trouble(fleet, c.trouble);
		ASSERT_TRUE(fleet.write_config(2, "archive"));
		began_ms = now_ms();
		EXPECT_TRUE(wait_for(c.in_force_ms, [&] {
			return fleet.all_route_to("archive");
		}));
		printf("%s: in force after %u ms\n", c.name,
		       (uint32_t)(now_ms() - began_ms));
	}
}

enum leave_way { LEAVE_ENTRY_DRAINS, LEAVE_ENTRY_GOES, LEAVE_ANSWERS_SAY };

struct leave_case {
	const char *name;
	enum leave_way way;
};

const struct leave_case leave_cases[] = {
	{ "its entry drains", LEAVE_ENTRY_DRAINS },
	{ "its entry is removed", LEAVE_ENTRY_GOES },
	{ "its answers say so, its entry is ready", LEAVE_ANSWERS_SAY },
};

/* More than it takes until each instance has an answer of each server. */
const uint32_t TELLING_REQUESTS = 60;

bool begin_leave(store_fleet &fleet, uint32_t index, enum leave_way way)
{
	switch (way) {
	case LEAVE_ENTRY_DRAINS:
		return fleet.write_backend(index, "draining");
	case LEAVE_ENTRY_GOES:
		return fleet.store.write("servers/i-" + std::to_string(index),
					 "");
	case LEAVE_ANSWERS_SAY:
		return fleet.backends.order(index, R"({"draining":true})");
	}
	return false;
}

TEST(StorePlatform, WhatLeavesGetsNothingMore)
{
	for (const auto &c : leave_cases) {
		SCOPED_TRACE(c.name);
		store_fleet fleet;
		uint64_t left_us;

		/* Two of the gallery's three leave, one stays. */
		for (uint32_t index : { 0u, 2u }) {
			ASSERT_TRUE(begin_leave(fleet, index, c.way));
		}
		for (uint32_t i = 0;
		     c.way == LEAVE_ANSWERS_SAY && i < TELLING_REQUESTS; i++)
			fleet.ask(i % INSTANCES, "/works/1",
				  "tells-" + std::to_string(i));
		left_us = unix_us();
		pause_ms(IN_FORCE_MS);
		for (uint32_t i = 0; i < 40; i++)
			EXPECT_EQ(fleet.ask(i % INSTANCES, "/works/1",
					    "after-" + std::to_string(i))
					  .status,
				  200u);
		for (const auto &run : fleet.backends.runs()) {
			if (run.begin_unix_us < left_us + IN_FORCE_MS * 1000)
				continue;
			EXPECT_EQ(run.port, fleet.backends.port(4)) << run.id;
		}
	}
}

TEST(StorePlatform, ARestartedInstanceLearnsFromPeersWhileTheStoreIsDown)
{
	store_fleet fleet;

	ASSERT_TRUE(fleet.store.set_mode("refuse"));
	fleet.kill(2);
	fleet.start(2);
	EXPECT_TRUE(wait_for(READY_MS, [&] { return fleet.ready(2); }));
	EXPECT_EQ(fleet.ask(2, "/works/1", "restarted").status, 200u);
	EXPECT_EQ(fleet.ran_at("restarted"), "gallery");
}

TEST(StorePlatform, AlienEntriesHurtNobody)
{
	const char *const aliens[] = { "no JSON at all", "{\"address\":7}",
				       "[]", "{\"address\":\"127.0.0.1:9\"}" };
	store_fleet fleet;
	uint32_t number = 0;

	for (const char *alien : aliens)
		ASSERT_TRUE(fleet.store.write(
			"servers/alien-" + std::to_string(number++), alien));
	ASSERT_TRUE(fleet.store.write("op/config", "{\"version\":\"r9\"}"));
	pause_ms(IN_FORCE_MS);
	EXPECT_TRUE(fleet.all_route_to("gallery"));
	ASSERT_TRUE(fleet.write_config(10, "archive"));
	EXPECT_TRUE(wait_for(IN_FORCE_MS,
			     [&] { return fleet.all_route_to("archive"); }));
}

TEST(StorePlatform, AQuietFleetReadsTheStoreSeldom)
{
	store_fleet fleet;
	uint64_t before;

	pause_ms(IN_FORCE_MS);
	before = fleet.store.reads();
	pause_ms(QUIET_MS);
	EXPECT_LE(fleet.store.reads() - before,
		  QUIET_READS_PER_S * QUIET_MS / 1000);
	printf("%u calls in %u ms\n", (uint32_t)(fleet.store.reads() - before),
	       QUIET_MS);
}

TEST(StorePlatform, APlannedStopIsNoLongerNamedAndCutsNothing)
{
	store_fleet fleet;
	uint32_t failed = 0;

	ASSERT_TRUE(wait_for(READY_MS, [&] {
		return fleet.resolve(0).find(fleet.caller_addr(1)) !=
			       std::string::npos ||
		       fleet.resolve(0).find(fleet.caller_addr(3)) !=
			       std::string::npos;
	}));
	std::thread callers([&] {
		for (uint32_t i = 0; i < 100; i++) {
			failed += fleet.ask(0, "/works/1",
					    "stop-" + std::to_string(i))
					  .status != 200;
			pause_ms(10);
		}
	});
	EXPECT_EQ(fleet.stop(1), 0);
	callers.join();
	EXPECT_EQ(failed, 0u);
	EXPECT_EQ(fleet.resolve(0).find(fleet.caller_addr(1)),
		  std::string::npos);
}

} // namespace
