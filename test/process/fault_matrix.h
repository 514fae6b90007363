#ifndef PROCESS_FAULT_MATRIX_H
#define PROCESS_FAULT_MATRIX_H

/**
 * DOC: the fault matrix: rows are faults, columns are steps
 */

#include <cstdint>
#include <string>
#include <vector>

/**
 * enum fault_kind - the rows
 */
enum fault_kind {
	FAULT_ERRORS,
	FAULT_SOME_ERRORS,
	FAULT_SLOW,
	FAULT_HANG,
	FAULT_CLOSE,
	FAULT_TRUNCATED,
	FAULT_LATE,
	FAULT_FORGED,
	FAULT_FLAPPING,
	FAULT_SHEDS,
	FAULT_CUT_TO_BACKEND,
	FAULT_CUT_FROM_BACKEND,
	FAULT_CUT_TO_PEERS,
	FAULT_CUT_FROM_PEERS,
	FAULT_PARTITION,
	FAULT_SILENT_CONNECTIONS,
	FAULT_RESET_CONNECTIONS,
	FAULT_PLATFORM_DOWN,
	FAULT_PLATFORM_HANGS,
	FAULT_PLATFORM_STALE,
	FAULT_PLATFORM_BACK,
	FAULT_LIST_LAGS,
	FAULT_PAUSED,
	FAULT_COUNT,
};

/**
 * enum step_kind - the columns
 */
enum step_kind {
	STEP_JOINING,
	STEP_ACCEPTING,
	STEP_ADMISSION,
	STEP_BEFORE_SEND,
	STEP_MID_SEND,
	STEP_BEFORE_HEAD,
	STEP_MID_BODY,
	STEP_EJECTING,
	STEP_READMITTING,
	STEP_DRAINING,
	STEP_LEAVING,
	STEP_COUNT,
};

/**
 * enum times_kind - how the fault comes
 */
enum times_kind { TIMES_ONCE, TIMES_TWICE, TIMES_WITH_OTHER, TIMES_COUNT };

/**
 * struct fault_cell - one cell
 * @fault: row
 * @step: column
 * @times: how the fault comes
 */
struct fault_cell {
	enum fault_kind fault;
	enum step_kind step;
	enum times_kind times;
};

/**
 * fault_cells() - the cells to run
 *
 * Return: all that can occur when NUTMEGCRANK_FAULTS is "all", else the fixed
 * ones that every check runs.
 */
std::vector<struct fault_cell> fault_cells();

/**
 * fault_reason() - why a cell cannot occur
 * @cell: the cell
 *
 * Return: the reason, empty when it can.
 */
std::string fault_reason(const struct fault_cell &cell);

/**
 * fault_other() - the fault that comes with a row's own
 * @fault: the row
 *
 * Return: another fault.
 */
enum fault_kind fault_other(enum fault_kind fault);

const char *fault_name(enum fault_kind fault);
const char *step_name(enum step_kind step);
const char *times_name(enum times_kind times);

#endif
