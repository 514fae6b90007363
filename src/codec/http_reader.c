#include "codec/http_reader.h"

#include <http_parser.h>
#include <string.h>

/* Requests with more header fields than this are refused. */
#define FIELDS_MAX 64

/**
 * struct field_offsets - position of a header field in the reader's text
 * @name_offset: offset of the name
 * @value_offset: offset of the value
 */
struct field_offsets {
	uint32_t name_offset;
	uint32_t value_offset;
};

/**
 * struct http_reader - incremental parser of one caller's requests
 * @parser: http-parser's state
 * @body_max_bytes: largest request body accepted
 * @target: request target; cut before the query once the head is complete
 * @query: query within @target, NULL if there is none
 * @text: names and values of the header fields, each terminated by NUL
 * @offsets: positions of the header fields in @text
 * @fields: header fields as pointers into @text, set by http_reader_head()
 * @field_count: used entries of @offsets
 * @in_name: a field name is being read
 * @head_complete: the head is complete, fields that follow are trailers
 * @message_complete: the message is complete
 * @cause: cause of the refusal if the request is rejected
 * @version: HTTP version, such as "1.1"
 * @body: body bytes received so far, owned; NULL if there are none
 */
struct http_reader {
	http_parser parser;
	uint64_t body_max_bytes;
	GString *target;
	char *query;
	GString *text;
	struct field_offsets offsets[FIELDS_MAX];
	struct http_field fields[FIELDS_MAX];
	uint32_t field_count;
	bool in_name;
	bool head_complete;
	bool message_complete;
	enum refusal_cause cause;
	char version[8];
	GByteArray *body;
};

static int on_target(http_parser *parser, const char *at, size_t length);
static int on_name(http_parser *parser, const char *at, size_t length);
static int on_value(http_parser *parser, const char *at, size_t length);
static int on_headers_complete(http_parser *parser);
static int on_body(http_parser *parser, const char *at, size_t length);
static int on_message_complete(http_parser *parser);
static void terminate_value(struct http_reader *reader);

static const http_parser_settings callbacks = {
	.on_url = on_target,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
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
	reader->head_complete = false;
	reader->message_complete = false;
	reader->cause = REFUSAL_BAD_REQUEST;
}

enum http_reader_step http_reader_feed(struct http_reader *reader,
				       const char *bytes, size_t length,
				       size_t *used)
{
	bool had_head = reader->head_complete;
	enum http_errno error;

	http_parser_pause(&reader->parser, 0);
	*used = http_parser_execute(&reader->parser, &callbacks, bytes, length);
	error = HTTP_PARSER_ERRNO(&reader->parser);
	if (error == HPE_HEADER_OVERFLOW)
		reader->cause = REFUSAL_TOO_LARGE;
	if (error != HPE_OK && error != HPE_PAUSED)
		return HTTP_READER_BAD;
	if (reader->head_complete && !had_head)
		return HTTP_READER_HEAD;
	return reader->message_complete ? HTTP_READER_DONE : HTTP_READER_MORE;
}

void http_reader_head(struct http_reader *reader,
		      struct http_request_head *head)
{
	uint32_t i;

	for (i = 0; i < reader->field_count; i++) {
		reader->fields[i].name =
			reader->text->str + reader->offsets[i].name_offset;
		reader->fields[i].value =
			reader->text->str + reader->offsets[i].value_offset;
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

	if (reader->head_complete)
		return 0;
	if (!reader->in_name) {
		terminate_value(reader);
		if (reader->field_count == FIELDS_MAX) {
			reader->cause = REFUSAL_TOO_LARGE;
			return -1;
		}
		reader->offsets[reader->field_count].name_offset =
			(uint32_t)reader->text->len;
		reader->in_name = true;
	}
	g_string_append_len(reader->text, at, (gssize)length);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t length)
{
	struct http_reader *reader = parser->data;

	if (reader->head_complete)
		return 0;
	if (reader->in_name) {
		g_string_append_c(reader->text, '\0');
		reader->offsets[reader->field_count++].value_offset =
			(uint32_t)reader->text->len;
		reader->in_name = false;
	}
	g_string_append_len(reader->text, at, (gssize)length);
	return 0;
}

/* Terminates the last field's value, without trailing white space. */
static void terminate_value(struct http_reader *reader)
{
	GString *text = reader->text;

	if (reader->field_count == 0)
		return;
	while (text->len >
		       reader->offsets[reader->field_count - 1].value_offset &&
	       strchr(" \t", text->str[text->len - 1]))
		g_string_truncate(text, text->len - 1);
	g_string_append_c(text, '\0');
}

static int on_headers_complete(http_parser *parser)
{
	struct http_reader *reader = parser->data;

	terminate_value(reader);
	reader->head_complete = true;
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

static int on_message_complete(http_parser *parser)
{
	struct http_reader *reader = parser->data;

	reader->message_complete = true;
	http_parser_pause(parser, 1);
	return 0;
}
