/*
 * Parsing of settings, service documents and the platform's lists. Each case
 * replaces a part of a valid sample text by another text.
 */
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "codec/document_json.h"
}

namespace
{

enum text_kind { SETTINGS, DOCUMENT, INSTANCES, INDEX };

const char settings_sample[] = R"({
	// where callers connect
	"callers": "127.0.0.1:8080",
	"peers": "127.0.0.1:8081", /* UDP and TCP */
	"operators": "127.0.0.1:8082",
	"failure_domain": "a",
	"platform": "127.0.0.1:7000",
	"stop_grace": "20s", "retry_share": 0.2,
	"log": {"format": "json", "level": "warning"},
	"random_seed": 7
})";

const char document_sample[] = R"({
	"service": "gallery", // not a "key": 1
	"hosts": ["Gallery.example"],
	"path_prefix": "/gallery",
	"backends": [
		{"ip": "127.0.0.1", "port": 9001, "failure_domain": "a",
		 "slots": 6, "connections": 350},
		{"ip": "127.0.0.1", "port": 9002, "failure_domain": "b",
		 "slots": 6, "connections": 350, "draining": true}
	],
	"classes": [
		{"name": "judge", "priority": 0, "queue": 64},
		{"name": "visitor", "priority": 1, "queue": 32}
	],
	"routes": [
		{"methods": ["GET", "HEAD"], "path_prefix": "/gallery/works",
		 "class": "judge", "budget_ms": 1500},
		{"methods": ["POST"], "path_prefix": "/gallery/notes",
		 "class": "visitor", "long": true}
	],
	"healthy_floor": {"percent": 60},
	"shed_marker": {"header": "X-Shed", "value": "1"},
	"drain_marker": {"header": "X-Draining", "value": "1"},
	"probe_path": "/health",
	"load_path": "/load",
	"default_budget_ms": 2000
})";

const char instances_sample[] = R"({"version": 3, "instances": [
	{"caller": "127.0.0.1:8080", "peer": "127.0.0.1:8081",
	 "failure_domain": "a", "status": "live"},
	{"caller": "127.0.0.2:8080", "peer": "127.0.0.2:8081",
	 "failure_domain": "b", "status": "leaving"}
]})";

const char index_sample[] = R"({"version": 3, "documents": [
	{"key": "gallery", "version": 3}, {"key": "entry", "version": 1}
]})";

std::string sample(enum text_kind kind)
{
	switch (kind) {
	case SETTINGS:
		return settings_sample;
	case DOCUMENT:
		return document_sample;
	case INSTANCES:
		return instances_sample;
	case INDEX:
		return index_sample;
	}
	return "";
}

/* Parses a text; returns whether it is valid and sets @error if not. */
bool accepted(enum text_kind kind, const std::string &text, GError **error)
{
	struct service_doc *doc;
	struct settings settings;
	GArray *list = NULL;
	uint64_t version = 0;
	bool ok = false;

	switch (kind) {
	case SETTINGS:
		return settings_parse("file", text.data(), text.size(),
				      &settings, error);
	case DOCUMENT:
		doc = service_doc_parse("file", text.data(), text.size(), 3,
					error);
		ok = doc != NULL;
		service_doc_unref(doc);
		return ok;
	case INSTANCES:
		ok = instances_parse(text.data(), text.size(), &version, &list,
				     error);
		break;
	case INDEX:
		ok = index_parse(text.data(), text.size(), &version, &list,
				 error);
		break;
	}
	if (ok)
		g_array_unref(list);
	return ok;
}

struct refusal_case {
	const char *name;
	enum text_kind kind;
	const char *part; /* last occurrence is replaced */
	std::string replacement;
	enum settings_error code;
	const char *location; /* that the message begins with */
};

const struct refusal_case refusal_cases[] = {
	/* Syntax of JSON with comments, and limits of size and depth. */
	{ "trailing comma", SETTINGS, "\"random_seed\": 7",
	  "\"random_seed\": 7,", SETTINGS_ERROR_SYNTAX, "line 11, column 1" },
	{ "trailing text", SETTINGS, "7\n}", "7\n} x", SETTINGS_ERROR_SYNTAX,
	  "line 11, column 3" },
	{ "second document", SETTINGS, "7\n}", "7\n}{}", SETTINGS_ERROR_SYNTAX,
	  "line 11, column 2" },
	{ "duplicate key", SETTINGS, "\"random_seed\": 7",
	  "\"random_seed\": 7, \"random_seed\": 8", SETTINGS_ERROR_DUPLICATE,
	  "random_seed" },
	{ "duplicate key, escaped", SETTINGS, "\"random_seed\": 7",
	  "\"random_seed\": 7, \"random_see\\u0064\": 8",
	  SETTINGS_ERROR_DUPLICATE, "random_seed" },
	{ "duplicate key, nested", DOCUMENT, "\"port\": 9002",
	  "\"port\": 9002, \"port\": 9003", SETTINGS_ERROR_DUPLICATE,
	  "backends[1].port" },
	{ "NaN", SETTINGS, "7", "NaN", SETTINGS_ERROR_SYNTAX, "line 10" },
	{ "Infinity", SETTINGS, "7", "Infinity", SETTINGS_ERROR_SYNTAX,
	  "line 10" },
	{ "minus infinity", SETTINGS, "7", "-Infinity", SETTINGS_ERROR_SYNTAX,
	  "line 10" },
	{ "leading zero", SETTINGS, "7", "07", SETTINGS_ERROR_SYNTAX,
	  "line 10" },
	{ "hexadecimal", SETTINGS, "7", "0x7", SETTINGS_ERROR_SYNTAX,
	  "line 10" },
	{ "single quotes", SETTINGS, "\"a\"", "'a'", SETTINGS_ERROR_SYNTAX,
	  "line 6" },
	{ "capitalized literal", SETTINGS, "7", "True", SETTINGS_ERROR_SYNTAX,
	  "line 10" },
	{ "unterminated comment", SETTINGS, "/* UDP and TCP */", "/* UDP",
	  SETTINGS_ERROR_SYNTAX, "line 4" },
	{ "lone slash", SETTINGS, "/* UDP and TCP */", "/",
	  SETTINGS_ERROR_SYNTAX, "line 4" },
	{ "unterminated string", SETTINGS, "\"a\",", "\"a,",
	  SETTINGS_ERROR_SYNTAX, "line 6" },
	{ "NUL byte", SETTINGS, "\"a\"", std::string("\"a\0\"", 4),
	  SETTINGS_ERROR_SYNTAX, "document" },
	{ "NUL escaped", SETTINGS, "\"a\"", "\"a\\u0000\"",
	  SETTINGS_ERROR_SYNTAX, "line 6" },
	{ "invalid UTF-8", SETTINGS, "\"a\"", "\"\xff\"", SETTINGS_ERROR_SYNTAX,
	  "document" },
	{ "invalid UTF-8 in a comment", SETTINGS, "where", "\xc3\x28",
	  SETTINGS_ERROR_SYNTAX, "document" },
	{ "list instead of an object", SETTINGS, settings_sample, "[]",
	  SETTINGS_ERROR_SYNTAX, "line 1, column 1" },
	{ "empty", SETTINGS, settings_sample, "", SETTINGS_ERROR_SYNTAX,
	  "document" },
	{ "nested too deeply", SETTINGS, "7", "[[[[[[[[[[1]]]]]]]]]]",
	  SETTINGS_ERROR_SYNTAX, "line 10" },
	{ "too long", SETTINGS, "where", std::string(65536, 'x'),
	  SETTINGS_ERROR_RANGE, "document" },
	/* Settings. */
	{ "unknown field", SETTINGS, "random_seed", "random_sed",
	  SETTINGS_ERROR_UNKNOWN, "random_sed" },
	{ "unknown field, nested", SETTINGS, "\"level\"", "\"levl\"",
	  SETTINGS_ERROR_UNKNOWN, "log.levl" },
	{ "missing field", SETTINGS, "\"failure_domain\": \"a\",", "",
	  SETTINGS_ERROR_MISSING, "failure_domain" },
	{ "large integer", SETTINGS, "7", "99999999999999999999",
	  SETTINGS_ERROR_RANGE, "random_seed" },
	{ "version above the largest one", INDEX, "3}", "9223372036854775807}",
	  SETTINGS_ERROR_RANGE, "documents[0].version" },
	{ "integer above 32 bits", SETTINGS, "7", "4294967296",
	  SETTINGS_ERROR_RANGE, "random_seed" },
	{ "negative", SETTINGS, "7", "-1", SETTINGS_ERROR_RANGE,
	  "random_seed" },
	{ "fraction", SETTINGS, "7", "7.5", SETTINGS_ERROR_TYPE,
	  "random_seed" },
	{ "exponent that leaves a fraction", SETTINGS, "7", "7e-1",
	  SETTINGS_ERROR_TYPE, "random_seed" },
	{ "exponent beyond the range", SETTINGS, "7", "7e10",
	  SETTINGS_ERROR_RANGE, "random_seed" },
	{ "exponent beyond all numbers", SETTINGS, "7", "7e999",
	  SETTINGS_ERROR_TYPE, "random_seed" },
	{ "exponent without digits", SETTINGS, "7", "7e+",
	  SETTINGS_ERROR_SYNTAX, "line 10" },
	{ "no digits after the decimal point", SETTINGS, "7", "7.",
	  SETTINGS_ERROR_SYNTAX, "line 10" },
	{ "share as a string", SETTINGS, "0.2", "\"all\"", SETTINGS_ERROR_TYPE,
	  "retry_share" },
	{ "share above one", SETTINGS, "0.2", "1.001", SETTINGS_ERROR_RANGE,
	  "retry_share" },
	{ "share below 0", SETTINGS, "0.2", "-0.1", SETTINGS_ERROR_RANGE,
	  "retry_share" },
	{ "share above one by its exponent", SETTINGS, "0.2", "2e0",
	  SETTINGS_ERROR_RANGE, "retry_share" },
	{ "number in quotes", SETTINGS, "7", "\"7\"", SETTINGS_ERROR_TYPE,
	  "random_seed" },
	{ "null", SETTINGS, "7", "null", SETTINGS_ERROR_TYPE, "random_seed" },
	{ "address without port", SETTINGS, "127.0.0.1:8080", "127.0.0.1",
	  SETTINGS_ERROR_RANGE, "callers" },
	{ "address by host name", SETTINGS, "127.0.0.1:8080", "localhost:8080",
	  SETTINGS_ERROR_RANGE, "callers" },
	{ "address of any interface", SETTINGS, "127.0.0.1:8080",
	  "0.0.0.0:8080", SETTINGS_ERROR_RANGE, "callers" },
	{ "multicast address", SETTINGS, "127.0.0.1:7000", "224.0.0.1:7000",
	  SETTINGS_ERROR_RANGE, "platform" },
	{ "port 0", SETTINGS, "127.0.0.1:8080", "127.0.0.1:0",
	  SETTINGS_ERROR_RANGE, "callers" },
	{ "one address for callers and peers", SETTINGS, "127.0.0.1:8081",
	  "127.0.0.1:8080", SETTINGS_ERROR_DUPLICATE, "peers" },
	{ "one address for peers and operators", SETTINGS, "127.0.0.1:8082",
	  "127.0.0.1:8081", SETTINGS_ERROR_DUPLICATE, "operators" },
	{ "unknown log level", SETTINGS, "\"warning\"", "\"loud\"",
	  SETTINGS_ERROR_RANGE, "log.level" },
	{ "planned stop shorter than the entries' lifetime", SETTINGS, "20s",
	  "5450ms", SETTINGS_ERROR_RANGE, "stop_grace" },
	{ "duration below its range", SETTINGS, "20s", "999ms",
	  SETTINGS_ERROR_RANGE, "stop_grace" },
	{ "duration above its range", SETTINGS, "20s", "600.1s",
	  SETTINGS_ERROR_RANGE, "stop_grace" },
	{ "duration without a unit", SETTINGS, "20s", "20",
	  SETTINGS_ERROR_RANGE, "stop_grace" },
	{ "duration that is a number", SETTINGS, "\"20s\"", "20000",
	  SETTINGS_ERROR_TYPE, "stop_grace" },
	{ "duration without a number", SETTINGS, "20s", "s",
	  SETTINGS_ERROR_RANGE, "stop_grace" },
	{ "failure domain with a space", SETTINGS, "\"a\"", "\"a b\"",
	  SETTINGS_ERROR_RANGE, "failure_domain" },
	{ "object for a string", SETTINGS, "\"json\"", "{}",
	  SETTINGS_ERROR_TYPE, "log.format" },
	/* Service documents. */
	{ "neither hosts nor path prefix", DOCUMENT,
	  "\"hosts\": [\"Gallery.example\"],\n\t\"path_prefix\": "
	  "\"/gallery\",",
	  "", SETTINGS_ERROR_MISSING, "path_prefix" },
	{ "host twice, in other letter case", DOCUMENT, "\"Gallery.example\"",
	  "\"a.example\", \"A.example\"", SETTINGS_ERROR_DUPLICATE,
	  "hosts[1]" },
	{ "no hosts in the list", DOCUMENT, "\"Gallery.example\"", "",
	  SETTINGS_ERROR_RANGE, "hosts" },
	{ "hosts null", DOCUMENT, "[\"Gallery.example\"]", "null",
	  SETTINGS_ERROR_TYPE, "hosts" },
	{ "host that is not a string", DOCUMENT, "\"Gallery.example\"", "1",
	  SETTINGS_ERROR_TYPE, "hosts[0]" },
	{ "relative path", DOCUMENT, "\"/health\"", "\"health\"",
	  SETTINGS_ERROR_RANGE, "probe_path" },
	{ "path with a query", DOCUMENT, "\"/load\"", "\"/load?x=1\"",
	  SETTINGS_ERROR_RANGE, "load_path" },
	{ "path with a line end", DOCUMENT, "\"/load\"", "\"/load\\r\\nX: y\"",
	  SETTINGS_ERROR_RANGE, "load_path" },
	{ "path too long", DOCUMENT, "\"/load\"",
	  "\"/" + std::string(255, 'x') + "\"", SETTINGS_ERROR_RANGE,
	  "load_path" },
	{ "backend server twice", DOCUMENT, "9002", "9001",
	  SETTINGS_ERROR_DUPLICATE, "backends[1]" },
	{ "port above range", DOCUMENT, "9002", "65536", SETTINGS_ERROR_RANGE,
	  "backends[1].port" },
	{ "port missing", DOCUMENT, "\"port\": 9002,", "",
	  SETTINGS_ERROR_MISSING, "backends[1].port" },
	{ "ip in octal", DOCUMENT, "\"127.0.0.1\", \"port\": 9002",
	  "\"127.0.0.01\", \"port\": 9002", SETTINGS_ERROR_RANGE,
	  "backends[1].ip" },
	{ "no slots", DOCUMENT, "\"slots\": 6, \"connections\": 350,",
	  "\"slots\": 0, \"connections\": 350,", SETTINGS_ERROR_RANGE,
	  "backends[1].slots" },
	{ "fewer connections than slots", DOCUMENT, "\"connections\": 350,",
	  "\"connections\": 5,", SETTINGS_ERROR_RANGE,
	  "backends[1].connections" },
	{ "draining as a string", DOCUMENT, "\"draining\": true",
	  "\"draining\": \"yes\"", SETTINGS_ERROR_TYPE,
	  "backends[1].draining" },
	{ "misspelt key in a backend server", DOCUMENT, "\"draining\"",
	  "\"drainin\"", SETTINGS_ERROR_UNKNOWN, "backends[1].drainin" },
	{ "key with characters that a path does not show", DOCUMENT,
	  "\"draining\"", "\"a.b\\n\\\"\"", SETTINGS_ERROR_UNKNOWN,
	  "backends[1].a?b??" },
	{ "list entry that is not an object", DOCUMENT, "\"classes\": [",
	  "\"classes\": [7, ", SETTINGS_ERROR_TYPE, "classes[0]" },
	{ "class twice", DOCUMENT, "\"visitor\", \"priority\"",
	  "\"judge\", \"priority\"", SETTINGS_ERROR_DUPLICATE,
	  "classes[1].name" },
	{ "no queue", DOCUMENT, "\"queue\": 32", "\"queue\": 0",
	  SETTINGS_ERROR_RANGE, "classes[1].queue" },
	{ "route with an unknown class", DOCUMENT, "\"class\": \"visitor\"",
	  "\"class\": \"committee\"", SETTINGS_ERROR_REFERENCE,
	  "routes[1].class" },
	{ "unknown method", DOCUMENT, "\"HEAD\"", "\"TRACE\"",
	  SETTINGS_ERROR_RANGE, "routes[0].methods[1]" },
	{ "method twice", DOCUMENT, "\"HEAD\"", "\"GET\"",
	  SETTINGS_ERROR_DUPLICATE, "routes[0].methods[1]" },
	{ "no methods", DOCUMENT, "[\"POST\"]", "[]", SETTINGS_ERROR_RANGE,
	  "routes[1].methods" },
	{ "safe and unsafe methods without idempotent", DOCUMENT, "[\"POST\"]",
	  "[\"POST\", \"GET\"]", SETTINGS_ERROR_MISSING,
	  "routes[1].idempotent" },
	{ "route twice", DOCUMENT,
	  "[\"POST\"], \"path_prefix\": \"/gallery/notes\"",
	  "[\"GET\"], \"path_prefix\": \"/gallery/works\"",
	  SETTINGS_ERROR_DUPLICATE, "routes[1]" },
	{ "budget 0", DOCUMENT, "1500", "0", SETTINGS_ERROR_RANGE,
	  "routes[0].budget_ms" },
	{ "floor above 100 per cent", DOCUMENT, "60", "101",
	  SETTINGS_ERROR_RANGE, "healthy_floor.percent" },
	{ "floor above all slots", DOCUMENT, "\"percent\": 60", "\"slots\": 13",
	  SETTINGS_ERROR_RANGE, "healthy_floor" },
	{ "floor stated twice", DOCUMENT, "\"percent\": 60",
	  "\"percent\": 60, \"slots\": 4", SETTINGS_ERROR_MISSING,
	  "healthy_floor" },
	{ "floor empty", DOCUMENT, "\"percent\": 60", "",
	  SETTINGS_ERROR_MISSING, "healthy_floor" },
	{ "floor null", DOCUMENT, "{\"percent\": 60}", "null",
	  SETTINGS_ERROR_TYPE, "healthy_floor" },
	{ "floor missing", DOCUMENT, "\"healthy_floor\": {\"percent\": 60},",
	  "", SETTINGS_ERROR_MISSING, "healthy_floor" },
	{ "marker without value", DOCUMENT,
	  "\"header\": \"X-Shed\", \"value\": \"1\"", "\"header\": \"X-Shed\"",
	  SETTINGS_ERROR_MISSING, "shed_marker.value" },
	{ "marker with a colon", DOCUMENT, "X-Shed",
	  "X-Shed:", SETTINGS_ERROR_RANGE, "shed_marker.header" },
	{ "routes under an unknown name", DOCUMENT, "\"routes\"", "\"route\"",
	  SETTINGS_ERROR_UNKNOWN, "route" },
	/* The platform's lists. */
	{ "instance twice", INSTANCES, "127.0.0.2:8081", "127.0.0.1:8081",
	  SETTINGS_ERROR_DUPLICATE, "instances[1].peer" },
	{ "unknown status", INSTANCES, "\"leaving\"", "\"gone\"",
	  SETTINGS_ERROR_RANGE, "instances[1].status" },
	{ "list under an unknown name", INSTANCES, "instances", "list",
	  SETTINGS_ERROR_UNKNOWN, "list" },
	{ "version missing", INSTANCES, "\"version\": 3, ", "",
	  SETTINGS_ERROR_MISSING, "version" },
	{ "document twice", INDEX, "\"entry\"", "\"gallery\"",
	  SETTINGS_ERROR_DUPLICATE, "documents[1].key" },
	{ "version 0", INDEX, "\"version\": 1", "\"version\": 0",
	  SETTINGS_ERROR_RANGE, "documents[1].version" },
};

std::string replaced_text(const struct refusal_case &c)
{
	std::string text = sample(c.kind);
	size_t at = text.rfind(c.part);

	EXPECT_NE(at, std::string::npos);
	return text.replace(at, strlen(c.part), c.replacement);
}

TEST(DocumentJsonTest, RefusesWithTypedErrorAndPath)
{
	for (const auto &c : refusal_cases) {
		SCOPED_TRACE(c.name);
		GError *error = NULL;

		ASSERT_FALSE(accepted(c.kind, replaced_text(c), &error));
		ASSERT_NE(error, nullptr);
		SCOPED_TRACE(error->message);
		EXPECT_EQ(error->domain, SETTINGS_ERROR);
		EXPECT_EQ(error->code, c.code);
		std::string message = error->message;
		std::string label = c.kind == INSTANCES ? "instances" :
				    c.kind == INDEX	? "index" :
							  "file";
		std::string location = label + ": " + c.location;
		EXPECT_EQ(message.substr(0, location.size()), location);
		EXPECT_TRUE(message[location.size()] == ':' ||
			    message[location.size()] == ',');
		EXPECT_NE(message.find("; "), std::string::npos);
		g_error_free(error);
	}
}

struct acceptance_case {
	const char *name;
	enum text_kind kind;
	const char *part;
	const char *replacement;
};

const struct acceptance_case acceptance_cases[] = {
	{ "settings", SETTINGS, "7", "7" },
	{ "duration with a fraction", SETTINGS, "20s", "7.5s" },
	{ "duration in ms", SETTINGS, "20s", "7500ms" },
	{ "comment markers in a string", DOCUMENT, "\"/health\"", "\"/a//b\"" },
	{ "comment at the end", SETTINGS, "7\n}", "7\n} // end" },
	{ "required settings only", SETTINGS,
	  "\"stop_grace\": \"20s\", \"retry_share\": 0.2,\n\t\"log\": {\"format\": \"json\", "
	  "\"level\": \"warning\"},\n\t\"random_seed\": 7",
	  "\"log\": {}" },
	{ "document", DOCUMENT, "60", "60" },
	{ "floor of all slots", DOCUMENT, "\"percent\": 60", "\"slots\": 12" },
	{ "no floor", DOCUMENT, "60", "0" },
	{ "no routes", DOCUMENT, "\"routes\": [", "\"routes\": [] /*" },
	{ "safe and unsafe methods with idempotent", DOCUMENT, "[\"POST\"]",
	  "[\"POST\", \"GET\"], \"idempotent\": false" },
	{ "escaped solidus", DOCUMENT, "\"/load\"", "\"\\/load\"" },
	{ "instances", INSTANCES, "3", "3" },
	{ "index", INDEX, "3", "3" },
	{ "index at the largest version", INDEX, "3}", "9223372036854775806}" },
};

TEST(DocumentJsonTest, Accepts)
{
	for (const auto &c : acceptance_cases) {
		SCOPED_TRACE(c.name);
		std::string text = sample(c.kind);
		GError *error = NULL;

		text.replace(text.rfind(c.part), strlen(c.part), c.replacement);
		if (strstr(c.replacement, "/*"))
			text.replace(text.find("\t],\n\t\"healthy"), 3, "*/,");
		EXPECT_TRUE(accepted(c.kind, text, &error));
		EXPECT_EQ(error, nullptr) << error->message;
		g_clear_error(&error);
	}
}

TEST(DocumentJsonTest, SettingsHaveTheirValues)
{
	struct settings s = {};
	char text[ADDR_TEXT_BYTES];

	ASSERT_TRUE(settings_parse("file", settings_sample,
				   strlen(settings_sample), &s, NULL));
	EXPECT_STREQ(addr_format(s.caller_listen, text), "127.0.0.1:8080");
	EXPECT_STREQ(addr_format(s.peer_listen, text), "127.0.0.1:8081");
	EXPECT_STREQ(addr_format(s.operator_listen, text), "127.0.0.1:8082");
	EXPECT_STREQ(addr_format(s.platform, text), "127.0.0.1:7000");
	EXPECT_STREQ(s.domain.text, "a");
	EXPECT_EQ(s.requests_max, 64U);
	EXPECT_EQ(s.body_max_bytes, 1048576U);
	EXPECT_EQ(s.head_max_bytes, 16384U);
	EXPECT_EQ(s.hold_max_bytes, 65536U);
	EXPECT_EQ(s.entries_ttl_ms, 5000U);
	EXPECT_EQ(s.stop_grace_ms, 20000U);
	EXPECT_EQ(s.log_format, LOG_JSON);
	EXPECT_TRUE(s.log_level & G_LOG_LEVEL_WARNING);
	EXPECT_FALSE(s.log_level & G_LOG_LEVEL_INFO);
	EXPECT_EQ(s.random_seed, 7U);
	EXPECT_EQ(s.retry_earned_permille, 200U);
	EXPECT_EQ(s.retry_allowance_permille, 0U);
	EXPECT_EQ(s.retry_window_ms, 10000U);
	EXPECT_EQ(s.policy, (uint32_t)POLICY_LEASED);
}

struct bind_case {
	const char *name;
	const char *peers;
	const char *bind;
};

const struct bind_case bind_cases[] = {
	{ "same address as for peers", "\"127.0.0.1:8081\"", "127.0.0.1:8081" },
	{ "another address than for peers",
	  "\"127.0.0.1:8081\", \"peers_bind\": \"127.0.0.2:9081\"",
	  "127.0.0.2:9081" },
};

TEST(DocumentJsonTest, PeersBind)
{
	for (const auto &c : bind_cases) {
		SCOPED_TRACE(c.name);
		const char *peers = "\"127.0.0.1:8081\"";
		std::string sample = settings_sample;
		struct settings s = {};
		char text[ADDR_TEXT_BYTES];

		sample.replace(sample.find(peers), strlen(peers), c.peers);
		ASSERT_TRUE(settings_parse("file", sample.data(), sample.size(),
					   &s, NULL));
		EXPECT_STREQ(addr_format(s.peer_bind, text), c.bind);
		EXPECT_STREQ(addr_format(s.peer_listen, text),
			     "127.0.0.1:8081");
	}
}

TEST(DocumentJsonTest, DocumentHasItsValues)
{
	struct service_doc *doc = service_doc_parse(
		"file", document_sample, strlen(document_sample), 3, NULL);
	char text[ADDR_TEXT_BYTES];

	ASSERT_NE(doc, nullptr);
	EXPECT_STREQ(doc->service.text, "gallery");
	EXPECT_EQ(doc->version, 3U);
	EXPECT_EQ(doc->hash,
		  hash_bytes(document_sample, strlen(document_sample), 0));
	EXPECT_EQ(doc->text_bytes, strlen(document_sample));
	EXPECT_STREQ(doc->text, document_sample);
	ASSERT_EQ(doc->host_count, 1U);
	EXPECT_STREQ(doc->hosts[0].text, "gallery.example");
	EXPECT_STREQ(doc->path_prefix, "/gallery");
	ASSERT_EQ(doc->backend_count, 2U);
	EXPECT_STREQ(addr_format(doc->backends[1].addr, text),
		     "127.0.0.1:9002");
	EXPECT_STREQ(doc->backends[1].domain.text, "b");
	EXPECT_EQ(doc->backends[1].capacity_slots, 6U);
	EXPECT_EQ(doc->backends[1].connections_max, 350U);
	EXPECT_FALSE(doc->backends[0].draining);
	EXPECT_TRUE(doc->backends[1].draining);
	ASSERT_EQ(doc->class_count, 2U);
	EXPECT_EQ(doc->classes[1].queue_max_requests, 32U);
	EXPECT_EQ(doc->classes[1].priority, 1U);
	ASSERT_EQ(doc->route_count, 2U);
	EXPECT_EQ(doc->routes[0].method_mask,
		  1U << METHOD_GET | 1U << METHOD_HEAD);
	EXPECT_TRUE(doc->routes[0].idempotent);
	EXPECT_FALSE(doc->routes[0].long_work);
	EXPECT_EQ(doc->routes[0].budget_ms, 1500U);
	EXPECT_EQ(doc->routes[0].class_index, 0U);
	EXPECT_FALSE(doc->routes[1].idempotent);
	EXPECT_TRUE(doc->routes[1].long_work);
	EXPECT_EQ(doc->routes[1].budget_ms, 2000U);
	EXPECT_EQ(doc->routes[1].class_index, 1U);
	EXPECT_EQ(doc->floor.kind, FLOOR_PERCENT);
	EXPECT_EQ(service_doc_floor_slots(doc), 8U);
	EXPECT_STREQ(doc->shed.header, "X-Shed");
	EXPECT_STREQ(doc->drain.value, "1");
	EXPECT_STREQ(doc->probe_path, "/health");
	EXPECT_STREQ(doc->load_path, "/load");
	service_doc_unref(doc);
}

TEST(DocumentJsonTest, InstancesAndIndexHaveTheirValues)
{
	uint64_t version;
	GArray *list = NULL;

	ASSERT_TRUE(instances_parse(instances_sample, strlen(instances_sample),
				    &version, &list, NULL));
	ASSERT_EQ(list->len, 2U);
	EXPECT_EQ(g_array_index(list, struct instance_doc, 1).status,
		  INSTANCE_LEAVING);
	g_array_unref(list);
	ASSERT_TRUE(index_parse(index_sample, strlen(index_sample), &version,
				&list, NULL));
	ASSERT_EQ(list->len, 2U);
	EXPECT_EQ(g_array_index(list, struct index_entry, 0).version, 3U);
	g_array_unref(list);
}

/* A text that is not accepted must get a SETTINGS_ERROR with a remedy. */
void expect_accepted_or_typed_error(enum text_kind kind,
				    const std::string &text)
{
	GError *error = NULL;

	if (accepted(kind, text, &error)) {
		EXPECT_EQ(error, nullptr);
		return;
	}
	ASSERT_NE(error, nullptr) << text;
	EXPECT_EQ(error->domain, SETTINGS_ERROR);
	EXPECT_NE(strstr(error->message, "; "), nullptr);
	g_error_free(error);
}

const enum text_kind all_kinds[] = { SETTINGS, DOCUMENT, INSTANCES, INDEX };

TEST(DocumentJsonTest, EveryPrefixIsRefusedWithATypedError)
{
	for (enum text_kind kind : all_kinds) {
		std::string text = sample(kind);

		for (size_t i = 0; i < text.size(); i++) {
			GError *error = NULL;

			ASSERT_FALSE(accepted(kind, text.substr(0, i), &error));
			ASSERT_NE(error, nullptr);
			EXPECT_EQ(error->domain, SETTINGS_ERROR);
			g_error_free(error);
		}
	}
}

/* Replaces each byte of a text in turn by each of @bytes. */
void check_corruptions(enum text_kind kind, std::string text,
		       const std::string &bytes)
{
	for (size_t i = 0; i < text.size(); i++) {
		char kept = text[i];

		for (char byte : bytes) {
			text[i] = byte;
			expect_accepted_or_typed_error(kind, text);
		}
		text[i] = kept;
	}
}

TEST(DocumentJsonTest, AnyCorruptedByteIsAcceptedOrGivesATypedError)
{
	const char text[] =
		R"({"service":"s","path_prefix":"/","backends":[{"ip":"1.2.3.4",)"
		R"("port":1,"failure_domain":"a","slots":1,"connections":1}],)"
		R"("classes":[{"name":"c","priority":0,"queue":1}],"routes":[],)"
		R"("healthy_floor":{"slots":1},"default_budget_ms":1}//)";
	std::string bytes;

	for (int i = 0; i < 256; i++)
		bytes += (char)i;
	EXPECT_TRUE(accepted(DOCUMENT, text, NULL));
	check_corruptions(DOCUMENT, text, bytes);
}

struct share_case {
	const char *text;
	uint32_t permille;
};

const struct share_case share_cases[] = {
	{ "0", 0 },
	{ "1", 1000 },
	{ "1.0", 1000 },
	{ "0.15", 150 },
	{ "0.001", 1 },
	{ "0.0009", 0 },
	{ "0.0625", 62 },
	{ "0.999", 999 },
	{ "0.19999999999999998", 200 },
	{ "0.10000000000000000000000001", 100 },
	{ "2e-1", 200 },
	{ "1.5E-1", 150 },
	{ "1e-05", 0 },
	{ "0.1e+1", 1000 },
};

TEST(DocumentJsonTest, RetryShareInPermille)
{
	for (const auto &c : share_cases) {
		SCOPED_TRACE(c.text);
		std::string text(settings_sample);
		struct settings settings;

		text.replace(text.find("0.2"), strlen("0.2"), c.text);
		ASSERT_TRUE(settings_parse("sample", text.data(), text.size(),
					   &settings, NULL));
		EXPECT_EQ(settings.retry_earned_permille, c.permille);
	}
}

/* One number, however the platform writes it. */
TEST(DocumentJsonTest, IntegersOfAnyForm)
{
	for (const char *number : { "7", "7.0", "7e0", "0.7E1", "70e-1",
				    "7.00000000000000000000000" }) {
		SCOPED_TRACE(number);
		std::string text(settings_sample);
		struct settings settings;

		text.replace(text.rfind("7"), 1, number);
		ASSERT_TRUE(settings_parse("sample", text.data(), text.size(),
					   &settings, NULL));
		EXPECT_EQ(settings.random_seed, 7u);
	}
}

TEST(DocumentJsonTest, CorruptedSamplesAreAcceptedOrGiveATypedError)
{
	const std::string bytes("\0\"\\{}[],:/*09-.enau\n\x7f\xff", 21);

	for (enum text_kind kind : all_kinds)
		check_corruptions(kind, sample(kind), bytes);
}

} // namespace
