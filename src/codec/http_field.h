#ifndef CODEC_HTTP_FIELD_H
#define CODEC_HTTP_FIELD_H

/**
 * DOC: HTTP header fields: what both directions check in the same way
 */

#include <stddef.h>

#include "core/document.h"

#define HTTP_DEADLINE_FIELD "Nutmegcrank-Deadline-Unix-Ms"
#define HTTP_OUTCOME_FIELD "Nutmegcrank-Outcome"

/**
 * struct http_field - view of one header field
 * @name: not owned
 * @value: not owned, without white space around it
 */
struct http_field {
	const char *name;
	const char *value;
};

/**
 * http_token_valid() - check a field name or a method
 * @text: the text
 *
 * Return: whether it is a token of RFC 9110.
 */
bool http_token_valid(const char *text);

/**
 * http_value_valid() - check a field value
 * @text: the text
 *
 * Return: false when it has a control character other than a tab.
 */
bool http_value_valid(const char *text);

/**
 * http_number_parse() - read a decimal number without sign or space
 * @text: the text
 * @max: largest number accepted
 * @out: filled on success
 *
 * Return: whether the whole text is such a number.
 */
bool http_number_parse(const char *text, uint64_t max, uint64_t *out);

/**
 * http_list_has() - look for a token in a comma-separated list
 * @list: the list
 * @token: compared without case
 *
 * Return: whether the list has it.
 */
bool http_list_has(const char *list, const char *token);

/**
 * http_field_reserved() - fields that never pass through a proxy as they are
 * @names: those that the settings name
 * @name: field name
 *
 * Return: true for hop-by-hop fields, for those that framing rewrites and for
 * this system's own.
 */
bool http_field_reserved(const struct header_names *names, const char *name);

#endif
