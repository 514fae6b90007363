#ifndef CODEC_JSON_ADD_H
#define CODEC_JSON_ADD_H

/**
 * DOC: members of a JSON object that is being written
 */

#include <json-c/json.h>

#include "core/ids.h"

/**
 * json_add_text() - add a string
 * @out: the object
 * @key: the member
 * @text: its value
 */
void json_add_text(struct json_object *out, const char *key, const char *text);

/**
 * json_add_flag() - add true or false
 * @out: the object
 * @key: the member
 * @flag: its value
 */
void json_add_flag(struct json_object *out, const char *key, bool flag);

/**
 * json_add_number() - add an integer
 * @out: the object
 * @key: the member
 * @number: its value
 */
void json_add_number(struct json_object *out, const char *key, uint64_t number);

/**
 * json_add_addr() - add an address as "a.b.c.d:port"
 * @out: the object
 * @key: the member
 * @addr: its value
 */
void json_add_addr(struct json_object *out, const char *key,
		   struct net_addr addr);

/**
 * json_unref_to_text() - end an object
 * @object: freed
 *
 * Return: its owned text on one line.
 */
char *json_unref_to_text(struct json_object *object);

#endif
