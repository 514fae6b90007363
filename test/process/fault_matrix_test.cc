/*
 * Runs cells of the fault matrix, each with instances as processes behind the
 * fault proxy.
 */
#include <gtest/gtest.h>
#include <signal.h>

#include <fstream>

#include "fault_matrix.h"
#include "invariants.h"

namespace
{

const uint32_t CALLS_MIN = 30;
const uint32_t FAULT_DURATION_MS = 2000;
const uint32_t FAULT_INTERVAL_MS = 500;
const uint32_t READY_LIMIT_MS = 10000;
const uint32_t IN_FORCE_LIMIT_MS = 10000;
const uint32_t EJECT_LIMIT_MS = 10000;
const uint32_t READMIT_LIMIT_MS = 30000;
const uint32_t LEAVE_LIMIT_MS = 12000;
const uint32_t RECOVER_LIMIT_MS = 15000;
/*
 * From the end of the faults: how long a draining server may still begin work,
 * and how long it is observed.
 */
const uint64_t DRAIN_LIMIT_US = 3000000;
const uint32_t DRAIN_WATCH_MS = 4500;

/* Indices of the backend servers and instances in faults and steps. */
const uint32_t EJECTED_BACKEND = 0;
const uint32_t FAULTY_BACKEND = 1;
const uint32_t LEAVING_INSTANCE = 2;
const uint32_t JOINING_INSTANCE = 3;

const char *const HEALTHY = "{\"fault\":\"none\",\"flap_ms\":0,"
			    "\"slow_permille\":1000,\"shed_permille\":0}";

class FaultMatrix : public testing::TestWithParam<struct fault_cell> {
    protected:
	void SetUp() override;
	void TearDown() override;

	void prepare();
	void begin_step();
	void end_step();
	void set_fault(enum fault_kind fault, bool on);
	uint32_t faulty_instance() const;
	bool ejected(uint32_t backend) const;
	void check();

	std::unique_ptr<fleet> system;
	std::unique_ptr<status_observer> observer;
	std::unique_ptr<callers> calls;
	uint64_t drain_limit_unix_us = 0; /* last permitted begin of work */
	struct outcome_counts counts;
};

/*
 * Appends a line to the report from which test/faults.sh writes docs/FAULTS.md:
 * "Column STEP", "Row FAULT", "Never FAULT STEP REASON", or a cell with its
 * verdict and its number of requests by outcome.
 */
void append_report(const std::string &line)
{
	const char *path = getenv("NUTMEGCRANK_FAULTS_REPORT");

	if (path != NULL)
		std::ofstream(path, std::ios::app) << line << '\n';
}

std::map<std::string, uint32_t>
count_errors(const std::vector<struct call_record> &records)
{
	std::map<std::string, uint32_t> errors;

	for (const auto &record : records) {
		if (!record.error.empty())
			errors[record.error]++;
	}
	return errors;
}

struct load_profile load_for_step(enum step_kind step)
{
	struct load_profile profile;

	switch (step) {
	case STEP_ADMISSION:
		profile.callers = 90;
		profile.work_ms = 150;
		break;
	case STEP_BEFORE_SEND:
		profile.callers = 40;
		profile.work_ms = 20;
		break;
	case STEP_MID_SEND:
		profile.body_bytes = 400000;
		profile.post_percent = 80;
		break;
	case STEP_BEFORE_HEAD:
		profile.work_ms = 150;
		break;
	case STEP_MID_BODY:
		profile.fill_bytes = 300000;
		break;
	case STEP_JOINING:
	case STEP_ACCEPTING:
	case STEP_EJECTING:
	case STEP_READMITTING:
	case STEP_DRAINING:
	case STEP_LEAVING:
	case STEP_COUNT:
		break;
	}
	return profile;
}

void FaultMatrix::SetUp()
{
	struct fleet_plan plan;

	plan.spares = GetParam().step == STEP_JOINING ? 1 : 0;
	/* Few slots for many callers, so that some requests are refused. */
	if (GetParam().step == STEP_ADMISSION)
		plan.slots = 2;
	system.reset(new fleet(plan));
	ASSERT_FALSE(HasFailure()) << "the fleet did not start";
	/* FAULT_PLATFORM_BACK needs an older version. */
	system->publish();
	ASSERT_TRUE(wait_for(IN_FORCE_LIMIT_MS,
			     [this] { return system->in_force(2); }));
	observer.reset(new status_observer(*system));
}

void FaultMatrix::TearDown()
{
	const struct fault_cell &cell = GetParam();

	append_report(std::string(times_name(cell.times)) + " " +
		      fault_name(cell.fault) + " " + step_name(cell.step) +
		      " " + (HasFailure() ? "FAILED" : "held") + " " +
		      std::to_string(counts.complete) + " " +
		      std::to_string(counts.not_run) + " " +
		      std::to_string(counts.unknown) + " " +
		      std::to_string(counts.broken));
	if (HasFailure()) {
		for (uint32_t i = 0; i < system->instance_count(); i++)
			printf("--- audit %u\n%s\n", i,
			       system->audit(i).c_str());
	}
	calls.reset();
	observer.reset();
	system.reset();
}

TEST_P(FaultMatrix, Cell)
{
	const struct fault_cell &cell = GetParam();
	/* FAULT_PAUSED needs a running process, which the step may start. */
	bool step_first = cell.fault == FAULT_PAUSED ||
			  (cell.times == TIMES_WITH_OTHER &&
			   paired_fault(cell.fault) == FAULT_PAUSED);

	prepare();
	if (step_first)
		begin_step();
	set_fault(cell.fault, true);
	if (cell.times == TIMES_WITH_OTHER)
		set_fault(paired_fault(cell.fault), true);
	if (!step_first)
		begin_step();
	sleep_ms(FAULT_DURATION_MS);
	set_fault(cell.fault, false);
	if (cell.times == TIMES_TWICE) {
		sleep_ms(FAULT_INTERVAL_MS);
		set_fault(cell.fault, true);
		sleep_ms(FAULT_DURATION_MS);
		set_fault(cell.fault, false);
	}
	if (cell.times == TIMES_WITH_OTHER)
		set_fault(paired_fault(cell.fault), false);
	end_step();
	check();
}

/* Starts the callers and waits until the step can begin. */
void FaultMatrix::prepare()
{
	enum step_kind step = GetParam().step;

	calls.reset(new callers(*system, load_for_step(step), "c"));
	if (step == STEP_READMITTING) {
		ASSERT_TRUE(system->backends.set_behaviour(
			EJECTED_BACKEND, "{\"fault\":\"status\"}"));
		ASSERT_TRUE(wait_for(EJECT_LIMIT_MS, [this] {
			return ejected(EJECTED_BACKEND);
		})) << "backend server not ejected before the step";
	}
	ASSERT_TRUE(wait_for(RECOVER_LIMIT_MS, [this] {
		return calls->complete() >= CALLS_MIN;
	})) << "requests not served before the step";
}

void FaultMatrix::begin_step()
{
	switch (GetParam().step) {
	case STEP_JOINING:
		system->start(JOINING_INSTANCE);
		if (GetParam().fault != FAULT_LIST_LAGS) {
			ASSERT_TRUE(system->publish_instances());
		}
		break;
	case STEP_ACCEPTING:
		system->publish();
		break;
	case STEP_EJECTING:
		ASSERT_TRUE(system->backends.set_behaviour(
			EJECTED_BACKEND, "{\"fault\":\"status\"}"));
		break;
	case STEP_READMITTING:
		ASSERT_TRUE(system->backends.set_behaviour(EJECTED_BACKEND,
							   HEALTHY));
		break;
	case STEP_DRAINING:
		ASSERT_TRUE(system->backends.set_behaviour(
			FAULTY_BACKEND, "{\"draining\":true}"));
		system->set_draining(FAULTY_BACKEND);
		system->publish();
		break;
	case STEP_LEAVING:
		system->instance(LEAVING_INSTANCE).signal(SIGTERM);
		break;
	case STEP_ADMISSION:
	case STEP_BEFORE_SEND:
	case STEP_MID_SEND:
	case STEP_BEFORE_HEAD:
	case STEP_MID_BODY:
	case STEP_COUNT:
		/* The callers' requests go through this step. */
		break;
	}
}

/* Waits until the step is complete, after the faults have ended. */
void FaultMatrix::end_step()
{
	drain_limit_unix_us = unix_us() + DRAIN_LIMIT_US;
	switch (GetParam().step) {
	case STEP_JOINING:
		EXPECT_TRUE(system->publish_instances());
		EXPECT_TRUE(
			system->wait_ready(JOINING_INSTANCE, READY_LIMIT_MS));
		break;
	case STEP_EJECTING:
		EXPECT_TRUE(wait_for(EJECT_LIMIT_MS, [this] {
			return ejected(EJECTED_BACKEND);
		}));
		break;
	case STEP_READMITTING:
		EXPECT_TRUE(wait_for(READMIT_LIMIT_MS, [this] {
			return !ejected(EJECTED_BACKEND);
		}));
		break;
	case STEP_DRAINING:
		sleep_ms(DRAIN_WATCH_MS);
		break;
	case STEP_LEAVING:
		EXPECT_EQ(system->instance(LEAVING_INSTANCE)
				  .wait_exit(LEAVE_LIMIT_MS),
			  0);
		break;
	case STEP_ACCEPTING:
	case STEP_ADMISSION:
	case STEP_BEFORE_SEND:
	case STEP_MID_SEND:
	case STEP_BEFORE_HEAD:
	case STEP_MID_BODY:
	case STEP_COUNT:
		break;
	}
}

void FaultMatrix::check()
{
	uint32_t before = calls->complete();
	std::vector<struct call_record> records;

	EXPECT_TRUE(wait_for(RECOVER_LIMIT_MS, [this, before] {
		return calls->complete() >= before + CALLS_MIN;
	})) << "service did not recover";
	if (GetParam().step != STEP_LEAVING) {
		EXPECT_TRUE(wait_for(IN_FORCE_LIMIT_MS, [this] {
			return system->in_force(system->version());
		})) << "the last version is not in force everywhere";
	}
	records = calls->stop();
	observer->stop();
	counts = check_outcomes(records, system->backends.run_counts());
	if (GetParam().step == STEP_LEAVING)
		check_none_broken_off(records,
				      system->caller_addr(LEAVING_INSTANCE));
	if (GetParam().step == STEP_DRAINING)
		check_no_work_after(system->backends.runs(),
				    system->backends.port(FAULTY_BACKEND),
				    drain_limit_unix_us);
	for (const auto &error : count_errors(records))
		printf("%s %u, ", error.first.c_str(), error.second);
	printf("complete %u, not-run %u, unknown %u, broken %u\n",
	       counts.complete, counts.not_run, counts.unknown, counts.broken);
}

/* Starts a fault, or ends it. */
void FaultMatrix::set_fault(enum fault_kind fault, bool on)
{
	std::string backend = "backend" + std::to_string(FAULTY_BACKEND);
	std::string source = system->ip(faulty_instance());
	const char *behaviour = NULL;

	switch (fault) {
	case FAULT_ERRORS:
		behaviour = "{\"fault\":\"status\"}";
		break;
	case FAULT_SOME_ERRORS:
		behaviour = "{\"fault\":\"status\",\"fault_permille\":300}";
		break;
	case FAULT_SLOW:
		behaviour = "{\"slow_permille\":10000}";
		break;
	case FAULT_HANG:
		behaviour = "{\"fault\":\"hang_head\"}";
		break;
	case FAULT_CLOSE:
		behaviour = "{\"fault\":\"close\"}";
		break;
	case FAULT_TRUNCATED:
		behaviour = "{\"fault\":\"truncate\"}";
		break;
	case FAULT_LATE:
		behaviour = "{\"fault\":\"late\",\"fault_late_ms\":1700}";
		break;
	case FAULT_FORGED:
		behaviour = "{\"fault\":\"forge\"}";
		break;
	case FAULT_FLAPPING:
		behaviour = "{\"fault\":\"status\",\"flap_ms\":300}";
		break;
	case FAULT_SHEDS:
		behaviour = "{\"shed_permille\":1000}";
		break;
	case FAULT_CUT_TO_BACKEND:
		ASSERT_TRUE(system->faults->set_fault(
			backend, on ? "drop_up" : "pass", 0, source));
		return;
	case FAULT_CUT_FROM_BACKEND:
		ASSERT_TRUE(system->faults->set_fault(
			backend, on ? "drop_down" : "pass", 0, source));
		return;
	case FAULT_CUT_TO_PEERS:
		ASSERT_TRUE(system->set_peer_faults(
			faulty_instance(), on ? "drop_both" : "pass", "pass"));
		return;
	case FAULT_CUT_FROM_PEERS:
		ASSERT_TRUE(system->set_peer_faults(faulty_instance(), "pass",
						    on ? "drop_both" : "pass"));
		return;
	case FAULT_PARTITION:
		ASSERT_TRUE(system->set_peer_faults(faulty_instance(),
						    on ? "drop_both" : "pass",
						    on ? "drop_both" : "pass"));
		return;
	case FAULT_SILENT_CONNECTIONS:
		if (on) {
			ASSERT_TRUE(
				system->faults->set_fault("", "silence_open"));
		}
		return;
	case FAULT_RESET_CONNECTIONS:
		if (on) {
			ASSERT_TRUE(system->faults->set_fault("", "cut_open"));
		}
		return;
	case FAULT_PLATFORM_DOWN:
		ASSERT_TRUE(system->config.set_mode(on ? "refuse" : "up"));
		return;
	case FAULT_PLATFORM_HANGS:
		ASSERT_TRUE(system->config.set_mode(on ? "hang" : "up"));
		return;
	case FAULT_PLATFORM_STALE:
		ASSERT_TRUE(system->config.set_mode(on ? "stale" : "up"));
		return;
	case FAULT_PLATFORM_BACK:
		ASSERT_TRUE(system->publish_version(on ? system->version() - 1 :
							 system->version()));
		return;
	case FAULT_LIST_LAGS:
		ASSERT_TRUE(on ? system->publish_instances({ JOINING_INSTANCE },
							   {}, true) :
				 system->publish_instances());
		return;
	case FAULT_PAUSED:
		system->instance(faulty_instance())
			.signal(on ? SIGSTOP : SIGCONT);
		return;
	case FAULT_COUNT:
		return;
	}
	ASSERT_TRUE(system->backends.set_behaviour(FAULTY_BACKEND,
						   on ? behaviour : HEALTHY));
}

/* Returns the instance that takes the step, so that the fault affects it. */
uint32_t FaultMatrix::faulty_instance() const
{
	if (GetParam().step == STEP_LEAVING)
		return LEAVING_INSTANCE;
	if (GetParam().step == STEP_JOINING)
		return JOINING_INSTANCE;
	return 0;
}

/* Whether any instance has ejected the backend server. */
bool FaultMatrix::ejected(uint32_t backend) const
{
	for (uint32_t i = 0; i < system->instance_count(); i++) {
		if (system->view(i).service.ejected.count(backend) != 0)
			return true;
	}
	return false;
}

TEST(FaultMatrixTable, FixedCellsCanOccur)
{
	for (const auto &cell : fault_cells())
		EXPECT_EQ(impossible_reason(cell), "");
	for (int step = 0; step < STEP_COUNT; step++)
		append_report(std::string("Column ") +
			      step_name((enum step_kind)step));
	for (int fault = 0; fault < FAULT_COUNT; fault++) {
		append_report(std::string("Row ") +
			      fault_name((enum fault_kind)fault));
		for (int step = 0; step < STEP_COUNT; step++) {
			struct fault_cell cell = { (enum fault_kind)fault,
						   (enum step_kind)step,
						   TIMES_ONCE };

			if (!impossible_reason(cell).empty())
				append_report(std::string("Never ") +
					      fault_name(cell.fault) + " " +
					      step_name(cell.step) + " " +
					      impossible_reason(cell));
		}
	}
}

std::string cell_name(const testing::TestParamInfo<struct fault_cell> &info)
{
	return std::string(fault_name(info.param.fault)) + "At" +
	       step_name(info.param.step) + times_name(info.param.times);
}

INSTANTIATE_TEST_SUITE_P(Faults, FaultMatrix, testing::ValuesIn(fault_cells()),
			 cell_name);

} // namespace
