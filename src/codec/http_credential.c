#include "codec/http_credential.h"

#include <string.h>
#include <strings.h>

#define SCHEME "Bearer"

static const char *bearer_key(const char *value);

void http_credential_read(const struct http_request_head *head,
			  struct credential *out)
{
	const char *value = NULL;
	const char *key;
	uint32_t i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < head->field_count; i++) {
		if (strcasecmp(head->fields[i].name, HTTP_CREDENTIAL_FIELD) !=
		    0)
			continue;
		out->kind = CREDENTIAL_INVALID;
		if (value)
			return;
		value = head->fields[i].value;
	}
	key = value ? bearer_key(value) : NULL;
	if (!key)
		return;
	out->kind = CREDENTIAL_KEY;
	key_hash_of(key, strlen(key), &out->key_hash);
}

/* Return: the key after the scheme, NULL if the value is malformed. */
static const char *bearer_key(const char *value)
{
	size_t scheme_bytes = strlen(SCHEME);
	const char *key;

	if (strncasecmp(value, SCHEME, scheme_bytes) != 0 ||
	    value[scheme_bytes] != ' ')
		return NULL;
	key = value + scheme_bytes + strspn(value + scheme_bytes, " ");
	return key[0] != '\0' && !strpbrk(key, " \t") ? key : NULL;
}
