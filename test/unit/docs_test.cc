/* The pages name every field, metric, cause and kind that the code has. */
#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

extern "C" {
#include "codec/report_text.h"
#include "core/audit.h"
}

namespace
{

std::string read_file(const std::string &path)
{
	std::ifstream file(path);
	std::stringstream text;

	text << file.rdbuf();
	return text.str();
}

std::set<std::string> example_keys()
{
	const std::regex key("\"([a-z_]+)\":");
	std::set<std::string> keys;
	const char *const examples[] = {
		"examples/vranic-settings.json",
		"examples/vranic-registration.json",
		"examples/vranic-gallery.json",
		"examples/huon-settings.json",
		"examples/huon-roster.json",
		"examples/huon-lookup.json",
	};

	for (const char *path : examples) {
		std::string text = read_file(path);
		std::sregex_iterator at(text.begin(), text.end(), key);

		EXPECT_NE(at, std::sregex_iterator()) << path;
		for (; at != std::sregex_iterator(); at++)
			keys.insert((*at)[1]);
	}
	return keys;
}

/* Keys of the field tables, as the sources have them. */
std::set<std::string> table_keys()
{
	const std::regex key("(?:\\{|\\.key =)\\s*\"([a-z_]+)\",\\s*"
			     "(?:\\.kind = )?FIELD_");
	std::set<std::string> keys;
	const char *const sources[] = {
		"src/codec/settings_json.c",
		"src/codec/document_json.c",
		"src/codec/platform_json.c",
	};

	for (const char *path : sources) {
		std::string text = read_file(path);
		std::sregex_iterator at(text.begin(), text.end(), key);

		EXPECT_NE(at, std::sregex_iterator()) << path;
		for (; at != std::sregex_iterator(); at++)
			keys.insert((*at)[1]);
	}
	return keys;
}

std::set<std::string> metric_names()
{
	const std::regex name("# TYPE nutmegcrank_([a-z_]+) ");
	struct metrics_report *report = g_new0(struct metrics_report, 1);
	char *text = metrics_to_text(report);
	std::string copy = text;
	std::set<std::string> names;
	std::sregex_iterator at(copy.begin(), copy.end(), name);

	for (; at != std::sregex_iterator(); at++)
		names.insert((*at)[1]);
	EXPECT_GE(names.size(), 20U);
	g_free(text);
	metrics_report_free(report);
	return names;
}

std::set<std::string> words(uint32_t count, const char *(*word)(uint32_t))
{
	std::set<std::string> all;

	for (uint32_t i = 0; i < count; i++)
		all.insert(word(i));
	return all;
}

struct page_case {
	const char *page;
	std::set<std::string> names;
};

TEST(DocsTest, PagesNameWhatTheCodeHas)
{
	const struct page_case cases[] = {
		{ "docs/SETTINGS.md", example_keys() },
		{ "docs/SETTINGS.md", table_keys() },
		{ "docs/METRICS.md", metric_names() },
		{ "docs/METRICS.md", words(REFUSAL_COUNT,
					   [](uint32_t i) {
						   return refusal_cause_text(
							   (refusal_cause)i);
					   }) },
		{ "docs/OPERATIONS.md", words(AUDIT_KIND_COUNT,
					      [](uint32_t i) {
						      return audit_kind_text(
							      (audit_kind)i);
					      }) },
		{ "docs/OPERATIONS.md", words(CAUSE_COUNT,
					      [](uint32_t i) {
						      return audit_cause_text(
							      (audit_cause)i);
					      }) },
	};

	for (const auto &c : cases) {
		std::string page = read_file(c.page);

		EXPECT_FALSE(page.empty()) << c.page;
		for (const auto &name : c.names) {
			bool named = page.find("`" + name + "`") !=
					     std::string::npos ||
				     page.find("." + name + "`") !=
					     std::string::npos ||
				     page.find("\"" + name + "\"") !=
					     std::string::npos;

			EXPECT_TRUE(named) << c.page << ": " << name;
		}
	}
}

} // namespace
