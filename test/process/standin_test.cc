/* The stand-ins: the faults that they inject on request, and their run log. */
#include <curl/curl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standins.h"

namespace
{

struct backend_case {
	const char *name;
	const char *behaviour;
	int code; /* CURLcode */
	uint32_t status;
	const char *end; /* in the run log; "" if not executed */
};

const struct backend_case backend_cases[] = {
	{ "healthy", "{}", CURLE_OK, 200, "whole" },
	{ "answers with an error status",
	  "{\"fault\":\"status\",\"fault_status\":502}", CURLE_OK, 502,
	  "whole" },
	{ "sheds all", "{\"shed_permille\":1000}", CURLE_OK, 503, "" },
	{ "no slots", "{\"slots\":0}", CURLE_OK, 503, "" },
	{ "hangs before the head", "{\"fault\":\"hang_head\"}",
	  CURLE_OPERATION_TIMEDOUT, 0, "broken" },
	{ "hangs in the body", "{\"fault\":\"hang_body\"}",
	  CURLE_OPERATION_TIMEDOUT, 200, "broken" },
	{ "truncates", "{\"fault\":\"truncate\"}", CURLE_PARTIAL_FILE, 200,
	  "broken" },
	{ "closes without an answer", "{\"fault\":\"close\"}",
	  CURLE_GOT_NOTHING, 0, "broken" },
	{ "caller gives up", "{\"work_ms\":10000}", CURLE_OPERATION_TIMEDOUT, 0,
	  "cancelled" },
};

TEST(StandinTest, BackendInjectsFaults)
{
	backend_standin backends(1);
	uint32_t number = 0;

	for (const auto &c : backend_cases) {
		SCOPED_TRACE(c.name);
		std::string id = "backend-" + std::to_string(number++);
		struct http_request request;
		struct http_reply reply;

		ASSERT_TRUE(backends.set_behaviour(
			0, "{\"slots\":6,\"work_ms\":1,\"shed_permille\":0,"
			   "\"fault\":\"none\"}"));
		ASSERT_TRUE(backends.set_behaviour(0, c.behaviour));
		request.url = "http://127.0.0.1:" +
			      std::to_string(backends.port(0)) + "/works";
		request.headers = { "X-Request-Id: " + id };
		request.timeout_ms = 300;
		reply = http_send(request);
		EXPECT_EQ(reply.code, c.code);
		EXPECT_EQ(reply.status, c.status);
		EXPECT_EQ(reply.headers.count("x-shed"),
			  c.end[0] == '\0' ? 1u : 0u);
		EXPECT_TRUE(wait_for(2000, [&] {
			std::vector<struct run_record> runs = backends.runs();

			if (c.end[0] == '\0')
				return backends.run_counts().count(id) == 0;
			return !runs.empty() && runs.back().id == id &&
			       runs.back().end == c.end;
		}));
	}
}

struct report_case {
	const char *name;
	const char *behaviour;
	uint32_t health; /* status of /health; the rest is from /load */
	const char *busy;
	const char *draining;
	const char *cold;
};

const struct report_case report_cases[] = {
	{ "healthy", "{}", 200, "0", "false", "false" },
	{ "fails, reports healthy", "{\"fault\":\"status\"}", 200, "0", "false",
	  "false" },
	{ "fails, reports the failure",
	  "{\"fault\":\"status\",\"health\":\"true\"}", 503, "0", "false",
	  "false" },
	{ "healthy, reports unhealthy and full",
	  "{\"health\":\"bad\",\"load\":\"bad\"}", 503, "6", "false", "false" },
	{ "drains", "{\"draining\":true}", 200, "0", "true", "false" },
	{ "cold", "{\"cold_ms\":60000}", 200, "0", "false", "true" },
};

TEST(StandinTest, BackendReportsHealthLoadAndDrain)
{
	for (const auto &c : report_cases) {
		SCOPED_TRACE(c.name);
		backend_standin backends(1);
		std::string url =
			"http://127.0.0.1:" + std::to_string(backends.port(0));
		std::string load;

		ASSERT_TRUE(backends.set_behaviour(0, c.behaviour));
		EXPECT_EQ(http_get(url + "/health").status, c.health);
		load = http_get(url + "/load").body;
		EXPECT_EQ(json_text(load, "busy"), c.busy);
		EXPECT_EQ(json_text(load, "draining"), c.draining);
		EXPECT_EQ(json_text(load, "cold"), c.cold);
		EXPECT_EQ(http_get(url + "/works").headers.count("x-draining"),
			  c.draining[0] == 't' ? 1u : 0u);
	}
}

TEST(StandinTest, BackendFlapsBetweenErrorsAndHealth)
{
	backend_standin backends(1);
	std::string url = "http://127.0.0.1:" +
			  std::to_string(backends.port(0)) + "/works";
	uint32_t changes = 0;
	uint32_t last_status = 200;

	ASSERT_TRUE(backends.set_behaviour(
		0, "{\"fault\":\"status\",\"flap_ms\":50}"));
	EXPECT_TRUE(wait_for(5000, [&] {
		uint32_t status = http_get(url).status;

		changes += status != last_status;
		last_status = status;
		return changes >= 4;
	}));
}

struct fault_case {
	const char *name;
	const char *kind;
	uint32_t number;
	const char *source;
	int code; /* CURLcode */
	uint32_t runs; /* executions by the backend server */
};

const struct fault_case fault_cases[] = {
	{ "passes", "pass", 0, "", CURLE_OK, 1 },
	{ "delays", "delay", 20, "", CURLE_OK, 1 },
	{ "delays beyond the time-out", "delay", 2000, "",
	  CURLE_OPERATION_TIMEDOUT, 0 },
	{ "drops the request", "drop_up", 0, "", CURLE_OPERATION_TIMEDOUT, 0 },
	{ "drops the answer", "drop_down", 0, "", CURLE_OPERATION_TIMEDOUT, 1 },
	{ "resets", "refuse", 0, "", CURLE_RECV_ERROR, 0 },
	{ "closes before the head", "truncate", 0, "", CURLE_GOT_NOTHING, 1 },
	{ "closes in the body", "truncate", 120, "", CURLE_PARTIAL_FILE, 1 },
	{ "drops requests of another source", "drop_up", 0, "127.0.0.9",
	  CURLE_OK, 1 },
	{ "drops requests of this source", "drop_up", 0, "127.0.0.1",
	  CURLE_OPERATION_TIMEDOUT, 0 },
};

/*
 * A reset by the proxy may arrive before curl has noticed that the connection
 * is established; curl then reports that it could not connect.
 */
int normalize_code(int code, int expected)
{
	if (expected == CURLE_RECV_ERROR && code == CURLE_COULDNT_CONNECT)
		return expected;
	return code;
}

TEST(StandinTest, FaultProxyInjectsTcpFaults)
{
	for (const auto &c : fault_cases) {
		SCOPED_TRACE(c.name);
		backend_standin backends(1);
		std::string listen = "127.0.0.1:" + std::to_string(free_port());
		fault_standin faults(
			{ { "b", "tcp", listen,
			    "127.0.0.1:" + std::to_string(backends.port(0)) } });
		struct http_request request;

		ASSERT_TRUE(faults.set_fault("b", c.kind, c.number, c.source));
		request.url = "http://" + listen + "/works";
		request.headers = { "X-Request-Id: one" };
		request.timeout_ms = 300;
		EXPECT_EQ(normalize_code(http_send(request).code, c.code),
			  c.code);
		EXPECT_EQ(backends.run_counts()["one"], c.runs);
	}
}

TEST(StandinTest, FaultProxySilencesOnlyOpenConnections)
{
	backend_standin backends(1);
	std::string listen = "127.0.0.1:" + std::to_string(free_port());
	fault_standin faults(
		{ { "b", "tcp", listen,
		    "127.0.0.1:" + std::to_string(backends.port(0)) } });
	http_client client;
	struct http_request request;

	request.url = "http://" + listen + "/works";
	request.timeout_ms = 300;
	EXPECT_EQ(client.send(request).code, CURLE_OK);
	ASSERT_TRUE(faults.set_fault("b", "silence_open"));
	EXPECT_EQ(client.send(request).code, CURLE_OPERATION_TIMEDOUT);
	EXPECT_EQ(http_send(request).code, CURLE_OK);
}

struct datagram_case {
	const char *name;
	const char *kind;
	uint32_t number;
	bool arrives;
};

const struct datagram_case datagram_cases[] = {
	{ "passes", "pass", 0, true },
	{ "delays", "delay", 50, true },
	{ "drops", "drop_up", 0, false },
	{ "drops only datagrams from the target", "drop_down", 0, true },
};

TEST(StandinTest, FaultProxyInjectsUdpFaults)
{
	for (const auto &c : datagram_cases) {
		SCOPED_TRACE(c.name);
		struct sockaddr_in addr = {};
		uint16_t target = free_port();
		uint16_t listen = free_port();
		fault_standin faults(
			{ { "u", "udp", "127.0.0.1:" + std::to_string(listen),
			    "127.0.0.1:" + std::to_string(target) } });
		struct timeval limit = { 0, 300000 };
		int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
		char received[8] = "";

		ASSERT_TRUE(faults.set_fault("u", c.kind, c.number));
		addr.sin_family = AF_INET;
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		addr.sin_port = htons(target);
		ASSERT_EQ(bind(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
		ASSERT_EQ(setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit,
				     sizeof(limit)),
			  0);
		addr.sin_port = htons(listen);
		ASSERT_EQ(sendto(fd, "beat", 4, 0, (struct sockaddr *)&addr,
				 sizeof(addr)),
			  4);
		EXPECT_EQ(recv(fd, received, sizeof(received), 0),
			  c.arrives ? 4 : -1);
		close(fd);
	}
}

struct config_case {
	const char *name;
	const char *mode;
	int code;
	uint32_t status;
	const char *text; /* "old" was published before the mode was set */
	const char *version;
};

const struct config_case config_cases[] = {
	{ "up", "up", CURLE_OK, 200, "new", "2" },
	{ "stale", "stale", CURLE_OK, 200, "old", "1" },
	{ "refuse", "refuse", CURLE_GOT_NOTHING, 0, "", "" },
	{ "hang", "hang", CURLE_OPERATION_TIMEDOUT, 0, "", "" },
	{ "error", "error", CURLE_OK, 500, "", "" },
};

TEST(StandinTest, ConfigModes)
{
	for (const auto &c : config_cases) {
		SCOPED_TRACE(c.name);
		config_standin config;
		struct http_request request;
		struct http_reply reply;

		request.url = "http://" + config.addr() + "/config/gallery";
		request.timeout_ms = 300;
		ASSERT_TRUE(config.publish("gallery", "old"));
		ASSERT_TRUE(config.set_mode(c.mode));
		ASSERT_TRUE(config.publish("gallery", "new"));
		reply = http_send(request);
		EXPECT_EQ(reply.code, c.code);
		EXPECT_EQ(reply.status, c.status);
		EXPECT_EQ(reply.body, c.text);
		EXPECT_EQ(reply.headers["config-version"], c.version);
	}
}

TEST(StandinTest, ConfigWatchWaitsForAChange)
{
	config_standin config;
	struct http_request request;
	uint64_t begin_ms;

	ASSERT_TRUE(config.publish("gallery", "old"));
	request.url =
		"http://" + config.addr() + "/config/index?after=1&wait_ms=200";
	begin_ms = now_ms();
	EXPECT_EQ(json_text(http_send(request).body, "version"), "1");
	EXPECT_GE(now_ms() - begin_ms, 200u);
	ASSERT_TRUE(config.publish("gallery", "new"));
	begin_ms = now_ms();
	EXPECT_EQ(json_text(http_send(request).body, "version"), "2");
	EXPECT_LT(now_ms() - begin_ms, 200u);
	ASSERT_TRUE(config.publish("gallery", "old", "version=1"));
	EXPECT_EQ(http_get("http://" + config.addr() + "/config/gallery")
			  .headers["config-version"],
		  "1");
}

} // namespace
