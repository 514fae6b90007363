/* Requests parsed from a stream that arrives in pieces of any size. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "codec/http_reader.h"
}

namespace
{

const uint32_t head_max_bytes = 2048;
const uint64_t body_max_bytes = 16;

/* Requests read from a stream until its end or the first malformed request. */
struct read_result {
	std::string text; /* request line, fields and body of each request */
	enum http_reader_step last;
	enum refusal_cause cause;
};

std::string describe_head(struct http_reader *reader)
{
	struct http_request_head head;
	std::string text;

	http_reader_head(reader, &head);
	text = std::string(head.method) + " " + head.path;
	if (head.query)
		text += std::string("?") + head.query;
	text += std::string(" ") + head.version;
	for (uint32_t i = 0; i < head.field_count; i++)
		text += std::string(" [") + head.fields[i].name + "=" +
			head.fields[i].value + "]";
	return text;
}

std::string describe_body(struct http_reader *reader)
{
	GBytes *body = http_reader_take_body(reader);
	std::string text;
	gsize length;
	const void *data;

	if (!body)
		return ";";
	data = g_bytes_get_data(body, &length);
	text = " {" + std::string((const char *)data, length) + "};";
	g_bytes_unref(body);
	return text;
}

struct read_result read_in_pieces(const std::string &stream, size_t piece_bytes)
{
	struct http_reader *reader = http_reader_new(body_max_bytes);
	struct read_result result = { "", HTTP_READER_MORE,
				      REFUSAL_BAD_REQUEST };
	size_t at = 0;
	size_t used;

	http_reader_set_head_max(head_max_bytes);
	while (at < stream.size() && result.last != HTTP_READER_BAD) {
		result.last = http_reader_feed(
			reader, stream.data() + at,
			MIN(piece_bytes, stream.size() - at), &used);
		at += used;
		if (result.last == HTTP_READER_HEAD)
			result.text += describe_head(reader);
		if (result.last == HTTP_READER_DONE) {
			result.text += describe_body(reader);
			http_reader_reset(reader);
		}
	}
	result.cause = http_reader_cause(reader);
	http_reader_free(reader);
	return result;
}

struct stream_case {
	const char *name;
	std::string stream;
	std::string text; /* as in read_result; not compared if empty */
	enum http_reader_step last;
	enum refusal_cause cause; /* with HTTP_READER_BAD */
};

std::string many_fields(int count)
{
	std::string text = "GET / HTTP/1.1\r\n";

	for (int i = 0; i < count; i++)
		text += "X: 1\r\n";
	return text + "\r\n";
}

const struct stream_case stream_cases[] = {
	{ "no body", "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n",
	  "GET /a?b=c 1.1 [Host=h];", HTTP_READER_DONE, REFUSAL_COUNT },
	{ "white space around values",
	  "GET /a HTTP/1.1\r\nHost:  \th \t\r\nE:\r\n\r\n",
	  "GET /a 1.1 [Host=h] [E=];", HTTP_READER_DONE, REFUSAL_COUNT },
	{ "length",
	  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\npaid",
	  "POST /a 1.1 [Host=h] [Content-Length=4] {paid};", HTTP_READER_DONE,
	  REFUSAL_COUNT },
	{ "chunks and a trailer",
	  "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2\r\npa\r\n2;x=y\r\nid\r\n0\r\nHost: evil\r\n\r\n",
	  "POST /a 1.1 [Transfer-Encoding=chunked] {paid};", HTTP_READER_DONE,
	  REFUSAL_COUNT },
	{ "two in a row", "GET /a HTTP/1.1\r\n\r\nHEAD /b HTTP/1.1\r\n\r\n",
	  "GET /a 1.1;HEAD /b 1.1;", HTTP_READER_DONE, REFUSAL_COUNT },
	{ "upgrade is ignored",
	  "GET /a HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"
	  "GET /b HTTP/1.1\r\n\r\n",
	  "GET /a 1.1 [Connection=upgrade] [Upgrade=h2c];GET /b 1.1;",
	  HTTP_READER_DONE, REFUSAL_COUNT },
	{ "incomplete head", "GET /a HTTP/1.1\r\nHost: h\r\n", "",
	  HTTP_READER_MORE, REFUSAL_COUNT },
	{ "not HTTP", "hello\r\n\r\n", "", HTTP_READER_BAD,
	  REFUSAL_BAD_REQUEST },
	{ "control character in a value", "GET /a HTTP/1.1\r\nX: a\x01\r\n\r\n",
	  "", HTTP_READER_BAD, REFUSAL_BAD_REQUEST },
	{ "malformed chunk length",
	  "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	  "POST /a 1.1 [Transfer-Encoding=chunked]", HTTP_READER_BAD,
	  REFUSAL_BAD_REQUEST },
	{ "largest number of fields allowed", many_fields(64), "",
	  HTTP_READER_DONE, REFUSAL_COUNT },
	{ "too many fields", many_fields(65), "", HTTP_READER_BAD,
	  REFUSAL_TOO_LARGE },
	{ "head above its bound",
	  "GET /a HTTP/1.1\r\nX: " + std::string(head_max_bytes, 'x'), "",
	  HTTP_READER_BAD, REFUSAL_TOO_LARGE },
	{ "chunks above the bound",
	  "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "9\r\n123456789\r\n9\r\n123456789\r\n0\r\n\r\n",
	  "POST /a 1.1 [Transfer-Encoding=chunked]", HTTP_READER_BAD,
	  REFUSAL_TOO_LARGE },
};

TEST(HttpReader, StreamsInPieces)
{
	for (const auto &c : stream_cases) {
		for (size_t piece : { (size_t)1, (size_t)3, c.stream.size() }) {
			SCOPED_TRACE(std::string(c.name) + ", pieces of " +
				     std::to_string(piece));
			struct read_result result =
				read_in_pieces(c.stream, piece);

			if (!c.text.empty()) {
				EXPECT_EQ(result.text, c.text);
			}
			EXPECT_EQ(result.last, c.last);
			if (c.last == HTTP_READER_BAD) {
				EXPECT_EQ(result.cause, c.cause);
			}
		}
	}
}

} // namespace
