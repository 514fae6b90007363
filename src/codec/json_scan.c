#include "codec/json_scan.h"

#include <string.h>

#include <json-c/json.h>

#include "codec/json_error.h"

#define KEY_BYTES_MAX 256

/**
 * struct scan - state of a syntax check
 * @label: file name or document key, for error messages
 * @text: JSON text, not owned
 * @length_bytes: length of @text
 * @pos: offset of the next byte in @text
 * @depth: number of objects and lists that are open
 * @path: JSON path of the value at @pos
 * @error: error to set on failure, or NULL
 */
struct scan {
	const char *label;
	const char *text;
	size_t length_bytes;
	size_t pos;
	uint32_t depth;
	GString *path;
	GError **error;
};

static bool scan_value(struct scan *scan);
static bool scan_object(struct scan *scan);
static bool scan_member(struct scan *scan, GHashTable *seen);
static bool scan_list(struct scan *scan);
static bool scan_string(struct scan *scan);
static bool scan_escape(struct scan *scan);
static size_t scan_digits(struct scan *scan);
static bool scan_number(struct scan *scan);
static bool scan_literal(struct scan *scan);
static char *read_key(struct scan *scan, size_t from);
static bool enter_nested(struct scan *scan);
static int peek(const struct scan *scan);
static void skip_space(struct scan *scan);
static bool fail_syntax(struct scan *scan, const char *reason);
static bool fail_syntax_at(const char *label, const char *text, size_t pos,
			   const char *reason, GError **error);
static size_t string_end(const char *text, size_t text_bytes, size_t from);
static size_t comment_end(const char *text, size_t text_bytes, size_t from);

bool json_blank_comments(const char *label, char *text, size_t text_bytes,
			 GError **error)
{
	size_t pos = 0;
	size_t end;

	while (pos < text_bytes) {
		if (text[pos] == '"') {
			pos = string_end(text, text_bytes, pos);
			continue;
		}
		if (text[pos] != '/') {
			pos++;
			continue;
		}
		end = comment_end(text, text_bytes, pos);
		if (end == 0)
			return fail_syntax_at(
				label, text, pos,
				"'/' does not start a complete "
				"comment; write // or /* with its */",
				error);
		for (; pos < end; pos++) {
			if (text[pos] != '\n')
				text[pos] = ' ';
		}
	}
	return true;
}

bool json_scan(const char *label, const char *text, size_t text_bytes,
	       GError **error)
{
	struct scan scan = {
		.label = label,
		.text = text,
		.length_bytes = text_bytes,
		.path = g_string_new(NULL),
		.error = error,
	};
	bool ok;

	skip_space(&scan);
	if (peek(&scan) != '{') {
		ok = fail_syntax(&scan, "not an object; begin with {");
	} else {
		ok = scan_object(&scan);
		skip_space(&scan);
		if (ok && scan.pos < scan.length_bytes)
			ok = fail_syntax(&scan,
					 "text after the document; remove it");
	}
	g_string_free(scan.path, TRUE);
	return ok;
}

static bool scan_value(struct scan *scan)
{
	skip_space(scan);
	switch (peek(scan)) {
	case '{':
		return scan_object(scan);
	case '[':
		return scan_list(scan);
	case '"':
		return scan_string(scan);
	case '-':
	case '0' ... '9':
		return scan_number(scan);
	default:
		return scan_literal(scan);
	}
}

static bool scan_object(struct scan *scan)
{
	GHashTable *seen;
	bool ok;

	if (!enter_nested(scan))
		return false;
	skip_space(scan);
	if (peek(scan) == '}') {
		scan->pos++;
		scan->depth--;
		return true;
	}
	seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	do {
		ok = scan_member(scan, seen);
		skip_space(scan);
	} while (ok && peek(scan) == ',' && scan->pos++ < scan->length_bytes);
	g_hash_table_unref(seen);
	if (!ok)
		return false;
	if (peek(scan) != '}')
		return fail_syntax(scan,
				   "missing , or } after a value; add it");
	scan->pos++;
	scan->depth--;
	return true;
}

/* Reads one "key": value; @seen has the keys of the object so far. */
static bool scan_member(struct scan *scan, GHashTable *seen)
{
	gsize path_bytes = scan->path->len;
	size_t from;
	char *key;

	skip_space(scan);
	from = scan->pos;
	if (peek(scan) != '"')
		return fail_syntax(scan,
				   "missing key; write it in double quotes, "
				   "without a comma after the last value");
	if (!scan_string(scan))
		return false;
	key = read_key(scan, from);
	if (!key)
		return fail_syntax(scan, "key is too long or malformed; use a "
					 "known field");
	json_path_add_key(scan->path, key);
	if (!g_hash_table_add(seen, key))
		return json_error_set(scan->error, SETTINGS_ERROR_DUPLICATE,
				      scan->label, scan->path->str,
				      "duplicate key; keep one");
	skip_space(scan);
	if (peek(scan) != ':')
		return fail_syntax(scan, "missing : after a key; add it");
	scan->pos++;
	if (!scan_value(scan))
		return false;
	g_string_truncate(scan->path, path_bytes);
	return true;
}

static bool scan_list(struct scan *scan)
{
	gsize path_bytes = scan->path->len;
	uint32_t index = 0;

	if (!enter_nested(scan))
		return false;
	skip_space(scan);
	if (peek(scan) == ']') {
		scan->pos++;
		scan->depth--;
		return true;
	}
	do {
		json_path_add_index(scan->path, index++);
		if (!scan_value(scan))
			return false;
		g_string_truncate(scan->path, path_bytes);
		skip_space(scan);
	} while (peek(scan) == ',' && scan->pos++ < scan->length_bytes);
	if (peek(scan) != ']')
		return fail_syntax(scan,
				   "missing , or ] after a value; add it");
	scan->pos++;
	scan->depth--;
	return true;
}

static bool scan_string(struct scan *scan)
{
	int c;

	scan->pos++;
	for (;;) {
		c = peek(scan);
		if (c < ' ')
			return fail_syntax(
				scan, "unterminated string or control "
				      "character in a string; end it with a "
				      "double quote");
		scan->pos++;
		if (c == '"')
			return true;
		if (c == '\\' && !scan_escape(scan))
			return false;
	}
}

static bool scan_escape(struct scan *scan)
{
	int c = peek(scan);
	uint32_t i;

	if (c <= 0 || !strchr("\"\\/bfnrtu", c))
		return fail_syntax(scan,
				   "unknown escape; use one that JSON defines");
	scan->pos++;
	if (c != 'u')
		return true;
	if (scan->length_bytes - scan->pos >= 4 &&
	    memcmp(scan->text + scan->pos, "0000", 4) == 0)
		return fail_syntax(scan, "NUL in a string; remove it");
	for (i = 0; i < 4; i++, scan->pos++) {
		if (!g_ascii_isxdigit(peek(scan)))
			return fail_syntax(scan, "\\u without four hexadecimal "
						 "digits; add them");
	}
	return true;
}

static size_t scan_digits(struct scan *scan)
{
	size_t from = scan->pos;

	while (g_ascii_isdigit(peek(scan)))
		scan->pos++;
	return scan->pos - from;
}

static bool scan_number(struct scan *scan)
{
	size_t digits;
	bool zero;

	if (peek(scan) == '-')
		scan->pos++;
	zero = peek(scan) == '0';
	digits = scan_digits(scan);
	if (digits == 0 || (zero && digits > 1))
		return fail_syntax(scan,
				   "malformed number; write plain digits");
	if (peek(scan) == '.') {
		scan->pos++;
		if (scan_digits(scan) == 0)
			return fail_syntax(
				scan, "no digits after the decimal point; add "
				      "them");
	}
	if (peek(scan) != 'e' && peek(scan) != 'E')
		return true;
	scan->pos++;
	if (peek(scan) == '-' || peek(scan) == '+')
		scan->pos++;
	if (scan_digits(scan) == 0)
		return fail_syntax(scan, "no digits after the exponent; add "
					 "them");
	return true;
}

static bool scan_literal(struct scan *scan)
{
	static const char *const literals[] = { "true", "false", "null" };
	size_t left_bytes = scan->length_bytes - scan->pos;
	size_t literal_bytes;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(literals); i++) {
		literal_bytes = strlen(literals[i]);
		if (left_bytes < literal_bytes ||
		    memcmp(scan->text + scan->pos, literals[i],
			   literal_bytes) != 0)
			continue;
		scan->pos += literal_bytes;
		return true;
	}
	return fail_syntax(scan, "not a value; write a string, a number, true, "
				 "false, a list or an object");
}

/*
 * Returns an owned copy of the key between @from and the current position with
 * its escapes resolved, or NULL when it is too long or malformed.
 */
static char *read_key(struct scan *scan, size_t from)
{
	size_t key_bytes = scan->pos - from;
	struct json_tokener *tokener;
	struct json_object *value;
	char *key = NULL;

	if (key_bytes > KEY_BYTES_MAX)
		return NULL;
	/*
	 * A key without escapes is copied: json-c takes ten times as long, and
	 * a document has thousands of keys.
	 */
	if (!memchr(scan->text + from, '\\', key_bytes))
		return g_strndup(scan->text + from + 1, key_bytes - 2);
	tokener = json_tokener_new();
	if (!tokener)
		return NULL;
	value = json_tokener_parse_ex(tokener, scan->text + from,
				      (int)key_bytes);
	if (json_object_is_type(value, json_type_string))
		key = g_strdup(json_object_get_string(value));
	json_object_put(value);
	json_tokener_free(tokener);
	return key;
}

static bool enter_nested(struct scan *scan)
{
	if (scan->depth >= JSON_DEPTH_MAX)
		return fail_syntax(scan, "nested too deeply; use fewer levels");
	scan->depth++;
	scan->pos++;
	return true;
}

/* Returns the next byte, or -1 at the end. */
static int peek(const struct scan *scan)
{
	if (scan->pos >= scan->length_bytes)
		return -1;
	return (unsigned char)scan->text[scan->pos];
}

static void skip_space(struct scan *scan)
{
	int c = peek(scan);

	while (c == ' ' || c == '\t' || c == '\r' || c == '\n') {
		scan->pos++;
		c = peek(scan);
	}
}

static bool fail_syntax(struct scan *scan, const char *reason)
{
	return fail_syntax_at(scan->label, scan->text, scan->pos, reason,
			      scan->error);
}

static bool fail_syntax_at(const char *label, const char *text, size_t pos,
			   const char *reason, GError **error)
{
	uint32_t line = 1;
	uint32_t column = 1;
	char position[64];
	size_t i;

	for (i = 0; i < pos; i++) {
		column++;
		if (text[i] == '\n') {
			line++;
			column = 1;
		}
	}
	g_snprintf(position, sizeof(position), "line %u, column %u", line,
		   column);
	return json_error_set(error, SETTINGS_ERROR_SYNTAX, label, position,
			      "%s", reason);
}

/* Returns the offset after the string that begins at @from. */
static size_t string_end(const char *text, size_t text_bytes, size_t from)
{
	size_t pos = from + 1;

	while (pos < text_bytes && text[pos] != '"')
		pos += text[pos] == '\\' ? 2 : 1;
	return MIN(pos + 1, text_bytes);
}

/*
 * Returns the offset after the comment that begins at @from, 0 when there is no
 * complete comment.
 */
static size_t comment_end(const char *text, size_t text_bytes, size_t from)
{
	size_t pos = from + 2;

	if (pos > text_bytes)
		return 0;
	if (text[from + 1] == '/') {
		while (pos < text_bytes && text[pos] != '\n')
			pos++;
		return pos;
	}
	if (text[from + 1] != '*')
		return 0;
	for (; pos + 1 < text_bytes; pos++) {
		if (text[pos] == '*' && text[pos + 1] == '/')
			return pos + 2;
	}
	return 0;
}
