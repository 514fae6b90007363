#ifndef CODEC_JSON_ERROR_H
#define CODEC_JSON_ERROR_H

/**
 * DOC: errors of JSON documents in the form "LABEL: PATH: reason; remedy"
 */

#include "core/error.h"
#include "core/units.h"

/**
 * json_error_set() - set an error in the domain SETTINGS_ERROR
 * @error: error to set, or NULL
 * @code: error code
 * @label: file name or document key
 * @path: JSON path or "line L, column C"; "" is written as "document"
 * @format: format of the reason and the remedy, joined by "; "
 *
 * Return: false, so that a check can return the result.
 */
bool json_error_set(GError **error, enum settings_error code, const char *label,
		    const char *path, const char *format, ...)
	G_GNUC_PRINTF(5, 6);

/**
 * json_path_add_key() - append a member's key to a JSON path
 * @path: path to extend
 * @key: key as parsed; characters other than letters, digits, '-' and '_' are
 *	written as '?'
 */
void json_path_add_key(GString *path, const char *key);

/**
 * json_path_add_index() - append a list index to a JSON path
 * @path: path to extend
 * @index: index of the list entry, from 0
 */
void json_path_add_index(GString *path, uint32_t index);

#endif
