/*
 * The front duty: malformed and hostile requests, all kinds of answers, callers
 * that disconnect, limits and the planned stop.
 */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

extern "C" {
#include "core/clock.h"
#include "duty/front.h"
}

namespace
{

const uint32_t body_max_bytes = 1000;
const uint32_t connections_max = 200;
const size_t large_bytes = 4 * 1024 * 1024;
const uint32_t head_max_bytes = 4096;

struct answer_part refusal_part(enum refusal_cause cause, enum outcome outcome)
{
	struct answer_part part = {};

	part.kind = PART_REFUSED;
	part.refusal = { cause, outcome, 0 };
	return part;
}

struct answer_part head_part(uint32_t status, uint64_t body_bytes)
{
	struct answer_part part = {};

	part.kind = PART_HEAD;
	part.head = g_new0(struct answer_head, 1);
	part.head->status = status;
	part.head->body_bytes = body_bytes;
	part.head->headers[0].name = g_strdup("X-Own");
	part.head->headers[0].value = g_strdup("1");
	part.head->header_count = 1;
	return part;
}

struct answer_part chunk_part(const char *text)
{
	struct answer_part part = {};

	part.kind = PART_CHUNK;
	part.chunk = g_bytes_new(text, strlen(text));
	return part;
}

struct answer_part last_part(enum answer_part_kind kind)
{
	struct answer_part part = {};

	part.kind = kind;
	return part;
}

/* Parts of the answer that run_dispatch() gives to a request, by path. */
std::vector<struct answer_part> parts_for(const std::string &path)
{
	if (path == "/whole")
		return { head_part(200, 5), chunk_part("whole"),
			 last_part(PART_END) };
	if (path == "/empty")
		return { head_part(204, UINT64_MAX), last_part(PART_END) };
	if (path == "/head")
		return { head_part(200, 7), last_part(PART_END) };
	if (path == "/chunked")
		return { head_part(200, UINT64_MAX), chunk_part("one"),
			 chunk_part("two"), last_part(PART_END) };
	if (path == "/broken")
		/* The head is not sent before the first bytes of its body. */
		return { head_part(200, 10), last_part(PART_BROKEN) };
	if (path == "/large")
		return { head_part(200, large_bytes),
			 chunk_part(std::string(large_bytes, 'x').c_str()),
			 last_part(PART_END) };
	if (path == "/queue")
		return { refusal_part(REFUSAL_QUEUE_FULL, OUTCOME_NOT_RUN) };
	if (path == "/unknown")
		return { refusal_part(REFUSAL_BACKEND_TIMEOUT,
				      OUTCOME_UNKNOWN) };
	return {};
}

class FrontDuty : public ::testing::Test {
    protected:
	void SetUp() override
	{
		addr_ip_parse("127.0.0.1", &settings_.caller_listen.ip);
		settings_.peer_bind.ip = settings_.caller_listen.ip;
		settings_.caller_listen.port = free_port();
		settings_.requests_max = 8;
		settings_.connections_max = connections_max;
		settings_.idle_max_ms = 20000;
		settings_.head_max_bytes = head_max_bytes;
		settings_.body_max_bytes = body_max_bytes;
		settings_.hold_max_bytes = 1000;
		dispatch_ = message_ring_new(2 * connections_max, 16);
		exchange_ = exchange_start(&settings_, dispatch_, nullptr);
		front_ = front_start(&settings_, dispatch_, exchange_, nullptr);
		ASSERT_NE(front_, nullptr);
		thread_ = std::thread([this] { run_dispatch(); });
	}
	void TearDown() override
	{
		front_stop(front_, DEADLINE_NONE_US);
		exchange_stop(exchange_);
		ring_close(dispatch_);
		thread_.join();
		ring_free(dispatch_);
	}
	static uint16_t free_port()
	{
		struct sockaddr_in addr = {};
		socklen_t length = sizeof(addr);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		addr.sin_family = AF_INET;
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
		getsockname(fd, (struct sockaddr *)&addr, &length);
		close(fd);
		return ntohs(addr.sin_port);
	}
	/* Takes the place of the dispatch duty. */
	void run_dispatch()
	{
		struct message message;

		while (ring_pop(dispatch_, &message, DEADLINE_NONE_US) ==
		       RING_OK) {
			if (message.kind == MESSAGE_QUERY)
				answer_query(&message.query);
			else
				answer_command(&message.command);
		}
	}
	static void answer_query(struct query *query)
	{
		struct query_reply reply = {};

		reply.kind = query->kind;
		reply.entries.known = strcmp(query->service.text, "roll") == 0;
		reply.entries.entry_count = 1;
		addr_parse("127.0.0.7:80", &reply.entries.entries[0].caller);
		name_set(&reply.entries.entries[0].domain, "a");
		EXPECT_EQ(ring_push(query->reply->ring, &reply), RING_OK);
		reply_channel_unref(query->reply);
	}
	void answer_command(struct command *command)
	{
		struct request *request;

		if (command->kind == COMMAND_CANCEL)
			cancels_++;
		if (command->kind == COMMAND_ADMIT) {
			admits_++;
			request = command->admit.request;
			if (strcmp(command->admit.facts.path, "/late") == 0)
				late_ = request_ref(request);
			for (auto &part : parts_for(command->admit.facts.path))
				EXPECT_EQ(ring_push_reserved(request->answer,
							     &part),
					  RING_OK);
			answered_++;
		}
		command_clear(command);
	}
	int connect_caller() const
	{
		struct sockaddr_in addr = {};
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		addr.sin_family = AF_INET;
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		addr.sin_port = htons(settings_.caller_listen.port);
		EXPECT_EQ(connect(fd, (struct sockaddr *)&addr, sizeof(addr)),
			  0);
		return fd;
	}
	static void send_text(int fd, const std::string &text)
	{
		EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
			  (ssize_t)text.size());
	}
	/* Reads until the peer closes or sends nothing for @wait_ms. */
	static std::string read_all(int fd, int wait_ms, bool *closed)
	{
		struct pollfd poll_fd = { fd, POLLIN, 0 };
		std::string text;
		char bytes[4096];
		ssize_t n;

		*closed = false;
		while (poll(&poll_fd, 1, wait_ms) > 0) {
			n = recv(fd, bytes, sizeof(bytes), 0);
			if (n <= 0) {
				*closed = true;
				break;
			}
			text.append(bytes, (size_t)n);
		}
		return text;
	}

	/*
	 * Reads up to the end of an answer to @get_line, or until nothing
	 * arrives for 2 s. Then waits until answer_command() has pushed the
	 * last part of each admitted request: a caller that disconnects earlier
	 * closes the answer ring, and the push would fail.
	 */
	std::string read_answer(int fd) const
	{
		const std::string body = "\r\n\r\nwhole";
		struct pollfd poll_fd = { fd, POLLIN, 0 };
		std::string text;
		uint32_t admitted;
		char bytes[4096];
		ssize_t n;

		while (text.find(body) == std::string::npos &&
		       poll(&poll_fd, 1, 2000) > 0) {
			n = recv(fd, bytes, sizeof(bytes), 0);
			if (n <= 0)
				break;
			text.append(bytes, (size_t)n);
		}
		/* Read once: other requests may be admitted meanwhile. */
		admitted = admits_;
		for (int i = 0; i < 2000 && answered_ < admitted; i++)
			g_usleep(1000);
		EXPECT_GE(answered_, admitted);
		return text;
	}
	void answer_late()
	{
		for (auto &part : parts_for("/whole"))
			EXPECT_EQ(ring_push_reserved(late_.load()->answer,
						     &part),
				  RING_OK);
		request_unref(late_);
	}

	struct settings settings_ = {};
	struct ring *dispatch_ = nullptr;
	struct exchange_duty *exchange_ = nullptr;
	struct front_duty *front_ = nullptr;
	std::thread thread_;
	std::atomic<uint32_t> admits_{ 0 };
	std::atomic<uint32_t> answered_{ 0 };
	std::atomic<uint32_t> cancels_{ 0 };
	std::atomic<struct request *> late_{ nullptr };
};

struct raw_case {
	const char *name;
	std::string request;
	const char *status; /* of the first answer */
	const char *outcome;
	uint32_t admits; /* requests that reach the dispatch duty */
	bool closed; /* the connection is closed after the answer */
};

const std::string get_line = "GET /whole HTTP/1.1\r\nHost: h\r\n";
const std::string post_line = "POST /whole HTTP/1.1\r\nHost: h\r\n";
const std::string smuggled = "GET /whole HTTP/1.1\r\nHost: h\r\n\r\n";

const struct raw_case raw_cases[] = {
	{ "plain", get_line + "\r\n", "200", "complete", 1, false },
	{ "two pipelined requests", get_line + "\r\n" + get_line + "\r\n",
	  "200", "complete", 2, false },
	{ "body", post_line + "Content-Length: 4\r\n\r\npaid", "200",
	  "complete", 1, false },
	{ "body in chunks",
	  post_line +
		  "Transfer-Encoding: chunked\r\n\r\n4\r\npaid\r\n0\r\n\r\n",
	  "200", "complete", 1, false },
	{ "Connection: close", get_line + "Connection: close\r\n\r\n", "200",
	  "complete", 1, true },
	{ "both framings",
	  post_line +
		  "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "0\r\n\r\n" +
		  smuggled,
	  "400", "not-run", 0, true },
	{ "two lengths",
	  post_line + "Content-Length: 0\r\nContent-Length: 40\r\n\r\n" +
		  smuggled,
	  "400", "not-run", 0, true },
	{ "list of lengths",
	  post_line + "Content-Length: 0, 40\r\n\r\n" + smuggled, "400",
	  "not-run", 0, true },
	{ "signed length", post_line + "Content-Length: +4\r\n\r\npaid", "400",
	  "not-run", 0, true },
	{ "length with trailing characters",
	  post_line + "Content-Length: 4x\r\n\r\npaid", "400", "not-run", 0,
	  true },
	{ "unknown transfer coding",
	  post_line + "Transfer-Encoding: xchunked\r\n\r\n" + smuggled, "400",
	  "not-run", 0, true },
	{ "list of transfer codings",
	  post_line + "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n" +
		  smuggled,
	  "400", "not-run", 0, true },
	/* A parser that accepts this field could read the body as a request. */
	{ "space before the colon",
	  post_line + "Content-Length : 4\r\n\r\npaid", "400", "not-run", 0,
	  true },
	/* One field, which is unfolded when the request is forwarded. */
	{ "folded field",
	  post_line + "X: a\r\n Transfer-Encoding: chunked\r\n\r\n", "200",
	  "complete", 1, false },
	{ "broken chunk",
	  post_line + "Transfer-Encoding: chunked\r\n\r\nzz\r\npaid\r\n", "400",
	  "not-run", 0, true },
	{ "body above the limit", post_line + "Content-Length: 1001\r\n\r\n",
	  "413", "not-run", 0, true },
	{ "chunks above the limit",
	  post_line + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" +
		  std::string(1001, 'x') + "\r\n0\r\n\r\n",
	  "413", "not-run", 0, true },
	{ "head above the limit",
	  get_line + "X: " + std::string(head_max_bytes, 'x') + "\r\n\r\n",
	  "413", "not-run", 0, true },
	{ "too many fields",
	  get_line +
		  [] {
			  std::string fields;
			  for (int i = 0; i < 70; i++)
				  fields += "X: 1\r\n";
			  return fields;
		  }() +
		  "\r\n",
	  "413", "not-run", 0, true },
	{ "no host", "GET /whole HTTP/1.1\r\n\r\n", "400", "not-run", 0, true },
	{ "two hosts", get_line + "Host: i\r\n\r\n", "400", "not-run", 0,
	  true },
	{ "HTTP/1.0", "GET /whole HTTP/1.0\r\nHost: h\r\n\r\n", "400",
	  "not-run", 0, true },
	{ "dot segments", "POST /a/../whole HTTP/1.1\r\nHost: h\r\n\r\n", "400",
	  "not-run", 0, true },
	{ "percent-encoded dot segments",
	  "POST /a/%2e%2e/whole HTTP/1.1\r\nHost: h\r\n\r\n", "400", "not-run",
	  0, true },
	{ "unknown method", "TRACE /whole HTTP/1.1\r\nHost: h\r\n\r\n", "400",
	  "not-run", 0, true },
	{ "not HTTP", "hello\r\n\r\n", "400", "not-run", 0, true },
	{ "answer without a body", "GET /empty HTTP/1.1\r\nHost: h\r\n\r\n",
	  "204", "complete", 1, false },
	{ "HEAD", "HEAD /head HTTP/1.1\r\nHost: h\r\n\r\n", "200", "complete",
	  1, false },
	{ "refused", "GET /queue HTTP/1.1\r\nHost: h\r\n\r\n", "503", "not-run",
	  1, false },
	{ "outcome unknown", "GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n", "504",
	  "unknown", 1, false },
	{ "broken before its head was sent",
	  "GET /broken HTTP/1.1\r\nHost: h\r\n\r\n", "502", "unknown", 1,
	  true },
	{ "entries of a known service",
	  "GET /.nutmegcrank/entries?service=roll HTTP/1.1\r\nHost: h\r\n\r\n",
	  "200", "complete", 0, false },
	{ "entries of an unknown service",
	  "GET /.nutmegcrank/entries?service=none HTTP/1.1\r\nHost: h\r\n\r\n",
	  "404", "not-run", 0, false },
	{ "entries with an invalid service name",
	  "GET /.nutmegcrank/entries?service=../x HTTP/1.1\r\nHost: h\r\n\r\n",
	  "400", "not-run", 0, false },
	{ "unknown path below /.nutmegcrank/",
	  "POST /.nutmegcrank/x HTTP/1.1\r\nHost: h\r\n\r\n", "400", "not-run",
	  0, false },
};

TEST_F(FrontDuty, RawRequests)
{
	for (const auto &c : raw_cases) {
		SCOPED_TRACE(c.name);
		int fd = connect_caller();
		std::string answer;
		bool closed;

		admits_ = 0;
		send_text(fd, c.request);
		answer = read_all(fd, 150, &closed);
		EXPECT_EQ(answer.substr(0, 12),
			  std::string("HTTP/1.1 ") + c.status);
		EXPECT_NE(answer.find(std::string("Nutmegcrank-Outcome: ") +
				      c.outcome + "\r\n"),
			  std::string::npos)
			<< answer;
		EXPECT_EQ(admits_, c.admits);
		EXPECT_EQ(closed, c.closed) << answer;
		close(fd);
	}
}

struct answer_case {
	const char *name;
	const char *request;
	const char *answer;
};

const struct answer_case answer_cases[] = {
	{ "body of known length", "GET /whole HTTP/1.1\r\nHost: h\r\n\r\n",
	  "HTTP/1.1 200 OK\r\nX-Own: 1\r\nNutmegcrank-Outcome: complete\r\n"
	  "Content-Length: 5\r\nConnection: keep-alive\r\n"
	  "Keep-Alive: timeout=19\r\n\r\nwhole" },
	{ "chunked", "GET /chunked HTTP/1.1\r\nHost: h\r\n\r\n",
	  "HTTP/1.1 200 OK\r\nX-Own: 1\r\nNutmegcrank-Outcome: complete\r\n"
	  "Transfer-Encoding: chunked\r\nConnection: keep-alive\r\n"
	  "Keep-Alive: timeout=19\r\n\r\n"
	  "3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n" },
	{ "HEAD", "HEAD /head HTTP/1.1\r\nHost: h\r\n\r\n",
	  "HTTP/1.1 200 OK\r\nX-Own: 1\r\nNutmegcrank-Outcome: complete\r\n"
	  "Content-Length: 7\r\nConnection: keep-alive\r\n"
	  "Keep-Alive: timeout=19\r\n\r\n" },
	{ "HEAD of a refusal", "HEAD /queue HTTP/1.1\r\nHost: h\r\n\r\n",
	  "HTTP/1.1 503 Service Unavailable\r\n"
	  "Content-Type: application/json\r\nCache-Control: no-store\r\n"
	  "Content-Length: 42\r\nNutmegcrank-Outcome: not-run\r\n"
	  "Connection: keep-alive\r\n"
	  "Keep-Alive: timeout=19\r\n\r\n" },
	{ "refusal", "GET /queue HTTP/1.1\r\nHost: h\r\n\r\n",
	  "HTTP/1.1 503 Service Unavailable\r\n"
	  "Content-Type: application/json\r\nCache-Control: no-store\r\n"
	  "Content-Length: 42\r\nNutmegcrank-Outcome: not-run\r\n"
	  "Connection: keep-alive\r\n"
	  "Keep-Alive: timeout=19\r\n\r\n"
	  "{\"error\":\"queue_full\",\"outcome\":\"not-run\"}" },
};

TEST_F(FrontDuty, AnswersByteForByte)
{
	for (const auto &c : answer_cases) {
		SCOPED_TRACE(c.name);
		int fd = connect_caller();
		bool closed;

		send_text(fd, c.request);
		EXPECT_EQ(read_all(fd, 150, &closed), c.answer);
		close(fd);
	}
}

TEST_F(FrontDuty, CancelsRequestOfDisconnectedCaller)
{
	int fd = connect_caller();
	uint64_t closed_us;

	send_text(fd, "GET /never HTTP/1.1\r\nHost: h\r\n\r\n");
	while (admits_ == 0)
		g_usleep(1000);
	g_usleep(20000);
	close(fd);
	closed_us = clock_now_us();
	while (cancels_ == 0 && clock_now_us() < closed_us + US_PER_S)
		g_usleep(1000);
	EXPECT_EQ(cancels_, 1U);
	EXPECT_LT(clock_now_us(), closed_us + 500 * US_PER_MS);
}

TEST_F(FrontDuty, ClosesConnectionOnSlowBody)
{
	int fd = connect_caller();
	uint64_t start_us = clock_now_us();
	bool closed = false;
	std::string answer;

	send_text(fd, post_line + "Content-Length: 900\r\n\r\n");
	while (!closed && clock_now_us() < start_us + 10 * US_PER_S) {
		if (send(fd, "x", 1, MSG_NOSIGNAL) < 0)
			break;
		answer += read_all(fd, 100, &closed);
	}
	EXPECT_LT(clock_now_us(), start_us + 5 * US_PER_S);
	EXPECT_EQ(admits_, 0U);
	close(fd);
}

TEST_F(FrontDuty, ExpectedContinueIsSent)
{
	int fd = connect_caller();
	std::string answer;
	bool closed;

	send_text(fd, post_line + "Content-Length: 4\r\n"
				  "Expect: 100-continue\r\n\r\n");
	EXPECT_EQ(read_all(fd, 150, &closed), "HTTP/1.1 100 Continue\r\n\r\n");
	send_text(fd, "paid");
	answer = read_all(fd, 150, &closed);
	EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
	EXPECT_EQ(admits_, 1U);
	close(fd);
}

TEST_F(FrontDuty, RefusesAtDeadlineWithoutAnswer)
{
	int fd = connect_caller();
	uint64_t start_us = clock_now_us();
	std::string answer;
	bool closed;

	send_text(fd, get_line.substr(0, 4) + "/never HTTP/1.1\r\nHost: h\r\n" +
			      "Nutmegcrank-Deadline-Unix-Ms: " +
			      std::to_string(clock_now().unix_ms + 200) +
			      "\r\n\r\n");
	answer = read_all(fd, 2000, &closed);
	EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 504");
	EXPECT_NE(answer.find("Nutmegcrank-Outcome: unknown"),
		  std::string::npos);
	EXPECT_GE(clock_now_us(), start_us + 200 * US_PER_MS);
	EXPECT_LT(clock_now_us(), start_us + 1500 * US_PER_MS);
	/* Pushed before the answer, but run_dispatch() may count it later. */
	while (cancels_ == 0 && clock_now_us() < start_us + 2 * US_PER_S)
		g_usleep(1000);
	EXPECT_EQ(cancels_, 1U);
	close(fd);
}

int process_threads()
{
	GDir *dir = g_dir_open("/proc/self/task", 0, nullptr);
	int count = 0;

	while (g_dir_read_name(dir))
		count++;
	g_dir_close(dir);
	return count;
}

/* Idle connections need no threads of their own and do not delay a request. */
TEST_F(FrontDuty, IdleCallersHoldNoThread)
{
	int before = process_threads();
	std::vector<int> fds;
	uint64_t start_us;
	bool closed;

	for (uint32_t i = 0; i < connections_max / 2; i++) {
		fds.push_back(connect_caller());
		send_text(fds.back(), get_line + "\r\n");
	}
	for (int fd : fds) {
		EXPECT_EQ(read_answer(fd).substr(0, 12), "HTTP/1.1 200");
	}
	EXPECT_EQ(process_threads(), before);
	start_us = clock_now_us();
	send_text(fds[0], get_line + "\r\n");
	EXPECT_EQ(read_answer(fds[0]).substr(0, 12), "HTTP/1.1 200");
	EXPECT_LT(clock_now_us(), start_us + 500 * US_PER_MS);
	for (int fd : fds) {
		EXPECT_EQ(read_all(fd, 0, &closed), "");
		EXPECT_FALSE(closed);
		close(fd);
	}
}

/*
 * When few connections are free, each one is closed after its answer, so that
 * new callers can connect.
 */
TEST_F(FrontDuty, ClosesAfterAnswerWhenFewConnectionsAreFree)
{
	std::vector<int> fds;
	uint32_t kept = 0;
	bool closed;
	int fd;

	for (uint32_t i = 0; i < connections_max - 1; i++) {
		fds.push_back(connect_caller());
		send_text(fds.back(), get_line + "\r\n");
	}
	for (int each : fds) {
		std::string answer = read_answer(each);
		bool closing = answer.find("Connection: close") !=
			       std::string::npos;

		EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
		EXPECT_EQ(read_all(each, closing ? 2000 : 20, &closed), "");
		EXPECT_EQ(closed, closing);
		kept += !closed;
	}
	EXPECT_LE(kept, connections_max * 3 / 4);
	fd = connect_caller();
	send_text(fd, get_line + "\r\n");
	EXPECT_EQ(read_answer(fd).substr(0, 12), "HTTP/1.1 200");
	close(fd);
	for (int each : fds)
		close(each);
}

TEST_F(FrontDuty, SlowReaderGetsALargeAnswerWhole)
{
	int fd = connect_caller();
	std::string answer;
	bool closed = false;

	send_text(fd, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
	g_usleep(200000);
	answer = read_all(fd, 500, &closed);
	EXPECT_FALSE(closed);
	EXPECT_EQ(answer.size() - answer.find("\r\n\r\n") - 4, large_bytes);
	send_text(fd, get_line + "\r\n");
	EXPECT_EQ(read_answer(fd).substr(0, 12), "HTTP/1.1 200");
	close(fd);
}

/* An answer that breaks off closes its own connection and no other. */
TEST_F(FrontDuty, IncompleteAnswerClosesOnlyItsConnection)
{
	int fd = connect_caller();
	int other_fd = connect_caller();
	struct answer_part parts[] = { head_part(200, 10), chunk_part("half") };
	struct answer_part broken = last_part(PART_BROKEN);
	std::string answer;
	bool closed;

	send_text(fd, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n");
	while (!late_)
		g_usleep(1000);
	for (auto &part : parts)
		ASSERT_EQ(ring_push_reserved(late_.load()->answer, &part),
			  RING_OK);
	answer = read_all(fd, 150, &closed);
	EXPECT_FALSE(closed);
	EXPECT_NE(answer.find("\r\n\r\nhalf"), std::string::npos);
	ASSERT_EQ(ring_push_reserved(late_.load()->answer, &broken), RING_OK);
	request_unref(late_);
	EXPECT_EQ(read_all(fd, 1000, &closed), "");
	EXPECT_TRUE(closed);
	send_text(other_fd, get_line + "\r\n");
	EXPECT_EQ(read_answer(other_fd).substr(0, 12), "HTTP/1.1 200");
	close(fd);
	close(other_fd);
}

/* A stop closes idle connections and waits for answers in progress. */
TEST_F(FrontDuty, StopWaitsForAnswers)
{
	int idle_fd = connect_caller();
	int fd = connect_caller();
	std::string answer;
	bool closed;

	send_text(fd, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n");
	while (!late_)
		g_usleep(1000);
	std::thread stop([this] {
		front_stop(front_, DEADLINE_NONE_US);
		front_ = nullptr;
	});
	read_all(idle_fd, 1000, &closed);
	EXPECT_TRUE(closed);
	answer_late();
	answer = read_all(fd, 1000, &closed);
	stop.join();
	EXPECT_TRUE(closed);
	EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
	EXPECT_NE(answer.find("Connection: close"), std::string::npos);
	close(fd);
	close(idle_fd);
}

} // namespace
