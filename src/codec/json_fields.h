#ifndef CODEC_JSON_FIELDS_H
#define CODEC_JSON_FIELDS_H

/**
 * DOC: tables of fields
 *
 * A table names each field of an object with its kind, bounds, default and
 * place in a struct; one function reads an object by its table.
 */

#include <json-c/json.h>

#include "core/error.h"
#include "core/ids.h"

/**
 * enum field_kind - tag of struct json_field
 * @FIELD_U32: integer within bounds, into uint32_t
 * @FIELD_U64: integer within bounds, into uint64_t
 * @FIELD_PERMILLE: number whose thousandths are within bounds, into uint32_t as
 *	thousandths, rounded down
 * @FIELD_PORT: integer from 1 to 65535, into uint16_t
 * @FIELD_BOOL: true or false, into bool
 * @FIELD_NAME: into struct name
 * @FIELD_IP: "a.b.c.d" of one machine, into uint32_t
 * @FIELD_ADDR: "a.b.c.d:port" of one machine, into struct net_addr
 * @FIELD_PATH: absolute path of a URL, into char[PATH_BYTES_MAX]
 * @FIELD_TOKEN: header name or value, into char[NAME_BYTES_MAX]
 * @FIELD_CHOICE: one of some words, its value into uint32_t
 * @FIELD_OBJECT: an object with a table of its own
 * @FIELD_CUSTOM: allowed here, read by the caller
 */
enum field_kind {
	FIELD_U32,
	FIELD_U64,
	FIELD_PERMILLE,
	FIELD_PORT,
	FIELD_BOOL,
	FIELD_NAME,
	FIELD_IP,
	FIELD_ADDR,
	FIELD_PATH,
	FIELD_TOKEN,
	FIELD_CHOICE,
	FIELD_OBJECT,
	FIELD_CUSTOM,
};

/**
 * struct field_range - bounds of an integer
 * @min: smallest
 * @max: largest
 * @absent: value of an absent field
 */
struct field_range {
	uint64_t min;
	uint64_t max;
	uint64_t absent;
};

/**
 * struct field_choice - one word
 * @word: as written
 * @value: what it stands for
 */
struct field_choice {
	const char *word;
	uint32_t value;
};

/**
 * struct field_choices - the words of a field
 * @list: the words
 * @count: entries of @list
 * @absent: value of an absent field
 */
struct field_choices {
	const struct field_choice *list;
	uint32_t count;
	uint32_t absent;
};

/**
 * struct field_table - the fields of an object
 * @fields: the fields
 * @count: entries of @fields
 */
struct field_table {
	const struct json_field *fields;
	uint32_t count;
};

/**
 * struct json_field - one field
 * @key: its name
 * @kind: which member of the union holds
 * @required: an absent one is an error
 * @offset_bytes: place in the struct that is filled
 * @range: with FIELD_U32, FIELD_U64 and FIELD_PERMILLE
 * @choices: with FIELD_CHOICE
 * @table: with FIELD_OBJECT; its offsets begin at the same struct
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
 * struct json_node - a value and where it stands
 * @label: file name or key, for errors
 * @path: JSON path; changed while members are read, restored on success
 * @value: the value
 */
struct json_node {
	const char *label;
	GString *path;
	struct json_object *value;
};

/**
 * json_read_fields() - read an object by its table
 * @place: the object
 * @table: its fields
 * @out: the struct to be filled
 * @error: set on failure
 *
 * Return: whether it is accepted; unknown fields are not.
 */
bool json_read_fields(const struct json_node *place, struct field_table table,
		      void *out, GError **error);

/**
 * json_read_member() - read an object that is a member, by its table
 * @place: the outer object
 * @key: the member, which must be there
 * @table: its fields
 * @out: the struct to be filled
 * @error: set on failure
 *
 * Return: whether it is accepted.
 */
bool json_read_member(const struct json_node *place, const char *key,
		      struct field_table table, void *out, GError **error);

/**
 * json_read_name() - read a value that is a name
 * @place: the value
 * @name: filled on success
 * @error: set on failure
 *
 * Return: whether it is accepted.
 */
bool json_read_name(const struct json_node *place, struct name *name,
		    GError **error);

/**
 * json_read_addr() - read a value that is an address
 * @place: the value
 * @addr: filled on success
 * @error: set on failure
 *
 * Return: whether it is accepted.
 */
bool json_read_addr(const struct json_node *place, struct net_addr *addr,
		    GError **error);

/**
 * json_has() - whether a member is there
 * @place: the object
 * @key: the member
 *
 * Return: whether it is.
 */
bool json_has(const struct json_node *place, const char *key);

/**
 * struct json_list - a list that is a member of an object
 * @key: the member's name
 * @required: an absent list is an error
 * @min_items: fewest entries
 * @max_items: most entries
 */
struct json_list {
	const char *key;
	bool required;
	uint32_t min_items;
	uint32_t max_items;
};

/**
 * struct json_list_iter - a walk over the entries of a list
 * @item: the entry that is read now
 * @index: its place in the list
 * @list: the list, NULL when it is absent
 * @count: entries of the list
 * @next: place of the next entry
 * @object_path_bytes: length of the path before the list
 * @list_path_bytes: length of the path with the list's name
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
 * json_list_count() - entries of a list that is read next
 * @place: the object that has it
 * @key: the list's name
 *
 * Return: 0 when it is absent or no list.
 */
uint32_t json_list_count(const struct json_node *place, const char *key);

/**
 * json_list_iter_init() - begin a walk over a list that is a member of an object
 * @place: the object
 * @list: its name and bounds
 * @items: filled on success
 * @error: set on failure
 *
 * Return: whether the list is there, or may be absent, and within its bounds.
 */
bool json_list_iter_init(const struct json_node *place,
			 const struct json_list *list,
			 struct json_list_iter *items, GError **error);

/**
 * json_list_iter_next() - go to the next entry
 * @items: the walk
 *
 * Return: false after the last; the path is then that of the object again.
 */
bool json_list_iter_next(struct json_list_iter *items);

/**
 * json_fail() - set an error at a member of an object
 * @place: the object
 * @key: the member, NULL for the object itself
 * @code: its code
 * @format: reason and remedy, joined by "; "
 * @error: set
 *
 * Return: false.
 */
bool json_fail(const struct json_node *place, const char *key,
	       enum settings_error code, GError **error, const char *format,
	       ...) G_GNUC_PRINTF(5, 6);

#endif
