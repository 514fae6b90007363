/* Formatting of log events and audit records as lines. */
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "codec/audit_line.h"
#include "codec/log_line.h"
}

namespace
{

const char ejection_json[] =
	R"({"sequence":7,"time":"2026-05-04T10:03:00.250Z","kind":"ejected",)"
	R"("cause":"failures","service":"gallery",)"
	R"("subject":"127.0.0.1:9001","ok_requests":3,"failed_requests":9})";

struct audit_line_case {
	const char *json;
	const char *line;
};

const struct audit_line_case audit_line_cases[] = {
	{ ejection_json,
	  "2026-05-04T10:03:00.250Z #7 ejected gallery 127.0.0.1:9001 "
	  "cause=failures ok_requests=3 failed_requests=9" },
	{ R"({"sequence":1,"time":"t","kind":"started","cause":"none"})",
	  "t #1 started cause=none" },
	{ "{}", "" },
};

TEST(LogLineTest, FormatsAuditRecordsAsText)
{
	for (const auto &c : audit_line_cases) {
		struct json_object *object = json_tokener_parse(c.json);
		char *line = audit_line_text(object);

		EXPECT_STREQ(line, c.line);
		g_free(line);
		json_object_put(object);
	}
}

struct log_case {
	const char *name;
	enum log_format format;
	GLogLevelFlags level;
	const char *message;
	gssize message_bytes;
	const char *audit;
	const char *line;
};

const struct log_case log_cases[] = {
	{ "text", LOG_TEXT, G_LOG_LEVEL_WARNING, "ring full", -1, NULL,
	  "2026-05-04T10:03:00.250Z warning ring full\n" },
	{ "length given", LOG_TEXT, G_LOG_LEVEL_INFO, "ring full", 4, NULL,
	  "2026-05-04T10:03:00.250Z info ring\n" },
	{ "one line for each event", LOG_TEXT, G_LOG_LEVEL_CRITICAL,
	  "two\nlines\r\x1b[1m", -1, NULL,
	  "2026-05-04T10:03:00.250Z error two lines  [1m\n" },
	{ "no message", LOG_TEXT, G_LOG_LEVEL_DEBUG, NULL, -1, NULL,
	  "2026-05-04T10:03:00.250Z debug \n" },
	{ "JSON", LOG_JSON, G_LOG_LEVEL_MESSAGE, "say \"no\"", -1, NULL,
	  R"({"time":"2026-05-04T10:03:00.250Z","level":"message",)"
	  R"("message":"say \"no\""})"
	  "\n" },
	{ "JSON of invalid UTF-8", LOG_JSON, G_LOG_LEVEL_ERROR, "a\xff", -1,
	  NULL,
	  "{\"time\":\"2026-05-04T10:03:00.250Z\",\"level\":\"error\","
	  "\"message\":\"a\xef\xbf\xbd\"}\n" },
	{ "audit as text", LOG_TEXT, G_LOG_LEVEL_MESSAGE, "audit", -1,
	  ejection_json,
	  "2026-05-04T10:03:00.250Z message audit #7 "
	  "ejected gallery 127.0.0.1:9001 cause=failures ok_requests=3 "
	  "failed_requests=9\n" },
	{ "audit record with an earlier time", LOG_TEXT, G_LOG_LEVEL_MESSAGE,
	  "audit", -1, R"({"sequence":7,"time":"2026-05-04T10:02:59.000Z"})",
	  "2026-05-04T10:02:59.000Z message audit #7\n" },
	{ "audit as JSON", LOG_JSON, G_LOG_LEVEL_MESSAGE, "audit", -1,
	  R"({"sequence":7})",
	  R"({"time":"2026-05-04T10:03:00.250Z","level":"message",)"
	  R"("message":"audit","audit":{"sequence":7}})"
	  "\n" },
};

TEST(LogLineTest, OneLineForEachEvent)
{
	for (const auto &c : log_cases) {
		SCOPED_TRACE(c.name);
		GLogField fields[3] = { { "PRIORITY", "4", -1 } };
		gsize count = 1;

		if (c.message)
			fields[count++] = { "MESSAGE", c.message,
					    c.message_bytes };
		if (c.audit)
			fields[count++] = { LOG_FIELD_AUDIT, c.audit, -1 };
		char *line = log_line(c.format, c.level, fields, count,
				      UINT64_C(1777888980250));
		EXPECT_STREQ(line, c.line);
		g_free(line);
	}
}

} // namespace
