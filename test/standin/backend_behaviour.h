#ifndef STANDIN_BACKEND_BEHAVIOUR_H
#define STANDIN_BACKEND_BEHAVIOUR_H

/**
 * DOC: how a backend server behaves, and orders that change it
 */

#include <glib.h>
#include <json.h>

#include "core/units.h"

/**
 * enum fault_kind - what goes wrong with a request whose work was done
 * @FAULT_NONE: nothing
 * @FAULT_STATUS: another status
 * @FAULT_HANG_HEAD: no answer, the connection stays open
 * @FAULT_HANG_BODY: the body stops half-way, the connection stays open
 * @FAULT_TRUNCATE: the body stops half-way and the connection ends
 * @FAULT_CLOSE: no answer, the connection ends
 * @FAULT_FORGE: further bytes after the whole answer
 * @FAULT_LATE: the answer comes late
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
 * struct fault - tagged union
 * @kind: which member of the union holds
 * @status: with FAULT_STATUS
 * @late_ms: with FAULT_LATE
 */
struct fault {
	enum fault_kind kind;
	union {
		uint32_t status;
		uint32_t late_ms;
	};
};

/**
 * enum word - what a server says of itself
 * @WORD_TRUE: what is so
 * @WORD_GOOD: always well and idle
 * @WORD_BAD: always sick and full
 */
enum word { WORD_TRUE, WORD_GOOD, WORD_BAD };

/**
 * struct behaviour - how one backend server behaves
 * @slots: requests it works on at once; it sheds more
 * @work_ms: time for a request that does not name its own
 * @slow_permille: factor on that time
 * @shed_permille: share shed though slots are free
 * @retry_after_s: what it sheds says that it wants nothing for so long, 0 for not
 * @fault: what goes wrong
 * @fault_permille: with which share
 * @flap_ms: the fault comes and goes with this half-period, 0 for always
 * @changed_us: when the last order came
 * @cold_until_us: until then it works slowly and says that it is cold
 * @draining: its answers say that it drains, its load path too unless it says
 *	WORD_GOOD
 * @health: what its health path says
 * @load: what its load path says
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
	enum word health;
	enum word load;
};

/**
 * behaviour_init() - set a well server's behaviour
 * @behaviour: filled
 */
void behaviour_init(struct behaviour *behaviour);

/**
 * behaviour_change() - carry out an order
 * @behaviour: changed where the order names a field
 * @order: JSON object
 * @now_us: boot-time now
 *
 * Return: false when the order has an unknown field or value.
 */
bool behaviour_change(struct behaviour *behaviour, json_object *order,
		      uint64_t now_us);

/**
 * behaviour_draw_fault() - draw what goes wrong with one request
 * @behaviour: only read
 * @rand: random numbers
 * @now_us: boot-time now
 *
 * Return: the fault.
 */
struct fault behaviour_draw_fault(const struct behaviour *behaviour,
				  GRand *rand, uint64_t now_us);

/**
 * behaviour_work_us() - time that one request takes
 * @behaviour: only read
 * @work_ms: time when all is well
 * @now_us: boot-time now
 *
 * Return: microseconds.
 */
uint64_t behaviour_work_us(const struct behaviour *behaviour, uint64_t work_ms,
			   uint64_t now_us);

/**
 * behaviour_healthy() - what the health path says
 * @behaviour: only read
 * @now_us: boot-time now
 *
 * Return: whether it says well.
 */
bool behaviour_healthy(const struct behaviour *behaviour, uint64_t now_us);

/**
 * behaviour_cold() - whether it is cold still
 * @behaviour: only read
 * @now_us: boot-time now
 *
 * Return: whether it is.
 */
bool behaviour_cold(const struct behaviour *behaviour, uint64_t now_us);

/**
 * behaviour_load_draining() - whether the load path says that it drains
 * @behaviour: only read
 *
 * Return: whether it does.
 */
bool behaviour_load_draining(const struct behaviour *behaviour);

/**
 * behaviour_load() - busy slots that the load path tells
 * @behaviour: only read
 * @busy_slots: what is so
 *
 * Return: slots.
 */
uint32_t behaviour_load(const struct behaviour *behaviour, uint32_t busy_slots);

#endif
