#include "invariants.h"

#include <curl/curl.h>
#include <gtest/gtest.h>

namespace
{

const uint32_t STATUS_INTERVAL_MS = 100;
/*
 * The instances' status is read one after the other, so that one round may mix
 * states of different times. Fails at the third round in a row.
 */
const uint32_t BELOW_FLOOR_ROUNDS_MAX = 3;

/*
 * Requests already sent when the refusal is received may still arrive; after
 * the grace time two more are permitted.
 */
const uint64_t PAUSE_GRACE_US = 500000;
const uint32_t PAUSE_REQUESTS_MAX = 2;

std::map<std::string, const struct call_record *>
index_by_id(const std::vector<struct call_record> &records)
{
	std::map<std::string, const struct call_record *> by_id;

	for (const auto &record : records)
		by_id[record.id] = &record;
	return by_id;
}

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

void check_outcome(const struct call_record &record, uint32_t ran,
		   struct outcome_counts &counts)
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
	/* "complete" exactly if the caller has the server's whole answer. */
	EXPECT_EQ(record.owner == ANSWER_OWN, record.outcome == "complete")
		<< describe(record);
}

} // namespace

struct outcome_counts
check_outcomes(const std::vector<struct call_record> &records,
	       const std::map<std::string, uint32_t> &runs)
{
	struct outcome_counts counts;

	for (const auto &record : records) {
		auto found = runs.find(record.id);

		check_outcome(record, found == runs.end() ? 0 : found->second,
			      counts);
	}
	return counts;
}

void check_none_broken_off(const std::vector<struct call_record> &records,
			   const std::string &entry)
{
	for (const auto &record : records) {
		if (record.entry == entry) {
			EXPECT_EQ(record.code, CURLE_OK) << describe(record);
		}
	}
}

void check_no_work_after(const std::vector<struct run_record> &runs,
			 uint16_t port, uint64_t after_unix_us)
{
	uint64_t late_us = 0;
	uint32_t late_count = 0;

	for (const auto &run : runs) {
		if (run.port != port || run.begin_unix_us <= after_unix_us)
			continue;
		late_count++;
		late_us = std::max(late_us, run.begin_unix_us - after_unix_us);
	}
	EXPECT_EQ(late_count, 0u)
		<< "last new work " << late_us / 1000 << " ms after the limit";
}

std::map<std::string, uint64_t>
check_drain_notice(const std::vector<struct call_record> &records,
		   const std::vector<struct run_record> &arrivals,
		   uint16_t port, uint64_t from_unix_us, uint64_t bound_ms,
		   const std::map<std::string, uint64_t> &recorded_unix_us)
{
	std::map<std::string, const struct call_record *> by_id =
		index_by_id(records);
	std::map<std::string, uint64_t> known_us = recorded_unix_us;
	uint32_t late_count = 0;

	for (const auto &arrival : arrivals) {
		auto found = by_id.find(arrival.id);

		if (arrival.port != port || found == by_id.end() ||
		    arrival.begin_unix_us < from_unix_us ||
		    found->second->outcome != "complete")
			continue;
		uint64_t end_us = found->second->end_unix_us;
		auto known =
			known_us.insert({ found->second->entry, end_us }).first;

		known->second = std::min(known->second, end_us);
	}
	for (const auto &arrival : arrivals) {
		auto found = by_id.find(arrival.id);

		if (arrival.port != port || found == by_id.end())
			continue;
		auto known = known_us.find(found->second->entry);

		late_count += known != known_us.end() &&
			      found->second->begin_unix_us >
				      known->second + bound_ms * 1000;
	}
	EXPECT_EQ(late_count, 0u)
		<< "requests to a server after its drain notice";
	return known_us;
}

uint32_t check_pause_notice(const std::vector<struct call_record> &records,
			    const std::vector<struct run_record> &arrivals,
			    uint16_t port)
{
	std::map<std::string, const struct call_record *> by_id =
		index_by_id(records);
	/* Both by caller address of the instance. */
	std::map<std::string, std::vector<uint64_t>> arrived_us;
	std::map<std::string, std::vector<const struct run_record *>> refused;

	for (const auto &arrival : arrivals) {
		auto found = by_id.find(arrival.id);

		if (arrival.port != port || found == by_id.end())
			continue;
		arrived_us[found->second->entry].push_back(
			arrival.begin_unix_us);
		if (arrival.retry_after_s > 0)
			refused[found->second->entry].push_back(&arrival);
	}
	for (const auto &instance : refused) {
		for (const auto *arrival : instance.second) {
			uint64_t from_us =
				arrival->begin_unix_us + PAUSE_GRACE_US;
			uint64_t until_us = arrival->begin_unix_us +
					    arrival->retry_after_s * 1000000ull;
			uint32_t count = 0;

			for (uint64_t arrival_us : arrived_us[instance.first])
				count += arrival_us > from_us &&
					 arrival_us < until_us;
			EXPECT_LE(count, PAUSE_REQUESTS_MAX)
				<< "requests of " << instance.first
				<< " during a pause";
		}
	}
	return (uint32_t)refused.size();
}

status_observer::status_observer(const fleet &fleet)
    : system(fleet), stopping(false), versions(fleet.instance_count()),
      below_floor_rounds(0), thread([this] { run(); })
{
}

status_observer::~status_observer()
{
	stop();
}

void status_observer::reset_version(uint32_t index)
{
	std::lock_guard<std::mutex> guard(lock);

	versions[index] = 0;
}

void status_observer::stop()
{
	stopping = true;
	if (thread.joinable())
		thread.join();
}

void status_observer::run()
{
	while (!stopping) {
		check_status();
		sleep_ms(STATUS_INTERVAL_MS);
	}
}

void status_observer::check_status()
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
			<< "instance " << i << " went back to an older version";
		versions[i] = std::max(versions[i], view.service.version);
		floor_slots = std::max(floor_slots, view.service.floor_slots);
		ejected.insert(view.service.ejected.begin(),
			       view.service.ejected.end());
	}
	left_slots = (uint32_t)(system.plan.backends - ejected.size()) *
		     system.plan.slots;
	below_floor_rounds = left_slots < floor_slots ? below_floor_rounds + 1 :
							0;
	EXPECT_LT(below_floor_rounds, BELOW_FLOOR_ROUNDS_MAX)
		<< left_slots << " slots not ejected, healthy floor "
		<< floor_slots;
}
