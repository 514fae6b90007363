#include "codec/report_text.h"
#include "core/clock.h"
#include "duty/caller.h"

/* No answer part is taken from the ring while more than this is unsent. */
#define OUT_MAX_BYTES 65536

static bool process_parts(struct caller *caller);
static void process_part(struct caller *caller, struct answer_part *part);
static void process_first_part(struct caller *caller, struct answer_part *part);
static void process_next_part(struct caller *caller, struct answer_part *part);
static void start_answer(struct caller *caller, struct answer_head *head);
static enum http_framing choose_framing(const struct caller *caller,
					const struct answer_head *head);
static void append_chunk(struct caller *caller, GBytes *chunk);
static void append_text(struct caller *caller, const GString *text);
static void abort_answer(struct caller *caller);
static void resume_exchange(const struct caller *caller);
static uint64_t retry_at_unix_ms(const struct caller *caller);

void caller_forward_answer(struct caller *caller)
{
	while (process_parts(caller) &&
	       caller->state == CALLER_SENDING_ANSWER) {
		resume_exchange(caller);
		if (!caller->body_received)
			continue;
		caller_flush(caller);
		/* The next parts are taken once the socket is writable. */
		if (caller->state != CALLER_SENDING_ANSWER ||
		    caller->out->len > 0)
			return;
	}
}

void caller_refuse(struct caller *caller, const struct refusal *refusal)
{
	const struct settings *settings = caller->links->settings;
	uint32_t status = http_refusal_status(settings, refusal);
	char *json = refusal_to_json(refusal);
	char retry[HTTP_RETRY_TEXT_BYTES];
	GString *text;

	/* Closing makes the caller connect to another instance. */
	caller->close |= refusal->cause == REFUSAL_LEAVING;
	text = http_json_text(
		status, json, refusal->outcome,
		http_retry_after(settings, refusal, clock_now().unix_ms, retry),
		!caller->head_method, caller_keep_alive_s(caller));

	caller_finish(caller, text);
	g_string_free(text, TRUE);
	g_free(json);
}

void caller_refuse_unsent(struct caller *caller, enum refusal_cause cause)
{
	struct refusal refusal = {
		.cause = cause,
		.outcome = OUTCOME_NOT_RUN,
	};

	if (cause == REFUSAL_OVERLOAD)
		refusal.retry_at_unix_ms = retry_at_unix_ms(caller);
	caller_refuse(caller, &refusal);
}

/* Return: true when at least one part was taken. */
static bool process_parts(struct caller *caller)
{
	struct answer_part part;
	bool parts_taken = false;

	while ((caller->state == CALLER_AWAITING_ANSWER ||
		caller->state == CALLER_SENDING_ANSWER) &&
	       caller->out->len - caller->out_sent <= OUT_MAX_BYTES &&
	       ring_pop(caller->request->answer, &part, 0) == RING_OK) {
		process_part(caller, &part);
		parts_taken = true;
	}
	return parts_taken;
}

static void process_part(struct caller *caller, struct answer_part *part)
{
	if (caller->state == CALLER_AWAITING_ANSWER)
		process_first_part(caller, part);
	else
		process_next_part(caller, part);
}

static void process_first_part(struct caller *caller, struct answer_part *part)
{
	switch (part->kind) {
	case PART_REFUSED:
		caller_refuse(caller, &part->refusal);
		break;
	case PART_HEAD:
		start_answer(caller, part->head);
		break;
	case PART_CHUNK:
	case PART_END:
	case PART_BROKEN:
		g_warning("front: an answer does not begin with its head");
		answer_part_clear(part);
		abort_answer(caller);
		break;
	}
}

static void process_next_part(struct caller *caller, struct answer_part *part)
{
	GString *last;

	switch (part->kind) {
	case PART_CHUNK:
		append_chunk(caller, part->chunk);
		answer_part_clear(part);
		break;
	case PART_END:
		last = g_string_new(caller->framing == FRAMING_CHUNKED ?
					    "0\r\n\r\n" :
					    NULL);
		caller_finish(caller, last);
		g_string_free(last, TRUE);
		break;
	case PART_BROKEN:
	case PART_REFUSED:
	case PART_HEAD:
		answer_part_clear(part);
		abort_answer(caller);
		break;
	}
}

static void start_answer(struct caller *caller, struct answer_head *head)
{
	GString *text;

	caller->framing = choose_framing(caller, head);
	text = http_answer_head_text(head, caller->framing, head->body_bytes,
				     caller_keep_alive_s(caller));
	append_text(caller, text);
	g_string_free(text, TRUE);
	answer_head_free(head);
	caller->body_received = false;
	caller_set_state(caller, CALLER_SENDING_ANSWER,
			 caller->answer_deadline_us + CALLER_WRITE_TIMEOUT_US);
}

static enum http_framing choose_framing(const struct caller *caller,
					const struct answer_head *head)
{
	if (head->status == 204 || head->status == 304)
		return FRAMING_NONE;
	if (head->body_bytes != UINT64_MAX)
		return FRAMING_LENGTH;
	return caller->head_method ? FRAMING_NONE : FRAMING_CHUNKED;
}

static void append_chunk(struct caller *caller, GBytes *chunk)
{
	GString *text = g_string_new(NULL);
	gsize length;
	const char *data = g_bytes_get_data(chunk, &length);

	if (caller->framing == FRAMING_CHUNKED && length > 0)
		g_string_append_printf(text, "%zx\r\n", length);
	g_string_append_len(text, data, (gssize)length);
	if (caller->framing == FRAMING_CHUNKED && length > 0)
		g_string_append(text, "\r\n");
	caller->body_received = true;
	append_text(caller, text);
	g_string_free(text, TRUE);
}

static void append_text(struct caller *caller, const GString *text)
{
	g_byte_array_append(caller->out, (const guint8 *)text->str,
			    (guint)text->len);
}

/*
 * Closes the connection if bytes of the answer were sent, which shows the
 * caller that it is incomplete; else replaces the answer by a refusal.
 */
static void abort_answer(struct caller *caller)
{
	const struct refusal broken = {
		.cause = REFUSAL_BACKEND_BROKEN,
		.outcome = OUTCOME_UNKNOWN,
	};

	caller_cancel(caller);
	if (caller->answer_started) {
		caller_abort(caller);
		return;
	}
	caller->close = true;
	g_byte_array_set_size(caller->out, 0);
	caller_refuse(caller, &broken);
}

/* Resumes the exchange if it has paused because the answer ring was full. */
static void resume_exchange(const struct caller *caller)
{
	struct request *request = caller->request;
	struct exchange_op op = { .kind = EXCHANGE_OP_RESUME };

	if (!g_atomic_int_compare_and_exchange(&request->answer_paused, 1, 0))
		return;
	op.resume = request_ref(request);
	if (exchange_send(caller->links->exchange, &op) != RING_OK) {
		g_warning("front: exchange ring refused to resume an answer");
		request_unref(request);
	}
}

/*
 * Return: Unix time in ms after a random delay between retry_min_ms and
 * retry_max_ms of the settings.
 */
static uint64_t retry_at_unix_ms(const struct caller *caller)
{
	const struct settings *settings = caller->links->settings;
	struct instant now = clock_now();
	uint64_t hash = hash_bytes(&now, sizeof(now), caller->id);

	return now.unix_ms + settings->retry_min_ms +
	       hash % (settings->retry_max_ms - settings->retry_min_ms + 1);
}
