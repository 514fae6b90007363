/*
 * Reading of the platform's store: pages, watches, history that the store has
 * dropped, failed requests, and collection of changes before they are
 * published.
 */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "script_server.h"

extern "C" {
#include "codec/document_json.h"
#include "core/clock.h"
#include "platform/store_source.h"
}

namespace
{

std::string reply(const std::string &status, const std::string &body)
{
	return "HTTP/1.1 " + status +
	       "\r\nContent-Length: " + std::to_string(body.size()) +
	       "\r\n\r\n" + body;
}

/* The same answer in an era of the store. */
std::string in_era(const std::string &answer, uint64_t era)
{
	size_t line = answer.find("\r\n");

	return answer.substr(0, line) +
	       "\r\nStore-Era: " + std::to_string(era) + answer.substr(line);
}

/* Version of the store's state at a revision of an era. */
uint64_t version_in(uint64_t era, uint64_t revision)
{
	return (era << 53) + revision;
}

std::string item(const std::string &key, const std::string &value,
		 uint64_t revision)
{
	gchar *coded =
		g_base64_encode((const guchar *)value.data(), value.size());
	std::string text = "{\"key\":\"" + key + "\",\"value\":\"" + coded +
			   "\",\"rev\":" + std::to_string(revision) + "}";

	g_free(coded);
	return text;
}

const std::string config_item =
	item("op/config",
	     "{\"version\":\"r1\",\"services\":[{\"name\":\"rolls\","
	     "\"maxConnections\":9}],\"hosts\":[]}",
	     1);

std::string upstream_item(const std::string &id, uint64_t revision)
{
	return item(
		"servers/" + id,
		"{\"address\":\"10.0.0." + id.substr(2) +
			":80\",\"info\":{\"service\":\"rolls\",\"zone\":"
			"\"a\",\"version\":\"v1\",\"maxConcurrency\":3},\"status\":{"
			"\"state\":\"ready\",\"sequence\":1,"
			"\"warmupLeft\":\"0ms\"}}",
		revision);
}

std::string page(const std::string &items, bool more, uint64_t revision)
{
	return reply("200 OK",
		     "{\"items\":[" + items +
			     "],\"hasMore\":" + (more ? "true" : "false") +
			     ",\"storeRevision\":" + std::to_string(revision) +
			     "}");
}

std::string changes(const std::string &events, uint64_t revision)
{
	return reply("200 OK", "{\"events\":[" + events +
				       "],\"storeRevision\":" +
				       std::to_string(revision) + "}");
}

std::string repeat(const std::string &text, uint32_t times)
{
	std::string out;

	while (times-- > 0)
		out += text;
	return out;
}

/* As long as a key may be, of characters that each take two bytes. */
const std::string long_key = repeat("\u00e9", 100);
const std::string long_key_escaped = repeat("%C3%A9", 100);

/* One read of the index and its expected result. */
struct read_step {
	bool fails;
	uint64_t version; /* version of the index */
	uint32_t upstreams;
	std::string last_target; /* target of the last request, if checked */
	bool partial = false; /* further answers follow */
	uint64_t config = 0; /* version of the routing table, if checked */
};

struct source_case {
	const char *name;
	std::vector<struct script_reply> script;
	std::vector<struct read_step> reads;
	/* Longest value of an entry, by the settings. */
	uint32_t value_bytes = 1 << 20;
};

const std::string config_2_item =
	item("op/config",
	     "{\"version\":\"r2\",\"services\":[{\"name\":\"rolls\","
	     "\"maxConnections\":9}],\"hosts\":[{\"host\":\"h.example\","
	     "\"paths\":[{\"prefix\":\"/a/\",\"service\":\"rolls\","
	     "\"routeType\":\"safe\",\"timeout\":\"1s\","
	     "\"targetLatency\":\"1s\",\"priority\":0,"
	     "\"maxAttempts\":1}]}]}",
	     8);
const std::string first_entries = config_item + "," + upstream_item("i-1", 2);
const std::string removal =
	"{\"key\":\"servers/i-1\",\"rev\":6,\"removed\":true}";
/* For a count that depends on how long the previous reads took. */
const uint32_t ANY_COUNT = UINT32_MAX;

const struct source_case source_cases[] = {
	{ "one page, then a change",
	  { { page(first_entries, false, 5), AFTER_KEEP, 0, "" },
	    { changes(removal, 6), AFTER_KEEP, 0, "" } },
	  { { false, 5, 1, "/kv-range?prefix=" },
	    { false, 6, 0, "/kv-watch?prefix=&after=5&waitMs=50" } } },
	{ "several pages, then the changes made meanwhile",
	  { { page(config_item, true, 5), AFTER_KEEP, 0, "" },
	    { page(upstream_item("i-1", 7), false, 7), AFTER_KEEP, 0, "" },
	    { changes("{\"key\":\"servers/i-1\",\"rev\":8,\"removed\":true}", 8),
	      AFTER_KEEP, 0, "" } },
	  { { false, 8, 0, "/kv-watch?prefix=&after=5&waitMs=0" } } },
	{ "the history is dropped: all entries are read again",
	  { { page(first_entries, false, 5), AFTER_KEEP, 0, "" },
	    { reply("410 Gone", ""), AFTER_KEEP, 0, "" },
	    { page(config_item, false, 90), AFTER_KEEP, 0, "" } },
	  { { false, 5, 1, "/kv-range?prefix=" },
	    { false, 90, 0, "/kv-range?prefix=" } } },
	{ "too many requests, then success",
	  { { reply("429 Too Many Requests", ""), AFTER_KEEP, 0, "" },
	    { page(first_entries, false, 5), AFTER_KEEP, 0, "" } },
	  { { true, 0, 0, "/kv-range?prefix=" },
	    { false, 5, 1, "/kv-range?prefix=" } } },
	{ "an unavailable store; what was read is kept",
	  { { page(first_entries, false, 5), AFTER_KEEP, 0, "" },
	    { reply("503 Service Unavailable", ""), AFTER_KEEP, 0, "" },
	    { changes("", 5), AFTER_KEEP, 0, "" } },
	  { { false, 5, 1, "/kv-range?prefix=" },
	    { true, 0, 0, "/kv-watch?prefix=&after=5&waitMs=50" },
	    { false, 5, 1, "/kv-watch?prefix=&after=5&waitMs=50" } } },
	{ "a watch whose connection is closed",
	  { { page(first_entries, false, 5), AFTER_KEEP, 0, "" },
	    { "", AFTER_CLOSE, 0, "" },
	    { "", AFTER_CLOSE, 0, "" },
	    { changes(removal, 6), AFTER_KEEP, 0, "" } },
	  { { false, 5, 1, "/kv-range?prefix=" },
	    { true, 0, 0, "" },
	    { false, 6, 0, "/kv-watch?prefix=&after=5&waitMs=50" } } },
	{ "a store that stops answering",
	  { { page(first_entries, false, 5), AFTER_KEEP, 0, "" },
	    { "", AFTER_STALL, 0, "" },
	    { "", AFTER_STALL, 0, "" },
	    { changes(removal, 6), AFTER_KEEP, 0, "" } },
	  { { false, 5, 1, "/kv-range?prefix=" },
	    { true, 0, 0, "" },
	    { false, 6, 0, "/kv-watch?prefix=&after=5&waitMs=50" } } },
	{ "a watch that is not answered while the store answers",
	  { { page(first_entries, false, 5), AFTER_KEEP, 0, "" },
	    { "", AFTER_STALL, 0, "" },
	    { page("", false, 5), AFTER_KEEP, 0, "" },
	    { changes(removal, 6), AFTER_KEEP, 0, "" } },
	  { { false, 5, 1, "/kv-range?prefix=" },
	    { false, 6, 0, "/kv-watch?prefix=&after=5&waitMs=50" } } },
	{ "a watch that does not report what the store has",
	  { { page(first_entries, false, 5), AFTER_KEEP, 0, "" },
	    { "", AFTER_STALL, 0, "" },
	    { page("", false, 9), AFTER_KEEP, 0, "" },
	    { page(config_item, false, 9), AFTER_KEEP, 0, "" } },
	  { { false, 5, 1, "/kv-range?prefix=" },
	    { false, 9, 0, "/kv-range?prefix=" } } },
	{ "a new configuration does not wait for the other pages",
	  { { page(first_entries, false, 5), AFTER_KEEP, 0, "" },
	    { reply("410 Gone", ""), AFTER_KEEP, 0, "" },
	    { page(config_2_item, true, 9), AFTER_KEEP, 0, "" },
	    { page(upstream_item("i-1", 2), false, 9), AFTER_KEEP, 100, "" },
	    { changes("", 9), AFTER_KEEP, 0, "" } },
	  { { false, 5, 1, "", false, 1 },
	    { false, 5, 1, "", true, 2 },
	    { false, 9, 1, "/kv-watch?prefix=&after=9&waitMs=0", false, 2 } } },
	{ "a new server is published later, a configuration at once",
	  { { page(first_entries, false, 5), AFTER_KEEP, 0, "" },
	    { changes(upstream_item("i-2", 6), 6), AFTER_KEEP, 0, "" },
	    { changes(config_item, 7), AFTER_KEEP, 0, "" } },
	  { { false, 5, 1, "/kv-range?prefix=" },
	    { false, 6, 1, "/kv-watch?prefix=&after=5&waitMs=50" },
	    { false, 7, 2, "/kv-watch?prefix=&after=6&waitMs=50" } } },
	{ "a new server is published after 1 s",
	  { { page(first_entries, false, 5), AFTER_KEEP, 0, "" },
	    { changes(upstream_item("i-2", 6), 6), AFTER_KEEP, 0, "" },
	    { changes("", 6), AFTER_KEEP, 190, "" },
	    { changes("", 6), AFTER_KEEP, 190, "" },
	    { changes("", 6), AFTER_KEEP, 190, "" },
	    { changes("", 6), AFTER_KEEP, 190, "" },
	    { changes("", 6), AFTER_KEEP, 190, "" },
	    { changes("", 6), AFTER_KEEP, 190, "" } },
	  { { false, 5, 1, "/kv-range?prefix=" },
	    { false, 6, ANY_COUNT, "" },
	    { false, 6, ANY_COUNT, "" },
	    { false, 6, ANY_COUNT, "" },
	    { false, 6, ANY_COUNT, "" },
	    { false, 6, ANY_COUNT, "" },
	    { false, 6, ANY_COUNT, "" },
	    { false, 6, 2, "" } } },
	{ "a key with a NUL is not the key before it",
	  { { page(first_entries + "," +
			   item("servers/i-1\\u0000x", "nonsense", 3),
		   false, 5),
	      AFTER_KEEP, 0, "" },
	    { changes("{\"key\":\"servers/i-1\\u0000x\",\"rev\":6,"
		      "\"removed\":true}",
		      6),
	      AFTER_KEEP, 0, "" } },
	  { { false, 5, 1, "" }, { false, 6, 1, "" } } },
	{ "a page without a readable entry is not the last one",
	  { { page(config_item, true, 5), AFTER_KEEP, 0, "" },
	    { page("{\"key\":\"k/\\u0000 \"}", true, 5), AFTER_KEEP, 0, "" },
	    { page(upstream_item("i-1", 2), false, 6), AFTER_KEEP, 0, "" },
	    { changes("", 7), AFTER_KEEP, 0, "" } },
	  { { false, 7, 1, "/kv-watch?prefix=&after=5&waitMs=0" } } },
	{ "a page after a key that needs escapes",
	  { { page(config_item + "," + item(long_key, "odd", 3), true, 5),
	      AFTER_KEEP, 0, "" },
	    { "", AFTER_CLOSE, 0, "" },
	    { "", AFTER_CLOSE, 0, "" } },
	  { { true, 0, 0, "/kv-range?prefix=&after=" + long_key_escaped } } },
	{ "more pages without a key to continue from",
	  { { page(first_entries, false, 5), AFTER_KEEP, 0, "" },
	    { reply("410 Gone", ""), AFTER_KEEP, 0, "" },
	    { page("", true, 9), AFTER_KEEP, 0, "" },
	    { page(first_entries, false, 9), AFTER_KEEP, 0, "" } },
	  { { false, 5, 1, "" }, { true, 0, 0, "" }, { false, 9, 1, "" } } },
	{ "changes too large for one answer: all entries are read again",
	  { { page(first_entries, false, 5), AFTER_KEEP, 0, "" },
	    { changes(item("other/1", std::string(4 << 20, 'x'), 6), 6),
	      AFTER_CLOSE, 0, "" },
	    { page(config_item, false, 7), AFTER_KEEP, 0, "" } },
	  { { false, 5, 1, "" }, { false, 7, 0, "/kv-range?prefix=" } } },
	{ "an odd entry as long as the store takes them",
	  { { page(first_entries + "," +
			   item("servers/odd", std::string(4 << 20, 'x'), 3),
		   false, 5),
	      AFTER_KEEP, 0, "" },
	    { changes(item("servers/odd", std::string(4 << 20, 'y'), 6), 6),
	      AFTER_KEEP, 0, "" } },
	  { { false, 5, 1, "" }, { false, 6, 1, "" } },
	  4 << 20 },
	{ "a revision of as many digits as a counter may have",
	  { { page(first_entries, false, 9223372036854775806), AFTER_KEEP, 0,
	      "" } },
	  { { false, 9223372036854775806, 1, "/kv-range?prefix=" } } },
	{ "a new era after a 410: all entries are read again",
	  { { in_era(page(first_entries, false, 100), 1), AFTER_KEEP, 0, "" },
	    { in_era(reply("410 Gone", ""), 2), AFTER_KEEP, 0, "" },
	    { in_era(page(first_entries, false, 20), 2), AFTER_KEEP, 0, "" },
	    { in_era(changes("", 20), 2), AFTER_KEEP, 0, "" } },
	  { { false, version_in(1, 100), 1, "/kv-range?prefix=" },
	    { false, version_in(2, 20), 1, "/kv-range?prefix=" },
	    { false, version_in(2, 20), 1,
	      "/kv-watch?prefix=&after=20&waitMs=50" } } },
	{ "a new era whose revisions have passed the old ones",
	  { { in_era(page(first_entries, false, 100), 1), AFTER_KEEP, 0, "" },
	    { in_era(changes(removal, 130), 2), AFTER_KEEP, 0, "" },
	    { in_era(page(first_entries + "," + upstream_item("i-2", 125),
			  false, 130),
		     2),
	      AFTER_KEEP, 0, "" } },
	  { { false, version_in(1, 100), 1, "" },
	    { false, version_in(2, 130), 2, "/kv-range?prefix=" } } },
	{ "two new eras at once",
	  { { page(first_entries, false, 100), AFTER_KEEP, 0, "" },
	    { in_era(changes("", 30), 1), AFTER_KEEP, 0, "" },
	    { in_era(page(first_entries, true, 30), 1), AFTER_KEEP, 0, "" },
	    { in_era(page("", false, 12), 2), AFTER_KEEP, 0, "" },
	    { in_era(page(first_entries, false, 12), 2), AFTER_KEEP, 0, "" } },
	  { { false, 100, 1, "" },
	    { false, version_in(2, 12), 1, "/kv-range?prefix=" } } },
	{ "an answer of the era before is not used",
	  { { in_era(page(first_entries, false, 20), 2), AFTER_KEEP, 0, "" },
	    { in_era(changes(removal, 101), 1), AFTER_KEEP, 0, "" },
	    { in_era(changes("", 20), 2), AFTER_KEEP, 0, "" } },
	  { { false, version_in(2, 20), 1, "" },
	    { true, 0, 0, "" },
	    { false, version_in(2, 20), 1,
	      "/kv-watch?prefix=&after=20&waitMs=50" } } },
	{ "an answer without an era is of the current one",
	  { { in_era(page(first_entries, false, 20), 2), AFTER_KEEP, 0, "" },
	    { changes("", 21), AFTER_KEEP, 0, "" } },
	  { { false, version_in(2, 20), 1, "" },
	    { false, version_in(2, 21), 1, "" } } },
	{ "an answer that cannot be decoded",
	  { { reply("200 OK", "busy"), AFTER_KEEP, 0, "" },
	    { page(first_entries, false, 5), AFTER_KEEP, 0, "" } },
	  { { true, 0, 0, "/kv-range?prefix=" },
	    { false, 5, 1, "/kv-range?prefix=" } } },
};

void wait_for_answer(struct store_source *source, struct source_answer *answer)
{
	uint64_t until_us = clock_now_us() + 3 * US_PER_S;

	while (clock_now_us() < until_us) {
		if (store_source_wait(source, until_us, answer))
			return;
	}
	FAIL() << "no answer";
}

uint64_t table_version(const GArray *list)
{
	for (guint i = 0; i < list->len; i++) {
		const struct index_entry *entry =
			&g_array_index(list, struct index_entry, i);

		if (strcmp(entry->key.text, ROUTING_KEY) == 0)
			return entry->version;
	}
	return 0;
}

uint32_t count_upstreams(struct store_source *source)
{
	struct source_request request = {};
	struct source_answer answer = {};
	uint32_t count = 0;

	request.kind = SOURCE_DOCUMENT;
	name_set(&request.key, "rolls");
	EXPECT_TRUE(store_source_begin(source, &request));
	wait_for_answer(source, &answer);
	EXPECT_TRUE(answer.found);
	struct service_doc *doc =
		service_doc_parse("rolls", (const char *)answer.text->data,
				  answer.text->len, answer.version, nullptr);

	EXPECT_NE(doc, nullptr);
	if (doc)
		count = doc->backend_count;
	service_doc_unref(doc);
	source_answer_clear(&answer);
	return count;
}

TEST(StoreSource, ReadsPagesAndChanges)
{
	for (const auto &c : source_cases) {
		SCOPED_TRACE(c.name);
		ScriptServer server(c.script);
		struct settings settings = {};

		addr_ip_parse("127.0.0.1", &settings.platform.ip);
		settings.platform.port = server.port();
		settings.peer_bind.ip = settings.platform.ip;
		settings.platform_answer_ms = 200;
		settings.platform_value_bytes = c.value_bytes;
		struct store_source *source =
			store_source_new(&settings, nullptr);

		ASSERT_NE(source, nullptr);
		bool goes_on = false;

		for (const auto &step : c.reads) {
			struct source_request request = {};
			struct source_answer answer = {};

			request.kind = SOURCE_INDEX;
			request.watch.wait_ms = 50;
			if (!goes_on) {
				ASSERT_TRUE(
					store_source_begin(source, &request));
			}
			wait_for_answer(source, &answer);
			goes_on = answer.partial;
			EXPECT_EQ(answer.partial, step.partial);
			EXPECT_EQ(answer.error != nullptr, step.fails);
			if (!step.last_target.empty()) {
				EXPECT_EQ(server.last_request().find(
						  "GET " + step.last_target +
						  " "),
					  0u)
					<< server.last_request();
			}
			if (!answer.error) {
				uint64_t version = 0;
				GArray *list = nullptr;

				ASSERT_TRUE(index_parse(
					(const char *)answer.text->data,
					answer.text->len, &version, &list,
					nullptr));
				EXPECT_EQ(version, step.version);
				if (step.config > 0) {
					EXPECT_EQ(table_version(list),
						  (UINT64_C(1) << 62) +
							  step.config);
				}
				g_array_unref(list);
				uint32_t upstreams = count_upstreams(source);

				EXPECT_TRUE(step.upstreams == ANY_COUNT ||
					    step.upstreams == upstreams)
					<< upstreams;
			}
			source_answer_clear(&answer);
		}
		store_source_free(source);
	}
}

/* When a document that another reader's text has replaced is stated again. */
struct restate_case {
	const char *name;
	uint64_t wait_us; /* after the first page */
	std::string second; /* answer after that */
	uint64_t version; /* to which the document rises, 0 if it does not */
};

const struct restate_case restate_cases[] = {
	{ "documents were published just now", 0, in_era(changes("", 120), 1),
	  0 },
	{ "the state has been newer for a while", 1100 * US_PER_MS,
	  in_era(changes("", 120), 1), version_in(1, 120) },
	{ "the store has come back from a copy", 1100 * US_PER_MS,
	  in_era(changes("", 120), 2), 0 },
};

TEST(StoreSource, OverruledDocumentIsStatedAgainOnceSettled)
{
	for (const auto &c : restate_cases) {
		SCOPED_TRACE(c.name);
		ScriptServer server({
			{ in_era(page(first_entries, false, 100), 1),
			  AFTER_KEEP, 0, "" },
			{ c.second, AFTER_KEEP, 0, "" },
			{ in_era(page(first_entries, false, 120), 2),
			  AFTER_KEEP, 0, "" },
		});
		struct config_offer held = {};
		struct settings settings = {};

		addr_ip_parse("127.0.0.1", &settings.platform.ip);
		settings.platform.port = server.port();
		settings.peer_bind.ip = settings.platform.ip;
		settings.platform_answer_ms = 200;
		settings.platform_value_bytes = 1 << 20;
		struct store_source *source =
			store_source_new(&settings, nullptr);

		ASSERT_NE(source, nullptr);
		for (int i = 0; i < 2; i++) {
			struct source_request request = {};
			struct source_answer answer = {};

			if (i > 0)
				g_usleep(c.wait_us);
			request.kind = SOURCE_INDEX;
			request.watch.wait_ms = 50;
			ASSERT_TRUE(store_source_begin(source, &request));
			wait_for_answer(source, &answer);
			EXPECT_EQ(answer.error, nullptr);
			source_answer_clear(&answer);
		}
		name_set(&held.key, "rolls");
		held.version = version_in(1, 110);
		held.hash = 1;
		EXPECT_EQ(store_source_restate(source, &held), c.version);
		store_source_free(source);
	}
}

} // namespace
