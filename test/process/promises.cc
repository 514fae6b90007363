#include "promises.h"

#include <curl/curl.h>
#include <gtest/gtest.h>

namespace
{

const uint32_t LOOK_STEP_MS = 100;
/* Instances are asked one after the other: one look may mix two moments. */
const uint32_t LOOKS_BELOW_FLOOR = 3;

std::string describe(const struct call_record &record)
{
	return record.method + " " + record.id + " by " + record.entry +
	       ": code " + std::to_string(record.code) + ", status " +
	       std::to_string(record.status) + ", outcome '" + record.outcome +
	       "', error '" + record.error + "', " +
	       std::to_string((record.end_unix_us - record.begin_unix_us) /
			      1000) +
	       " ms";
}

void check_call(const struct call_record &record, uint32_t ran,
		struct call_counts &counts)
{
	EXPECT_NE(record.owner, ANSWER_FOREIGN) << describe(record);
	if (record.method == "POST") {
		EXPECT_LE(ran, 1u) << describe(record);
	}
	if (record.code != 0) {
		counts.broken++;
		printf("broken: %s\n", describe(record).c_str());
		return;
	}
	if (record.outcome == "complete") {
		counts.complete++;
		EXPECT_GE(ran, 1u) << describe(record);
	} else if (record.outcome == "not-run") {
		counts.not_run++;
		EXPECT_EQ(ran, 0u) << describe(record);
	} else if (record.outcome == "unknown") {
		counts.unknown++;
	} else {
		ADD_FAILURE() << "no outcome: " << describe(record);
	}
	/* A refusal is no answer of a backend server, and the reverse. */
	EXPECT_EQ(record.owner == ANSWER_OWN, record.outcome == "complete")
		<< describe(record);
}

} // namespace

struct call_counts check_calls(const std::vector<struct call_record> &records,
			       const std::map<std::string, uint32_t> &runs)
{
	struct call_counts counts;

	for (const auto &record : records) {
		auto found = runs.find(record.id);

		check_call(record, found == runs.end() ? 0 : found->second,
			   counts);
	}
	return counts;
}

void check_none_cut(const std::vector<struct call_record> &records,
		    const std::string &entry)
{
	for (const auto &record : records) {
		if (record.entry == entry) {
			EXPECT_EQ(record.code, CURLE_OK) << describe(record);
		}
	}
}

void check_drained(const std::vector<struct run_record> &runs, uint16_t port,
		   uint64_t after_unix_us)
{
	uint64_t late_us = 0;
	uint32_t late = 0;

	for (const auto &run : runs) {
		if (run.port != port || run.begin_unix_us <= after_unix_us)
			continue;
		late++;
		late_us = std::max(late_us, run.begin_unix_us - after_unix_us);
	}
	EXPECT_EQ(late, 0u)
		<< "last new work " << late_us / 1000 << " ms after the limit";
}

observer::observer(const fleet &fleet)
    : system(fleet), stopping(false), versions(fleet.instance_count()),
      below_floor(0), thread([this] { run(); })
{
}

observer::~observer()
{
	stop();
}

void observer::restarted(uint32_t index)
{
	std::lock_guard<std::mutex> guard(lock);

	versions[index] = 0;
}

void observer::stop()
{
	stopping = true;
	if (thread.joinable())
		thread.join();
}

void observer::run()
{
	while (!stopping) {
		look();
		pause_ms(LOOK_STEP_MS);
	}
}

void observer::look()
{
	std::set<uint32_t> ejected;
	uint32_t floor_slots = 0;
	uint32_t left_slots;

	for (uint32_t i = 0; i < versions.size(); i++) {
		struct instance_view view = system.view(i);
		std::lock_guard<std::mutex> guard(lock);

		if (!view.answered)
			continue;
		EXPECT_GE(view.service.version, versions[i])
			<< "instance " << i << " went back";
		versions[i] = std::max(versions[i], view.service.version);
		floor_slots = std::max(floor_slots, view.service.floor_slots);
		ejected.insert(view.service.ejected.begin(),
			       view.service.ejected.end());
	}
	left_slots = (uint32_t)(system.plan.backends - ejected.size()) *
		     system.plan.slots;
	below_floor = left_slots < floor_slots ? below_floor + 1 : 0;
	EXPECT_LT(below_floor, LOOKS_BELOW_FLOOR)
		<< left_slots << " slots left of a floor of " << floor_slots;
}
