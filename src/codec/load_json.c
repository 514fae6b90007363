#include "codec/load_json.h"

#include "codec/json_error.h"
#include "codec/json_text.h"
#include "core/document.h"

#include <string.h>

#define LABEL "load report"

static bool read_count(struct json_object *report, const char *key,
		       uint32_t *out, GError **error);
static bool read_flag(struct json_object *report, const char *key, bool *out,
		      GError **error);

bool load_report_parse(const char *text, size_t text_bytes,
		       struct load_report *out, GError **error)
{
	struct json_object *report =
		json_text_parse(LABEL, text, text_bytes, LOAD_BYTES_MAX, error);
	bool ok;

	if (!report)
		return false;
	memset(out, 0, sizeof(*out));
	ok = read_count(report, "busy", &out->busy_slots, error) &&
	     read_flag(report, "draining", &out->draining, error) &&
	     read_flag(report, "cold", &out->cold, error);
	json_object_put(report);
	return ok;
}

static bool read_count(struct json_object *report, const char *key,
		       uint32_t *out, GError **error)
{
	struct json_object *value;
	int64_t number;

	if (!json_object_object_get_ex(report, key, &value))
		return json_error_set(error, SETTINGS_ERROR_MISSING, LABEL, key,
				      "field is missing; add it");
	if (!json_object_is_type(value, json_type_int))
		return json_error_set(error, SETTINGS_ERROR_TYPE, LABEL, key,
				      "not an integer; write one");
	number = json_object_get_int64(value);
	if (number < 0 || number > DOC_SLOTS_MAX)
		return json_error_set(error, SETTINGS_ERROR_RANGE, LABEL, key,
				      "out of range; write at most %d",
				      DOC_SLOTS_MAX);
	*out = (uint32_t)number;
	return true;
}

static bool read_flag(struct json_object *report, const char *key, bool *out,
		      GError **error)
{
	struct json_object *value;

	if (!json_object_object_get_ex(report, key, &value))
		return true;
	if (!json_object_is_type(value, json_type_boolean))
		return json_error_set(error, SETTINGS_ERROR_TYPE, LABEL, key,
				      "not a boolean; write true or false");
	*out = json_object_get_boolean(value);
	return true;
}
