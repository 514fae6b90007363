#include "codec/report_text.h"
#include "core/clock.h"
#include "duty/caller.h"

/* No more parts are taken while more than this waits for the caller. */
#define OUT_MAX_BYTES 65536

static bool take_parts(struct caller *caller);
static void take_part(struct caller *caller, struct answer_part *part);
static void take_first(struct caller *caller, struct answer_part *part);
static void take_more(struct caller *caller, struct answer_part *part);
static void begin_answer(struct caller *caller, struct answer_head *head);
static enum http_framing framing_for(const struct caller *caller,
				     const struct answer_head *head);
static void append_chunk(struct caller *caller, GBytes *chunk);
static void append_text(struct caller *caller, const GString *text);
static void break_off(struct caller *caller);
static void resume(const struct caller *caller);
static uint64_t retry_at_unix_ms(const struct caller *caller);

void caller_forward_answer(struct caller *caller)
{
	while (take_parts(caller) && caller->state == CALLER_SENDING_ANSWER) {
		resume(caller);
		if (!caller->body_begun)
			continue;
		caller_flush(caller);
		/* The rest is taken when the socket has room again. */
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

	/* The caller shall go to another instance. */
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

/* Return: whether there was any. */
static bool take_parts(struct caller *caller)
{
	struct answer_part part;
	bool any = false;

	while ((caller->state == CALLER_AWAITING_ANSWER ||
		caller->state == CALLER_SENDING_ANSWER) &&
	       caller->out->len - caller->out_sent <= OUT_MAX_BYTES &&
	       ring_pop(caller->request->answer, &part, 0) == RING_OK) {
		take_part(caller, &part);
		any = true;
	}
	return any;
}

static void take_part(struct caller *caller, struct answer_part *part)
{
	if (caller->state == CALLER_AWAITING_ANSWER)
		take_first(caller, part);
	else
		take_more(caller, part);
}

static void take_first(struct caller *caller, struct answer_part *part)
{
	switch (part->kind) {
	case PART_REFUSED:
		caller_refuse(caller, &part->refusal);
		break;
	case PART_HEAD:
		begin_answer(caller, part->head);
		break;
	case PART_CHUNK:
	case PART_END:
	case PART_BROKEN:
		g_warning("front: an answer without a head");
		answer_part_clear(part);
		break_off(caller);
		break;
	}
}

static void take_more(struct caller *caller, struct answer_part *part)
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
		break_off(caller);
		break;
	}
}

static void begin_answer(struct caller *caller, struct answer_head *head)
{
	GString *text;

	caller->framing = framing_for(caller, head);
	text = http_answer_head_text(head, caller->framing, head->body_bytes,
				     caller_keep_alive_s(caller));
	append_text(caller, text);
	g_string_free(text, TRUE);
	answer_head_free(head);
	caller->body_begun = false;
	caller_set_state(caller, CALLER_SENDING_ANSWER,
			 caller->until_us + CALLER_WRITE_TIMEOUT_US);
}

static enum http_framing framing_for(const struct caller *caller,
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
	caller->body_begun = true;
	append_text(caller, text);
	g_string_free(text, TRUE);
}

static void append_text(struct caller *caller, const GString *text)
{
	g_byte_array_append(caller->out, (const guint8 *)text->str,
			    (guint)text->len);
}

/* An answer that has begun ends with its connection, so it looks broken. */
static void break_off(struct caller *caller)
{
	const struct refusal broken = {
		.cause = REFUSAL_BACKEND_BROKEN,
		.outcome = OUTCOME_UNKNOWN,
	};

	caller_cancel(caller);
	if (caller->begun) {
		caller_gone(caller);
		return;
	}
	caller->close = true;
	g_byte_array_set_size(caller->out, 0);
	caller_refuse(caller, &broken);
}

/* The exchange may go on when it waited for room. */
static void resume(const struct caller *caller)
{
	struct request *request = caller->request;
	struct exchange_op order = { .kind = EXCHANGE_OP_RESUME };

	if (!g_atomic_int_compare_and_exchange(&request->answer_paused, 1, 0))
		return;
	order.resume = request_ref(request);
	if (exchange_send(caller->links->exchange, &order) != RING_OK) {
		g_warning("front: cannot resume an answer");
		request_unref(request);
	}
}

/* Spread by chance over the span that the settings give. */
static uint64_t retry_at_unix_ms(const struct caller *caller)
{
	const struct settings *settings = caller->links->settings;
	struct instant now = clock_now();
	uint64_t chance = hash_bytes(&now, sizeof(now), caller->id);

	return now.unix_ms + settings->retry_min_ms +
	       chance % (settings->retry_max_ms - settings->retry_min_ms + 1);
}
