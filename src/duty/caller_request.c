#include <string.h>

#include "codec/report_text.h"
#include "core/clock.h"
#include "duty/caller.h"

#define OWN_PATH_PREFIX "/.nutmegcrank/"
#define ENTRIES_PATH "/.nutmegcrank/entries"
/* Time limits for reading a request. */
#define HEAD_TIMEOUT_MS 3000
#define BODY_TIMEOUT_MS 3000
/*
 * The first part of an answer is awaited until ANSWER_MARGIN_MS after the
 * deadline of the request, and never longer than the sum of both times.
 */
#define ANSWER_MARGIN_MS 500
#define ANSWER_TIMEOUT_MS 600000
/* Time limit for the reply to a query for entries. */
#define ENTRIES_TIMEOUT_MS 500

static bool is_reading(const struct caller *caller);
static void handle_step(struct caller *caller, enum http_reader_step step);
static void handle_head(struct caller *caller);
static bool is_own_path(const struct http_request_head *head);
static void handle_request(struct caller *caller);
static void send_entries_query(struct caller *caller,
			       const struct http_request_head *head);
static void send_admit(struct caller *caller);

void caller_read_requests(struct caller *caller)
{
	GByteArray *unread = caller->unread;
	enum http_reader_step step;
	size_t used;

	while (unread->len > 0 && is_reading(caller)) {
		if (caller->state == CALLER_IDLE)
			caller_set_state(caller, CALLER_READING_HEAD,
					 clock_now_us() +
						 HEAD_TIMEOUT_MS * US_PER_MS);
		step = http_reader_feed(caller->reader,
					(const char *)unread->data, unread->len,
					&used);
		g_byte_array_remove_range(unread, 0,
					  (guint)MIN(used, unread->len));
		handle_step(caller, step);
	}
}

void caller_handle_reply(struct caller *caller)
{
	struct query_reply reply;
	GString *text;
	char *json;

	if (ring_pop(caller->reply_channel->ring, &reply, 0) != RING_OK)
		return;
	g_clear_pointer(&caller->reply_channel, reply_channel_unref);
	if (!reply.entries.known) {
		caller_refuse_unsent(caller, REFUSAL_NO_SERVICE);
		return;
	}
	json = entries_to_json(&caller->service, &reply.entries);
	text = http_json_text(200, json, OUTCOME_COMPLETE, NULL, true,
			      caller_keep_alive_s(caller));
	caller_finish(caller, text);
	g_string_free(text, TRUE);
	g_free(json);
}

static bool is_reading(const struct caller *caller)
{
	return caller->state == CALLER_IDLE ||
	       caller->state == CALLER_READING_HEAD ||
	       caller->state == CALLER_READING_BODY;
}

static void handle_step(struct caller *caller, enum http_reader_step step)
{
	switch (step) {
	case HTTP_READER_MORE:
		break;
	case HTTP_READER_HEAD:
		handle_head(caller);
		break;
	case HTTP_READER_DONE:
		handle_request(caller);
		break;
	case HTTP_READER_BAD:
		/* The start of the next request cannot be found any more. */
		caller->close = true;
		caller_refuse_unsent(caller, http_reader_cause(caller->reader));
		break;
	}
}

/* Checks a request's head before the body is read. */
static void handle_head(struct caller *caller)
{
	static const char continue_text[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const struct settings *settings = caller->links->settings;
	struct http_request_head head;
	struct http_body_plan plan;
	enum refusal_cause cause;
	uint32_t i;

	http_reader_head(caller->reader, &head);
	head.caller_ip = caller->ip;
	caller->head_method = strcmp(head.method, "HEAD") == 0;
	caller->close = caller->links->close_after_answer;
	for (i = 0; i < head.field_count; i++) {
		if (g_ascii_strcasecmp(head.fields[i].name, "Connection") == 0)
			caller->close |=
				http_list_has(head.fields[i].value, "close");
	}
	caller->request = request_new();
	if (!http_request_read(&head, settings, clock_now(), caller->request,
			       &caller->facts, &plan, &cause)) {
		/* The unread body must not be parsed as another request. */
		caller->close = true;
		caller_refuse_unsent(caller, cause);
		return;
	}
	caller_set_state(caller, CALLER_READING_BODY,
			 clock_now_us() + BODY_TIMEOUT_MS * US_PER_MS);
	if (!plan.expects_continue || (!plan.chunked && plan.length_bytes == 0))
		return;
	g_byte_array_append(caller->out, (const guint8 *)continue_text,
			    sizeof(continue_text) - 1);
	caller_flush(caller);
}

static bool is_own_path(const struct http_request_head *head)
{
	return g_str_has_prefix(head->path, OWN_PATH_PREFIX);
}

static void handle_request(struct caller *caller)
{
	struct http_request_head head;

	http_reader_head(caller->reader, &head);
	head.caller_ip = caller->ip;
	caller->answer_started = false;
	if (is_own_path(&head)) {
		g_clear_pointer(&caller->request, request_unref);
		send_entries_query(caller, &head);
		return;
	}
	caller->request->body = http_reader_take_body(caller->reader);
	send_admit(caller);
}

static void send_entries_query(struct caller *caller,
			       const struct http_request_head *head)
{
	const struct caller_links *links = caller->links;
	struct query query;

	if (strcmp(head->method, "GET") != 0 ||
	    strcmp(head->path, ENTRIES_PATH) != 0 ||
	    !http_entries_read(head->query, head->caller_ip, &query)) {
		caller_refuse_unsent(caller, REFUSAL_BAD_REQUEST);
		return;
	}
	caller->service = query.service;
	caller->reply_channel = reply_channel_new();
	ring_set_notify_queue(caller->reply_channel->ring, links->notify,
			      caller->id);
	if (send_query(links->dispatch, &query, caller->reply_channel) !=
	    RING_OK) {
		g_clear_pointer(&caller->reply_channel, reply_channel_unref);
		caller_refuse_unsent(caller, REFUSAL_OVERLOAD);
		return;
	}
	caller_set_state(caller, CALLER_AWAITING_REPLY,
			 clock_now_us() + ENTRIES_TIMEOUT_MS * US_PER_MS);
}

static void send_admit(struct caller *caller)
{
	const struct caller_links *links = caller->links;
	struct command command = { .kind = COMMAND_ADMIT };

	caller->answer_deadline_us =
		clock_now_us() + ANSWER_TIMEOUT_MS * US_PER_MS;
	caller->answer_deadline_us =
		MIN(caller->answer_deadline_us, caller->facts.deadline_us) +
		ANSWER_MARGIN_MS * US_PER_MS;
	ring_set_notify_queue(caller->request->answer, links->notify,
			      caller->id);
	command.admit.facts = caller->facts;
	command.admit.request = request_ref(caller->request);
	if (send_command(links->dispatch, &command) != RING_OK) {
		command_clear(&command);
		caller_refuse_unsent(caller, REFUSAL_OVERLOAD);
		return;
	}
	caller_set_state(caller, CALLER_AWAITING_ANSWER,
			 caller->answer_deadline_us);
}
