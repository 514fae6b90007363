#ifndef CODEC_JSON_NUMBER_H
#define CODEC_JSON_NUMBER_H

/**
 * DOC: numbers of JSON values and durations in strings
 *
 * JSON does not tell whole numbers from others: 2, 2.0 and 2e0 are the same.
 */

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * json_number_read() - read a number
 * @value: JSON value, may be NULL
 * @out: filled on success
 *
 * Return: false unless @value is a number that a double can hold.
 */
bool json_number_read(struct json_object *value, double *out);

/**
 * json_number_read_down() - read a number, rounded down to a whole one
 * @value: JSON value, may be NULL
 * @out: filled on success; whole numbers of 64 bits are exact, larger numbers
 *	are read as UINT64_MAX
 *
 * Return: false unless @value is a number that is not negative.
 */
bool json_number_read_down(struct json_object *value, uint64_t *out);

/**
 * json_number_is_whole() - whether a number has no fraction
 * @value: JSON value, may be NULL
 *
 * Return: true for a number such as 2, 2.0 or 2e0.
 */
bool json_number_is_whole(struct json_object *value);

/**
 * json_number_mark_long() - mark integers that json-c would not read rightly
 * @text: JSON text, need not be NUL-terminated
 * @text_bytes: length of @text
 * @marked_bytes: set to the length of the text returned
 *
 * json-c reads an integer above 64 bits as the largest one. It reads it rightly
 * as a double, which it takes from a fraction of zero.
 *
 * Return: owned text in which such integers have a fraction of zero, or NULL if
 * @text has none.
 */
char *json_number_mark_long(const char *text, size_t text_bytes,
			    size_t *marked_bytes);

/**
 * duration_parse() - read a duration such as "1500ms" or "2.5s"
 * @text: a number and its unit without spaces
 * @ms: filled on success, milliseconds, not negative
 *
 * Return: false unless @text is a finite duration.
 */
bool duration_parse(const char *text, double *ms);

#endif
