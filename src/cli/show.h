#ifndef CLI_SHOW_H
#define CLI_SHOW_H

/**
 * DOC: an instance's JSON answers on the terminal
 */

#include <glib.h>
#include <json-c/json.h>

#include "core/ids.h"

/**
 * show_parse() - read an answer
 * @body: JSON text as it came
 * @error: SETTINGS_ERROR on failure
 *
 * Return: an object to be freed with json_object_put(), or NULL.
 */
struct json_object *show_parse(const GString *body, GError **error);

/**
 * show_flush() - see that all went out to stdout
 *
 * Return: exit status.
 */
int show_flush(void);

/**
 * show_error() - write an error to stderr and free it
 * @error: the error
 *
 * Return: exit status of a failure.
 */
int show_error(GError *error);

/**
 * show_fetch() - get an instance's answer, and print it when JSON is wanted
 * @addr: the instance's operators' or callers' address
 * @target: path and query
 * @json: print it as it came
 * @error: set on failure
 *
 * Return: the answer, to be freed with json_object_put(), or NULL.
 */
struct json_object *show_fetch(struct net_addr addr, const char *target,
			       bool json, GError **error);

/**
 * show_member() - find a member of an object
 * @object: the object
 * @key: the member
 *
 * Return: the member, still owned by @object, or NULL.
 */
struct json_object *show_member(struct json_object *object, const char *key);

/**
 * show_text() - a member as text
 * @object: the object
 * @key: the member
 *
 * Return: text that lives as long as @object; "-" when there is none.
 */
const char *show_text(struct json_object *object, const char *key);

/**
 * show_flag() - a member as a flag
 * @object: the object
 * @key: the member
 *
 * Return: whether it is true.
 */
bool show_flag(struct json_object *object, const char *key);

/**
 * show_count() - entries of a list
 * @list: the list, or NULL
 *
 * Return: the number.
 */
size_t show_count(struct json_object *list);

#endif
