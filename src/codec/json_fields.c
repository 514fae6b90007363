#include "codec/json_fields.h"

#include <string.h>

#include "codec/json_error.h"

/* The first byte of 224.0.0.0 and above: multicast and reserved. */
#define IP_CLASS_D UINT32_C(0xe0000000)
/* 0.0.0.0 to 0.255.255.255 names no machine. */
#define IP_THIS_NETWORK_LAST UINT32_C(0x00ffffff)
/* Thousandths that a number with fewer digits may miss by. */
#define PERMILLE_ROUNDING 1e-6
/* Longer values are cut in an error. */
#define SHOWN_BYTES_MAX 64

static bool read_field(const struct json_node *place,
		       const struct json_field *field, void *out,
		       GError **error);
static bool read_present(const struct json_node *place,
			 const struct json_field *field, void *out,
			 GError **error);
static bool read_absent(const struct json_node *place,
			const struct json_field *field, void *out,
			GError **error);
static void set_default(const struct json_field *field, void *out);
static bool read_range(const struct json_node *place,
		       const struct field_range *range, uint64_t *number,
		       GError **error);
static bool read_permille(const struct json_node *place,
			  const struct field_range *range, uint32_t *permille,
			  GError **error);
static bool read_choice(const struct json_node *place,
			const struct field_choices *choices, uint32_t *value,
			GError **error);
static bool read_text(const struct json_node *place,
		      const struct json_field *field, char *at, GError **error);
static bool read_name(const struct json_node *place, const char *text,
		      struct name *name, GError **error);
static bool read_ip(const struct json_node *place, const char *text,
		    uint32_t *ip, GError **error);
static bool read_addr(const struct json_node *place, const char *text,
		      struct net_addr *addr, GError **error);
static bool read_path(const struct json_node *place, const char *text,
		      char *path, GError **error);
static bool read_token(const struct json_node *place, const char *text,
		       char *token, GError **error);
static bool fail_text(const struct json_node *place, const char *text,
		      GError **error, const char *format, ...)
	G_GNUC_PRINTF(4, 5);
static char *quote(const char *text);
static bool path_char(char c);
static bool one_machine(uint32_t ip);
static bool expect(const struct json_node *place, enum json_type type,
		   const char *what, GError **error);
static const struct json_field *find_field(const struct field_table *table,
					   const char *key);
static struct json_object *member(const struct json_node *place,
				  const char *key);

bool json_read_fields(const struct json_node *place, struct field_table table,
		      void *out, GError **error)
{
	uint32_t i;

	if (!expect(place, json_type_object, "an object", error))
		return false;
	json_object_object_foreach(place->value, key, value)
	{
		(void)value;
		if (!find_field(&table, key))
			return json_fail(place, key, SETTINGS_ERROR_UNKNOWN,
					 error,
					 "unknown field; drop it or mend its "
					 "name");
	}
	for (i = 0; i < table.count; i++) {
		if (!read_field(place, &table.fields[i], out, error))
			return false;
	}
	return true;
}

bool json_read_member(const struct json_node *place, const char *key,
		      struct field_table table, void *out, GError **error)
{
	struct json_node inner = *place;
	gsize outer = place->path->len;

	inner.value = member(place, key);
	json_path_add_key(place->path, key);
	if (!json_read_fields(&inner, table, out, error))
		return false;
	g_string_truncate(place->path, outer);
	return true;
}

bool json_read_name(const struct json_node *place, struct name *name,
		    GError **error)
{
	if (!expect(place, json_type_string, "a string", error))
		return false;
	return read_name(place, json_object_get_string(place->value), name,
			 error);
}

bool json_read_addr(const struct json_node *place, struct net_addr *addr,
		    GError **error)
{
	if (!expect(place, json_type_string, "a string", error))
		return false;
	return read_addr(place, json_object_get_string(place->value), addr,
			 error);
}

bool json_has(const struct json_node *place, const char *key)
{
	return json_object_object_get_ex(place->value, key, NULL) != 0;
}

uint32_t json_list_count(const struct json_node *place, const char *key)
{
	struct json_object *value = member(place, key);

	if (!json_object_is_type(value, json_type_array))
		return 0;
	return (uint32_t)json_object_array_length(value);
}

bool json_list_iter_init(const struct json_node *place,
			 const struct json_list *list,
			 struct json_list_iter *items, GError **error)
{
	struct json_object *value = member(place, list->key);

	memset(items, 0, sizeof(*items));
	items->item = *place;
	items->object_path_bytes = place->path->len;
	items->list_path_bytes = place->path->len;
	if (!json_has(place, list->key)) {
		if (!list->required)
			return true;
		return json_fail(place, list->key, SETTINGS_ERROR_MISSING,
				 error, "list is missing; add it");
	}
	if (!json_object_is_type(value, json_type_array))
		return json_fail(place, list->key, SETTINGS_ERROR_TYPE, error,
				 "no list; write one in [ ]");
	items->count = (uint32_t)json_object_array_length(value);
	if (items->count < list->min_items || items->count > list->max_items)
		return json_fail(place, list->key, SETTINGS_ERROR_RANGE, error,
				 "%u entries; write %u to %u", items->count,
				 list->min_items, list->max_items);
	items->list = value;
	json_path_add_key(place->path, list->key);
	items->list_path_bytes = place->path->len;
	return true;
}

bool json_list_iter_next(struct json_list_iter *items)
{
	GString *path = items->item.path;

	if (items->next >= items->count) {
		g_string_truncate(path, items->object_path_bytes);
		return false;
	}
	items->index = items->next++;
	items->item.value =
		json_object_array_get_idx(items->list, items->index);
	g_string_truncate(path, items->list_path_bytes);
	json_path_add_index(path, items->index);
	return true;
}

bool json_fail(const struct json_node *place, const char *key,
	       enum settings_error code, GError **error, const char *format,
	       ...)
{
	gsize outer = place->path->len;
	va_list args;
	char *reason;

	va_start(args, format);
	reason = g_strdup_vprintf(format, args);
	va_end(args);
	if (key)
		json_path_add_key(place->path, key);
	json_error_set(error, code, place->label, place->path->str, "%s",
		       reason);
	g_string_truncate(place->path, outer);
	g_free(reason);
	return false;
}

static bool read_field(const struct json_node *place,
		       const struct json_field *field, void *out,
		       GError **error)
{
	struct json_node inner = *place;
	gsize outer = place->path->len;

	if (!json_object_object_get_ex(place->value, field->key, &inner.value))
		return read_absent(place, field, out, error);
	json_path_add_key(place->path, field->key);
	if (!read_present(&inner, field, out, error))
		return false;
	g_string_truncate(place->path, outer);
	return true;
}

static bool read_present(const struct json_node *place,
			 const struct json_field *field, void *out,
			 GError **error)
{
	char *at = (char *)out + field->offset_bytes;
	struct field_range range = { .min = 1, .max = UINT16_MAX };
	uint64_t number = 0;
	uint32_t word = 0;
	uint16_t port;
	bool flag;

	switch (field->kind) {
	case FIELD_U32:
		if (!read_range(place, &field->range, &number, error))
			return false;
		word = (uint32_t)number;
		memcpy(at, &word, sizeof(word));
		return true;
	case FIELD_U64:
		if (!read_range(place, &field->range, &number, error))
			return false;
		memcpy(at, &number, sizeof(number));
		return true;
	case FIELD_PERMILLE:
		if (!read_permille(place, &field->range, &word, error))
			return false;
		memcpy(at, &word, sizeof(word));
		return true;
	case FIELD_PORT:
		if (!read_range(place, &range, &number, error))
			return false;
		port = (uint16_t)number;
		memcpy(at, &port, sizeof(port));
		return true;
	case FIELD_BOOL:
		if (!expect(place, json_type_boolean, "true or false", error))
			return false;
		flag = json_object_get_boolean(place->value) != 0;
		memcpy(at, &flag, sizeof(flag));
		return true;
	case FIELD_CHOICE:
		if (!read_choice(place, &field->choices, &word, error))
			return false;
		memcpy(at, &word, sizeof(word));
		return true;
	case FIELD_OBJECT:
		return json_read_fields(place, field->table, out, error);
	case FIELD_NAME:
	case FIELD_IP:
	case FIELD_ADDR:
	case FIELD_PATH:
	case FIELD_TOKEN:
		return read_text(place, field, at, error);
	case FIELD_CUSTOM:
		return true;
	}
	return false;
}

static bool read_absent(const struct json_node *place,
			const struct json_field *field, void *out,
			GError **error)
{
	if (field->required)
		return json_fail(place, field->key, SETTINGS_ERROR_MISSING,
				 error, "field is missing; add it");
	set_default(field, out);
	return true;
}

/* The struct is zeroed before, so only numbers and choices have a default. */
static void set_default(const struct json_field *field, void *out)
{
	char *at = (char *)out + field->offset_bytes;
	uint32_t word;
	uint32_t i;

	switch (field->kind) {
	case FIELD_U32:
	case FIELD_PERMILLE:
		word = (uint32_t)field->range.absent;
		memcpy(at, &word, sizeof(word));
		break;
	case FIELD_U64:
		memcpy(at, &field->range.absent, sizeof(uint64_t));
		break;
	case FIELD_CHOICE:
		memcpy(at, &field->choices.absent, sizeof(uint32_t));
		break;
	case FIELD_OBJECT:
		for (i = 0; i < field->table.count; i++)
			set_default(&field->table.fields[i], out);
		break;
	case FIELD_PORT:
	case FIELD_BOOL:
	case FIELD_NAME:
	case FIELD_IP:
	case FIELD_ADDR:
	case FIELD_PATH:
	case FIELD_TOKEN:
	case FIELD_CUSTOM:
		break;
	}
}

static bool read_range(const struct json_node *place,
		       const struct field_range *range, uint64_t *number,
		       GError **error)
{
	int64_t value;

	if (!expect(place, json_type_int, "an integer", error))
		return false;
	value = json_object_get_int64(place->value);
	if (value < 0 || (uint64_t)value < range->min ||
	    (uint64_t)value > range->max)
		return json_fail(place, NULL, SETTINGS_ERROR_RANGE, error,
				 "%" G_GINT64_FORMAT
				 " is out of range; write %" G_GUINT64_FORMAT
				 " to %" G_GUINT64_FORMAT,
				 value, range->min, range->max);
	*number = (uint64_t)value;
	return true;
}

static bool read_permille(const struct json_node *place,
			  const struct field_range *range, uint32_t *permille,
			  GError **error)
{
	double value;

	if (!json_object_is_type(place->value, json_type_int) &&
	    !expect(place, json_type_double, "a number", error))
		return false;
	/* So that 0.2, which has no exact form, is 200 thousandths. */
	value = json_object_get_double(place->value) * PERMILLE_ONE +
		PERMILLE_ROUNDING;
	if (!(value >= (double)range->min) ||
	    value >= (double)range->max + 2 * PERMILLE_ROUNDING)
		return json_fail(place, NULL, SETTINGS_ERROR_RANGE, error,
				 "out of range; write %g to %g",
				 (double)range->min / PERMILLE_ONE,
				 (double)range->max / PERMILLE_ONE);
	*permille = (uint32_t)value;
	return true;
}

static bool read_choice(const struct json_node *place,
			const struct field_choices *choices, uint32_t *value,
			GError **error)
{
	const char *text;
	GString *words;
	uint32_t i;

	if (!expect(place, json_type_string, "a word", error))
		return false;
	text = json_object_get_string(place->value);
	for (i = 0; i < choices->count; i++) {
		if (strcmp(text, choices->list[i].word) != 0)
			continue;
		*value = choices->list[i].value;
		return true;
	}
	words = g_string_new(NULL);
	for (i = 0; i < choices->count; i++)
		g_string_append_printf(words, "%s%s", i > 0 ? ", " : "",
				       choices->list[i].word);
	fail_text(place, text, error, "is unknown; write one of %s",
		  words->str);
	g_string_free(words, TRUE);
	return false;
}

static bool read_text(const struct json_node *place,
		      const struct json_field *field, char *at, GError **error)
{
	const char *text;

	if (!expect(place, json_type_string, "a string", error))
		return false;
	text = json_object_get_string(place->value);
	switch (field->kind) {
	case FIELD_NAME:
		return read_name(place, text, (struct name *)at, error);
	case FIELD_IP:
		return read_ip(place, text, (uint32_t *)at, error);
	case FIELD_ADDR:
		return read_addr(place, text, (struct net_addr *)at, error);
	case FIELD_PATH:
		return read_path(place, text, at, error);
	case FIELD_TOKEN:
		return read_token(place, text, at, error);
	case FIELD_U32:
	case FIELD_U64:
	case FIELD_PERMILLE:
	case FIELD_PORT:
	case FIELD_BOOL:
	case FIELD_CHOICE:
	case FIELD_OBJECT:
	case FIELD_CUSTOM:
		break;
	}
	return false;
}

static bool read_name(const struct json_node *place, const char *text,
		      struct name *name, GError **error)
{
	if (name_set(name, text))
		return true;
	return fail_text(place, text, error,
			 "is no name; write 1 to %d letters, digits, '-', '_' "
			 "and '.'",
			 NAME_BYTES_MAX - 1);
}

static bool read_ip(const struct json_node *place, const char *text,
		    uint32_t *ip, GError **error)
{
	if (addr_ip_parse(text, ip) && one_machine(*ip))
		return true;
	return fail_text(place, text, error,
			 "is no IPv4 address of one machine; write it as "
			 "192.0.2.1");
}

static bool read_addr(const struct json_node *place, const char *text,
		      struct net_addr *addr, GError **error)
{
	if (addr_parse(text, addr) && one_machine(addr->ip))
		return true;
	return fail_text(place, text, error,
			 "is no IPv4 address of one machine with a port; write "
			 "it as 192.0.2.1:8080");
}

static bool read_path(const struct json_node *place, const char *text,
		      char *path, GError **error)
{
	size_t length = strlen(text);
	size_t i;

	if (text[0] != '/' || length >= PATH_BYTES_MAX)
		return fail_text(place, text, error,
				 "is no path; begin with / and stay below %d "
				 "bytes",
				 PATH_BYTES_MAX);
	for (i = 0; i < length; i++) {
		if (!path_char(text[i]))
			return fail_text(
				place, text, error,
				"has byte %zu, which cannot stand in a path; "
				"leave out query and fragment and "
				"write it percent-encoded",
				i);
	}
	memcpy(path, text, length + 1);
	return true;
}

static bool read_token(const struct json_node *place, const char *text,
		       char *token, GError **error)
{
	size_t length = strlen(text);
	size_t i;

	if (length == 0 || length >= NAME_BYTES_MAX)
		return fail_text(place, text, error,
				 "has %zu bytes; write 1 to %d", length,
				 NAME_BYTES_MAX - 1);
	for (i = 0; i < length; i++) {
		if (!g_ascii_isalnum(text[i]) &&
		    !strchr("!#$%&'*+-.^_`|~", text[i]))
			return fail_text(
				place, text, error,
				"has byte %zu, which cannot stand in a header token; use letters, digits and '-'",
				i);
	}
	memcpy(token, text, length + 1);
	return true;
}

/* An error that shows the text in quotes before its reason. */
static bool fail_text(const struct json_node *place, const char *text,
		      GError **error, const char *format, ...)
{
	char *quoted = quote(text);
	va_list args;
	char *reason;

	va_start(args, format);
	reason = g_strdup_vprintf(format, args);
	va_end(args);
	json_fail(place, NULL, SETTINGS_ERROR_RANGE, error, "%s %s", quoted,
		  reason);
	g_free(reason);
	g_free(quoted);
	return false;
}

/* Escaped, so that it stays on one line, and cut. */
static char *quote(const char *text)
{
	char *escaped = g_strescape(text, NULL);
	char *quoted;

	if (strlen(escaped) > SHOWN_BYTES_MAX)
		quoted = g_strdup_printf("\"%.*s...\"", SHOWN_BYTES_MAX,
					 escaped);
	else
		quoted = g_strdup_printf("\"%s\"", escaped);
	g_free(escaped);
	return quoted;
}

static bool path_char(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("-._~!$&'()*+,;=:@%/", c));
}

static bool one_machine(uint32_t ip)
{
	return ip > IP_THIS_NETWORK_LAST && ip < IP_CLASS_D;
}

static bool expect(const struct json_node *place, enum json_type type,
		   const char *what, GError **error)
{
	if (json_object_is_type(place->value, type))
		return true;
	return json_fail(place, NULL, SETTINGS_ERROR_TYPE, error,
			 "%s of the wrong kind; write %s",
			 json_type_to_name(json_object_get_type(place->value)),
			 what);
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

static struct json_object *member(const struct json_node *place,
				  const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(place->value, key, &value);
	return value;
}
