/* Entries and changes of the store turned into documents. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "codec/document_json.h"
#include "platform/store_view.h"
}

namespace
{

enum step_kind { PUT, REMOVE, BEGIN, END, PUBLISH };

struct step {
	enum step_kind kind;
	std::string key;
	std::string value;
	uint64_t revision;
};

std::string entry(const std::string &service, const std::string &address,
		  uint64_t born, const std::string &state = "ready")
{
	return "{\"address\":\"" + address + "\",\"info\":{\"service\":\"" +
	       service +
	       "\",\"zone\":\"a\",\"maxConcurrency\":3},\"status\":"
	       "{\"state\":\"" +
	       state + "\",\"sequence\":1,\"warmupLeft\":\"0ms\"},\"born\":" +
	       std::to_string(born) + "}";
}

std::string config(uint64_t version, const std::string &service)
{
	return "{\"version\":\"r" + std::to_string(version) +
	       "\",\"services\":["
	       "{\"name\":\"desk\",\"healthPath\":\"/h\",\"maxConnections\":9},"
	       "{\"name\":\"rolls\",\"healthPath\":\"/h\",\"maxConnections\":9}"
	       "],\"hosts\":[{\"host\":\"x.example\",\"paths\":["
	       "{\"prefix\":\"/a/\",\"routeType\":\"safe\",\"timeout\":\"1s\","
	       "\"targetLatency\":\"1s\",\"priority\":1,\"maxAttempts\":2,"
	       "\"service\":\"" +
	       service + "\"}]}]}";
}

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
	case PUBLISH:
		store_view_publish(view, step.revision);
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

TEST(StoreView, GeneratesServiceDocument)
{
	for (const auto &c : view_cases) {
		SCOPED_TRACE(c.name);
		struct store_view *view = store_view_new();

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

TEST(StoreView, NothingIsPublishedWithoutAConfiguration)
{
	struct store_view *view = store_view_new();

	run_step(view, first_entry);
	store_view_publish(view, 3);
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
	struct store_view *forward = store_view_new();
	struct store_view *backward = store_view_new();

	for (auto step = steps.begin(); step != steps.end(); ++step)
		run_step(forward, *step);
	for (auto step = steps.rbegin(); step != steps.rend(); ++step)
		run_step(backward, *step);
	store_view_publish(forward, 20);
	store_view_publish(backward, 20);
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
	struct store_view *view = store_view_new();
	struct name key = { ROUTING_KEY };
	uint64_t version = 0;
	GArray *list = nullptr;

	run_step(view, first_config);
	run_step(view, first_entry);
	store_view_publish(view, 3);
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
