#include "codec/http_reader.h"

#include <http_parser.h>
#include <string.h>

/* More header fields than this are refused. */
#define FIELDS_MAX 64

/**
 * struct field_place - where a header field stands in the reader's text
 * @name_at: offset of its name
 * @value_at: offset of its value
 */
struct field_place {
	uint32_t name_at;
	uint32_t value_at;
};

/**
 * struct http_reader - the reader
 * @parser: http-parser's state
 * @body_max_bytes: largest request body
 * @target: request target; ended at the query once the head is whole
 * @query: within @target, or NULL
 * @text: names and values, each ended by NUL
 * @places: used entries are @field_count
 * @fields: view of @text, made when the head is whole
 * @field_count: header fields
 * @in_name: a field's name is being read
 * @head_whole: fields that come now are trailers
 * @whole: the message is whole
 * @cause: why the request is refused
 * @version: such as "1.1"
 * @body: what came of the body
 */
struct http_reader {
	http_parser parser;
	uint64_t body_max_bytes;
	GString *target;
	char *query;
	GString *text;
	struct field_place places[FIELDS_MAX];
	struct http_field fields[FIELDS_MAX];
	uint32_t field_count;
	bool in_name;
	bool head_whole;
	bool whole;
	enum refusal_cause cause;
	char version[8];
	GByteArray *body;
};

static int on_target(http_parser *parser, const char *at, size_t length);
static int on_name(http_parser *parser, const char *at, size_t length);
static int on_value(http_parser *parser, const char *at, size_t length);
static int on_head(http_parser *parser);
static int on_body(http_parser *parser, const char *at, size_t length);
static int on_message(http_parser *parser);
static void end_value(struct http_reader *reader);

static const http_parser_settings callbacks = {
	.on_url = on_target,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_message,
};

void http_reader_set_head_max(uint32_t head_max_bytes)
{
	http_parser_set_max_header_size(head_max_bytes);
}

struct http_reader *http_reader_new(uint64_t body_max_bytes)
{
	struct http_reader *reader = g_new0(struct http_reader, 1);

	reader->body_max_bytes = body_max_bytes;
	reader->target = g_string_new(NULL);
	reader->text = g_string_new(NULL);
	http_reader_reset(reader);
	return reader;
}

void http_reader_free(struct http_reader *reader)
{
	if (!reader)
		return;
	g_string_free(reader->target, TRUE);
	g_string_free(reader->text, TRUE);
	g_clear_pointer(&reader->body, g_byte_array_unref);
	g_free(reader);
}

void http_reader_reset(struct http_reader *reader)
{
	http_parser_init(&reader->parser, HTTP_REQUEST);
	reader->parser.data = reader;
	g_string_truncate(reader->target, 0);
	g_string_truncate(reader->text, 0);
	g_clear_pointer(&reader->body, g_byte_array_unref);
	reader->query = NULL;
	reader->field_count = 0;
	reader->in_name = false;
	reader->head_whole = false;
	reader->whole = false;
	reader->cause = REFUSAL_BAD_REQUEST;
}

enum http_reader_step http_reader_feed(struct http_reader *reader,
				       const char *bytes, size_t length,
				       size_t *used)
{
	bool had_head = reader->head_whole;
	enum http_errno error;

	http_parser_pause(&reader->parser, 0);
	*used = http_parser_execute(&reader->parser, &callbacks, bytes, length);
	error = HTTP_PARSER_ERRNO(&reader->parser);
	if (error == HPE_HEADER_OVERFLOW)
		reader->cause = REFUSAL_TOO_LARGE;
	if (error != HPE_OK && error != HPE_PAUSED)
		return HTTP_READER_BAD;
	if (reader->head_whole && !had_head)
		return HTTP_READER_HEAD;
	return reader->whole ? HTTP_READER_DONE : HTTP_READER_MORE;
}

void http_reader_head(struct http_reader *reader,
		      struct http_request_head *head)
{
	uint32_t i;

	for (i = 0; i < reader->field_count; i++) {
		reader->fields[i].name =
			reader->text->str + reader->places[i].name_at;
		reader->fields[i].value =
			reader->text->str + reader->places[i].value_at;
	}
	memset(head, 0, sizeof(*head));
	head->method = http_method_str((enum http_method)reader->parser.method);
	head->path = reader->target->str;
	head->query = reader->query;
	head->version = reader->version;
	head->fields = reader->fields;
	head->field_count = reader->field_count;
}

GBytes *http_reader_take_body(struct http_reader *reader)
{
	if (!reader->body)
		return NULL;
	return g_byte_array_free_to_bytes(g_steal_pointer(&reader->body));
}

enum refusal_cause http_reader_cause(const struct http_reader *reader)
{
	return reader->cause;
}

static int on_target(http_parser *parser, const char *at, size_t length)
{
	struct http_reader *reader = parser->data;

	g_string_append_len(reader->target, at, (gssize)length);
	return 0;
}

static int on_name(http_parser *parser, const char *at, size_t length)
{
	struct http_reader *reader = parser->data;

	if (reader->head_whole)
		return 0;
	if (!reader->in_name) {
		end_value(reader);
		if (reader->field_count == FIELDS_MAX) {
			reader->cause = REFUSAL_TOO_LARGE;
			return -1;
		}
		reader->places[reader->field_count].name_at =
			(uint32_t)reader->text->len;
		reader->in_name = true;
	}
	g_string_append_len(reader->text, at, (gssize)length);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t length)
{
	struct http_reader *reader = parser->data;

	if (reader->head_whole)
		return 0;
	if (reader->in_name) {
		g_string_append_c(reader->text, '\0');
		reader->places[reader->field_count++].value_at =
			(uint32_t)reader->text->len;
		reader->in_name = false;
	}
	g_string_append_len(reader->text, at, (gssize)length);
	return 0;
}

/* Ends the last field's value, without white space behind it. */
static void end_value(struct http_reader *reader)
{
	GString *text = reader->text;

	if (reader->field_count == 0)
		return;
	while (text->len > reader->places[reader->field_count - 1].value_at &&
	       strchr(" \t", text->str[text->len - 1]))
		g_string_truncate(text, text->len - 1);
	g_string_append_c(text, '\0');
}

static int on_head(http_parser *parser)
{
	struct http_reader *reader = parser->data;

	end_value(reader);
	reader->head_whole = true;
	reader->query = strchr(reader->target->str, '?');
	if (reader->query)
		*reader->query++ = '\0';
	g_snprintf(reader->version, sizeof(reader->version), "%u.%u",
		   parser->http_major, parser->http_minor);
	http_parser_pause(parser, 1);
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t length)
{
	struct http_reader *reader = parser->data;

	if (!reader->body)
		reader->body = g_byte_array_new();
	if (reader->body->len + length > reader->body_max_bytes) {
		reader->cause = REFUSAL_TOO_LARGE;
		return -1;
	}
	g_byte_array_append(reader->body, (const guint8 *)at, (guint)length);
	return 0;
}

static int on_message(http_parser *parser)
{
	struct http_reader *reader = parser->data;

	reader->whole = true;
	http_parser_pause(parser, 1);
	return 0;
}
