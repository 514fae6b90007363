#ifndef CODEC_JSON_ADD_H
#define CODEC_JSON_ADD_H

/**
 * DOC: building of JSON objects
 */

#include <json-c/json.h>

#include "core/ids.h"

/**
 * json_add_text() - add a string
 * @out: object to extend
 * @key: key of the new member
 * @text: value, copied
 */
void json_add_text(struct json_object *out, const char *key, const char *text);

/**
 * json_add_flag() - add a boolean
 * @out: object to extend
 * @key: key of the new member
 * @flag: value
 */
void json_add_flag(struct json_object *out, const char *key, bool flag);

/**
 * json_add_number() - add an integer
 * @out: object to extend
 * @key: key of the new member
 * @number: value
 */
void json_add_number(struct json_object *out, const char *key, uint64_t number);

/**
 * json_add_addr() - add an address as "a.b.c.d:port"
 * @out: object to extend
 * @key: key of the new member
 * @addr: value
 */
void json_add_addr(struct json_object *out, const char *key,
		   struct net_addr addr);

/**
 * json_unref_to_text() - write an object as text and release it
 * @object: object whose reference is taken over
 *
 * Return: owned JSON text on one line, without a newline.
 */
char *json_unref_to_text(struct json_object *object);

#endif
