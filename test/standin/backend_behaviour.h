#ifndef STANDIN_BACKEND_BEHAVIOUR_H
#define STANDIN_BACKEND_BEHAVIOUR_H

/**
 * DOC: behaviour of a simulated backend server and the control requests that
 * change it
 */

#include <glib.h>
#include <json.h>

#include "core/units.h"

/**
 * enum fault_kind - fault that a backend server injects into the response of a
 *	request it has processed
 * @FAULT_NONE: no fault
 * @FAULT_STATUS: a configured status instead of 200
 * @FAULT_HANG_HEAD: nothing is sent and the connection stays open
 * @FAULT_HANG_BODY: half of the body is sent and the connection stays open
 * @FAULT_TRUNCATE: half of the body is sent and the connection is closed
 * @FAULT_CLOSE: nothing is sent and the connection is closed
 * @FAULT_FORGE: a second, unrequested response follows the complete one
 * @FAULT_LATE: the response is sent after an extra delay
 */
enum fault_kind {
	FAULT_NONE,
	FAULT_STATUS,
	FAULT_HANG_HEAD,
	FAULT_HANG_BODY,
	FAULT_TRUNCATE,
	FAULT_CLOSE,
	FAULT_FORGE,
	FAULT_LATE,
};

/**
 * struct fault - response fault (tagged union)
 * @kind: selects the union member
 * @status: HTTP status to send (FAULT_STATUS)
 * @late_ms: extra delay before the response (FAULT_LATE)
 */
struct fault {
	enum fault_kind kind;
	union {
		uint32_t status;
		uint32_t late_ms;
	};
};

/**
 * enum report - how truthfully a health or load path reports the state
 * @REPORT_ACTUAL: the actual state
 * @REPORT_GOOD: always healthy, no busy slot and not draining
 * @REPORT_BAD: always unhealthy and all slots busy
 */
enum report { REPORT_ACTUAL, REPORT_GOOD, REPORT_BAD };

/**
 * struct behaviour - configured behaviour of one backend server
 * @slots: maximum concurrent requests; further requests are shed
 * @work_ms: processing time of a request that does not specify one
 * @slow_permille: factor applied to the processing time
 * @shed_permille: share of requests that are shed although slots are free
 * @retry_after_s: Retry-After value of shed requests, 0 for no such header
 * @fault: fault injected into responses
 * @fault_permille: share of requests that get @fault
 * @flap_ms: time for which @fault is active, then inactive, in turn; 0 if it
 *	is always active
 * @changed_us: boot time of the last control request
 * @cold_until_us: boot time until which the server processes slowly and
 *	reports that it is cold
 * @draining: responses say that the server drains, and so does the load path
 *	unless @load is REPORT_GOOD
 * @health: what the health path reports
 * @load: what the load path reports
 */
struct behaviour {
	uint32_t slots;
	uint32_t work_ms;
	uint32_t slow_permille;
	uint32_t shed_permille;
	uint32_t retry_after_s;
	struct fault fault;
	uint32_t fault_permille;
	uint32_t flap_ms;
	uint64_t changed_us;
	uint64_t cold_until_us;
	bool draining;
	enum report health;
	enum report load;
};

/**
 * behaviour_init() - set the behaviour of a healthy server
 * @behaviour: filled
 */
void behaviour_init(struct behaviour *behaviour);

/**
 * behaviour_update() - apply the settings of a control request
 * @behaviour: changed in the fields that @settings names
 * @settings: JSON object, borrowed
 * @now_us: current boot time
 *
 * Return: false if @settings has an unknown field or value; other fields may
 * have been applied.
 */
bool behaviour_update(struct behaviour *behaviour, json_object *settings,
		      uint64_t now_us);

/**
 * behaviour_draw_fault() - draw at random the fault of one request
 * @behaviour: server's behaviour
 * @rand: random number generator
 * @now_us: current boot time
 *
 * Return: the fault, FAULT_NONE for none.
 */
struct fault behaviour_draw_fault(const struct behaviour *behaviour,
				  GRand *rand, uint64_t now_us);

/**
 * behaviour_work_us() - processing time of one request
 * @behaviour: server's behaviour
 * @work_ms: nominal processing time
 * @now_us: current boot time
 *
 * Return: processing time in microseconds, lengthened if the server is slow or
 * cold.
 */
uint64_t behaviour_work_us(const struct behaviour *behaviour, uint64_t work_ms,
			   uint64_t now_us);

/**
 * behaviour_reports_healthy() - whether the health path reports healthy
 * @behaviour: server's behaviour
 * @now_us: current boot time
 *
 * Return: true for healthy.
 */
bool behaviour_reports_healthy(const struct behaviour *behaviour,
			       uint64_t now_us);

/**
 * behaviour_is_cold() - whether the server is still cold
 * @behaviour: server's behaviour
 * @now_us: current boot time
 *
 * Return: true for cold.
 */
bool behaviour_is_cold(const struct behaviour *behaviour, uint64_t now_us);

/**
 * behaviour_reports_draining() - whether the load path reports draining
 * @behaviour: server's behaviour
 *
 * Return: true for draining.
 */
bool behaviour_reports_draining(const struct behaviour *behaviour);

/**
 * behaviour_reported_slots() - busy slots that the load path reports
 * @behaviour: server's behaviour
 * @busy_slots: slots that are busy in fact
 *
 * Return: number of slots.
 */
uint32_t behaviour_reported_slots(const struct behaviour *behaviour,
				  uint32_t busy_slots);

#endif
