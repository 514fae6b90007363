#include "codec/log_line.h"

#include <json-c/json.h>
#include <string.h>

#include "codec/audit_line.h"
#include "codec/time_text.h"

static char *text_line(const char *time, const char *level, const char *message,
		       struct json_object *record);
static char *json_line(const char *time, const char *level, const char *message,
		       const char *key, struct json_object *record);
static const char *level_text(GLogLevelFlags level);
static char *find_field(const GLogField *fields, gsize field_count,
			const char *key);
static char *field_text(const GLogField *field);
static void blank_controls(char *text);

char *log_line(enum log_format format, GLogLevelFlags level,
	       const GLogField *fields, gsize field_count, uint64_t unix_ms)
{
	char *message = find_field(fields, field_count, "MESSAGE");
	char *record_text = find_field(fields, field_count, LOG_FIELD_AUDIT);
	const char *key = "audit";
	char *time = time_text(unix_ms);
	struct json_object *record = NULL;
	char *line = NULL;

	if (!record_text) {
		record_text = find_field(fields, field_count, LOG_FIELD_TRACE);
		key = "request";
	}
	if (record_text)
		record = json_tokener_parse(record_text);
	blank_controls(message);
	switch (format) {
	case LOG_TEXT:
		line = text_line(time, level_text(level), message, record);
		break;
	case LOG_JSON:
		line = json_line(time, level_text(level), message, key, record);
		break;
	}
	json_object_put(record);
	g_free(time);
	g_free(record_text);
	g_free(message);
	return line;
}

static char *text_line(const char *time, const char *level, const char *message,
		       struct json_object *record)
{
	const char *rest;
	char *record_line;
	char *line;

	if (!record)
		return g_strdup_printf("%s %s %s\n", time, level,
				       message ? message : "");
	/* The line begins with the time of the change, not of the log event. */
	record_line = audit_line_text(record);
	rest = strchr(record_line, ' ');
	line = g_strdup_printf("%.*s %s %s%s\n",
			       rest ? (int)(rest - record_line) : 0,
			       record_line, level, message ? message : "",
			       rest ? rest : "");
	g_free(record_line);
	return line;
}

static char *json_line(const char *time, const char *level, const char *message,
		       const char *key, struct json_object *record)
{
	struct json_object *out = json_object_new_object();
	const char *text;
	char *line;

	json_object_object_add(out, "time", json_object_new_string(time));
	json_object_object_add(out, "level", json_object_new_string(level));
	json_object_object_add(out, "message",
			       json_object_new_string(message ? message : ""));
	if (record)
		json_object_object_add(out, key, json_object_get(record));
	text = json_object_to_json_string_ext(
		out, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
	line = g_strconcat(text, "\n", NULL);
	json_object_put(out);
	return line;
}

static const char *level_text(GLogLevelFlags level)
{
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	if (level & G_LOG_LEVEL_MESSAGE)
		return "message";
	if (level & G_LOG_LEVEL_INFO)
		return "info";
	return "debug";
}

static char *find_field(const GLogField *fields, gsize field_count,
			const char *key)
{
	gsize i;

	for (i = 0; i < field_count; i++) {
		if (strcmp(fields[i].key, key) == 0)
			return field_text(&fields[i]);
	}
	return NULL;
}

/* Invalid UTF-8 is replaced, as it would make the JSON lines invalid. */
static char *field_text(const GLogField *field)
{
	const char *text = field->value;

	if (field->length < 0)
		return g_utf8_make_valid(text, -1);
	return g_utf8_make_valid(text, (gssize)field->length);
}

static void blank_controls(char *text)
{
	for (; text && *text; text++) {
		if (g_ascii_iscntrl(*text))
			*text = ' ';
	}
}
