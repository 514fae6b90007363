#include "codec/json_text.h"

#include <string.h>

#include "codec/json_error.h"
#include "codec/json_scan.h"

static bool check_text(const char *label, const char *text, size_t text_bytes,
		       uint32_t max_bytes, GError **error);
static struct json_object *parse_object(const char *label, const char *text,
					size_t text_bytes, GError **error);

struct json_object *json_text_parse(const char *label, const char *text,
				    size_t text_bytes, uint32_t max_bytes,
				    GError **error)
{
	struct json_object *root = NULL;
	char *plain;

	if (!check_text(label, text, text_bytes, max_bytes, error))
		return NULL;
	plain = g_strndup(text, text_bytes);
	if (json_blank_comments(label, plain, text_bytes, error) &&
	    json_scan(label, plain, text_bytes, error))
		root = parse_object(label, plain, text_bytes, error);
	g_free(plain);
	return root;
}

static bool check_text(const char *label, const char *text, size_t text_bytes,
		       uint32_t max_bytes, GError **error)
{
	const char *bad;

	if (text_bytes > max_bytes)
		return json_error_set(error, SETTINGS_ERROR_RANGE, label, "",
				      "longer than %u bytes; shorten it",
				      max_bytes);
	if (text_bytes == 0)
		return json_error_set(error, SETTINGS_ERROR_SYNTAX, label, "",
				      "empty; write an object");
	if (!g_utf8_validate_len(text, text_bytes, &bad))
		return json_error_set(
			error, SETTINGS_ERROR_SYNTAX, label, "",
			"byte %zu is NUL or not valid UTF-8; save "
			"it as UTF-8 text",
			(size_t)(bad - text));
	return true;
}

static struct json_object *parse_object(const char *label, const char *text,
					size_t text_bytes, GError **error)
{
	struct json_tokener *tokener = json_tokener_new_ex(JSON_DEPTH_MAX + 2);
	struct json_object *root;
	enum json_tokener_error result;

	if (!tokener) {
		json_error_set(error, SETTINGS_ERROR_IO, label, "",
			       "out of memory; try again");
		return NULL;
	}
	json_tokener_set_flags(tokener, JSON_TOKENER_STRICT |
						JSON_TOKENER_VALIDATE_UTF8);
	root = json_tokener_parse_ex(tokener, text, (int)text_bytes);
	result = json_tokener_get_error(tokener);
	json_tokener_free(tokener);
	if (result == json_tokener_success &&
	    json_object_is_type(root, json_type_object))
		return root;
	json_object_put(root);
	json_error_set(error, SETTINGS_ERROR_SYNTAX, label, "",
		       "%s; write strict JSON with comments",
		       json_tokener_error_desc(result));
	return NULL;
}
