#ifndef CODEC_JSON_TEXT_H
#define CODEC_JSON_TEXT_H

/**
 * DOC: from a text with comments to a tree of json-c, strictly
 */

#include <json-c/json.h>

#include "core/error.h"
#include "core/units.h"

/**
 * json_text_parse() - read one JSON object with comments
 * @label: file name or key, for errors
 * @text: need not be NUL-terminated
 * @text_bytes: its length
 * @max_bytes: longest text that is read
 * @error: SETTINGS_ERROR on failure
 *
 * Return: an object to be freed with json_object_put(), or NULL.
 */
struct json_object *json_text_parse(const char *label, const char *text,
				    size_t text_bytes, uint32_t max_bytes,
				    GError **error);

#endif
