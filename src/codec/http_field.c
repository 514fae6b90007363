#include "codec/http_field.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

#define OWN_FIELD_PREFIX "Nutmegcrank-"

static bool is_configured_field(const char *name, const char *configured);

bool http_token_valid(const char *text)
{
	size_t i;

	for (i = 0; text[i] != '\0'; i++) {
		if (!isalnum((unsigned char)text[i]) &&
		    !strchr("!#$%&'*+-.^_`|~", text[i]))
			return false;
	}
	return i > 0;
}

bool http_value_valid(const char *text)
{
	unsigned char c;

	for (; *text != '\0'; text++) {
		c = (unsigned char)*text;
		if ((c < ' ' && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

bool http_number_parse(const char *text, uint64_t max, uint64_t *out)
{
	uint64_t number = 0;
	uint64_t digit;

	if (*text == '\0')
		return false;
	for (; *text != '\0'; text++) {
		if (!isdigit((unsigned char)*text))
			return false;
		digit = (uint64_t)(*text - '0');
		if (number > (max - digit) / 10)
			return false;
		number = number * 10 + digit;
	}
	*out = number;
	return true;
}

bool http_list_has(const char *list, const char *token)
{
	size_t token_bytes = strlen(token);
	size_t length;

	while (*list != '\0') {
		list += strspn(list, " \t,");
		length = strcspn(list, " \t,");
		if (length == token_bytes &&
		    strncasecmp(list, token, length) == 0)
			return true;
		list += length;
	}
	return false;
}

bool http_field_reserved(const struct header_names *names, const char *name)
{
	static const char *const always_reserved[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Authenticate",
		"Proxy-Authorization",
		"Proxy-Connection",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Content-Length",
		"Expect",
	};
	size_t i;

	for (i = 0; i < sizeof(always_reserved) / sizeof(always_reserved[0]);
	     i++) {
		if (strcasecmp(name, always_reserved[i]) == 0)
			return true;
	}
	if (is_configured_field(name, names->request_id) ||
	    is_configured_field(name, names->signature))
		return false;
	if (is_configured_field(name, names->time_left_ms) ||
	    is_configured_field(name, names->instance) ||
	    is_configured_field(name, names->customer) ||
	    is_configured_field(name, names->load))
		return true;
	return strncasecmp(name, OWN_FIELD_PREFIX,
			   sizeof(OWN_FIELD_PREFIX) - 1) == 0;
}

/* An empty configured name means that the field is not used. */
static bool is_configured_field(const char *name, const char *configured)
{
	return configured[0] != '\0' && strcasecmp(name, configured) == 0;
}
