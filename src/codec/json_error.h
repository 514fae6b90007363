#ifndef CODEC_JSON_ERROR_H
#define CODEC_JSON_ERROR_H

/**
 * DOC: errors of JSON documents, "LABEL: PATH: reason; remedy"
 */

#include "core/error.h"
#include "core/units.h"

/**
 * json_error_set() - set an error of SETTINGS_ERROR
 * @error: where, or NULL
 * @code: its code
 * @label: file name or key
 * @path: JSON path or "line L, column C"
 * @format: reason and remedy, joined by "; "
 *
 * Return: false, so that a check can end with it.
 */
bool json_error_set(GError **error, enum settings_error code, const char *label,
		    const char *path, const char *format, ...)
	G_GNUC_PRINTF(5, 6);

/**
 * json_path_add_key() - append a field to a JSON path
 * @path: the path
 * @key: the field's name as read; what a path cannot show becomes '?'
 */
void json_path_add_key(GString *path, const char *key);

/**
 * json_path_add_index() - append a place in a list to a JSON path
 * @path: the path
 * @index: the place, from 0
 */
void json_path_add_index(GString *path, uint32_t index);

#endif
