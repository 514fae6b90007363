/*
 * deploy/settings.json, filled in as the platform does, must be accepted and
 * must not limit a home instance below what its backend servers can take.
 */
#include "test_instance.h"

#include <fstream>
#include <map>
#include <sstream>
#include <string>

extern "C" {
#include "codec/document_json.h"
}

namespace
{

/*
 * Values of the template whose form differs between deployments, and the
 * settings that result.
 */
struct fill_case {
	const char *name;
	const char *retry_ratio;
	const char *retry_slack;
	const char *seeds;
	const char *cpu_share;
	uint32_t earned_permille;
	uint32_t allowance_permille;
	uint32_t seed_count;
	bool quota;
	const char *retry_window;
	uint64_t retry_window_ms;
	const char *floor;
	uint32_t healthy_floor_permille;
	const char *value_bytes;
	uint32_t platform_value_bytes;
};

const struct fill_case fill_cases[] = {
	{ "whole slack", "0.2", "58", R"(["10.1.0.3:8146"])", "0.2", 200, 58000,
	  1, true, "10s", 10000, "0.7", 700, "1048576", 1048576 },
	{ "slack with a fraction", "0.15", "58.5",
	  R"(["10.1.0.3:8146","10.2.0.3:8146","10.3.0.3:8146"])", "0.5", 150,
	  58500, 3, true, "2500ms", 2500, "0.855", 855, "33554432", 33554432 },
	{ "no retries, no seeds", "0", "0", "[]", "1", 0, 0, 0, false, "60s",
	  60000, "1", 1000, "4096", 4096 },
};

void replace_all(std::string *text, const std::string &from,
		 const std::string &to)
{
	size_t at = 0;

	while ((at = text->find(from, at)) != std::string::npos) {
		text->replace(at, from.size(), to);
		at += to.size();
	}
}

/* Removes a section that the platform does not render. */
void cut_section(std::string *text, const std::string &begin,
		 const std::string &end)
{
	size_t from = text->find(begin);
	size_t to = text->find(end);

	ASSERT_NE(from, std::string::npos);
	ASSERT_NE(to, std::string::npos);
	text->erase(from, to + end.size() - from);
}

std::string fill_template(const struct fill_case &c, const char *grace = "6s")
{
	const std::string values[][2] = {
		{ "{{listen.front}}", "10.1.0.3:8144" },
		{ "{{listen.directory}}", "10.1.0.3:8143" },
		{ "{{listen.ready}}", "10.1.0.3:8140" },
		{ "{{listen.control}}", "10.1.0.3:8146" },
		{ "{{ip}}", "10.1.0.3" },
		{ "{{zone}}", "hr-jug-a" },
		{ "{{platform.address}}", "10.200.1.7:8142" },
		{ "{{seeds|json}}", c.seeds },
		{ "{{bounds.retryBudgetRatio}}", c.retry_ratio },
		{ "{{bounds.budgetSlack}}", c.retry_slack },
		{ "{{limits.cpuShare}}", c.cpu_share },
		{ "{{limits.cores}}", "1" },
		{ "{{#platform.valueBytes}}", "" },
		{ "{{/platform.valueBytes}}", "" },
		{ "{{platform.valueBytes}}", c.value_bytes },
		{ "{{#bounds.budgetWindow}}", "" },
		{ "{{/bounds.budgetWindow}}", "" },
		{ "{{bounds.budgetWindow}}", c.retry_window },
		{ "{{#bounds.floorShare}}", "" },
		{ "{{/bounds.floorShare}}", "" },
		{ "{{bounds.floorShare}}", c.floor },
		{ "{{#bounds.grace}}", "" },
		{ "{{/bounds.grace}}", "" },
		{ "{{bounds.grace}}", grace },
		{ "{{#bounds.quotaWindow}}", "" },
		{ "{{/bounds.quotaWindow}}", "" },
		{ "{{bounds.quotaWindow}}", "5s" },
		{ "{{bounds.quotaOvershoot}}", "0.25" },
		{ "{{bounds.quotaSlack}}", "20" },
	};
	std::ifstream file("deploy/settings.json");
	std::stringstream stream;
	std::string text;

	stream << file.rdbuf();
	text = stream.str();
	if (!c.quota)
		cut_section(&text, "{{#bounds.quotaWindow}}",
			    "{{/bounds.quotaWindow}}");
	for (const auto &value : values)
		replace_all(&text, value[0], value[1]);
	return text;
}

TEST(DeployTest, FilledTemplateIsAccepted)
{
	for (const auto &c : fill_cases) {
		SCOPED_TRACE(c.name);
		std::string text = fill_template(c);
		struct settings settings = {};
		GError *error = NULL;

		EXPECT_EQ(text.find("{{"), std::string::npos) << text;
		ASSERT_TRUE(settings_parse("template", text.data(), text.size(),
					   &settings, &error))
			<< error->message;
		EXPECT_EQ(settings.retry_earned_permille, c.earned_permille);
		EXPECT_EQ(settings.retry_allowance_permille,
			  c.allowance_permille);
		/* Bounds that a figure of ours once stood for. */
		EXPECT_EQ(settings.retry_window_ms, c.retry_window_ms);
		EXPECT_EQ(settings.healthy_floor_permille,
			  c.healthy_floor_permille);
		EXPECT_EQ(settings.platform_value_bytes,
			  c.platform_value_bytes);
		EXPECT_EQ(settings.seed_count, c.seed_count);
		EXPECT_EQ(settings.quota_window_ms, c.quota ? 5000u : 0u);
		EXPECT_EQ(settings.quota_overshoot_permille,
			  c.quota ? 250u : 0u);
		EXPECT_EQ(settings.quota_slack_requests, c.quota ? 20u : 0u);
	}
}

struct grace_case {
	const char *grace;
	uint64_t grace_ms;
};

const struct grace_case grace_cases[] = {
	{ "3500ms", 3500 },
	{ "6s", 6000 },
	{ "10s", 10000 },
	{ "30s", 30000 },
};

/*
 * Guards against a planned stop that breaks off what its backend servers work
 * on before the last sixth of the deployment's grace time, or that lasts longer
 * than the grace time.
 */
TEST(DeployTest, PlannedStopUsesTheGraceTime)
{
	for (const auto &c : grace_cases) {
		SCOPED_TRACE(c.grace);
		std::string text = fill_template(fill_cases[0], c.grace);
		struct settings parsed = {};
		TestInstance inst;
		uint32_t number;

		ASSERT_TRUE(settings_parse("template", text.data(), text.size(),
					   &parsed, nullptr));
		inst.settings.stop_grace_ms = parsed.stop_grace_ms;
		inst.settings.entries_ttl_ms = parsed.entries_ttl_ms;
		inst.list(1);
		inst.accept(make_doc(doc_shape()));
		inst.pass_ms(100);
		number = inst.request("/s/write", 1,
				      inst.now.mono_us + 60 * US_PER_S);
		ASSERT_EQ(inst.last_result_of(number)->kind, EVENT_GRANT);
		inst.begin_stop();
		inst.pass_ms(c.grace_ms * 5 / 6);
		EXPECT_EQ(inst.count(EVENT_CANCEL), 0u);
		inst.pass_ms(c.grace_ms / 6 - 50);
		EXPECT_EQ(inst.count(EVENT_CANCEL), 1u);
		EXPECT_EQ(inst.count(EVENT_LEFT), 1u);
	}
}

struct peak_case {
	const char *name;
	uint32_t requests_per_s;
	/*
	 * Every hang_interval-th request hangs until its deadline; 0 for none.
	 */
	uint32_t hang_interval;
	const char *path;
};

/*
 * Load of one home instance of a service with 237 backend servers of 6 slots
 * each; a request takes 0.55 s.
 */
const struct peak_case peak_cases[] = {
	{ "low load", 100, 0, "/s/low" },
	{ "peak load", 270, 0, "/s/low" },
	{ "peak load with requests that hang, first class", 270, 10,
	  "/s/short" },
	{ "peak load with requests that hang, last class", 270, 10, "/s/low" },
};

#define PEAK_REQUEST_US (550 * US_PER_MS)
#define PEAK_DEADLINE_US (6 * US_PER_S)
#define PEAK_DURATION_US (8 * US_PER_S)

/*
 * requests_max of the template must leave room for requests that hang until
 * their deadline: no request may be refused while backend servers have free
 * slots.
 */
TEST(DeployTest, HomeWithFreeSlotsRefusesNoRequest)
{
	for (const auto &c : peak_cases) {
		SCOPED_TRACE(c.name);
		std::multimap<uint64_t, struct grant_event> running;
		std::string text = fill_template(fill_cases[0]);
		struct settings parsed = {};
		TestInstance inst;

		ASSERT_TRUE(settings_parse("template", text.data(), text.size(),
					   &parsed, nullptr));
		inst.settings.requests_max = parsed.requests_max;
		inst.list(1);
		inst.accept(make_doc({ 90, 6, 70, 256, 6000 }));
		uint64_t start_us = inst.now.mono_us;
		uint64_t step_us = US_PER_S / c.requests_per_s;

		for (uint32_t i = 0;
		     inst.now.mono_us < start_us + PEAK_DURATION_US; i++) {
			inst.now.mono_us += step_us;
			while (!running.empty() &&
			       running.begin()->first <= inst.now.mono_us) {
				struct grant_event grant =
					running.begin()->second;

				running.erase(running.begin());
				inst.finish(grant, ended(EVIDENCE_OK));
			}
			const struct event *event =
				inst.last_result_of(inst.request(
					c.path, i,
					inst.now.mono_us + PEAK_DEADLINE_US));
			ASSERT_NE(event, nullptr) << i;
			ASSERT_EQ(event->kind, EVENT_GRANT) << i;
			bool hangs = c.hang_interval &&
				     i % c.hang_interval == 0;
			running.insert(
				{ inst.now.mono_us + (hangs ? PEAK_DEADLINE_US :
							      PEAK_REQUEST_US),
				  event->grant });
			inst.forget();
		}
	}
}

} // namespace
