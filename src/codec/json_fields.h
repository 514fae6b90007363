#ifndef CODEC_JSON_FIELDS_H
#define CODEC_JSON_FIELDS_H

/**
 * DOC: reading JSON objects by tables of fields
 *
 * A table has for each field of an object its key, type, bounds, default value
 * and offset in a struct. json_read_fields() fills the struct of a table.
 */

#include <json-c/json.h>

#include "core/error.h"
#include "core/ids.h"

/**
 * enum field_kind - type of a field and tag of struct json_field
 * @FIELD_U32: integer within bounds, stored as uint32_t
 * @FIELD_U64: integer within bounds, stored as uint64_t
 * @FIELD_PERMILLE: number, stored as uint32_t in thousandths, rounded down; the
 *	bounds are in thousandths
 * @FIELD_DURATION: string of a number and its unit, "6s" or "1500ms", stored as
 *	uint32_t in ms, rounded down; the bounds are in ms
 * @FIELD_PORT: integer from 1 to 65535, stored as uint16_t
 * @FIELD_BOOL: true or false, stored as bool
 * @FIELD_NAME: string, stored as struct name
 * @FIELD_HOST: string, stored as struct host_name
 * @FIELD_IP: "a.b.c.d", a unicast address, stored as uint32_t
 * @FIELD_ADDR: "a.b.c.d:port", a unicast address, stored as struct net_addr
 * @FIELD_PATH: absolute path of a URL, stored as char[PATH_BYTES_MAX]
 * @FIELD_ROUTE_PATH: path that requests are matched with, of any length, stored
 *	as an owned char *
 * @FIELD_TOKEN: name or value of a header field, stored as char[NAME_BYTES_MAX]
 * @FIELD_CHOICE: one of a set of strings; its number is stored as uint32_t
 * @FIELD_OBJECT: object with a table of its own
 * @FIELD_CUSTOM: any value; the caller of json_read_fields() reads it
 */
enum field_kind {
	FIELD_U32,
	FIELD_U64,
	FIELD_PERMILLE,
	FIELD_DURATION,
	FIELD_PORT,
	FIELD_BOOL,
	FIELD_NAME,
	FIELD_HOST,
	FIELD_IP,
	FIELD_ADDR,
	FIELD_PATH,
	FIELD_ROUTE_PATH,
	FIELD_TOKEN,
	FIELD_CHOICE,
	FIELD_OBJECT,
	FIELD_CUSTOM,
};

/**
 * struct field_range - bounds and default of a number
 * @min: smallest value allowed
 * @max: largest value allowed
 * @default_value: value when the field is absent
 */
struct field_range {
	uint64_t min;
	uint64_t max;
	uint64_t default_value;
};

/**
 * struct field_choice - one of the strings that a field may have
 * @text: string in the JSON text
 * @value: number that is stored for it
 */
struct field_choice {
	const char *text;
	uint32_t value;
};

/**
 * struct field_choices - strings that a field may have
 * @list: strings and their numbers, not owned
 * @count: number of entries in @list
 * @default_value: number that is stored when the field is absent
 */
struct field_choices {
	const struct field_choice *list;
	uint32_t count;
	uint32_t default_value;
};

/**
 * struct field_table - fields of an object
 * @fields: field descriptions, not owned
 * @count: number of entries in @fields
 */
struct field_table {
	const struct json_field *fields;
	uint32_t count;
};

/**
 * struct json_field - description of one field
 * @key: key of the field
 * @kind: type of the value; selects the member of the union
 * @required: true when the absence of the field is an error
 * @offset_bytes: offset of the value in the struct that is filled
 * @range: bounds and default, with FIELD_U32, FIELD_U64, FIELD_PERMILLE and
 *	FIELD_DURATION
 * @choices: allowed strings, with FIELD_CHOICE
 * @table: fields of the object, with FIELD_OBJECT; their offsets are relative
 *	to the same struct
 */
struct json_field {
	const char *key;
	enum field_kind kind;
	bool required;
	uint32_t offset_bytes;
	union {
		struct field_range range;
		struct field_choices choices;
		struct field_table table;
	};
};

/**
 * struct json_node - JSON value and its path, for error messages
 * @label: file name or document key
 * @path: JSON path of the value; extended while members are read, restored on
 *	success
 * @value: JSON value, not owned
 */
struct json_node {
	const char *label;
	GString *path;
	struct json_object *value;
};

/**
 * json_read_fields() - read an object by its table
 * @node: object to read
 * @table: fields of the object
 * @out: struct to fill, with zeroes in the fields of @table
 * @error: set on failure
 *
 * Return: true when the object is valid; an unknown field is an error.
 */
bool json_read_fields(const struct json_node *node, struct field_table table,
		      void *out, GError **error);

/**
 * json_read_member() - read a member that is an object, by its table
 * @node: object that has the member
 * @key: key of the member, which must exist
 * @table: fields of the member
 * @out: struct to fill, with zeroes in the fields of @table
 * @error: set on failure
 *
 * Return: true when the member is valid.
 */
bool json_read_member(const struct json_node *node, const char *key,
		      struct field_table table, void *out, GError **error);

/**
 * json_read_name() - read a name
 * @node: value to read
 * @name: set on success
 * @error: set on failure
 *
 * Return: true when the value is a valid name.
 */
bool json_read_name(const struct json_node *node, struct name *name,
		    GError **error);

/**
 * json_read_addr() - read an address "a.b.c.d:port"
 * @node: value to read
 * @addr: set on success
 * @error: set on failure
 *
 * Return: true when the value is a unicast address with a port.
 */
bool json_read_addr(const struct json_node *node, struct net_addr *addr,
		    GError **error);

/**
 * json_has() - whether an object has a member
 * @node: object to search
 * @key: key of the member
 *
 * Return: true when the member exists, also when its value is null.
 */
bool json_has(const struct json_node *node, const char *key);

/**
 * struct json_list - description of a list that is a member of an object
 * @key: key of the member
 * @required: true when the absence of the list is an error
 * @min_items: smallest number of entries allowed
 * @max_items: largest number of entries allowed
 */
struct json_list {
	const char *key;
	bool required;
	uint32_t min_items;
	uint32_t max_items;
};

/**
 * struct json_list_iter - iterator over the entries of a list
 * @item: current entry
 * @index: index of the current entry
 * @list: list, not owned; NULL when it is absent
 * @count: number of entries in the list
 * @next: index of the next entry
 * @object_path_bytes: length of the path of the object that has the list
 * @list_path_bytes: length of the path of the list
 */
struct json_list_iter {
	struct json_node item;
	uint32_t index;
	struct json_object *list;
	uint32_t count;
	uint32_t next;
	gsize object_path_bytes;
	gsize list_path_bytes;
};

/**
 * json_list_count() - number of entries of a list
 * @node: object that has the list
 * @key: key of the list
 *
 * Return: number of entries, 0 when the member is absent or not a list.
 */
uint32_t json_list_count(const struct json_node *node, const char *key);

/**
 * json_list_iter_init() - start iterating over a list
 * @node: object that has the list
 * @list: key of the list and its bounds
 * @iter: initialized, usable on success
 * @error: set on failure
 *
 * Return: true when the list is within its bounds, or is absent and not
 * required.
 */
bool json_list_iter_init(const struct json_node *node,
			 const struct json_list *list,
			 struct json_list_iter *iter, GError **error);

/**
 * json_list_iter_next() - advance to the next entry
 * @iter: iterator
 *
 * Return: false after the last entry; the path is then that of the object
 * again.
 */
bool json_list_iter_next(struct json_list_iter *iter);

/**
 * json_fail() - set an error for a value or one of its members
 * @node: value, an object when @key is given
 * @key: key of the member, NULL for the value itself
 * @code: error code
 * @error: error to set, or NULL
 * @format: format of the reason and the remedy, joined by "; "
 *
 * Return: false, so that a check can return the result.
 */
bool json_fail(const struct json_node *node, const char *key,
	       enum settings_error code, GError **error, const char *format,
	       ...) G_GNUC_PRINTF(5, 6);

#endif
