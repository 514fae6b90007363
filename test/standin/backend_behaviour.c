#include "backend_behaviour.h"

#include <string.h>

#define WORK_DEFAULT_MS 5
#define COLD_SLOW_PERMILLE 5000
#define UNHEALTHY_FAULT_PERMILLE 500

static const char *const fault_names[] = {
	[FAULT_NONE] = "none",		 [FAULT_STATUS] = "status",
	[FAULT_HANG_HEAD] = "hang_head", [FAULT_HANG_BODY] = "hang_body",
	[FAULT_TRUNCATE] = "truncate",	 [FAULT_CLOSE] = "close",
	[FAULT_FORGE] = "forge",	 [FAULT_LATE] = "late",
};

static const char *const report_names[] = { "true", "good", "bad" };

static bool set_field(struct behaviour *behaviour, const char *name,
		      json_object *value, uint64_t now_us);
static bool set_fault(struct behaviour *behaviour, json_object *settings);
static bool set_report(enum report *report, json_object *value);
static bool fault_active(const struct behaviour *behaviour, uint64_t now_us);
static int32_t find_name(const char *const *names, uint32_t count,
			 json_object *value);
static uint32_t field_uint(json_object *settings, const char *name,
			   uint32_t fallback);

void behaviour_init(struct behaviour *behaviour)
{
	*behaviour = (struct behaviour){ .slots = 6,
					 .work_ms = WORK_DEFAULT_MS,
					 .slow_permille = PERMILLE_ONE,
					 .health = REPORT_GOOD };
}

bool behaviour_update(struct behaviour *behaviour, json_object *settings,
		      uint64_t now_us)
{
	behaviour->changed_us = now_us;
	json_object_object_foreach(settings, name, value)
	{
		if (!set_field(behaviour, name, value, now_us))
			return false;
	}
	return set_fault(behaviour, settings);
}

struct fault behaviour_draw_fault(const struct behaviour *behaviour,
				  GRand *rand, uint64_t now_us)
{
	struct fault none = { .kind = FAULT_NONE };
	int32_t draw = g_rand_int_range(rand, 0, PERMILLE_ONE);

	if (!fault_active(behaviour, now_us) ||
	    draw >= (int32_t)behaviour->fault_permille)
		return none;
	return behaviour->fault;
}

uint64_t behaviour_work_us(const struct behaviour *behaviour, uint64_t work_ms,
			   uint64_t now_us)
{
	/* Milliseconds times permille give microseconds. */
	uint64_t work_us = work_ms * behaviour->slow_permille;

	if (behaviour_is_cold(behaviour, now_us))
		work_us = work_us * COLD_SLOW_PERMILLE / PERMILLE_ONE;
	return work_us;
}

bool behaviour_reports_healthy(const struct behaviour *behaviour,
			       uint64_t now_us)
{
	switch (behaviour->health) {
	case REPORT_ACTUAL:
		return !fault_active(behaviour, now_us) ||
		       behaviour->fault_permille < UNHEALTHY_FAULT_PERMILLE;
	case REPORT_GOOD:
		return true;
	case REPORT_BAD:
		return false;
	}
	return false;
}

bool behaviour_is_cold(const struct behaviour *behaviour, uint64_t now_us)
{
	return now_us < behaviour->cold_until_us;
}

bool behaviour_reports_draining(const struct behaviour *behaviour)
{
	return behaviour->draining && behaviour->load != REPORT_GOOD;
}

uint32_t behaviour_reported_slots(const struct behaviour *behaviour,
				  uint32_t busy_slots)
{
	switch (behaviour->load) {
	case REPORT_ACTUAL:
		return busy_slots;
	case REPORT_GOOD:
		return 0;
	case REPORT_BAD:
		return behaviour->slots;
	}
	return 0;
}

static bool set_field(struct behaviour *behaviour, const char *name,
		      json_object *value, uint64_t now_us)
{
	uint32_t number = (uint32_t)json_object_get_int(value);

	if (strcmp(name, "slots") == 0)
		behaviour->slots = number;
	else if (strcmp(name, "work_ms") == 0)
		behaviour->work_ms = number;
	else if (strcmp(name, "slow_permille") == 0)
		behaviour->slow_permille = number;
	else if (strcmp(name, "shed_permille") == 0)
		behaviour->shed_permille = number;
	else if (strcmp(name, "retry_after_s") == 0)
		behaviour->retry_after_s = number;
	else if (strcmp(name, "flap_ms") == 0)
		behaviour->flap_ms = number;
	else if (strcmp(name, "cold_ms") == 0)
		behaviour->cold_until_us = now_us + number * US_PER_MS;
	else if (strcmp(name, "draining") == 0)
		behaviour->draining = json_object_get_boolean(value);
	else if (strcmp(name, "health") == 0)
		return set_report(&behaviour->health, value);
	else if (strcmp(name, "load") == 0)
		return set_report(&behaviour->load, value);
	else
		return g_str_has_prefix(name, "fault"); /* See set_fault(). */
	return true;
}

static bool set_fault(struct behaviour *behaviour, json_object *settings)
{
	json_object *value;
	int32_t kind;

	if (!json_object_object_get_ex(settings, "fault", &value))
		return true;
	kind = find_name(fault_names, G_N_ELEMENTS(fault_names), value);
	if (kind < 0)
		return false;
	behaviour->fault = (struct fault){ .kind = (enum fault_kind)kind };
	behaviour->fault_permille =
		field_uint(settings, "fault_permille", PERMILLE_ONE);
	switch (behaviour->fault.kind) {
	case FAULT_STATUS:
		behaviour->fault.status =
			field_uint(settings, "fault_status", 500);
		return true;
	case FAULT_LATE:
		behaviour->fault.late_ms =
			field_uint(settings, "fault_late_ms", 1000);
		return true;
	case FAULT_NONE:
	case FAULT_HANG_HEAD:
	case FAULT_HANG_BODY:
	case FAULT_TRUNCATE:
	case FAULT_CLOSE:
	case FAULT_FORGE:
		return true;
	}
	return false;
}

static bool set_report(enum report *report, json_object *value)
{
	int32_t found =
		find_name(report_names, G_N_ELEMENTS(report_names), value);

	if (found < 0)
		return false;
	*report = (enum report)found;
	return true;
}

static bool fault_active(const struct behaviour *behaviour, uint64_t now_us)
{
	uint64_t half_period_us = behaviour->flap_ms * US_PER_MS;

	if (behaviour->fault.kind == FAULT_NONE)
		return false;
	if (half_period_us == 0)
		return true;
	return (now_us - behaviour->changed_us) / half_period_us % 2 == 0;
}

static int32_t find_name(const char *const *names, uint32_t count,
			 json_object *value)
{
	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(names[i], json_object_get_string(value)) == 0)
			return (int32_t)i;
	}
	return -1;
}

static uint32_t field_uint(json_object *settings, const char *name,
			   uint32_t fallback)
{
	json_object *value;

	if (!json_object_object_get_ex(settings, name, &value))
		return fallback;
	return (uint32_t)json_object_get_int(value);
}
