#ifndef CODEC_JSON_SCAN_H
#define CODEC_JSON_SCAN_H

/**
 * DOC: strict syntax check of a JSON text before json-c parses it
 *
 * json-c accepts duplicate keys and NaN, and clamps integers that are too
 * large. This check reports them with their position. Comments are removed
 * before it.
 */

#include "core/error.h"
#include "core/units.h"

#define JSON_DEPTH_MAX 8

/**
 * json_blank_comments() - overwrite comments with spaces, keep newlines
 * @label: file name or document key, for error messages
 * @text: JSON text, changed in place
 * @text_bytes: length of @text
 * @error: set on failure
 *
 * Both line and block comments are overwritten.
 *
 * Return: false when a block comment is not closed or a '/' outside strings
 * does not start a comment.
 */
bool json_blank_comments(const char *label, char *text, size_t text_bytes,
			 GError **error);

/**
 * json_scan() - check that a text is one strict JSON object
 * @label: file name or document key, for error messages
 * @text: valid UTF-8 without comments
 * @text_bytes: length of @text
 * @error: set on failure
 *
 * Numbers may have any number of digits and no exponent; the fields' ranges
 * bound their values.
 *
 * Return: true when the text is valid.
 */
bool json_scan(const char *label, const char *text, size_t text_bytes,
	       GError **error);

#endif
