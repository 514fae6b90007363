#include "codec/json_add.h"

#include <glib.h>

void json_add_text(struct json_object *out, const char *key, const char *text)
{
	json_object_object_add(out, key, json_object_new_string(text));
}

void json_add_flag(struct json_object *out, const char *key, bool flag)
{
	json_object_object_add(out, key, json_object_new_boolean(flag));
}

void json_add_number(struct json_object *out, const char *key, uint64_t number)
{
	json_object_object_add(out, key, json_object_new_uint64(number));
}

void json_add_addr(struct json_object *out, const char *key,
		   struct net_addr addr)
{
	char text[ADDR_TEXT_BYTES];

	json_add_text(out, key, addr_format(addr, text));
}

char *json_unref_to_text(struct json_object *object)
{
	const int flags = JSON_C_TO_STRING_PLAIN |
			  JSON_C_TO_STRING_NOSLASHESCAPE;
	char *text = g_strdup(json_object_to_json_string_ext(object, flags));

	json_object_put(object);
	return text;
}
