#ifndef PROCESS_FAULT_MATRIX_H
#define PROCESS_FAULT_MATRIX_H

/**
 * DOC: the fault matrix: each cell is a fault (row) during a step of the fleet
 * or of a request (column)
 */

#include <cstdint>
#include <string>
#include <vector>

/**
 * enum fault_kind - faults, the rows of the matrix
 * @FAULT_ERRORS: a backend server answers with errors
 * @FAULT_SOME_ERRORS: it answers 30 % of requests with errors
 * @FAULT_SLOW: it takes ten times as long
 * @FAULT_HANG: it accepts requests and does not answer
 * @FAULT_CLOSE: it closes connections without an answer
 * @FAULT_TRUNCATED: it breaks off its answers
 * @FAULT_LATE: it answers after 1,700 ms
 * @FAULT_FORGED: it sends a forged answer after the complete one
 * @FAULT_FLAPPING: it changes between errors and health every 300 ms
 * @FAULT_SHEDS: it refuses all requests
 * @FAULT_CUT_TO_BACKEND: requests of one instance to a backend server are lost
 * @FAULT_CUT_FROM_BACKEND: answers of a backend server to one instance are lost
 * @FAULT_CUT_TO_PEERS: traffic to one instance's peer address is lost
 * @FAULT_CUT_FROM_PEERS: one instance's traffic to its peers is lost
 * @FAULT_PARTITION: FAULT_CUT_TO_PEERS and FAULT_CUT_FROM_PEERS together
 * @FAULT_SILENT_CONNECTIONS: open connections transfer nothing any more
 * @FAULT_RESET_CONNECTIONS: open connections are reset
 * @FAULT_PLATFORM_DOWN: the platform refuses calls
 * @FAULT_PLATFORM_HANGS: the platform does not answer
 * @FAULT_PLATFORM_STALE: the platform answers with the contents that it had
 *	when the fault began
 * @FAULT_PLATFORM_BACK: the platform goes back to the version before
 * @FAULT_LIST_LAGS: the instance list lacks a joining instance and names one
 *	that does not exist
 * @FAULT_PAUSED: an instance's process is stopped by SIGSTOP and continued
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
 * enum step_kind - steps, the columns of the matrix
 * @STEP_JOINING: an instance joins the fleet
 * @STEP_ACCEPTING: instances accept a new version of the document
 * @STEP_ADMISSION: more requests come than are admitted
 * @STEP_BEFORE_SEND: a request is admitted and waits to be sent
 * @STEP_MID_SEND: a request is being sent
 * @STEP_BEFORE_HEAD: a request is sent, the answer's head has not come
 * @STEP_MID_BODY: the answer's body is being received
 * @STEP_EJECTING: a backend server is ejected
 * @STEP_READMITTING: an ejected backend server is readmitted
 * @STEP_DRAINING: a backend server drains
 * @STEP_LEAVING: an instance stops as planned
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
 * enum times_kind - number of faults in a cell
 * @TIMES_ONCE: the fault occurs once
 * @TIMES_TWICE: the fault occurs twice in succession
 * @TIMES_WITH_OTHER: the fault overlaps with that of paired_fault()
 */
enum times_kind { TIMES_ONCE, TIMES_TWICE, TIMES_WITH_OTHER, TIMES_COUNT };

/**
 * struct fault_cell - one cell of the matrix
 * @fault: row
 * @step: column
 * @times: number of faults
 */
struct fault_cell {
	enum fault_kind fault;
	enum step_kind step;
	enum times_kind times;
};

/**
 * fault_cells() - list the cells to test
 *
 * Return: all cells that can occur if NUTMEGCRANK_FAULTS is "all", else the
 * fixed selection that "make check" runs.
 */
std::vector<struct fault_cell> fault_cells();

/**
 * impossible_reason() - tell why a cell cannot occur
 * @cell: cell to look up
 *
 * Return: reason, empty if the cell can occur.
 */
std::string impossible_reason(const struct fault_cell &cell);

/**
 * paired_fault() - choose the second fault for TIMES_WITH_OTHER
 * @fault: row of the cell
 *
 * Return: a different fault.
 */
enum fault_kind paired_fault(enum fault_kind fault);

const char *fault_name(enum fault_kind fault);
const char *step_name(enum step_kind step);
const char *times_name(enum times_kind times);

#endif
