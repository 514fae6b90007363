#ifndef CLI_SHOW_H
#define CLI_SHOW_H

/**
 * DOC: helpers for printing an instance's JSON answers
 */

#include <glib.h>
#include <json-c/json.h>

#include "core/ids.h"

/**
 * show_parse() - parse an answer
 * @body: JSON text as received
 * @error: SETTINGS_ERROR on failure
 *
 * Return: an object to be freed with json_object_put(), or NULL.
 */
struct json_object *show_parse(const GString *body, GError **error);

/**
 * show_flush() - flush stdout
 *
 * Return: EXIT_SUCCESS, or EXIT_FAILURE when the output cannot be written.
 */
int show_flush(void);

/**
 * show_error() - write an error to stderr and free it
 * @error: the error, freed
 *
 * Return: EXIT_FAILURE.
 */
int show_error(GError *error);

/**
 * show_fetch() - fetch an answer from an instance, print it in JSON mode
 * @addr: operators' or callers' address of the instance
 * @target: path and query
 * @json: print the answer as received
 * @error: FETCH_ERROR or SETTINGS_ERROR on failure
 *
 * Return: the answer, to be freed with json_object_put(), or NULL.
 */
struct json_object *show_fetch(struct net_addr addr, const char *target,
			       bool json, GError **error);

/**
 * show_member() - get a member of an object
 * @object: the object, may be NULL
 * @key: name of the member
 *
 * Return: the member, owned by @object, or NULL.
 */
struct json_object *show_member(struct json_object *object, const char *key);

/**
 * show_text() - get a member as text
 * @object: the object, may be NULL
 * @key: name of the member
 *
 * Return: text that lives as long as @object; "-" when the member is absent.
 */
const char *show_text(struct json_object *object, const char *key);

/**
 * show_flag() - get a member as a boolean
 * @object: the object, may be NULL
 * @key: name of the member
 *
 * Return: whether the member is present and true.
 */
bool show_flag(struct json_object *object, const char *key);

/**
 * show_count() - count the elements of an array
 * @list: the array, or NULL
 *
 * Return: the number of elements; 0 when @list is not an array.
 */
size_t show_count(struct json_object *list);

#endif
