#include "backend_behaviour.h"

#include <string.h>

#define WORK_DEFAULT_MS 5
#define COLD_SLOW_PERMILLE 5000
#define SICK_PERMILLE 500

static const char *const fault_names[] = {
	[FAULT_NONE] = "none",		 [FAULT_STATUS] = "status",
	[FAULT_HANG_HEAD] = "hang_head", [FAULT_HANG_BODY] = "hang_body",
	[FAULT_TRUNCATE] = "truncate",	 [FAULT_CLOSE] = "close",
	[FAULT_FORGE] = "forge",	 [FAULT_LATE] = "late",
};

static const char *const word_names[] = { "true", "good", "bad" };

static bool change_field(struct behaviour *behaviour, const char *name,
			 json_object *value, uint64_t now_us);
static bool change_fault(struct behaviour *behaviour, json_object *order);
static bool change_word(enum word *word, json_object *value);
static bool fault_on(const struct behaviour *behaviour, uint64_t now_us);
static int32_t find_text(const char *const *texts, uint32_t count,
			 json_object *value);
static uint32_t field_uint(json_object *order, const char *name,
			   uint32_t fallback);

void behaviour_init(struct behaviour *behaviour)
{
	*behaviour = (struct behaviour){ .slots = 6,
					 .work_ms = WORK_DEFAULT_MS,
					 .slow_permille = PERMILLE_ONE,
					 .health = WORD_GOOD };
}

bool behaviour_change(struct behaviour *behaviour, json_object *order,
		      uint64_t now_us)
{
	behaviour->changed_us = now_us;
	json_object_object_foreach(order, name, value)
	{
		if (!change_field(behaviour, name, value, now_us))
			return false;
	}
	return change_fault(behaviour, order);
}

struct fault behaviour_draw_fault(const struct behaviour *behaviour,
				  GRand *rand, uint64_t now_us)
{
	struct fault none = { .kind = FAULT_NONE };
	int32_t draw = g_rand_int_range(rand, 0, PERMILLE_ONE);

	if (!fault_on(behaviour, now_us) ||
	    draw >= (int32_t)behaviour->fault_permille)
		return none;
	return behaviour->fault;
}

uint64_t behaviour_work_us(const struct behaviour *behaviour, uint64_t work_ms,
			   uint64_t now_us)
{
	uint64_t work_us = work_ms * behaviour->slow_permille;

	if (behaviour_cold(behaviour, now_us))
		work_us = work_us * COLD_SLOW_PERMILLE / PERMILLE_ONE;
	return work_us;
}

bool behaviour_healthy(const struct behaviour *behaviour, uint64_t now_us)
{
	switch (behaviour->health) {
	case WORD_TRUE:
		return !fault_on(behaviour, now_us) ||
		       behaviour->fault_permille < SICK_PERMILLE;
	case WORD_GOOD:
		return true;
	case WORD_BAD:
		return false;
	}
	return false;
}

bool behaviour_cold(const struct behaviour *behaviour, uint64_t now_us)
{
	return now_us < behaviour->cold_until_us;
}

bool behaviour_load_draining(const struct behaviour *behaviour)
{
	return behaviour->draining && behaviour->load != WORD_GOOD;
}

uint32_t behaviour_load(const struct behaviour *behaviour, uint32_t busy_slots)
{
	switch (behaviour->load) {
	case WORD_TRUE:
		return busy_slots;
	case WORD_GOOD:
		return 0;
	case WORD_BAD:
		return behaviour->slots;
	}
	return 0;
}

static bool change_field(struct behaviour *behaviour, const char *name,
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
		return change_word(&behaviour->health, value);
	else if (strcmp(name, "load") == 0)
		return change_word(&behaviour->load, value);
	else
		return g_str_has_prefix(name, "fault");
	return true;
}

static bool change_fault(struct behaviour *behaviour, json_object *order)
{
	json_object *value;
	int32_t kind;

	if (!json_object_object_get_ex(order, "fault", &value))
		return true;
	kind = find_text(fault_names, G_N_ELEMENTS(fault_names), value);
	if (kind < 0)
		return false;
	behaviour->fault = (struct fault){ .kind = (enum fault_kind)kind };
	behaviour->fault_permille =
		field_uint(order, "fault_permille", PERMILLE_ONE);
	switch (behaviour->fault.kind) {
	case FAULT_STATUS:
		behaviour->fault.status =
			field_uint(order, "fault_status", 500);
		return true;
	case FAULT_LATE:
		behaviour->fault.late_ms =
			field_uint(order, "fault_late_ms", 1000);
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

static bool change_word(enum word *word, json_object *value)
{
	int32_t found = find_text(word_names, G_N_ELEMENTS(word_names), value);

	if (found < 0)
		return false;
	*word = (enum word)found;
	return true;
}

static bool fault_on(const struct behaviour *behaviour, uint64_t now_us)
{
	uint64_t half_us = behaviour->flap_ms * US_PER_MS;

	if (behaviour->fault.kind == FAULT_NONE)
		return false;
	if (half_us == 0)
		return true;
	return (now_us - behaviour->changed_us) / half_us % 2 == 0;
}

static int32_t find_text(const char *const *texts, uint32_t count,
			 json_object *value)
{
	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(texts[i], json_object_get_string(value)) == 0)
			return (int32_t)i;
	}
	return -1;
}

static uint32_t field_uint(json_object *order, const char *name,
			   uint32_t fallback)
{
	json_object *value;

	if (!json_object_object_get_ex(order, name, &value))
		return fallback;
	return (uint32_t)json_object_get_int(value);
}
