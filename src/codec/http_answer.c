#include "codec/http_answer.h"

#include <curl/curl.h>
#include <http_parser.h>
#include <inttypes.h>

#include <string.h>
#include <strings.h>

#define STATUS_MIN 100
#define STATUS_SWITCHING 101
#define STATUS_FINAL_MIN 200
#define STATUS_MAX 599
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
/*
 * Limit of the delay in Retry-After; without it, a wrong value could keep a
 * backend server unused for good.
 */
#define RETRY_AFTER_MAX_US (3600 * US_PER_S)

/* Parameter of Keep-Alive: seconds for which the connection may be idle. */
#define TIMEOUT_PARAMETER "timeout"
/* Numbers in a load report, and the largest one that is believed. */
#define LOAD_NUMBERS 3
#define LOAD_REQUESTS_MAX DOC_CONNECTIONS_MAX

static bool has_marker(const struct header *headers, uint32_t count,
		       const struct marker_doc *marker);
static bool parse_load(const char *value, struct load_notice *out);
static bool ids_match(const struct answer_head *head, const char *name,
		      const char *sent_id);
static uint32_t count_fields(const struct answer_head *head, const char *name,
			     const char **value);
static bool parse_seconds(const char *value, uint64_t *delay_us);
static bool parse_date(const struct answer_head *head, const char *value,
		       uint64_t *delay_us);
static bool parse_status_line(struct http_answer_reader *reader,
			      const char *line);
static bool parse_field_line(struct http_answer_reader *reader, char *line);
static void keep_private_field(struct http_answer_reader *reader,
			       const struct http_field *field);
static bool record_framing_field(struct http_answer_reader *reader,
				 const struct http_field *field);
static bool record_content_length(struct http_answer_reader *reader,
				  const char *value);
static void append_value(char **list, const char *value);
static uint32_t parameter_idle_max_s(const char *parameter);
static bool finish_head(struct http_answer_reader *reader);
static enum http_framing body_framing(const struct http_answer_reader *reader);
static void remove_connection_fields(struct http_answer_reader *reader);
static void reset_head(struct http_answer_reader *reader);
static const char *reason_text(uint32_t status);
static void append_connection_fields(GString *text, uint32_t keep_alive_s);
static uint32_t cause_status(enum refusal_cause cause);
static const char *field_value(const struct header *headers, uint32_t count,
			       const char *name);

void http_answer_reader_init(struct http_answer_reader *reader,
			     enum request_method method,
			     const struct settings *settings)
{
	memset(reader, 0, sizeof(*reader));
	reader->method = method;
	reader->settings = settings;
	reset_head(reader);
}

void http_answer_reader_clear(struct http_answer_reader *reader)
{
	uint32_t i;

	for (i = 0; i < reader->private_field_count; i++) {
		g_free(reader->private_fields[i].name);
		g_free(reader->private_fields[i].value);
	}
	reader->private_field_count = 0;
	g_clear_pointer(&reader->head, answer_head_free);
	g_clear_pointer(&reader->connection, g_free);
	g_clear_pointer(&reader->keep_alive, g_free);
}

bool http_answer_read_line(struct http_answer_reader *reader, const char *line,
			   size_t line_bytes)
{
	char *text;
	bool valid;

	/* Trailers are ignored, but count towards head_max_bytes. */
	reader->head_bytes += line_bytes;
	if (reader->head_bytes > reader->settings->head_max_bytes)
		return false;
	if (reader->complete)
		return true;
	if (memchr(line, '\0', line_bytes))
		return false;
	if (line_bytes > 0 && line[line_bytes - 1] == '\n')
		line_bytes--;
	if (line_bytes > 0 && line[line_bytes - 1] == '\r')
		line_bytes--;
	text = g_strndup(line, line_bytes);
	if (!reader->status_read)
		valid = parse_status_line(reader, text);
	else if (text[0] == '\0')
		valid = finish_head(reader);
	else
		valid = parse_field_line(reader, text);
	g_free(text);
	return valid;
}

uint64_t http_answer_retry_after_us(const struct answer_head *head)
{
	const char *value = NULL;
	uint64_t delay_us;

	switch (count_fields(head, "Retry-After", &value)) {
	case 0:
		return 0;
	case 1:
		break;
	default:
		g_message("exchange: Retry-After ignored: more than one field");
		return 0;
	}
	if (!parse_seconds(value, &delay_us) &&
	    !parse_date(head, value, &delay_us)) {
		g_message("exchange: Retry-After ignored: neither seconds nor "
			  "a date later than the answer's Date");
		return 0;
	}
	return MIN(delay_us, RETRY_AFTER_MAX_US);
}

bool http_answer_has_marker(const struct http_answer_reader *reader,
			    const struct marker_doc *marker)
{
	if (marker->header[0] == '\0')
		return false;
	return has_marker(reader->head->headers, reader->head->header_count,
			  marker) ||
	       has_marker(reader->private_fields, reader->private_field_count,
			  marker);
}

bool http_answer_load(const struct http_answer_reader *reader,
		      struct load_notice *out)
{
	const char *name = reader->settings->headers.load;
	const char *value = NULL;
	uint32_t i;

	if (name[0] == '\0')
		return false;
	for (i = 0; i < reader->private_field_count; i++) {
		if (strcasecmp(reader->private_fields[i].name, name) != 0)
			continue;
		if (value)
			return false;
		value = reader->private_fields[i].value;
	}
	return value && parse_load(value, out);
}

bool http_answer_matches_request(const struct http_answer_reader *reader,
				 const struct request *request)
{
	const struct header_names *names = &reader->settings->headers;
	const struct answer_head *head = reader->head;
	bool success = head->status >= 200 && head->status < 300;
	const char *sent_id;

	if (names->request_id[0] != '\0') {
		sent_id = request_field(request, names->request_id);
		if (sent_id && !ids_match(head, names->request_id, sent_id))
			return false;
	}
	if (names->signature[0] == '\0' || !success)
		return true;
	return !reader->content_encoded &&
	       field_value(head->headers, head->header_count,
			   names->signature) != NULL;
}

bool http_answer_echoes_id(const struct http_answer_reader *reader,
			   const struct request *request)
{
	const char *name = reader->settings->headers.request_id;
	const char *echoed_id = NULL;
	const char *sent_id;

	if (name[0] == '\0')
		return false;
	sent_id = request_field(request, name);
	return sent_id && sent_id[0] != '\0' &&
	       count_fields(reader->head, name, &echoed_id) == 1 &&
	       strcmp(sent_id, echoed_id) == 0;
}

uint32_t http_answer_idle_max_s(const struct http_answer_reader *reader)
{
	uint32_t idle_max_s = UINT32_MAX;
	char **parameters;
	size_t i;

	if (reader->http_1_0 ||
	    (reader->connection && http_list_has(reader->connection, "close")))
		return 0;
	if (!reader->keep_alive)
		return UINT32_MAX;
	parameters = g_strsplit_set(reader->keep_alive, ",;", -1);
	for (i = 0; parameters[i]; i++)
		idle_max_s =
			MIN(idle_max_s,
			    parameter_idle_max_s(g_strstrip(parameters[i])));
	g_strfreev(parameters);
	return idle_max_s;
}

/* Return: seconds of a timeout parameter, UINT32_MAX for any other one. */
static uint32_t parameter_idle_max_s(const char *parameter)
{
	const size_t name_bytes = strlen(TIMEOUT_PARAMETER);
	uint64_t seconds;

	if (strncasecmp(parameter, TIMEOUT_PARAMETER, name_bytes) != 0)
		return UINT32_MAX;
	if (parameter[name_bytes] != '=' ||
	    !http_number_parse(parameter + name_bytes + 1, UINT32_MAX,
			       &seconds))
		return 0;
	return (uint32_t)seconds;
}

static bool has_marker(const struct header *headers, uint32_t count,
		       const struct marker_doc *marker)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (strcasecmp(headers[i].name, marker->header) == 0 &&
		    strcasecmp(headers[i].value, marker->value) == 0)
			return true;
	}
	return false;
}

/* Parses "running,waiting,slots"; changes @out only on success. */
static bool parse_load(const char *value, struct load_notice *out)
{
	char **parts = g_strsplit(value, ",", LOAD_NUMBERS + 1);
	uint64_t numbers[LOAD_NUMBERS] = { 0 };
	bool valid = g_strv_length(parts) == LOAD_NUMBERS;
	uint32_t i;

	for (i = 0; valid && i < LOAD_NUMBERS; i++)
		valid = http_number_parse(parts[i], LOAD_REQUESTS_MAX,
					  &numbers[i]);
	g_strfreev(parts);
	if (!valid || numbers[2] == 0)
		return false;
	out->given = true;
	out->running_requests = (uint32_t)numbers[0];
	out->waiting_requests = (uint32_t)numbers[1];
	out->slots = (uint32_t)numbers[2];
	return true;
}

/* Return: whether the answer echoes no other id, and a success echoes one. */
static bool ids_match(const struct answer_head *head, const char *name,
		      const char *sent_id)
{
	bool success = head->status >= 200 && head->status < 300;
	bool echoed = false;
	uint32_t i;

	for (i = 0; i < head->header_count; i++) {
		if (strcasecmp(head->headers[i].name, name) != 0)
			continue;
		if (strcmp(head->headers[i].value, sent_id) != 0)
			return false;
		echoed = true;
	}
	return echoed || !success;
}

/* Return: number of fields called @name; @value gets the first one's value. */
static uint32_t count_fields(const struct answer_head *head, const char *name,
			     const char **value)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < head->header_count; i++) {
		if (strcasecmp(head->headers[i].name, name) != 0)
			continue;
		if (count++ == 0)
			*value = head->headers[i].value;
	}
	return count;
}

/* HTTP defines whole seconds; some servers append a fraction. */
static bool parse_seconds(const char *value, uint64_t *delay_us)
{
	size_t integer_chars = strspn(value, "0123456789");
	size_t fraction_chars = 0;

	if (integer_chars == 0)
		return false;
	if (value[integer_chars] == '.')
		fraction_chars =
			1 + strspn(value + integer_chars + 1, "0123456789");
	if (value[integer_chars + fraction_chars] != '\0' ||
	    fraction_chars == 1)
		return false;
	*delay_us = (uint64_t)(MIN(g_ascii_strtod(value, NULL),
				   (double)RETRY_AFTER_MAX_US / US_PER_S) *
			       US_PER_S);
	return true;
}

/*
 * The server's clock may be wrong, so the delay is counted from the answer's
 * own Date.
 */
static bool parse_date(const struct answer_head *head, const char *value,
		       uint64_t *delay_us)
{
	const char *date = NULL;
	time_t date_s;
	time_t retry_s;

	/* HTTP dates begin with a weekday; libcurl accepts other forms too. */
	if (!g_ascii_isalpha(value[0]) ||
	    count_fields(head, "Date", &date) != 1)
		return false;
	date_s = curl_getdate(date, NULL);
	retry_s = curl_getdate(value, NULL);
	if (date_s < 0 || retry_s <= date_s)
		return false;
	*delay_us = (uint64_t)(retry_s - date_s) * US_PER_S;
	return true;
}

GString *http_answer_head_text(const struct answer_head *head,
			       enum http_framing framing, uint64_t body_bytes,
			       uint32_t keep_alive_s)
{
	GString *text = g_string_new(NULL);
	uint32_t i;

	g_string_append_printf(text, "HTTP/1.1 %u %s\r\n", head->status,
			       reason_text(head->status));
	for (i = 0; i < head->header_count; i++)
		g_string_append_printf(text, "%s: %s\r\n",
				       head->headers[i].name,
				       head->headers[i].value);
	g_string_append_printf(text, HTTP_OUTCOME_FIELD ": %s\r\n",
			       outcome_text(OUTCOME_COMPLETE));
	switch (framing) {
	case FRAMING_LENGTH:
		g_string_append_printf(text, "Content-Length: %" PRIu64 "\r\n",
				       body_bytes);
		break;
	case FRAMING_CHUNKED:
		g_string_append(text, "Transfer-Encoding: chunked\r\n");
		break;
	case FRAMING_NONE:
	case FRAMING_CLOSE:
		break;
	}
	append_connection_fields(text, keep_alive_s);
	return text;
}

/* Appends the connection fields and the empty line that ends the head. */
static void append_connection_fields(GString *text, uint32_t keep_alive_s)
{
	if (keep_alive_s == 0)
		g_string_append(text, "Connection: close\r\n\r\n");
	else
		g_string_append_printf(text,
				       "Connection: keep-alive\r\n"
				       "Keep-Alive: timeout=%" PRIu32
				       "\r\n\r\n",
				       keep_alive_s);
}

GString *http_json_text(uint32_t status, const char *json, enum outcome outcome,
			const char *retry_after, bool with_body,
			uint32_t keep_alive_s)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
			       "HTTP/1.1 %u %s\r\n"
			       "Content-Type: application/json\r\n"
			       "Cache-Control: no-store\r\n"
			       "Content-Length: %zu\r\n" HTTP_OUTCOME_FIELD
			       ": %s\r\n",
			       status, reason_text(status), strlen(json),
			       outcome_text(outcome));
	if (retry_after)
		g_string_append_printf(text, "Retry-After: %s\r\n",
				       retry_after);
	append_connection_fields(text, keep_alive_s);
	if (with_body)
		g_string_append(text, json);
	return text;
}

static uint32_t cause_status(enum refusal_cause cause)
{
	switch (cause) {
	case REFUSAL_BAD_REQUEST:
		return 400;
	case REFUSAL_TOO_LARGE:
		return 413;
	case REFUSAL_NO_SERVICE:
		return 404;
	case REFUSAL_UNKNOWN_KEY:
		return 401;
	case REFUSAL_OVER_QUOTA:
		return 429;
	case REFUSAL_DEADLINE:
	case REFUSAL_BACKEND_TIMEOUT:
		return 504;
	case REFUSAL_CONNECT:
	case REFUSAL_BACKEND_BROKEN:
	case REFUSAL_BAD_ANSWER:
		return 502;
	case REFUSAL_NO_BACKEND:
	case REFUSAL_NOT_READY:
	case REFUSAL_UNUSABLE_ROUTE:
	case REFUSAL_LEAVING:
	case REFUSAL_QUEUE_FULL:
	case REFUSAL_CALLER_SHARE:
	case REFUSAL_LONG_SHARE:
	case REFUSAL_OVERLOAD:
	case REFUSAL_SHED:
	case REFUSAL_CALLER_GONE:
	case REFUSAL_COUNT:
		break;
	}
	return 503;
}

uint32_t http_refusal_status(const struct settings *settings,
			     const struct refusal *refusal)
{
	uint32_t status = cause_status(refusal->cause);

	if (settings->not_run_is_503 && status >= 500 &&
	    refusal->outcome == OUTCOME_NOT_RUN)
		return 503;
	/*
	 * With not_run_is_503, status 503 states that the request was not
	 * executed.
	 */
	if (settings->not_run_is_503 && status == 503)
		return 502;
	return status;
}

const char *http_retry_after(const struct settings *settings,
			     const struct refusal *refusal,
			     uint64_t now_unix_ms,
			     char out[HTTP_RETRY_TEXT_BYTES])
{
	uint64_t left_ms = 0;

	if (refusal->retry_at_unix_ms == 0)
		return NULL;
	if (refusal->retry_at_unix_ms > now_unix_ms)
		left_ms = refusal->retry_at_unix_ms - now_unix_ms;
	if (settings->not_run_is_503)
		g_snprintf(out, HTTP_RETRY_TEXT_BYTES, "%" PRIu64 ".%03" PRIu64,
			   left_ms / MS_PER_S, left_ms % MS_PER_S);
	else
		g_snprintf(out, HTTP_RETRY_TEXT_BYTES, "%" PRIu64,
			   MAX((left_ms + MS_PER_S - 1) / MS_PER_S,
			       UINT64_C(1)));
	return out;
}

static bool parse_status_line(struct http_answer_reader *reader,
			      const char *line)
{
	char digits[4];
	uint64_t status;

	if (strncmp(line, "HTTP/1.1 ", 9) != 0 &&
	    strncmp(line, "HTTP/1.0 ", 9) != 0)
		return false;
	if (strlen(line) < 12 || (line[12] != ' ' && line[12] != '\0'))
		return false;
	memcpy(digits, line + 9, 3);
	digits[3] = '\0';
	if (!http_number_parse(digits, STATUS_MAX, &status) ||
	    status < STATUS_MIN || status == STATUS_SWITCHING)
		return false;
	reader->head->status = (uint32_t)status;
	reader->http_1_0 = line[7] == '0';
	reader->status_read = true;
	return true;
}

static bool parse_field_line(struct http_answer_reader *reader, char *line)
{
	struct http_field field = { .name = line };
	struct header *copy;
	char *colon = strchr(line, ':');

	if (!colon)
		return false;
	*colon = '\0';
	field.value = g_strstrip(colon + 1);
	/* Also rejects a folded line and a space before the colon. */
	if (!http_token_valid(field.name) || !http_value_valid(field.value))
		return false;
	if (!record_framing_field(reader, &field))
		return false;
	if (http_field_reserved(&reader->settings->headers, field.name)) {
		keep_private_field(reader, &field);
		return true;
	}
	if (reader->head->header_count == REQUEST_HEADERS_MAX)
		return false;
	copy = &reader->head->headers[reader->head->header_count++];
	copy->name = g_strdup(field.name);
	copy->value = g_strdup(field.value);
	return true;
}

/*
 * A notice to this proxy, such as the shed marker, is read and not forwarded;
 * it must not be dropped before it is read.
 */
static void keep_private_field(struct http_answer_reader *reader,
			       const struct http_field *field)
{
	struct header *copy;

	if (reader->private_field_count == HTTP_PRIVATE_FIELDS_MAX)
		return;
	copy = &reader->private_fields[reader->private_field_count++];
	copy->name = g_strdup(field->name);
	copy->value = g_strdup(field->value);
}

/* Records a field that body framing or removal of fields depends on. */
static bool record_framing_field(struct http_answer_reader *reader,
				 const struct http_field *field)
{
	if (strcasecmp(field->name, "Content-Length") == 0)
		return record_content_length(reader, field->value);
	if (strcasecmp(field->name, "Transfer-Encoding") == 0) {
		if (reader->chunked || strcasecmp(field->value, "chunked") != 0)
			return false;
		reader->chunked = true;
	}
	if (strcasecmp(field->name, "Content-Encoding") == 0)
		reader->content_encoded = true;
	if (strcasecmp(field->name, "Connection") == 0)
		append_value(&reader->connection, field->value);
	if (strcasecmp(field->name, "Keep-Alive") == 0)
		append_value(&reader->keep_alive, field->value);
	return true;
}

static bool record_content_length(struct http_answer_reader *reader,
				  const char *value)
{
	if (reader->has_length)
		return false;
	reader->has_length = true;
	return http_number_parse(value, INT64_MAX, &reader->head->body_bytes);
}

static void append_value(char **list, const char *value)
{
	char *previous = *list;

	*list = previous ? g_strconcat(previous, ",", value, NULL) :
			   g_strdup(value);
	g_free(previous);
}

static bool finish_head(struct http_answer_reader *reader)
{
	if (reader->head->status < STATUS_FINAL_MIN) {
		reset_head(reader);
		return true;
	}
	if (reader->chunked && reader->has_length)
		return false;
	reader->framing = body_framing(reader);
	remove_connection_fields(reader);
	reader->complete = true;
	return reader->framing != FRAMING_CLOSE ||
	       reader->settings->close_ends_answer;
}

static enum http_framing body_framing(const struct http_answer_reader *reader)
{
	uint32_t status = reader->head->status;

	if (reader->method == METHOD_HEAD || status == STATUS_NO_CONTENT ||
	    status == STATUS_NOT_MODIFIED)
		return FRAMING_NONE;
	if (reader->chunked)
		return FRAMING_CHUNKED;
	return reader->has_length ? FRAMING_LENGTH : FRAMING_CLOSE;
}

/* Removes the fields that the Connection field names as hop-by-hop. */
static void remove_connection_fields(struct http_answer_reader *reader)
{
	struct answer_head *head = reader->head;
	uint32_t kept = 0;
	uint32_t i;

	if (!reader->connection)
		return;
	for (i = 0; i < head->header_count; i++) {
		if (http_list_has(reader->connection, head->headers[i].name)) {
			g_free(head->headers[i].name);
			g_free(head->headers[i].value);
			continue;
		}
		head->headers[kept++] = head->headers[i];
	}
	head->header_count = kept;
}

static void reset_head(struct http_answer_reader *reader)
{
	http_answer_reader_clear(reader);
	reader->head = g_new0(struct answer_head, 1);
	reader->head->body_bytes = UINT64_MAX;
	reader->has_length = false;
	reader->chunked = false;
	reader->content_encoded = false;
	reader->status_read = false;
}

/* Return: value of the first field called @name, NULL if there is none. */
static const char *field_value(const struct header *headers, uint32_t count,
			       const char *name)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (strcasecmp(headers[i].name, name) == 0)
			return headers[i].value;
	}
	return NULL;
}

static const char *reason_text(uint32_t status)
{
	const char *text = http_status_str((enum http_status)status);

	return strcmp(text, "<unknown>") == 0 ? "" : text;
}
