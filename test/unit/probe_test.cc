/*
 * The probe duty against servers that answer, stall, report that they are
 * unhealthy or send load reports that are not valid.
 */
#include <gtest/gtest.h>

#include "script_server.h"

extern "C" {
#include "core/clock.h"
#include "duty/probe.h"
}

namespace
{

std::string json_reply(const std::string &json)
{
	return "HTTP/1.1 200 OK\r\nContent-Length: " +
	       std::to_string(json.size()) + "\r\n\r\n" + json;
}

const std::string load_report = "{\"slots\":6,\"busy\":2,\"draining\":false,"
				"\"cold\":false}";
const std::string unhealthy_reply =
	"HTTP/1.1 503 Unhealthy\r\nContent-Length: 0\r\n\r\n";
const std::string healthy_reply =
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

struct probe_case {
	const char *name;
	struct script_reply reply; /* to the one path that is probed */
	bool load; /* probes the load path, else the health path */
	bool answered;
	bool healthy;
	bool draining;
	bool cold;
	uint32_t busy_slots;
};

const struct probe_case probe_cases[] = {
	{ "healthy",
	  { healthy_reply, AFTER_KEEP, 0, "" },
	  false,
	  true,
	  true,
	  false,
	  false,
	  0 },
	{ "reports that it is unhealthy",
	  { unhealthy_reply, AFTER_KEEP, 0, "" },
	  false,
	  true,
	  false,
	  false,
	  false,
	  0 },
	{ "no answer",
	  { "", AFTER_STALL, 0, "" },
	  false,
	  false,
	  false,
	  false,
	  false,
	  0 },
	{ "load report",
	  { json_reply(load_report), AFTER_KEEP, 0, "" },
	  true,
	  true,
	  true,
	  false,
	  false,
	  2 },
	{ "load report with unknown fields",
	  { json_reply("{\"busy\":1,\"since\":\"noon\"}"), AFTER_KEEP, 0, "" },
	  true,
	  true,
	  true,
	  false,
	  false,
	  1 },
	{ "load report with a drain and a cold start",
	  { json_reply("{\"busy\":0,\"draining\":true,\"cold\":true}"),
	    AFTER_KEEP, 0, "" },
	  true,
	  true,
	  true,
	  true,
	  true,
	  0 },
	{ "load report is not JSON",
	  { json_reply("busy"), AFTER_KEEP, 0, "" },
	  true,
	  false,
	  false,
	  false,
	  false,
	  0 },
	{ "busy slots are missing",
	  { json_reply("{}"), AFTER_KEEP, 0, "" },
	  true,
	  false,
	  false,
	  false,
	  false,
	  0 },
	{ "busy slots are negative",
	  { json_reply("{\"busy\":-1}"), AFTER_KEEP, 0, "" },
	  true,
	  false,
	  false,
	  false,
	  false,
	  0 },
	{ "busy slots above their limit",
	  { json_reply("{\"busy\":99999999}"), AFTER_KEEP, 0, "" },
	  true,
	  false,
	  false,
	  false,
	  false,
	  0 },
	{ "flag is a number",
	  { json_reply("{\"busy\":1,\"draining\":1}"), AFTER_KEEP, 0, "" },
	  true,
	  false,
	  false,
	  false,
	  false,
	  0 },
	{ "load report above its size limit",
	  { json_reply(load_report + std::string(5000, ' ')), AFTER_KEEP, 0,
	    "" },
	  true,
	  false,
	  false,
	  false,
	  false,
	  0 },
};

class ProbeDuty : public ::testing::Test {
    protected:
	void SetUp() override
	{
		addr_ip_parse("127.0.0.1", &settings_.peer_bind.ip);
		settings_.random_seed = 7;
		dispatch_ = message_ring_new(256, 16);
		duty_ = probe_start(&settings_, dispatch_, nullptr);
		ASSERT_NE(duty_, nullptr);
	}
	void TearDown() override
	{
		struct message message;

		probe_stop(duty_);
		while (ring_pop(dispatch_, &message, 0) == RING_OK)
			command_clear(&message.command);
		ring_free(dispatch_);
	}
	void plan(const std::vector<struct probe_target> &targets)
	{
		struct probe_plan_event event = {};

		event.targets =
			g_array_new(FALSE, FALSE, sizeof(struct probe_target));
		g_array_append_vals(event.targets, targets.data(),
				    (guint)targets.size());
		ASSERT_EQ(probe_send(duty_, &event), RING_OK);
	}
	bool take_result(struct probe_result *result, uint64_t deadline_us)
	{
		struct message message;

		if (ring_pop(dispatch_, &message, deadline_us) != RING_OK)
			return false;
		EXPECT_EQ(message.command.kind, COMMAND_PROBE_RESULT);
		*result = message.command.probe_result;
		return true;
	}

	struct settings settings_ = {};
	struct ring *dispatch_ = nullptr;
	struct probe_duty *duty_ = nullptr;
};

struct probe_target target(uint16_t port, bool load)
{
	struct probe_target target = {};

	name_set(&target.service, "roll");
	addr_ip_parse("127.0.0.1", &target.backend.ip);
	target.backend.port = port;
	strcpy(load ? target.load_path : target.probe_path, "/own");
	return target;
}

TEST_F(ProbeDuty, ReportsResultOfEachServer)
{
	std::vector<std::unique_ptr<ScriptServer>> servers;
	std::vector<struct probe_target> targets;
	uint64_t deadline_us = clock_now_us() + 3 * US_PER_S;
	size_t seen = 0;

	for (const auto &c : probe_cases) {
		servers.push_back(std::make_unique<ScriptServer>(
			std::vector<struct script_reply>{ c.reply }));
		targets.push_back(target(servers.back()->port(), c.load));
	}
	plan(targets);
	std::vector<bool> done(targets.size());
	while (seen < targets.size()) {
		struct probe_result result;

		ASSERT_TRUE(take_result(&result, deadline_us));
		for (size_t i = 0; i < targets.size(); i++) {
			const auto &c = probe_cases[i];

			if (targets[i].backend.port != result.backend.port ||
			    done[i])
				continue;
			SCOPED_TRACE(c.name);
			EXPECT_STREQ(result.service.text, "roll");
			EXPECT_EQ(result.answered, c.answered);
			EXPECT_EQ(result.healthy, c.healthy);
			EXPECT_EQ(result.draining, c.draining);
			EXPECT_EQ(result.cold, c.cold);
			EXPECT_EQ(result.busy_slots, c.busy_slots);
			done[i] = true;
			seen++;
		}
	}
}

TEST_F(ProbeDuty, RepeatsUntilPlanIsEmpty)
{
	ScriptServer server({ { healthy_reply, AFTER_KEEP, 0, "" } });
	struct probe_result result;
	uint64_t start_us = clock_now_us();
	uint32_t reads;

	plan({ target(server.port(), false) });
	for (uint32_t i = 0; i < 3; i++)
		ASSERT_TRUE(take_result(&result, start_us + 4 * US_PER_S));
	EXPECT_GE(clock_now_us(), start_us + 1800 * US_PER_MS);
	EXPECT_EQ(server.connections(), 1U);
	plan({});
	reads = server.reads();
	EXPECT_FALSE(take_result(&result, clock_now_us() + 1500 * US_PER_MS));
	EXPECT_EQ(server.reads(), reads);
}

} // namespace
