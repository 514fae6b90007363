#include "codec/audit_line.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

/* Members that are written first, as values without their keys. */
static const char *const head_keys[] = { "time", "sequence", "kind", "service",
					 "subject" };

static void append_head(GString *line, const char *key,
			struct json_object *value);
static bool is_head_key(const char *key);

char *audit_line_text(struct json_object *record)
{
	GString *line = g_string_new(NULL);
	struct json_object *value;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(head_keys); i++) {
		if (json_object_object_get_ex(record, head_keys[i], &value))
			append_head(line, head_keys[i], value);
	}
	json_object_object_foreach(record, key, member)
	{
		if (!is_head_key(key))
			g_string_append_printf(line, " %s=%s", key,
					       json_object_get_string(member));
	}
	return g_string_free(line, FALSE);
}

static void append_head(GString *line, const char *key,
			struct json_object *value)
{
	if (line->len > 0)
		g_string_append_c(line, ' ');
	if (strcmp(key, "sequence") == 0)
		g_string_append_c(line, '#');
	g_string_append(line, json_object_get_string(value));
}

static bool is_head_key(const char *key)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(head_keys); i++) {
		if (strcmp(head_keys[i], key) == 0)
			return true;
	}
	return false;
}
