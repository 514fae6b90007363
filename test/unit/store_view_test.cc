/* Entries and changes of the store turned into documents. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "store_texts.h"
#include "test_instance.h"

extern "C" {
#include "codec/document_json.h"
#include "core/document_version.h"
#include "platform/store_view.h"
#include "query/health.h"
}

namespace
{

enum step_kind { PUT, REMOVE, BEGIN, END, PUBLISH, RESTORED, DROP };

struct step {
	enum step_kind kind;
	std::string key;
	std::string value;
	uint64_t revision;
};

void run_step(struct store_view *view, const struct step &step)
{
	struct store_item item = {};

	switch (step.kind) {
	case PUT:
	case REMOVE:
		item.key = (char *)step.key.c_str();
		item.revision = step.revision;
		item.removed = step.kind == REMOVE;
		if (!item.removed)
			item.value = g_bytes_new(step.value.data(),
						 step.value.size());
		store_view_apply(view, &item);
		g_clear_pointer(&item.value, g_bytes_unref);
		break;
	case BEGIN:
		store_view_begin_reload(view);
		break;
	case END:
		store_view_end_reload(view);
		break;
	case RESTORED:
		store_view_restored(view);
		break;
	case DROP:
		store_view_drop_unconfirmed(view);
		break;
	case PUBLISH:
		store_view_publish(view, step.revision, step.revision);
		break;
	}
}

struct service_doc *parse_service(struct store_view *view, const char *service)
{
	struct name key;
	const struct view_document *document;

	EXPECT_TRUE(name_set(&key, service));
	document = store_view_find(view, &key);
	if (!document)
		return nullptr;
	GError *error = nullptr;
	struct service_doc *doc = service_doc_parse(service, document->text,
						    strlen(document->text),
						    document->version, &error);

	EXPECT_NE(doc, nullptr) << (error ? error->message : "");
	g_clear_error(&error);
	return doc;
}

struct view_case {
	const char *name;
	std::vector<struct step> steps;
	/* Expected backend servers and version of the service "rolls". */
	std::vector<std::string> instances;
	uint64_t version;
};

const struct step first_config = { PUT, "op/config", config(4, "rolls"), 2 };
const struct step first_entry = { PUT, "servers/i-1",
				  entry("rolls", "10.0.0.1:80", 1), 3 };

const struct view_case view_cases[] = {
	{ "an entry and the configuration",
	  { first_config, first_entry, { PUBLISH, "", "", 3 } },
	  { "i-1" },
	  3 },
	{ "the configuration after the entry",
	  { first_entry, first_config, { PUBLISH, "", "", 3 } },
	  { "i-1" },
	  3 },
	{ "a restart under the same name is a change",
	  { first_config,
	    first_entry,
	    { PUBLISH, "", "", 3 },
	    { PUT, "servers/i-1", entry("rolls", "10.0.0.1:80", 2), 5 },
	    { PUBLISH, "", "", 5 } },
	  { "i-1" },
	  5 },
	{ "a change of another service leaves the version",
	  { first_config,
	    first_entry,
	    { PUBLISH, "", "", 3 },
	    { PUT, "servers/i-9", entry("desk", "10.0.0.9:80", 1), 5 },
	    { PUBLISH, "", "", 5 } },
	  { "i-1" },
	  3 },
	{ "a removed entry is gone",
	  { first_config,
	    first_entry,
	    { PUBLISH, "", "", 3 },
	    { REMOVE, "servers/i-1", "", 6 },
	    { PUBLISH, "", "", 6 } },
	  {},
	  6 },
	{ "one that came and went between two documents",
	  { first_config,
	    first_entry,
	    { PUBLISH, "", "", 3 },
	    { PUT, "servers/i-2", entry("rolls", "10.0.0.2:80", 1), 4 },
	    { REMOVE, "servers/i-2", "", 5 },
	    { PUBLISH, "", "", 5 } },
	  { "i-1" },
	  5 },
	{ "entries that cannot be decoded are ignored, the others stay",
	  { first_config,
	    first_entry,
	    { PUT, "servers/i-2", "nonsense", 4 },
	    { PUT, "servers/i-3", "{\"address\":\"x\"}", 4 },
	    { PUBLISH, "", "", 4 } },
	  { "i-1" },
	  4 },
	{ "an entry that becomes invalid counts as removed",
	  { first_config,
	    first_entry,
	    { PUT, "servers/i-1", "nonsense", 4 },
	    { PUBLISH, "", "", 4 } },
	  {},
	  4 },
	{ "a service that is not configured is ignored",
	  { first_config,
	    first_entry,
	    { PUT, "servers/i-2", entry("other", "10.0.0.2:80", 1), 4 },
	    { PUBLISH, "", "", 4 } },
	  { "i-1" },
	  4 },
	{ "a service that is not configured takes no address",
	  { first_config,
	    first_entry,
	    { PUT, "servers/i-2", entry("other", "10.0.0.1:80", 9), 4 },
	    { PUBLISH, "", "", 4 } },
	  { "i-1" },
	  4 },
	{ "of two entries with one address the later start counts",
	  { first_config,
	    first_entry,
	    { PUT, "servers/i-0", entry("rolls", "10.0.0.1:80", 9), 4 },
	    { PUBLISH, "", "", 4 } },
	  { "i-0" },
	  4 },
	{ "an address that now belongs to another service",
	  { first_config,
	    first_entry,
	    { PUT, "servers/i-2", entry("desk", "10.0.0.1:80", 9), 4 },
	    { PUBLISH, "", "", 4 } },
	  {},
	  4 },
	{ "an older configuration changes nothing",
	  { first_config,
	    first_entry,
	    { PUT, "op/config", config(3, "desk"), 4 },
	    { PUBLISH, "", "", 4 } },
	  { "i-1" },
	  4 },
	{ "an invalid or removed configuration changes nothing",
	  { first_config,
	    first_entry,
	    { PUT, "op/config", "{}", 4 },
	    { REMOVE, "op/config", "", 5 },
	    { PUBLISH, "", "", 5 } },
	  { "i-1" },
	  5 },
	{ "a reload removes entries that it does not contain",
	  { first_config,
	    first_entry,
	    { PUBLISH, "", "", 3 },
	    { BEGIN, "", "", 0 },
	    first_config,
	    { PUT, "servers/i-2", entry("rolls", "10.0.0.2:80", 1), 7 },
	    { END, "", "", 0 },
	    { PUBLISH, "", "", 8 } },
	  { "i-2" },
	  8 },
	{ "a reload with the same entries keeps the version",
	  { first_config,
	    first_entry,
	    { PUBLISH, "", "", 3 },
	    { BEGIN, "", "", 0 },
	    first_config,
	    first_entry,
	    { END, "", "", 0 },
	    { PUBLISH, "", "", 8 } },
	  { "i-1" },
	  3 },
};

TEST(StoreView, DocumentsHaveTheStatedFloor)
{
	for (uint32_t percent : { 1u, 70u, 100u }) {
		SCOPED_TRACE(percent);
		struct store_view *view = store_view_new(percent);

		run_step(view, first_config);
		store_view_publish(view, 3, 3);
		struct service_doc *doc = parse_service(view, "rolls");

		ASSERT_NE(doc, nullptr);
		EXPECT_EQ(doc->floor.kind, FLOOR_PERCENT);
		EXPECT_EQ(doc->floor.percent, percent);
		service_doc_unref(doc);
		store_view_free(view);
	}
}

TEST(StoreView, GeneratesServiceDocument)
{
	for (const auto &c : view_cases) {
		SCOPED_TRACE(c.name);
		struct store_view *view = store_view_new(70);

		for (const auto &step : c.steps)
			run_step(view, step);
		struct service_doc *doc = parse_service(view, "rolls");

		ASSERT_NE(doc, nullptr);
		EXPECT_EQ(doc->version, c.version);
		EXPECT_STREQ(doc->drain.header, "Server-Leaving");
		EXPECT_STREQ(doc->drain.value, "1");
		ASSERT_EQ(doc->backend_count, c.instances.size());
		for (size_t i = 0; i < c.instances.size(); i++)
			EXPECT_EQ(doc->backends[i].start.instance.text,
				  c.instances[i]);
		service_doc_unref(doc);
		store_view_free(view);
	}
}

/* The store comes back from a copy that is older than what was read. */
struct restored_case {
	const char *name;
	std::vector<struct step> before;
	std::vector<struct step> copy;
	std::vector<struct step> after;
	std::vector<std::string> instances; /* those in use */
	uint32_t unused; /* listed, and draining or known to have left */
};

const struct step first_write = { PUT, "servers/i-1",
				  entry("rolls", "10.0.0.1:80", 7, "ready", 3),
				  3 };
const struct step drain_write = {
	PUT, "servers/i-1", entry("rolls", "10.0.0.1:80", 7, "draining", 9), 9
};
const struct step second_write = { PUT, "servers/i-2",
				   entry("rolls", "10.0.0.2:80", 8, "ready", 1),
				   8 };

const struct restored_case restored_cases[] = {
	{ "an entry that the copy lacks stays for a while",
	  { first_write, second_write },
	  { first_write },
	  {},
	  { "i-1", "i-2" },
	  0 },
	{ "one that is not written again is gone",
	  { first_write, second_write },
	  { first_write },
	  { { DROP, "", "", 0 } },
	  { "i-1" },
	  0 },
	{ "one that is written again stays",
	  { first_write, second_write },
	  { first_write },
	  { second_write, { DROP, "", "", 0 } },
	  { "i-1", "i-2" },
	  0 },
	{ "a server that drains goes on draining",
	  { first_write, drain_write },
	  { first_write },
	  { { DROP, "", "", 0 } },
	  {},
	  1 },
	{ "another start under the name does not drain",
	  { first_write, drain_write },
	  { first_write },
	  { { PUT, "servers/i-1", entry("rolls", "10.0.0.1:80", 20, "ready", 1),
	      4 } },
	  { "i-1" },
	  0 },
	{ "a server that has left does not come back",
	  { first_write, drain_write, { REMOVE, "servers/i-1", "", 10 } },
	  { first_write },
	  {},
	  {},
	  1 },
	{ "one that has left without draining does not come back",
	  { first_write, { REMOVE, "servers/i-1", "", 10 } },
	  { first_write },
	  {},
	  {},
	  1 },
	{ "a lapsed one that goes on writing comes back",
	  { first_write, { REMOVE, "servers/i-1", "", 10 } },
	  {},
	  { { PUT, "servers/i-1", entry("rolls", "10.0.0.1:80", 7, "ready", 4),
	      4 } },
	  { "i-1" },
	  0 },
	{ "an older configuration is not in force again",
	  { first_write, { PUT, "op/config", config(9, "rolls"), 9 } },
	  { { PUT, "op/config", config(4, "desk"), 2 }, first_write },
	  {},
	  { "i-1" },
	  0 },
};

/*
 * The view says what the store does; the instance that it publishes to judges
 * that by what it has seen.
 */
TEST(StoreView, CopyOfTheStoreTakesNothingBack)
{
	for (const auto &c : restored_cases) {
		SCOPED_TRACE(c.name);
		struct store_view *view = store_view_new(70);
		TestInstance inst;
		struct name rolls;
		const struct service *service;
		std::vector<std::string> instances;
		struct name table = { ROUTING_KEY };
		uint32_t unused = 0;
		uint64_t version = 10;
		uint64_t routes_version;

		run_step(view, first_config);
		for (const auto &step : c.before) {
			run_step(view, step);
			store_view_publish(view, version, version);
			inst.accept(parse_service(view, "rolls"));
			version++;
		}
		routes_version = store_view_find(view, &table)->version;
		store_view_restored(view);
		store_view_set_era(view, 1);
		EXPECT_EQ(view->revision, 0u);
		store_view_begin_reload(view);
		for (const auto &step : c.copy)
			run_step(view, step);
		store_view_end_reload(view);
		store_view_publish(view, 3, doc_version(1, 3));
		inst.accept(parse_service(view, "rolls"));
		for (const auto &step : c.after)
			run_step(view, step);
		store_view_publish(view, 5, doc_version(1, 5));
		EXPECT_EQ(store_view_find(view, &table)->version,
			  routes_version);
		struct service_doc *doc = parse_service(view, "rolls");

		ASSERT_NE(doc, nullptr);
		EXPECT_TRUE(doc->version < version ||
			    doc->version == doc_version(1, 3) ||
			    doc->version == doc_version(1, 5));
		inst.accept(doc);
		ASSERT_TRUE(name_set(&rolls, "rolls"));
		service = service_lookup(inst.state, &rolls);
		for (uint32_t i = 0; i < service->doc->backend_count; i++) {
			if (backend_draining(&service->backends[i], inst.now))
				unused++;
			else
				instances.push_back(
					service->doc->backends[i]
						.start.instance.text);
		}
		EXPECT_EQ(instances, c.instances);
		EXPECT_EQ(unused, c.unused);
		store_view_free(view);
	}
}

/*
 * Another text is in force than the view's, whose own has not changed: a reader
 * that knew less published it, and nobody would correct it (review/8).
 */
struct restate_case {
	const char *name;
	const char *key;
	uint64_t held_version;
	bool same_text;
	std::vector<struct step> then; /* after the state of version 20 */
	uint64_t version; /* of the document afterwards */
};

const struct restate_case restate_cases[] = {
	{ "another text of a newer version", "rolls", 15, false, {}, 20 },
	{ "another text of the same version", "rolls", 10, false, {}, 20 },
	{ "the same text under a newer version", "rolls", 15, true, {}, 10 },
	{ "another text of an older version", "rolls", 9, false, {}, 10 },
	{ "the text in force is of the same state", "rolls", 20, false, {}, 10 },
	{ "the text in force is of a newer state", "rolls", 21, false, {}, 10 },
	{ "changes are not published yet",
	  "rolls",
	  15,
	  false,
	  { second_write },
	  10 },
	{ "a reload is not complete",
	  "rolls",
	  15,
	  false,
	  { { BEGIN, "", "", 0 } },
	  10 },
	{ "a service without a document", "other", 15, false, {}, 0 },
};

TEST(StoreView, OverruledDocumentIsStatedAgain)
{
	for (const auto &c : restate_cases) {
		SCOPED_TRACE(c.name);
		struct store_view *view = store_view_new(70);
		struct config_offer held = {};
		const struct view_document *document;
		uint64_t before = 0;
		uint64_t raised;

		name_set(&held.key, c.key);
		run_step(view, first_config);
		run_step(view, first_write);
		store_view_publish(view, 10, 10);
		store_view_publish(view, 20, 20);
		for (const auto &step : c.then)
			run_step(view, step);
		document = store_view_find(view, &held.key);
		if (document)
			before = document->version;
		held.version = c.held_version;
		held.hash = document && c.same_text ? document->hash : 1;
		raised = store_view_restate(view, &held);
		EXPECT_EQ(raised, c.version == before ? 0 : c.version);
		EXPECT_EQ(document ? document->version : 0, c.version);
		store_view_free(view);
	}
}

/* Entry of a valid backend server with one member replaced. */
struct odd_entry_case {
	const char *name;
	const char *from; /* text of the valid entry */
	std::string to; /* in its place */
};

std::string nested(size_t depth)
{
	return std::string(depth, '[') + std::string(depth, ']');
}

const struct odd_entry_case odd_entry_cases[] = {
	{ "a start in microseconds", "\"born\":1",
	  "\"born\":1764928800000000" },
	{ "a start of 19 digits", "\"born\":1",
	  "\"born\":9223372036854775807" },
	{ "a start too large for 64 bits", "\"born\":1",
	  "\"born\":100000000000000000000000000000" },
	{ "a start with an exponent", "\"born\":1", "\"born\":1e300" },
	{ "a start with a fraction", "\"born\":1", "\"born\":1.5" },
	{ "a start before 1970", "\"born\":1", "\"born\":-1" },
	{ "a start that is a string", "\"born\":1", "\"born\":\"1\"" },
	{ "no host's address", "10.0.0.9:80", "0.0.0.0:80" },
	{ "a multicast address", "10.0.0.9:80", "224.0.0.1:80" },
	{ "a broadcast address", "10.0.0.9:80", "255.255.255.255:80" },
	{ "port 0", "10.0.0.9:80", "10.0.0.9:0" },
	{ "a port out of range", "10.0.0.9:80", "10.0.0.9:65536" },
	{ "a port of many digits", "10.0.0.9:80",
	  "10.0.0.9:18446744073709551696" },
	{ "an IPv6 address", "10.0.0.9:80", "[::1]:80" },
	{ "a name for an address", "10.0.0.9:80", "localhost:80" },
	{ "no slots", "\"maxConcurrency\":3", "\"maxConcurrency\":0" },
	{ "slots in quotes", "\"maxConcurrency\":3",
	  "\"maxConcurrency\":\"3\"" },
	{ "a zone that is no name", "\"zone\":\"a\"", "\"zone\":\"a b\"" },
	{ "a zone longer than a name", "\"zone\":\"a\"",
	  "\"zone\":\"" + std::string(64, 'z') + "\"" },
	{ "a zone with a NUL", "\"zone\":\"a\"", "\"zone\":\"a\\u0000b\"" },
	{ "no version", "\"version\":\"v1\",", "" },
	{ "no sequence", "\"sequence\":1,", "" },
	{ "no warm-up", ",\"warmupLeft\":\"0ms\"", "" },
	{ "a list for info", "\"info\":{", "\"info\":[],\"was\":{" },
	{ "deeply nested", "\"born\":1", "\"born\":1,\"x\":" + nested(100000) },
	{ "a state of its own", "\"ready\"", "\"resting\"" },
	{ "bytes that are no UTF-8", "\"state\"", "\"\xff\xfe\":1,\"st\"" },
	{ "cut off", "\"born\":1}", "\"born\":1" },
	{ "empty", nullptr, "" },
};

std::string odd_entry(const struct odd_entry_case &c)
{
	std::string text = entry("rolls", "10.0.0.9:80", 1);

	if (!c.from)
		return c.to;
	size_t at = text.find(c.from);

	EXPECT_NE(at, std::string::npos);
	return text.replace(at, strlen(c.from), c.to);
}

/*
 * Guards against one entry of another writer that the product refuses in a
 * service document: the whole service went without any later change.
 */
TEST(StoreView, OddEntryLeavesTheOthersInForce)
{
	for (const auto &c : odd_entry_cases) {
		SCOPED_TRACE(c.name);
		struct store_view *view = store_view_new(70);

		run_step(view, first_config);
		run_step(view, first_entry);
		run_step(view, { PUT, "servers/i-9", odd_entry(c), 4 });
		run_step(view,
			 { PUT, "servers/i-1",
			   entry("rolls", "10.0.0.1:80", 1, "draining"), 5 });
		run_step(view, { PUBLISH, "", "", 5 });
		struct service_doc *doc = parse_service(view, "rolls");

		EXPECT_NE(doc, nullptr);
		EXPECT_TRUE(doc && doc->backend_count == 1 &&
			    doc->backends[0].draining);
		service_doc_unref(doc);
		store_view_free(view);
	}
}

/* Whatever an entry consists of, the document it leads to can be read. */
TEST(StoreView, DrawnEntriesGiveReadableDocuments)
{
	const char *const values[] = { "0",
				       "-1",
				       "1e9",
				       "4.5",
				       "1024",
				       "9007199254740993",
				       "99999999999999999999",
				       "null",
				       "true",
				       "[]",
				       "{}",
				       "\"\"",
				       "\"0.0.0.0:80\"",
				       "\"x\"",
				       "\"0ms\"",
				       "\"1h\"",
				       "\"10.0.0.9:65535\"",
				       "\"draining\"",
				       "\"rolls\"" };
	const char *const keys[] = { "address", "born",	    "service",
				     "zone",	"version",  "maxConcurrency",
				     "state",	"sequence", "warmupLeft" };
	GRand *rand = g_rand_new_with_seed(34);
	uint32_t accepted = 0;

	for (uint32_t i = 0; i < 4000; i++) {
		std::string text = entry("rolls", "10.0.0.9:80", 1);
		const char *key =
			keys[g_rand_int_range(rand, 0, G_N_ELEMENTS(keys))];
		const char *value =
			values[g_rand_int_range(rand, 0, G_N_ELEMENTS(values))];
		size_t from = text.find("\"" + std::string(key) + "\":") +
			      strlen(key) + 3;
		size_t end = text.find_first_of(",}", from);

		text.replace(from, end - from, value);
		SCOPED_TRACE(text);
		struct store_view *view = store_view_new(70);

		run_step(view, first_config);
		run_step(view, first_entry);
		run_step(view, { PUT, "servers/i-9", text, 4 });
		run_step(view, { PUBLISH, "", "", 4 });
		struct service_doc *doc = parse_service(view, "rolls");

		EXPECT_TRUE(doc && doc->backend_count >= 1);
		accepted += doc && doc->backend_count == 2;
		service_doc_unref(doc);
		store_view_free(view);
	}
	EXPECT_GT(accepted, 100u);
	g_rand_free(rand);
}

TEST(StoreView, NothingIsPublishedWithoutAConfiguration)
{
	struct store_view *view = store_view_new(70);

	run_step(view, first_entry);
	store_view_publish(view, 3, 3);
	EXPECT_EQ(view->documents->len, 0u);
	store_view_free(view);
}

/*
 * Instances that read the entries in different orders must generate equal
 * texts.
 */
TEST(StoreView, TextsDoNotDependOnEntryOrder)
{
	std::vector<struct step> steps = { first_config };

	for (int i = 0; i < 12; i++)
		steps.push_back(
			{ PUT, "servers/i-" + std::to_string(i),
			  entry(i % 2 ? "rolls" : "desk",
				"10.0.0." + std::to_string(i + 1) + ":80", 1),
			  (uint64_t)(3 + i) });
	struct store_view *forward = store_view_new(70);
	struct store_view *backward = store_view_new(70);

	for (auto step = steps.begin(); step != steps.end(); ++step)
		run_step(forward, *step);
	for (auto step = steps.rbegin(); step != steps.rend(); ++step)
		run_step(backward, *step);
	store_view_publish(forward, 20, 20);
	store_view_publish(backward, 20, 20);
	ASSERT_EQ(forward->documents->len, 3u);
	for (const char *key : { "desk", "rolls", ROUTING_KEY }) {
		struct name name = {};

		g_strlcpy(name.text, key, sizeof(name.text));
		ASSERT_NE(store_view_find(forward, &name), nullptr);
		EXPECT_STREQ(store_view_find(forward, &name)->text,
			     store_view_find(backward, &name)->text);
	}
	store_view_free(forward);
	store_view_free(backward);
}

TEST(StoreView, TableAndIndexCanBeParsed)
{
	struct store_view *view = store_view_new(70);
	struct name key = { ROUTING_KEY };
	uint64_t version = 0;
	GArray *list = nullptr;

	run_step(view, first_config);
	run_step(view, first_entry);
	store_view_publish(view, 3, 3);
	const char *text = store_view_find(view, &key)->text;
	struct routing_table *table = routing_table_parse(
		ROUTING_KEY, text, strlen(text), 3, nullptr);

	ASSERT_NE(table, nullptr);
	const struct table_route *route =
		routing_table_find(table, "x.example", "/a/b");

	ASSERT_NE(route, nullptr);
	EXPECT_STREQ(route->targets[0].service.text, "rolls");
	routing_table_unref(table);

	char *index = store_view_index(view);

	ASSERT_TRUE(
		index_parse(index, strlen(index), &version, &list, nullptr));
	EXPECT_EQ(version, 3u);
	EXPECT_EQ(list->len, 3u);
	g_array_unref(list);
	g_free(index);
	store_view_free(view);
}

} // namespace
