#include "fault_matrix.h"

#include <cstdlib>
#include <cstring>

namespace
{

const char *const fault_names[FAULT_COUNT] = {
	"Errors",
	"SomeErrors",
	"Slow",
	"Hang",
	"Close",
	"Truncated",
	"Late",
	"Forged",
	"Flapping",
	"Sheds",
	"CutToBackend",
	"CutFromBackend",
	"CutToPeers",
	"CutFromPeers",
	"Partition",
	"SilentConnections",
	"ResetConnections",
	"PlatformDown",
	"PlatformHangs",
	"PlatformStale",
	"PlatformBack",
	"ListLags",
	"Paused",
};

const char *const step_names[STEP_COUNT] = {
	"Joining",     "Accepting",  "Admission", "BeforeSend",
	"MidSend",     "BeforeHead", "MidBody",	  "Ejecting",
	"Readmitting", "Draining",   "Leaving",
};

const char *const times_names[TIMES_COUNT] = { "Once", "Twice", "WithOther" };

/* Selection that "make check" runs, with faults and steps of each kind. */
const struct fault_cell fixed_cells[] = {
	{ FAULT_CLOSE, STEP_BEFORE_HEAD, TIMES_ONCE },
	{ FAULT_TRUNCATED, STEP_MID_BODY, TIMES_ONCE },
	{ FAULT_LATE, STEP_BEFORE_HEAD, TIMES_ONCE },
	{ FAULT_FORGED, STEP_BEFORE_HEAD, TIMES_ONCE },
	{ FAULT_FORGED, STEP_ADMISSION, TIMES_WITH_OTHER },
	{ FAULT_SHEDS, STEP_ADMISSION, TIMES_ONCE },
	{ FAULT_RESET_CONNECTIONS, STEP_MID_SEND, TIMES_ONCE },
	{ FAULT_SILENT_CONNECTIONS, STEP_MID_SEND, TIMES_TWICE },
	{ FAULT_CUT_FROM_BACKEND, STEP_DRAINING, TIMES_ONCE },
	{ FAULT_CUT_TO_BACKEND, STEP_BEFORE_SEND, TIMES_ONCE },
	{ FAULT_PLATFORM_DOWN, STEP_JOINING, TIMES_ONCE },
	{ FAULT_PLATFORM_BACK, STEP_ACCEPTING, TIMES_ONCE },
	{ FAULT_PLATFORM_STALE, STEP_LEAVING, TIMES_ONCE },
	{ FAULT_PARTITION, STEP_EJECTING, TIMES_ONCE },
	{ FAULT_PAUSED, STEP_BEFORE_SEND, TIMES_ONCE },
	{ FAULT_PAUSED, STEP_LEAVING, TIMES_ONCE },
	{ FAULT_FLAPPING, STEP_READMITTING, TIMES_ONCE },
};

bool is_platform_fault(enum fault_kind fault)
{
	return fault == FAULT_PLATFORM_DOWN || fault == FAULT_PLATFORM_HANGS ||
	       fault == FAULT_PLATFORM_STALE || fault == FAULT_PLATFORM_BACK;
}

bool is_request_step(enum step_kind step)
{
	return step >= STEP_ADMISSION && step <= STEP_MID_BODY;
}

} // namespace

std::vector<struct fault_cell> fault_cells()
{
	const char *selection = getenv("NUTMEGCRANK_FAULTS");
	std::vector<struct fault_cell> cells(std::begin(fixed_cells),
					     std::end(fixed_cells));

	if (selection == NULL || strcmp(selection, "all") != 0)
		return cells;
	cells.clear();
	for (int times = 0; times < TIMES_COUNT; times++) {
		for (int fault = 0; fault < FAULT_COUNT; fault++) {
			for (int step = 0; step < STEP_COUNT; step++) {
				struct fault_cell cell = {
					(enum fault_kind)fault,
					(enum step_kind)step,
					(enum times_kind)times
				};

				if (impossible_reason(cell).empty())
					cells.push_back(cell);
			}
		}
	}
	return cells;
}

std::string impossible_reason(const struct fault_cell &cell)
{
	if (is_platform_fault(cell.fault) && is_request_step(cell.step))
		return "a request asks the platform nothing";
	if (cell.fault == FAULT_LIST_LAGS && cell.step >= STEP_BEFORE_SEND &&
	    cell.step <= STEP_MID_BODY)
		return "an exchange reads no list";
	return "";
}

/*
 * The row half the table further on, so that the two faults are of different
 * kinds.
 */
enum fault_kind paired_fault(enum fault_kind fault)
{
	return (enum fault_kind)((fault + FAULT_COUNT / 2) % FAULT_COUNT);
}

const char *fault_name(enum fault_kind fault)
{
	return fault_names[fault];
}

const char *step_name(enum step_kind step)
{
	return step_names[step];
}

const char *times_name(enum times_kind times)
{
	return times_names[times];
}
