#include "codec/json_number.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "core/units.h"

/* Every integer of 64 bits has at most this many digits. */
#define EXACT_DIGITS_MAX 19
/* 2^64, the smallest double above all integers of 64 bits. */
#define UINT64_END 18446744073709551616.0

static size_t string_bytes(const char *text, size_t text_bytes);
static size_t number_bytes(const char *text, size_t text_bytes);
static bool is_long_integer(const char *number, size_t bytes);

bool json_number_read(struct json_object *value, double *out)
{
	if (!json_object_is_type(value, json_type_int) &&
	    !json_object_is_type(value, json_type_double))
		return false;
	*out = json_object_get_double(value);
	return isfinite(*out);
}

bool json_number_read_down(struct json_object *value, uint64_t *out)
{
	double number;

	if (!json_number_read(value, &number) || number < 0)
		return false;
	if (json_object_is_type(value, json_type_int))
		*out = json_object_get_uint64(value);
	else if (number >= UINT64_END)
		*out = UINT64_MAX;
	else
		*out = (uint64_t)number;
	return true;
}

bool json_number_is_whole(struct json_object *value)
{
	double number;

	return json_number_read(value, &number) && number == trunc(number);
}

char *json_number_mark_long(const char *text, size_t text_bytes,
			    size_t *marked_bytes)
{
	GString *marked = NULL;
	size_t copied = 0;
	size_t pos = 0;
	size_t bytes;

	while (pos < text_bytes) {
		if (text[pos] == '"') {
			pos += string_bytes(text + pos, text_bytes - pos);
			continue;
		}
		bytes = number_bytes(text + pos, text_bytes - pos);
		if (bytes == 0) {
			pos++;
			continue;
		}
		if (is_long_integer(text + pos, bytes)) {
			if (!marked)
				marked = g_string_new(NULL);
			g_string_append_len(marked, text + copied,
					    (gssize)(pos + bytes - copied));
			g_string_append(marked, ".0");
			copied = pos + bytes;
		}
		pos += bytes;
	}
	if (!marked)
		return NULL;
	g_string_append_len(marked, text + copied,
			    (gssize)(text_bytes - copied));
	*marked_bytes = marked->len;
	return g_string_free(marked, FALSE);
}

bool duration_parse(const char *text, double *ms)
{
	double number;
	char *end;

	/* The library would read a hexadecimal number, too. */
	if (!g_ascii_isdigit(text[0]) || text[1] == 'x' || text[1] == 'X')
		return false;
	number = g_ascii_strtod(text, &end);
	if (strcmp(end, "s") == 0)
		number *= MS_PER_S;
	else if (strcmp(end, "ms") != 0)
		return false;
	*ms = number;
	return isfinite(number);
}

/* Return: length of the string that begins @text, with its quotes. */
static size_t string_bytes(const char *text, size_t text_bytes)
{
	size_t pos = 1;

	while (pos < text_bytes && text[pos] != '"')
		pos += text[pos] == '\\' ? 2 : 1;
	return MIN(pos + 1, text_bytes);
}

/* Return: length of the number that begins @text, without its sign, or 0. */
static size_t number_bytes(const char *text, size_t text_bytes)
{
	size_t bytes = 0;

	if (!g_ascii_isdigit(text[0]))
		return 0;
	while (bytes < text_bytes && text[bytes] != '\0' &&
	       (g_ascii_isdigit(text[bytes]) ||
		strchr(".eE+-", text[bytes]) != NULL))
		bytes++;
	return bytes;
}

static bool is_long_integer(const char *number, size_t bytes)
{
	size_t i;

	if (bytes <= EXACT_DIGITS_MAX)
		return false;
	for (i = 0; i < bytes; i++) {
		if (!g_ascii_isdigit(number[i]))
			return false;
	}
	return true;
}
