#ifndef CODEC_JSON_TEXT_H
#define CODEC_JSON_TEXT_H

/**
 * DOC: strict parsing of JSON with comments into objects of json-c
 */

#include <json-c/json.h>

#include "core/error.h"
#include "core/units.h"

/**
 * json_text_parse() - parse one JSON object with comments
 * @label: file name or document key, for error messages
 * @text: JSON text, need not be NUL-terminated
 * @text_bytes: length of @text
 * @max_bytes: limit of @text_bytes
 * @error: set to a SETTINGS_ERROR on failure
 *
 * Return: object that the caller releases with json_object_put(), or NULL.
 */
struct json_object *json_text_parse(const char *label, const char *text,
				    size_t text_bytes, uint32_t max_bytes,
				    GError **error);

#endif
