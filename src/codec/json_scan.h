#ifndef CODEC_JSON_SCAN_H
#define CODEC_JSON_SCAN_H

/**
 * DOC: strict check of a JSON text before the library reads it
 *
 * json-c lets duplicate keys, NaN and clamped integers pass. This check
 * refuses them, with the place, and takes the comments out.
 */

#include "core/error.h"
#include "core/units.h"

#define JSON_DEPTH_MAX 8
#define JSON_NUMBER_DIGITS_MAX 15

/**
 * json_blank_comments() - overwrite comments with spaces, keep line ends
 * @label: file name or key, for errors
 * @text: changed in place
 * @text_bytes: its length
 * @error: set on failure
 *
 * Takes both comments to the end of a line and those that are closed.
 *
 * Return: false when a comment is not closed.
 */
bool json_blank_comments(const char *label, char *text, size_t text_bytes,
			 GError **error);

/**
 * json_scan() - check that a text is one strict JSON object
 * @label: file name or key, for errors
 * @text: valid UTF-8 without comments
 * @text_bytes: its length
 * @error: set on failure
 *
 * All numbers must be integers of at most JSON_NUMBER_DIGITS_MAX digits.
 *
 * Return: whether it is.
 */
bool json_scan(const char *label, const char *text, size_t text_bytes,
	       GError **error);

#endif
