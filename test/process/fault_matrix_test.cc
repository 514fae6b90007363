/* Every fault at every step, with real processes behind the fault proxy. */
#include <gtest/gtest.h>
#include <signal.h>

#include <fstream>

#include "fault_matrix.h"
#include "promises.h"

namespace
{

const uint32_t WARM_CALLS = 30;
const uint32_t HOLD_MS = 2000;
const uint32_t BETWEEN_MS = 500;
const uint32_t READY_LIMIT_MS = 10000;
const uint32_t IN_FORCE_LIMIT_MS = 10000;
const uint32_t EJECT_LIMIT_MS = 10000;
const uint32_t READMIT_LIMIT_MS = 30000;
const uint32_t LEAVE_LIMIT_MS = 12000;
const uint32_t RECOVER_LIMIT_MS = 15000;
const uint64_t DRAIN_LIMIT_US = 3000000;
const uint32_t DRAIN_WATCH_MS = 4500;

/* Backend servers and instances that faults and steps are about. */
const uint32_t SICK_BACKEND = 0;
const uint32_t FAULTY_BACKEND = 1;
const uint32_t LEAVING_INSTANCE = 2;
const uint32_t JOINING_INSTANCE = 3;

const char *const WELL = "{\"fault\":\"none\",\"flap_ms\":0,"
			 "\"slow_permille\":1000,\"shed_permille\":0}";

class FaultMatrix : public testing::TestWithParam<struct fault_cell> {
    protected:
	void SetUp() override;
	void TearDown() override;

	void prepare();
	void begin_step();
	void end_step();
	void apply(enum fault_kind fault, bool on);
	uint32_t faulty_instance() const;
	bool ejected(uint32_t backend) const;
	void check();

	std::unique_ptr<fleet> system;
	std::unique_ptr<observer> watch;
	std::unique_ptr<callers> calls;
	uint64_t drained_unix_us = 0;
	struct call_counts counts;
};

/* One line for docs/FAULTS.md. */
void report(const std::string &line)
{
	const char *path = getenv("NUTMEGCRANK_FAULTS_REPORT");

	if (path != NULL)
		std::ofstream(path, std::ios::app) << line << '\n';
}

std::map<std::string, uint32_t>
errors_of(const std::vector<struct call_record> &records)
{
	std::map<std::string, uint32_t> errors;

	for (const auto &record : records) {
		if (!record.error.empty())
			errors[record.error]++;
	}
	return errors;
}

struct call_shape shape_of(enum step_kind step)
{
	struct call_shape shape;

	switch (step) {
	case STEP_ADMISSION:
		shape.callers = 90;
		shape.work_ms = 150;
		break;
	case STEP_BEFORE_SEND:
		shape.callers = 40;
		shape.work_ms = 20;
		break;
	case STEP_MID_SEND:
		shape.body_bytes = 400000;
		shape.post_percent = 80;
		break;
	case STEP_BEFORE_HEAD:
		shape.work_ms = 150;
		break;
	case STEP_MID_BODY:
		shape.fill_bytes = 300000;
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
	return shape;
}

void FaultMatrix::SetUp()
{
	struct fleet_plan plan;

	plan.spares = GetParam().step == STEP_JOINING ? 1 : 0;
	/* Few slots for many callers, so that some are refused. */
	if (GetParam().step == STEP_ADMISSION)
		plan.slots = 2;
	system.reset(new fleet(plan));
	ASSERT_FALSE(HasFailure()) << "the fleet does not start";
	/* So that there is an older version to go back to. */
	system->publish();
	ASSERT_TRUE(wait_for(IN_FORCE_LIMIT_MS,
			     [this] { return system->in_force(2); }));
	watch.reset(new observer(*system));
}

void FaultMatrix::TearDown()
{
	const struct fault_cell &cell = GetParam();

	report(std::string(times_name(cell.times)) + " " +
	       fault_name(cell.fault) + " " + step_name(cell.step) + " " +
	       (HasFailure() ? "FAILED" : "held") + " " +
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
	watch.reset();
	system.reset();
}

TEST_P(FaultMatrix, Cell)
{
	const struct fault_cell &cell = GetParam();
	/* A process that does not run yet cannot be paused. */
	bool step_first = cell.fault == FAULT_PAUSED ||
			  (cell.times == TIMES_WITH_OTHER &&
			   fault_other(cell.fault) == FAULT_PAUSED);

	prepare();
	if (step_first)
		begin_step();
	apply(cell.fault, true);
	if (cell.times == TIMES_WITH_OTHER)
		apply(fault_other(cell.fault), true);
	if (!step_first)
		begin_step();
	pause_ms(HOLD_MS);
	apply(cell.fault, false);
	if (cell.times == TIMES_TWICE) {
		pause_ms(BETWEEN_MS);
		apply(cell.fault, true);
		pause_ms(HOLD_MS);
		apply(cell.fault, false);
	}
	if (cell.times == TIMES_WITH_OTHER)
		apply(fault_other(cell.fault), false);
	end_step();
	check();
}

/* Brings the fleet to where the step can begin, with callers at work. */
void FaultMatrix::prepare()
{
	enum step_kind step = GetParam().step;

	calls.reset(new callers(*system, shape_of(step), "c"));
	if (step == STEP_READMITTING) {
		ASSERT_TRUE(system->backends.order(SICK_BACKEND,
						   "{\"fault\":\"status\"}"));
		ASSERT_TRUE(wait_for(EJECT_LIMIT_MS, [this] {
			return ejected(SICK_BACKEND);
		})) << "not ejected at first";
	}
	ASSERT_TRUE(wait_for(RECOVER_LIMIT_MS, [this] {
		return calls->complete() >= WARM_CALLS;
	})) << "no service at first";
}

void FaultMatrix::begin_step()
{
	switch (GetParam().step) {
	case STEP_JOINING:
		system->start(JOINING_INSTANCE);
		if (GetParam().fault != FAULT_LIST_LAGS) {
			ASSERT_TRUE(system->publish_list());
		}
		break;
	case STEP_ACCEPTING:
		system->publish();
		break;
	case STEP_EJECTING:
		ASSERT_TRUE(system->backends.order(SICK_BACKEND,
						   "{\"fault\":\"status\"}"));
		break;
	case STEP_READMITTING:
		ASSERT_TRUE(system->backends.order(SICK_BACKEND, WELL));
		break;
	case STEP_DRAINING:
		ASSERT_TRUE(system->backends.order(FAULTY_BACKEND,
						   "{\"draining\":true}"));
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
		/* The callers take this step all the time. */
		break;
	}
}

/* The faults are over: the step must come to its end. */
void FaultMatrix::end_step()
{
	drained_unix_us = unix_us() + DRAIN_LIMIT_US;
	switch (GetParam().step) {
	case STEP_JOINING:
		EXPECT_TRUE(system->publish_list());
		EXPECT_TRUE(
			system->wait_ready(JOINING_INSTANCE, READY_LIMIT_MS));
		break;
	case STEP_EJECTING:
		EXPECT_TRUE(wait_for(EJECT_LIMIT_MS,
				     [this] { return ejected(SICK_BACKEND); }));
		break;
	case STEP_READMITTING:
		EXPECT_TRUE(wait_for(READMIT_LIMIT_MS, [this] {
			return !ejected(SICK_BACKEND);
		}));
		break;
	case STEP_DRAINING:
		pause_ms(DRAIN_WATCH_MS);
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
		return calls->complete() >= before + WARM_CALLS;
	})) << "service does not recover";
	if (GetParam().step != STEP_LEAVING) {
		EXPECT_TRUE(wait_for(IN_FORCE_LIMIT_MS, [this] {
			return system->in_force(system->version());
		})) << "the last version is not in force everywhere";
	}
	records = calls->stop();
	watch->stop();
	counts = check_calls(records, system->backends.counts());
	if (GetParam().step == STEP_LEAVING)
		check_none_cut(records, system->caller_addr(LEAVING_INSTANCE));
	if (GetParam().step == STEP_DRAINING)
		check_drained(system->backends.runs(),
			      system->backends.port(FAULTY_BACKEND),
			      drained_unix_us);
	for (const auto &error : errors_of(records))
		printf("%s %u, ", error.first.c_str(), error.second);
	printf("complete %u, not-run %u, unknown %u, broken %u\n",
	       counts.complete, counts.not_run, counts.unknown, counts.broken);
}

/* Puts a fault in force or ends it. */
void FaultMatrix::apply(enum fault_kind fault, bool on)
{
	std::string backend = "backend" + std::to_string(FAULTY_BACKEND);
	std::string source = system->ip(faulty_instance());
	const char *order = NULL;

	switch (fault) {
	case FAULT_ERRORS:
		order = "{\"fault\":\"status\"}";
		break;
	case FAULT_SOME_ERRORS:
		order = "{\"fault\":\"status\",\"fault_permille\":300}";
		break;
	case FAULT_SLOW:
		order = "{\"slow_permille\":10000}";
		break;
	case FAULT_HANG:
		order = "{\"fault\":\"hang_head\"}";
		break;
	case FAULT_CLOSE:
		order = "{\"fault\":\"close\"}";
		break;
	case FAULT_TRUNCATED:
		order = "{\"fault\":\"truncate\"}";
		break;
	case FAULT_LATE:
		order = "{\"fault\":\"late\",\"fault_late_ms\":1700}";
		break;
	case FAULT_FORGED:
		order = "{\"fault\":\"forge\"}";
		break;
	case FAULT_FLAPPING:
		order = "{\"fault\":\"status\",\"flap_ms\":300}";
		break;
	case FAULT_SHEDS:
		order = "{\"shed_permille\":1000}";
		break;
	case FAULT_CUT_TO_BACKEND:
		ASSERT_TRUE(system->faults->order(
			backend, on ? "drop_up" : "pass", 0, source));
		return;
	case FAULT_CUT_FROM_BACKEND:
		ASSERT_TRUE(system->faults->order(
			backend, on ? "drop_down" : "pass", 0, source));
		return;
	case FAULT_CUT_TO_PEERS:
		ASSERT_TRUE(system->order_peers(
			faulty_instance(), on ? "drop_both" : "pass", "pass"));
		return;
	case FAULT_CUT_FROM_PEERS:
		ASSERT_TRUE(system->order_peers(faulty_instance(), "pass",
						on ? "drop_both" : "pass"));
		return;
	case FAULT_PARTITION:
		ASSERT_TRUE(system->order_peers(faulty_instance(),
						on ? "drop_both" : "pass",
						on ? "drop_both" : "pass"));
		return;
	case FAULT_SILENT_CONNECTIONS:
		if (on) {
			ASSERT_TRUE(system->faults->order("", "silence_open"));
		}
		return;
	case FAULT_RESET_CONNECTIONS:
		if (on) {
			ASSERT_TRUE(system->faults->order("", "cut_open"));
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
		ASSERT_TRUE(system->publish_as(on ? system->version() - 1 :
						    system->version()));
		return;
	case FAULT_LIST_LAGS:
		ASSERT_TRUE(on ? system->publish_list({ JOINING_INSTANCE }, {},
						      true) :
				 system->publish_list());
		return;
	case FAULT_PAUSED:
		system->instance(faulty_instance())
			.signal(on ? SIGSTOP : SIGCONT);
		return;
	case FAULT_COUNT:
		return;
	}
	ASSERT_TRUE(system->backends.order(FAULTY_BACKEND, on ? order : WELL));
}

/* The instance that the step is about, so that the fault hits the step. */
uint32_t FaultMatrix::faulty_instance() const
{
	if (GetParam().step == STEP_LEAVING)
		return LEAVING_INSTANCE;
	if (GetParam().step == STEP_JOINING)
		return JOINING_INSTANCE;
	return 0;
}

/* Whether any instance gives the backend server no work. */
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
		EXPECT_EQ(fault_reason(cell), "");
	for (int step = 0; step < STEP_COUNT; step++)
		report(std::string("Column ") +
		       step_name((enum step_kind)step));
	for (int fault = 0; fault < FAULT_COUNT; fault++) {
		report(std::string("Row ") +
		       fault_name((enum fault_kind)fault));
		for (int step = 0; step < STEP_COUNT; step++) {
			struct fault_cell cell = { (enum fault_kind)fault,
						   (enum step_kind)step,
						   TIMES_ONCE };

			if (!fault_reason(cell).empty())
				report(std::string("Never ") +
				       fault_name(cell.fault) + " " +
				       step_name(cell.step) + " " +
				       fault_reason(cell));
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
