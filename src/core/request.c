#include "core/request.h"

#include <strings.h>

static void headers_clear(struct header *headers, uint32_t count);

struct request *request_new(void)
{
	struct request *request = g_new0(struct request, 1);

	request->refs = 1;
	request->answer =
		ring_new(sizeof(struct answer_part), ANSWER_RING_PARTS, 1);
	return request;
}

const char *request_field(const struct request *request, const char *name)
{
	uint32_t i;

	for (i = 0; i < request->header_count; i++) {
		if (strcasecmp(request->headers[i].name, name) == 0)
			return request->headers[i].value;
	}
	return NULL;
}

struct request *request_ref(struct request *request)
{
	g_atomic_int_inc(&request->refs);
	return request;
}

void request_unref(struct request *request)
{
	struct answer_part part;

	if (!request || !g_atomic_int_dec_and_test(&request->refs))
		return;
	while (ring_pop(request->answer, &part, 0) == RING_OK)
		answer_part_clear(&part);
	ring_free(request->answer);
	headers_clear(request->headers, request->header_count);
	g_free(request->target);
	g_free(request->path);
	g_clear_pointer(&request->body, g_bytes_unref);
	g_free(request);
}

void answer_part_clear(struct answer_part *part)
{
	switch (part->kind) {
	case PART_HEAD:
		answer_head_free(part->head);
		break;
	case PART_CHUNK:
		g_bytes_unref(part->chunk);
		break;
	case PART_REFUSED:
	case PART_END:
	case PART_BROKEN:
		break;
	}
}

void answer_head_free(struct answer_head *head)
{
	if (!head)
		return;
	headers_clear(head->headers, head->header_count);
	g_free(head);
}

void answer_held_free(struct answer_held *held)
{
	if (!held)
		return;
	answer_head_free(held->head);
	g_clear_pointer(&held->body, g_bytes_unref);
	g_free(held);
}

const char *refusal_cause_text(enum refusal_cause cause)
{
	static const char *const texts[REFUSAL_COUNT] = {
		[REFUSAL_BAD_REQUEST] = "bad_request",
		[REFUSAL_TOO_LARGE] = "too_large",
		[REFUSAL_NO_SERVICE] = "no_service",
		[REFUSAL_NO_BACKEND] = "no_backend",
		[REFUSAL_NOT_READY] = "not_ready",
		[REFUSAL_UNUSABLE_ROUTE] = "unusable_route",
		[REFUSAL_UNKNOWN_KEY] = "unknown_key",
		[REFUSAL_OVER_QUOTA] = "over_quota",
		[REFUSAL_LEAVING] = "leaving",
		[REFUSAL_QUEUE_FULL] = "queue_full",
		[REFUSAL_CALLER_SHARE] = "caller_share",
		[REFUSAL_LONG_SHARE] = "long_share",
		[REFUSAL_DEADLINE] = "deadline",
		[REFUSAL_OVERLOAD] = "overload",
		[REFUSAL_SHED] = "shed",
		[REFUSAL_CONNECT] = "connect",
		[REFUSAL_BACKEND_TIMEOUT] = "backend_timeout",
		[REFUSAL_BACKEND_BROKEN] = "backend_broken",
		[REFUSAL_BAD_ANSWER] = "bad_answer",
		[REFUSAL_CALLER_GONE] = "caller_gone",
	};

	return cause < REFUSAL_COUNT ? texts[cause] : "invalid";
}

const char *outcome_text(enum outcome outcome)
{
	switch (outcome) {
	case OUTCOME_COMPLETE:
		return "complete";
	case OUTCOME_NOT_RUN:
		return "not-run";
	case OUTCOME_UNKNOWN:
		return "unknown";
	}
	return "unknown";
}

static void headers_clear(struct header *headers, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		g_free(headers[i].name);
		g_free(headers[i].value);
	}
}
