#include "codec/json_fields.h"

#include <string.h>

#include "codec/json_error.h"
#include "codec/json_number.h"

/* Largest error, in thousandths, of a decimal fraction read as a double. */
#define PERMILLE_ROUNDING 1e-6
/* Longer values are truncated in an error message. */
#define QUOTED_BYTES_MAX 64

static bool read_field(const struct json_node *node,
		       const struct json_field *field, void *out,
		       GError **error);
static bool read_present(const struct json_node *node,
			 const struct json_field *field, void *out,
			 GError **error);
static bool read_absent(const struct json_node *node,
			const struct json_field *field, void *out,
			GError **error);
static void set_default(const struct json_field *field, void *out);
static bool read_range(const struct json_node *node,
		       const struct field_range *range, uint64_t *number,
		       GError **error);
static bool read_permille(const struct json_node *node,
			  const struct field_range *range, uint32_t *permille,
			  GError **error);
static bool read_duration(const struct json_node *node,
			  const struct field_range *range,
			  uint32_t *duration_ms, GError **error);
static bool read_choice(const struct json_node *node,
			const struct field_choices *choices, uint32_t *value,
			GError **error);
static bool read_text(const struct json_node *node,
		      const struct json_field *field, char *target,
		      GError **error);
static bool read_name(const struct json_node *node, const char *text,
		      struct name *name, GError **error);
static bool read_host(const struct json_node *node, const char *text,
		      struct host_name *host, GError **error);
static bool read_ip(const struct json_node *node, const char *text,
		    uint32_t *ip, GError **error);
static bool read_addr(const struct json_node *node, const char *text,
		      struct net_addr *addr, GError **error);
static bool read_path(const struct json_node *node, const char *text,
		      char *path, GError **error);
static bool read_route_path(const struct json_node *node, const char *text,
			    char *target, GError **error);
static bool read_token(const struct json_node *node, const char *text,
		       char *token, GError **error);
static bool fail_path_char(const struct json_node *node, const char *text,
			   size_t pos, GError **error);
static bool fail_text(const struct json_node *node, const char *text,
		      GError **error, const char *format, ...)
	G_GNUC_PRINTF(4, 5);
static char *quote_text(const char *text);
static bool check_type(const struct json_node *node, enum json_type type,
		       const char *expected, GError **error);
static const struct json_field *find_field(const struct field_table *table,
					   const char *key);
static struct json_object *find_member(const struct json_node *node,
				       const char *key);

bool json_read_fields(const struct json_node *node, struct field_table table,
		      void *out, GError **error)
{
	uint32_t i;

	if (!check_type(node, json_type_object, "an object", error))
		return false;
	json_object_object_foreach(node->value, key, value)
	{
		(void)value;
		if (!find_field(&table, key))
			return json_fail(
				node, key, SETTINGS_ERROR_UNKNOWN, error,
				"unknown field; remove it or correct its key");
	}
	for (i = 0; i < table.count; i++) {
		if (!read_field(node, &table.fields[i], out, error))
			return false;
	}
	return true;
}

bool json_read_member(const struct json_node *node, const char *key,
		      struct field_table table, void *out, GError **error)
{
	struct json_node inner = *node;
	gsize path_bytes = node->path->len;

	inner.value = find_member(node, key);
	json_path_add_key(node->path, key);
	if (!json_read_fields(&inner, table, out, error))
		return false;
	g_string_truncate(node->path, path_bytes);
	return true;
}

bool json_read_name(const struct json_node *node, struct name *name,
		    GError **error)
{
	if (!check_type(node, json_type_string, "a string", error))
		return false;
	return read_name(node, json_object_get_string(node->value), name,
			 error);
}

bool json_read_addr(const struct json_node *node, struct net_addr *addr,
		    GError **error)
{
	if (!check_type(node, json_type_string, "a string", error))
		return false;
	return read_addr(node, json_object_get_string(node->value), addr,
			 error);
}

bool json_has(const struct json_node *node, const char *key)
{
	return json_object_object_get_ex(node->value, key, NULL) != 0;
}

uint32_t json_list_count(const struct json_node *node, const char *key)
{
	struct json_object *value = find_member(node, key);

	if (!json_object_is_type(value, json_type_array))
		return 0;
	return (uint32_t)json_object_array_length(value);
}

bool json_list_iter_init(const struct json_node *node,
			 const struct json_list *list,
			 struct json_list_iter *iter, GError **error)
{
	struct json_object *value = find_member(node, list->key);

	memset(iter, 0, sizeof(*iter));
	iter->item = *node;
	iter->object_path_bytes = node->path->len;
	iter->list_path_bytes = node->path->len;
	if (!json_has(node, list->key)) {
		if (!list->required)
			return true;
		return json_fail(node, list->key, SETTINGS_ERROR_MISSING, error,
				 "list is missing; add it");
	}
	if (!json_object_is_type(value, json_type_array))
		return json_fail(node, list->key, SETTINGS_ERROR_TYPE, error,
				 "not a list; write one in [ ]");
	iter->count = (uint32_t)json_object_array_length(value);
	if (iter->count < list->min_items || iter->count > list->max_items)
		return json_fail(node, list->key, SETTINGS_ERROR_RANGE, error,
				 "%u entries; write %u to %u", iter->count,
				 list->min_items, list->max_items);
	iter->list = value;
	json_path_add_key(node->path, list->key);
	iter->list_path_bytes = node->path->len;
	return true;
}

bool json_list_iter_next(struct json_list_iter *iter)
{
	GString *path = iter->item.path;

	if (iter->next >= iter->count) {
		g_string_truncate(path, iter->object_path_bytes);
		return false;
	}
	iter->index = iter->next++;
	iter->item.value = json_object_array_get_idx(iter->list, iter->index);
	g_string_truncate(path, iter->list_path_bytes);
	json_path_add_index(path, iter->index);
	return true;
}

bool json_fail(const struct json_node *node, const char *key,
	       enum settings_error code, GError **error, const char *format,
	       ...)
{
	gsize path_bytes = node->path->len;
	va_list args;
	char *reason;

	va_start(args, format);
	reason = g_strdup_vprintf(format, args);
	va_end(args);
	if (key)
		json_path_add_key(node->path, key);
	json_error_set(error, code, node->label, node->path->str, "%s", reason);
	g_string_truncate(node->path, path_bytes);
	g_free(reason);
	return false;
}

static bool read_field(const struct json_node *node,
		       const struct json_field *field, void *out,
		       GError **error)
{
	struct json_node inner = *node;
	gsize path_bytes = node->path->len;

	if (!json_object_object_get_ex(node->value, field->key, &inner.value))
		return read_absent(node, field, out, error);
	json_path_add_key(node->path, field->key);
	if (!read_present(&inner, field, out, error))
		return false;
	g_string_truncate(node->path, path_bytes);
	return true;
}

static bool read_present(const struct json_node *node,
			 const struct json_field *field, void *out,
			 GError **error)
{
	char *target = (char *)out + field->offset_bytes;
	struct field_range range = { .min = 1, .max = UINT16_MAX };
	uint64_t number = 0;
	uint32_t value_u32 = 0;
	uint16_t port;
	bool flag;

	switch (field->kind) {
	case FIELD_U32:
		if (!read_range(node, &field->range, &number, error))
			return false;
		value_u32 = (uint32_t)number;
		memcpy(target, &value_u32, sizeof(value_u32));
		return true;
	case FIELD_U64:
		if (!read_range(node, &field->range, &number, error))
			return false;
		memcpy(target, &number, sizeof(number));
		return true;
	case FIELD_PERMILLE:
		if (!read_permille(node, &field->range, &value_u32, error))
			return false;
		memcpy(target, &value_u32, sizeof(value_u32));
		return true;
	case FIELD_DURATION:
		if (!read_duration(node, &field->range, &value_u32, error))
			return false;
		memcpy(target, &value_u32, sizeof(value_u32));
		return true;
	case FIELD_PORT:
		if (!read_range(node, &range, &number, error))
			return false;
		port = (uint16_t)number;
		memcpy(target, &port, sizeof(port));
		return true;
	case FIELD_BOOL:
		if (!check_type(node, json_type_boolean, "true or false",
				error))
			return false;
		flag = json_object_get_boolean(node->value) != 0;
		memcpy(target, &flag, sizeof(flag));
		return true;
	case FIELD_CHOICE:
		if (!read_choice(node, &field->choices, &value_u32, error))
			return false;
		memcpy(target, &value_u32, sizeof(value_u32));
		return true;
	case FIELD_OBJECT:
		return json_read_fields(node, field->table, out, error);
	case FIELD_NAME:
	case FIELD_HOST:
	case FIELD_IP:
	case FIELD_ADDR:
	case FIELD_PATH:
	case FIELD_ROUTE_PATH:
	case FIELD_TOKEN:
		return read_text(node, field, target, error);
	case FIELD_CUSTOM:
		return true;
	}
	return false;
}

static bool read_absent(const struct json_node *node,
			const struct json_field *field, void *out,
			GError **error)
{
	if (field->required)
		return json_fail(node, field->key, SETTINGS_ERROR_MISSING,
				 error, "field is missing; add it");
	set_default(field, out);
	return true;
}

/*
 * Integers, permilles, durations and choices have a default value in the table; the other
 * fields keep the zeroes of the struct.
 */
static void set_default(const struct json_field *field, void *out)
{
	char *target = (char *)out + field->offset_bytes;
	uint32_t value_u32;
	uint32_t i;

	switch (field->kind) {
	case FIELD_U32:
	case FIELD_PERMILLE:
	case FIELD_DURATION:
		value_u32 = (uint32_t)field->range.default_value;
		memcpy(target, &value_u32, sizeof(value_u32));
		break;
	case FIELD_U64:
		memcpy(target, &field->range.default_value, sizeof(uint64_t));
		break;
	case FIELD_CHOICE:
		memcpy(target, &field->choices.default_value, sizeof(uint32_t));
		break;
	case FIELD_OBJECT:
		for (i = 0; i < field->table.count; i++)
			set_default(&field->table.fields[i], out);
		break;
	case FIELD_PORT:
	case FIELD_BOOL:
	case FIELD_NAME:
	case FIELD_HOST:
	case FIELD_IP:
	case FIELD_ADDR:
	case FIELD_PATH:
	case FIELD_ROUTE_PATH:
	case FIELD_TOKEN:
	case FIELD_CUSTOM:
		break;
	}
}

/* A number without a fraction is an integer, however it is written. */
static bool read_range(const struct json_node *node,
		       const struct field_range *range, uint64_t *number,
		       GError **error)
{
	double value;

	if (!json_number_is_whole(node->value))
		return check_type(node, json_type_int, "an integer", error);
	if (json_number_read_down(node->value, number) &&
	    *number >= range->min && *number <= range->max)
		return true;
	json_number_read(node->value, &value);
	return json_fail(node, NULL, SETTINGS_ERROR_RANGE, error,
			 "%.17g is out of range; write %" G_GUINT64_FORMAT
			 " to %" G_GUINT64_FORMAT,
			 value, range->min, range->max);
}

static bool read_permille(const struct json_node *node,
			  const struct field_range *range, uint32_t *permille,
			  GError **error)
{
	double value;

	if (!json_number_read(node->value, &value))
		return check_type(node, json_type_double, "a number", error);
	/* 0.2, which has no exact binary form, must read as 200 thousandths. */
	value = value * PERMILLE_ONE + PERMILLE_ROUNDING;
	if (!(value >= (double)range->min) ||
	    value >= (double)range->max + 2 * PERMILLE_ROUNDING)
		return json_fail(node, NULL, SETTINGS_ERROR_RANGE, error,
				 "out of range; write %g to %g",
				 (double)range->min / PERMILLE_ONE,
				 (double)range->max / PERMILLE_ONE);
	*permille = (uint32_t)value;
	return true;
}

static bool read_duration(const struct json_node *node,
			  const struct field_range *range,
			  uint32_t *duration_ms, GError **error)
{
	const char *text;
	double ms;

	if (!check_type(node, json_type_string, "a duration such as \"6s\"",
			error))
		return false;
	text = json_object_get_string(node->value);
	if (!duration_parse(text, &ms))
		return fail_text(node, text, error,
				 "is not a duration; write one such as \"6s\" "
				 "or \"1500ms\"");
	if (ms < (double)range->min || ms > (double)range->max)
		return json_fail(node, NULL, SETTINGS_ERROR_RANGE, error,
				 "%s is out of range; write "
				 "%" G_GUINT64_FORMAT "ms to %" G_GUINT64_FORMAT
				 "ms",
				 text, range->min, range->max);
	*duration_ms = (uint32_t)ms;
	return true;
}

static bool read_choice(const struct json_node *node,
			const struct field_choices *choices, uint32_t *value,
			GError **error)
{
	const char *text;
	GString *allowed;
	uint32_t i;

	if (!check_type(node, json_type_string, "one of the allowed strings",
			error))
		return false;
	text = json_object_get_string(node->value);
	for (i = 0; i < choices->count; i++) {
		if (strcmp(text, choices->list[i].text) != 0)
			continue;
		*value = choices->list[i].value;
		return true;
	}
	allowed = g_string_new(NULL);
	for (i = 0; i < choices->count; i++)
		g_string_append_printf(allowed, "%s%s", i > 0 ? ", " : "",
				       choices->list[i].text);
	fail_text(node, text, error, "is unknown; write one of %s",
		  allowed->str);
	g_string_free(allowed, TRUE);
	return false;
}

static bool read_text(const struct json_node *node,
		      const struct json_field *field, char *target,
		      GError **error)
{
	const char *text;

	if (!check_type(node, json_type_string, "a string", error))
		return false;
	text = json_object_get_string(node->value);
	switch (field->kind) {
	case FIELD_NAME:
		return read_name(node, text, (struct name *)target, error);
	case FIELD_HOST:
		return read_host(node, text, (struct host_name *)target, error);
	case FIELD_IP:
		return read_ip(node, text, (uint32_t *)target, error);
	case FIELD_ADDR:
		return read_addr(node, text, (struct net_addr *)target, error);
	case FIELD_PATH:
		return read_path(node, text, target, error);
	case FIELD_ROUTE_PATH:
		return read_route_path(node, text, target, error);
	case FIELD_TOKEN:
		return read_token(node, text, target, error);
	case FIELD_U32:
	case FIELD_U64:
	case FIELD_PERMILLE:
	case FIELD_DURATION:
	case FIELD_PORT:
	case FIELD_BOOL:
	case FIELD_CHOICE:
	case FIELD_OBJECT:
	case FIELD_CUSTOM:
		break;
	}
	return false;
}

static bool read_name(const struct json_node *node, const char *text,
		      struct name *name, GError **error)
{
	if (name_set(name, text))
		return true;
	return fail_text(
		node, text, error,
		"is not a name; write 1 to %d letters, digits, '-', '_' "
		"and '.'",
		NAME_BYTES_MAX - 1);
}

static bool read_host(const struct json_node *node, const char *text,
		      struct host_name *host, GError **error)
{
	if (host_set(host, text, strlen(text)))
		return true;
	return fail_text(node, text, error,
			 "is not a host; write 1 to %d letters, digits, '-', "
			 "'_' and '.'",
			 HOST_BYTES_MAX - 1);
}

static bool read_ip(const struct json_node *node, const char *text,
		    uint32_t *ip, GError **error)
{
	if (addr_ip_parse(text, ip) && ip_is_unicast(*ip))
		return true;
	return fail_text(node, text, error,
			 "is not an IPv4 address of a single host; write it as "
			 "192.0.2.1");
}

static bool read_addr(const struct json_node *node, const char *text,
		      struct net_addr *addr, GError **error)
{
	if (addr_parse(text, addr) && ip_is_unicast(addr->ip))
		return true;
	return fail_text(node, text, error,
			 "is not an IPv4 address of a single host with a port; "
			 "write it as 192.0.2.1:8080");
}

static bool read_path(const struct json_node *node, const char *text,
		      char *path, GError **error)
{
	size_t length = strlen(text);
	size_t i;

	if (text[0] != '/' || length >= PATH_BYTES_MAX)
		return fail_text(
			node, text, error,
			"is not a path; begin with / and stay below %d "
			"bytes",
			PATH_BYTES_MAX);
	for (i = 0; i < length; i++) {
		if (!path_char_allowed(text[i]))
			return fail_path_char(node, text, i, error);
	}
	memcpy(path, text, length + 1);
	return true;
}

/* Fills the pointer at @target. */
static bool read_route_path(const struct json_node *node, const char *text,
			    char *target, GError **error)
{
	size_t i;
	char *path;

	if (text[0] != '/')
		return fail_text(node, text, error,
				 "is not a path; begin with /");
	for (i = 0; text[i] != '\0'; i++) {
		if (!path_char_received(text[i]))
			return fail_path_char(node, text, i, error);
	}
	path = g_strdup(text);
	memcpy(target, &path, sizeof(path));
	return true;
}

static bool fail_path_char(const struct json_node *node, const char *text,
			   size_t pos, GError **error)
{
	return fail_text(node, text, error,
			 "is not allowed in a path at byte %zu; remove query "
			 "and fragment, and percent-encode other characters",
			 pos);
}

static bool read_token(const struct json_node *node, const char *text,
		       char *token, GError **error)
{
	size_t length = strlen(text);
	size_t i;

	if (length == 0 || length >= NAME_BYTES_MAX)
		return fail_text(node, text, error,
				 "has %zu bytes; write 1 to %d", length,
				 NAME_BYTES_MAX - 1);
	for (i = 0; i < length; i++) {
		if (!g_ascii_isalnum(text[i]) &&
		    !strchr("!#$%&'*+-.^_`|~", text[i]))
			return fail_text(
				node, text, error,
				"is not allowed in a header field at byte %zu; "
				"use letters, digits and '-'",
				i);
	}
	memcpy(token, text, length + 1);
	return true;
}

/* Sets an error whose message has the text in quotes in front of the reason. */
static bool fail_text(const struct json_node *node, const char *text,
		      GError **error, const char *format, ...)
{
	char *quoted = quote_text(text);
	va_list args;
	char *reason;

	va_start(args, format);
	reason = g_strdup_vprintf(format, args);
	va_end(args);
	json_fail(node, NULL, SETTINGS_ERROR_RANGE, error, "%s %s", quoted,
		  reason);
	g_free(reason);
	g_free(quoted);
	return false;
}

/*
 * Returns an owned copy of the text in quotes: escaped, so that it has no line
 * breaks, and truncated.
 */
static char *quote_text(const char *text)
{
	char *escaped = g_strescape(text, NULL);
	char *quoted;

	if (strlen(escaped) > QUOTED_BYTES_MAX)
		quoted = g_strdup_printf("\"%.*s...\"", QUOTED_BYTES_MAX,
					 escaped);
	else
		quoted = g_strdup_printf("\"%s\"", escaped);
	g_free(escaped);
	return quoted;
}

static bool check_type(const struct json_node *node, enum json_type type,
		       const char *expected, GError **error)
{
	if (json_object_is_type(node->value, type))
		return true;
	return json_fail(node, NULL, SETTINGS_ERROR_TYPE, error,
			 "wrong type %s; write %s",
			 json_type_to_name(json_object_get_type(node->value)),
			 expected);
}

static const struct json_field *find_field(const struct field_table *table,
					   const char *key)
{
	uint32_t i;

	for (i = 0; i < table->count; i++) {
		if (strcmp(table->fields[i].key, key) == 0)
			return &table->fields[i];
	}
	return NULL;
}

static struct json_object *find_member(const struct json_node *node,
				       const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(node->value, key, &value);
	return value;
}
