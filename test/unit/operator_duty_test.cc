/* The operator duty over HTTP; a thread stands in for the dispatch duty. */
#include <curl/curl.h>
#include <gtest/gtest.h>

#include <string>
#include <thread>

extern "C" {
#include "cli/fetch.h"
#include "core/clock.h"
#include "core/report.h"
#include "duty/audit.h"
#include "duty/operator.h"
}

namespace
{

const uint32_t ANSWER_TIMEOUT_MS = 5000;
const uint32_t RECORDS_AT_START = 2;
const uint64_t STOP_US = 5 * US_PER_S;

/* Answers queries with fixed values, or not at all if it is unresponsive. */
class fake_dispatch {
    public:
	struct ring *ring;
	gint records = RECORDS_AT_START;
	gint ready = TRUE;

	explicit fake_dispatch(bool unresponsive)
	    : ring(message_ring_new(64, 0))
	{
		if (!unresponsive)
			thread = std::thread([this] { serve(); });
	}

	~fake_dispatch()
	{
		struct message message;

		ring_close(ring);
		if (thread.joinable())
			thread.join();
		while (ring_pop(ring, &message, 0) == RING_OK)
			reply_channel_unref(message.query.reply);
		ring_free(ring);
	}

    private:
	std::thread thread;

	void serve()
	{
		struct message message;

		while (ring_pop(ring, &message, DEADLINE_NONE_US) == RING_OK) {
			struct query *query = &message.query;
			struct query_reply reply = {};

			reply.kind = query->kind;
			fill(*query, &reply);
			if (ring_push(query->reply->ring, &reply) != RING_OK)
				query_reply_clear(&reply);
			reply_channel_unref(query->reply);
		}
	}

	void fill(const struct query &query, struct query_reply *reply)
	{
		switch (query.kind) {
		case QUERY_STATUS:
			reply->status = g_new0(struct status_report, 1);
			if (strcmp(query.service.text, "absent") == 0)
				break;
			reply->status->service_count = 1;
			reply->status->services =
				g_new0(struct service_report, 1);
			break;
		case QUERY_METRICS:
			reply->metrics = g_new0(struct metrics_report, 1);
			break;
		case QUERY_AUDIT:
			fill_audit(query.since_sequence, reply);
			break;
		case QUERY_READY:
			reply->ready.ready = g_atomic_int_get(&ready);
			break;
		case QUERY_ENTRIES:
		case QUERY_DOCUMENT:
		case QUERY_INSTANCES:
		case QUERY_OFFERS:
			ADD_FAILURE();
			break;
		}
	}

	void fill_audit(uint64_t since, struct query_reply *reply)
	{
		struct audit_record record = {};
		uint64_t last = (uint64_t)g_atomic_int_get(&records);

		reply->records =
			g_array_new(FALSE, FALSE, sizeof(struct audit_record));
		for (uint64_t i = since + 1; i <= last; i++) {
			record.sequence = i;
			g_array_append_val(reply->records, record);
		}
	}
};

/* The operator duty on the first free port from 11000. */
class operator_under_test {
    public:
	fake_dispatch dispatch;
	struct settings settings = {};
	struct operator_duty *duty = NULL;

	explicit operator_under_test(bool unresponsive = false)
	    : dispatch(unresponsive)
	{
		GError *error = NULL;

		settings.operator_listen.ip = 0x7f000001;
		for (uint16_t port = 11000; !duty && port < 11900; port++) {
			settings.operator_listen.port = port;
			duty = operator_start(&settings, dispatch.ring, &error);
			g_clear_error(&error);
		}
		EXPECT_NE(duty, nullptr);
	}

	~operator_under_test()
	{
		EXPECT_TRUE(operator_stop(duty, clock_now_us() + STOP_US));
	}

	/* Return: body of an answer with status 200, else the error's text. */
	std::string get(const char *target)
	{
		GError *error = NULL;
		GString *body = fetch(settings.operator_listen, target,
				      ANSWER_TIMEOUT_MS, &error);
		std::string text = body ? body->str : error->message;

		if (body)
			g_string_free(body, TRUE);
		g_clear_error(&error);
		return text;
	}
};

struct target_case {
	const char *target;
	const char *expected_part;
};

const struct target_case target_cases[] = {
	{ "/status", "\"services\":[{" },
	{ "/status?service=gallery", "\"services\":[{" },
	{ "/status?service=absent", "status 404" },
	{ "/status?service=a%20b", "status 400" },
	{ "/status?service=", "status 400" },
	{ "/audit", "{\"sequence\":1," },
	{ "/audit?since=1", "{\"sequence\":2," },
	{ "/audit?since=x", "status 400" },
	{ "/audit?since=-1", "status 400" },
	{ "/audit?since=9999999999999999", "status 400" },
	{ "/audit?since=0&wait_ms=30001", "status 400" },
	{ "/audit?since=1&wait_ms=1000", "{\"sequence\":2," },
	{ "/metrics", "nutmegcrank_audit_records_total 0" },
	{ "/ready", "{\"ready\":true" },
	{ "/live", "{\"ready\":true" },
	{ "/", "status 404" },
	{ "/statusx", "status 404" },
	{ "/../status", "\"services\":[{" },
};

/* Stopping the HTTP server takes seconds, so tests share one if possible. */
class OperatorDutySharedTest : public testing::Test {
    protected:
	static operator_under_test *op;

	static void SetUpTestSuite()
	{
		op = new operator_under_test();
	}

	static void TearDownTestSuite()
	{
		delete op;
	}
};

operator_under_test *OperatorDutySharedTest::op;

TEST_F(OperatorDutySharedTest, AnswersEachPath)
{
	for (const auto &c : target_cases) {
		std::string text = op->get(c.target);

		EXPECT_NE(text.find(c.expected_part), std::string::npos)
			<< c.target << ": " << text;
	}
}

TEST_F(OperatorDutySharedTest, NotReadyInstanceIsStillLive)
{
	g_atomic_int_set(&op->dispatch.ready, FALSE);
	EXPECT_NE(op->get("/ready").find("status 503"), std::string::npos);
	EXPECT_NE(op->get("/live").find("{\"ready\":false"), std::string::npos);
	g_atomic_int_set(&op->dispatch.ready, TRUE);
}

TEST(OperatorDutyTest, Returns503WhenDispatchIsUnresponsive)
{
	operator_under_test op(true);
	const char *const targets[] = { "/live", "/ready", "/status",
					"/metrics", "/audit" };

	std::vector<std::thread> clients;

	for (const char *target : targets)
		clients.emplace_back([&op, target] {
			EXPECT_NE(op.get(target).find("status 503"),
				  std::string::npos)
				<< target;
		});
	for (auto &client : clients)
		client.join();
}

TEST_F(OperatorDutySharedTest, AuditWaitReturnsNewRecord)
{
	std::string text;
	std::thread client(
		[&] { text = op->get("/audit?since=2&wait_ms=4000"); });

	g_atomic_int_inc(&op->dispatch.records);
	client.join();
	EXPECT_EQ(text.find("{\"sequence\":3,"), 0U) << text;
}

TEST_F(OperatorDutySharedTest, AuditWaitTimesOutEmpty)
{
	uint64_t began_us = clock_now_us();

	EXPECT_EQ(op->get("/audit?since=9&wait_ms=300"), "");
	EXPECT_GE(clock_now_us(), began_us + 300 * US_PER_MS);
}

TEST(OperatorDutyTest, StopEndsAuditWait)
{
	operator_under_test op;
	std::string text = "none";
	std::thread client(
		[&] { text = op.get("/audit?since=2&wait_ms=30000"); });
	uint64_t began_us = clock_now_us();

	/* The stop must not wait for the request, arrived or not. */
	EXPECT_TRUE(operator_stop(op.duty, began_us + STOP_US));
	op.duty = NULL;
	client.join();
	EXPECT_LT(clock_now_us(), began_us + STOP_US);
}

TEST_F(OperatorDutySharedTest, AddressInUseIsListenError)
{
	GError *error = NULL;

	EXPECT_EQ(operator_start(&op->settings, op->dispatch.ring, &error),
		  nullptr);
	ASSERT_NE(error, nullptr);
	EXPECT_TRUE(g_error_matches(error, DUTY_ERROR, DUTY_ERROR_LISTEN));
	g_error_free(error);
}

/* Log writer that appends each audit record to a vector. */
GLogWriterOutput capture_record(GLogLevelFlags level, const GLogField *fields,
				gsize count, gpointer data)
{
	std::vector<std::string> *captured = (std::vector<std::string> *)data;

	(void)level;
	for (gsize i = 0; i < count; i++) {
		if (strcmp(fields[i].key, "NUTMEGCRANK_AUDIT") == 0)
			captured->push_back((const char *)fields[i].value);
	}
	return G_LOG_WRITER_HANDLED;
}

std::vector<std::string> *captured_records()
{
	static std::vector<std::string> captured;

	return &captured;
}

TEST(AuditDutyTest, LogsEveryRecordBeforeItStops)
{
	struct settings settings = {};
	struct ring *ring = message_ring_new(1, 0);
	struct audit_record record = {};
	const uint64_t count = 500;

	g_log_set_writer_func(capture_record, captured_records(), NULL);
	struct audit_duty *duty = audit_start(&settings, ring, NULL);
	ASSERT_NE(duty, nullptr);
	for (uint64_t i = 1; i <= count; i++) {
		record.sequence = i;
		EXPECT_EQ(audit_send(duty, &record), RING_OK);
	}
	audit_stop(duty);
	ASSERT_EQ(captured_records()->size(), count);
	for (uint64_t i = 1; i <= count; i++) {
		std::string head = "{\"sequence\":" + std::to_string(i) + ",";

		EXPECT_EQ(captured_records()->at(i - 1).find(head), 0U);
	}
	ring_free(ring);
}

} // namespace
