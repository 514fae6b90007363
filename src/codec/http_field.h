#ifndef CODEC_HTTP_FIELD_H
#define CODEC_HTTP_FIELD_H

/**
 * DOC: checks of HTTP header fields that requests and answers share
 */

#include <stddef.h>

#include "core/document.h"

#define HTTP_DEADLINE_FIELD "Nutmegcrank-Deadline-Unix-Ms"
#define HTTP_OUTCOME_FIELD "Nutmegcrank-Outcome"
#define HTTP_CREDENTIAL_FIELD "Authorization"

/**
 * struct http_field - view of one header field
 * @name: not owned
 * @value: not owned, without leading and trailing white space
 */
struct http_field {
	const char *name;
	const char *value;
};

/**
 * http_token_valid() - check a field name or a method
 * @text: field name or method
 *
 * Return: whether it is a token as defined by RFC 9110.
 */
bool http_token_valid(const char *text);

/**
 * http_value_valid() - check a field value
 * @text: the value
 *
 * Return: false if it contains a control character other than a tab.
 */
bool http_value_valid(const char *text);

/**
 * http_number_parse() - parse a decimal number without sign or white space
 * @text: the digits
 * @max: largest number accepted
 * @out: filled on success
 *
 * Return: whether the whole text is such a number.
 */
bool http_number_parse(const char *text, uint64_t max, uint64_t *out);

/**
 * http_list_has() - look for a token in a comma-separated list
 * @list: value of a list field such as Connection
 * @token: compared without case
 *
 * Return: whether the list contains the token.
 */
bool http_list_has(const char *list, const char *token);

/**
 * http_field_reserved() - whether a field is not forwarded
 * @names: configured header field names
 * @name: field name
 *
 * Return: true for hop-by-hop fields, for fields that the proxy writes anew for
 * its own framing, for the configured time left, instance, customer and load,
 * and for the proxy's own fields, unless configured as request id or signature.
 */
bool http_field_reserved(const struct header_names *names, const char *name);

#endif
