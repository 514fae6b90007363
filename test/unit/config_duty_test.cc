/* The config duty against a store, as its reader role comes and goes. */
#include <gtest/gtest.h>

#include "script_server.h"

extern "C" {
#include "core/clock.h"
#include "core/command.h"
#include "duty/config.h"
}

namespace
{

const uint32_t POLL_MS = 1500;
const uint64_t ANSWER_LIMIT_US = 500 * US_PER_MS;

std::string reply(const std::string &body)
{
	return "HTTP/1.1 200 OK\r\nContent-Length: " +
	       std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string page =
	reply(R"({"items":[],"hasMore":false,"storeRevision":5})");
const std::string no_changes = reply(R"({"events":[],"storeRevision":5})");

struct role_step {
	const char *name;
	enum reader_role role;
	bool reports; /* whether a state of the platform is reported */
	std::string request; /* begin of the last request */
};

const struct role_step role_steps[] = {
	{ "the role is gained: all entries are read", READER_FIRST, true,
	  "GET /kv-range?" },
	{ "it is given up", READER_NONE, false, "GET /kv-" },
	{ "it is gained again: the answer is not waited for", READER_FIRST,
	  true, "GET /kv-watch?prefix=&after=5&waitMs=0 " },
};

/* Return: whether the duty reported that the platform answers. */
bool take_report(struct ring *dispatch)
{
	uint64_t deadline_us = clock_now_us() + ANSWER_LIMIT_US;
	struct message message;

	while (ring_pop(dispatch, &message, deadline_us) == RING_OK) {
		if (message.kind == MESSAGE_COMMAND &&
		    message.command.kind == COMMAND_PLATFORM_STATE)
			return message.command.platform_state.reachable;
		if (message.kind == MESSAGE_COMMAND)
			command_clear(&message.command);
	}
	return false;
}

/*
 * Guards against an instance that begins to read and, in a long poll without
 * changes, is not known to be answered for as long as that lasts: others would
 * begin too.
 */
TEST(ConfigDuty, NewReaderKnowsAtOnceWhetherItIsAnswered)
{
	ScriptServer server({ { page, AFTER_KEEP, 0, "" },
			      { no_changes, AFTER_KEEP, 0, "" } });
	struct settings settings = {};
	struct ring *dispatch = message_ring_new(64, 16);

	addr_ip_parse("127.0.0.1", &settings.platform.ip);
	settings.platform.port = server.port();
	settings.platform_kind = PLATFORM_STORE;
	settings.platform_poll_ms = POLL_MS;
	settings.platform_answer_ms = 200;
	settings.peer_bind.ip = settings.platform.ip;
	settings.random_seed = 1;
	struct config_duty *duty = config_start(&settings, dispatch, nullptr);

	ASSERT_NE(duty, nullptr);
	for (const auto &step : role_steps) {
		SCOPED_TRACE(step.name);
		struct config_role_event role = { step.role };

		ASSERT_EQ(config_send(duty, &role), RING_OK);
		EXPECT_EQ(take_report(dispatch), step.reports);
		EXPECT_EQ(server.last_request().find(step.request), 0u)
			<< server.last_request();
	}
	config_stop(duty);
	ring_free(dispatch);
}

} // namespace
