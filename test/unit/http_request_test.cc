/* Callers' request heads: validation and the fields that are forwarded. */
#include <gtest/gtest.h>

extern "C" {
#include "codec/http_request.h"
}

namespace
{

const uint64_t body_max_bytes = 1000;
const struct instant now = { 5 * US_PER_S, 1000000 };
const uint32_t NO_REFUSAL = REFUSAL_COUNT;

struct head_case {
	const char *name;
	const char *method;
	const char *path;
	const char *query;
	const char *version;
	std::vector<struct http_field> fields;
	uint32_t cause;
};

#define GET_A "GET", "/a", nullptr, "1.1"
#define POST_A "POST", "/a", nullptr, "1.1"
#define HOST                \
	{                   \
		"Host", "h" \
	}

const struct head_case head_cases[] = {
	{ "plain", GET_A, { HOST }, NO_REFUSAL },
	{ "with query", "GET", "/a", "b=%zz", "1.1", { HOST }, NO_REFUSAL },
	{ "body of known length",
	  POST_A,
	  { HOST, { "Content-Length", "1000" } },
	  NO_REFUSAL },
	{ "body in chunks",
	  POST_A,
	  { HOST, { "Transfer-Encoding", "Chunked" } },
	  NO_REFUSAL },
	{ "dots within segments",
	  "GET",
	  "/a..b/.c/...",
	  nullptr,
	  "1.1",
	  { HOST },
	  NO_REFUSAL },
	{ "both framings",
	  POST_A,
	  { HOST,
	    { "Content-Length", "3" },
	    { "Transfer-Encoding", "chunked" } },
	  REFUSAL_BAD_REQUEST },
	{ "two lengths",
	  POST_A,
	  { HOST, { "Content-Length", "3" }, { "content-length", "3" } },
	  REFUSAL_BAD_REQUEST },
	{ "list of lengths",
	  POST_A,
	  { HOST, { "Content-Length", "3, 3" } },
	  REFUSAL_BAD_REQUEST },
	{ "signed length",
	  POST_A,
	  { HOST, { "Content-Length", "+3" } },
	  REFUSAL_BAD_REQUEST },
	{ "negative length",
	  POST_A,
	  { HOST, { "Content-Length", "-3" } },
	  REFUSAL_BAD_REQUEST },
	{ "hexadecimal length",
	  POST_A,
	  { HOST, { "Content-Length", "0x3" } },
	  REFUSAL_BAD_REQUEST },
	{ "empty length",
	  POST_A,
	  { HOST, { "Content-Length", "" } },
	  REFUSAL_BAD_REQUEST },
	{ "length that overflows",
	  POST_A,
	  { HOST, { "Content-Length", "18446744073709551619" } },
	  REFUSAL_BAD_REQUEST },
	{ "length above the bound",
	  POST_A,
	  { HOST, { "Content-Length", "1001" } },
	  REFUSAL_TOO_LARGE },
	{ "unknown coding that ends in chunked",
	  POST_A,
	  { HOST, { "Transfer-Encoding", "xchunked" } },
	  REFUSAL_BAD_REQUEST },
	{ "coding chunked twice",
	  POST_A,
	  { HOST, { "Transfer-Encoding", "chunked, chunked" } },
	  REFUSAL_BAD_REQUEST },
	{ "two codings",
	  POST_A,
	  { HOST,
	    { "Transfer-Encoding", "chunked" },
	    { "Transfer-Encoding", "identity" } },
	  REFUSAL_BAD_REQUEST },
	{ "no host", GET_A, {}, REFUSAL_BAD_REQUEST },
	{ "two hosts", GET_A, { HOST, HOST }, REFUSAL_BAD_REQUEST },
	{ "host with a path",
	  GET_A,
	  { { "Host", "h/a" } },
	  REFUSAL_BAD_REQUEST },
	{ "host with a bad port",
	  GET_A,
	  { { "Host", "h:1x" } },
	  REFUSAL_BAD_REQUEST },
	{ "space in a field name",
	  GET_A,
	  { HOST, { "Content-Length ", "3" } },
	  REFUSAL_BAD_REQUEST },
	{ "control character in a value",
	  GET_A,
	  { HOST, { "X", "a\rb" } },
	  REFUSAL_BAD_REQUEST },
	{ "unknown expectation",
	  POST_A,
	  { HOST, { "Expect", "200-ok" } },
	  REFUSAL_BAD_REQUEST },
	{ "unknown method",
	  "TRACE",
	  "/a",
	  nullptr,
	  "1.1",
	  { HOST },
	  REFUSAL_BAD_REQUEST },
	{ "method in lower case",
	  "get",
	  "/a",
	  nullptr,
	  "1.1",
	  { HOST },
	  REFUSAL_BAD_REQUEST },
	{ "old version",
	  "GET",
	  "/a",
	  nullptr,
	  "1.0",
	  { HOST },
	  REFUSAL_BAD_REQUEST },
	{ "asterisk as target",
	  "OPTIONS",
	  "*",
	  nullptr,
	  "1.1",
	  { HOST },
	  REFUSAL_BAD_REQUEST },
	{ "absolute URI as target",
	  "GET",
	  "http://h/a",
	  nullptr,
	  "1.1",
	  { HOST },
	  REFUSAL_BAD_REQUEST },
	{ "dot segments",
	  "POST",
	  "/a/../b",
	  nullptr,
	  "1.1",
	  { HOST },
	  REFUSAL_BAD_REQUEST },
	{ "dot segments at the end",
	  "POST",
	  "/a/..",
	  nullptr,
	  "1.1",
	  { HOST },
	  REFUSAL_BAD_REQUEST },
	{ "percent-encoded dot segments",
	  "POST",
	  "/a/%2e%2E/b",
	  nullptr,
	  "1.1",
	  { HOST },
	  REFUSAL_BAD_REQUEST },
	{ "percent-encoded slashes around dots",
	  "POST",
	  "/a%2f..%2fb",
	  nullptr,
	  "1.1",
	  { HOST },
	  REFUSAL_BAD_REQUEST },
	{ "backslashes around dots",
	  "POST",
	  "/a\\..\\b",
	  nullptr,
	  "1.1",
	  { HOST },
	  REFUSAL_BAD_REQUEST },
	{ "incomplete percent-encoding",
	  "GET",
	  "/a%2",
	  nullptr,
	  "1.1",
	  { HOST },
	  REFUSAL_BAD_REQUEST },
	{ "percent-encoded NUL",
	  "GET",
	  "/a%00",
	  nullptr,
	  "1.1",
	  { HOST },
	  REFUSAL_BAD_REQUEST },
	{ "bytes outside ASCII",
	  "GET",
	  "/\xc3\xa4",
	  nullptr,
	  "1.1",
	  { HOST },
	  REFUSAL_BAD_REQUEST },
	{ "fragment",
	  "GET",
	  "/a#b",
	  nullptr,
	  "1.1",
	  { HOST },
	  REFUSAL_BAD_REQUEST },
	{ "space in the query",
	  "GET",
	  "/a",
	  "b c",
	  "1.1",
	  { HOST },
	  REFUSAL_BAD_REQUEST },
	{ "two deadlines",
	  GET_A,
	  { HOST,
	    { HTTP_DEADLINE_FIELD, "1000500" },
	    { HTTP_DEADLINE_FIELD, "1000500" } },
	  REFUSAL_BAD_REQUEST },
	{ "deadline that is not a number",
	  GET_A,
	  { HOST, { HTTP_DEADLINE_FIELD, "soon" } },
	  REFUSAL_BAD_REQUEST },
};

/* Runs http_request_read() on one head and owns the results. */
struct read_result {
	struct request *request = request_new();
	struct request_facts facts = {};
	struct http_body_plan plan = {};
	enum refusal_cause cause = REFUSAL_COUNT;
	bool accepted = false;

	explicit read_result(const struct head_case &c)
	{
		struct http_request_head head = {
			c.method,    c.path,	      c.query,
			c.version,   c.fields.data(), (uint32_t)c.fields.size(),
			"127.0.0.9",
		};

		struct settings settings = {};

		settings.body_max_bytes = body_max_bytes;
		accepted = http_request_read(&head, &settings, now, request,
					     &facts, &plan, &cause);
	}
	~read_result()
	{
		request_unref(request);
	}
	read_result(const read_result &) = delete;
	read_result &operator=(const read_result &) = delete;
};

TEST(HttpRequest, ValidatesHeads)
{
	for (const auto &c : head_cases) {
		SCOPED_TRACE(c.name);
		read_result read(c);

		EXPECT_EQ(read.accepted, c.cause == NO_REFUSAL);
		if (!read.accepted) {
			EXPECT_EQ((uint32_t)read.cause, c.cause);
		}
	}
}

struct deadline_case {
	const char *name;
	const char *value;
	uint64_t deadline_us;
};

const struct deadline_case deadline_cases[] = {
	{ "half a second from now", "1000500", 5500 * US_PER_MS },
	{ "past", "999000", 5 * US_PER_S },
	{ "reduced to one day from now", "99999999999999", 86405 * US_PER_S },
};

TEST(HttpRequest, Deadlines)
{
	for (const auto &c : deadline_cases) {
		SCOPED_TRACE(c.name);
		const struct head_case head = {
			c.name,
			GET_A,
			{ HOST, { HTTP_DEADLINE_FIELD, c.value } },
			NO_REFUSAL
		};
		read_result read(head);

		ASSERT_TRUE(read.accepted);
		EXPECT_EQ(read.facts.deadline_us, c.deadline_us);
	}
}

TEST(HttpRequest, ForwardsOnlyEndToEndFields)
{
	const struct head_case head = { "fields of all kinds",
					"POST",
					"/Works/1",
					"page=2",
					"1.1",
					{ { "Host", "Gallery.Example:8080" },
					  { "Connection", "close, X-Hop" },
					  { "X-Hop", "1" },
					  { "Keep-Alive", "5" },
					  { "TE", "trailers" },
					  { "Upgrade", "h2c" },
					  { "Proxy-Authorization", "x" },
					  { "Content-Length", "4" },
					  { "Expect", "100-continue" },
					  { "Nutmegcrank-Outcome", "complete" },
					  { "nutmegcrank-else", "1" },
					  { HTTP_DEADLINE_FIELD, "1000500" },
					  { "X-Request-Id", "r1" } },
					NO_REFUSAL };
	read_result read(head);

	ASSERT_TRUE(read.accepted);
	EXPECT_STREQ(read.facts.host.text, "gallery.example");
	EXPECT_STREQ(read.facts.path, "/Works/1");
	EXPECT_STREQ(read.request->target, "/Works/1?page=2");
	EXPECT_EQ(read.facts.method, METHOD_POST);
	EXPECT_NE(read.facts.caller_hash, 0U);
	EXPECT_EQ(read.plan.length_bytes, 4U);
	EXPECT_TRUE(read.plan.expects_continue);
	ASSERT_EQ(read.request->header_count, 2U);
	EXPECT_STREQ(read.request->headers[0].value, "Gallery.Example:8080");
	EXPECT_STREQ(read.request->headers[1].name, "X-Request-Id");
}

struct entries_case {
	const char *query;
	bool accepted;
	const char *domain;
};

const struct entries_case entries_cases[] = {
	{ "service=roll", true, "" },
	{ "service=roll&failure_domain=a", true, "a" },
	{ "failure_domain=a&service=roll", true, "a" },
	{ nullptr, false, "" },
	{ "", false, "" },
	{ "service=", false, "" },
	{ "service=roll&service=roll", false, "" },
	{ "service=roll&x=1", false, "" },
	{ "service=ro%6Cl", false, "" },
	{ "service=roll&", false, "" },
	{ "failure_domain=a", false, "" },
};

TEST(HttpRequest, ReadsEntriesQuery)
{
	for (const auto &c : entries_cases) {
		SCOPED_TRACE(c.query ? c.query : "none");
		struct query query;

		EXPECT_EQ(http_entries_read(c.query, "127.0.0.9", &query),
			  c.accepted);
		if (c.accepted) {
			EXPECT_STREQ(query.service.text, "roll");
			EXPECT_STREQ(query.caller_domain.text, c.domain);
		}
	}
}

} // namespace
