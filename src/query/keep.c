#include "query/keep.h"

/* A connection is closed this long before the backend server may close it. */
#define KEEP_MARGIN_S 1
/* Line ends of one chunk, and the last chunk with the end of the trailers. */
#define CHUNK_LINE_ENDS_BYTES 4
#define LAST_CHUNK_BYTES 5

static enum connection_drop head_obstacle(const struct keep_answer *answer);
static bool bytes_exact(const struct keep_answer *answer);
static uint64_t one_chunk_bytes(uint64_t body_bytes);

bool keep_wanted(const struct keep_request *request)
{
	return request->keep_max > 0 && request->may_repeat && request->id &&
	       request->id[0] != '\0' && request->has_host;
}

bool keep_has_extra_bytes(const struct keep_answer *answer)
{
	return answer->has_length &&
	       answer->received_bytes > answer->head_bytes + answer->body_bytes;
}

bool keep_head_allows(const struct keep_answer *answer)
{
	return head_obstacle(answer) == CONNECTION_DROP_COUNT;
}

struct keep_decision keep_decide(const struct keep_answer *answer,
				 uint64_t now_us)
{
	struct keep_decision decision = { .cause = CONNECTION_DROP_ANSWER };
	uint64_t idle_s;

	if (!answer->whole || !bytes_exact(answer))
		return decision;
	decision.cause = head_obstacle(answer);
	if (decision.cause != CONNECTION_DROP_COUNT)
		return decision;
	idle_s = answer->idle_max_s - KEEP_MARGIN_S;
	decision.idle_until_us =
		now_us + MIN(KEEP_IDLE_MAX_US, idle_s * US_PER_S);
	return decision;
}

/* Return: why the connection is closed, CONNECTION_DROP_COUNT if it is not. */
static enum connection_drop head_obstacle(const struct keep_answer *answer)
{
	if (!answer->id_echoed || answer->draining ||
	    answer->idle_max_s <= KEEP_MARGIN_S ||
	    (!answer->chunked && !answer->has_length))
		return CONNECTION_DROP_ANSWER;
	if (answer->backend_failed)
		return CONNECTION_DROP_FAILURE;
	if (answer->uses >= KEEP_USES_MAX)
		return CONNECTION_DROP_USES;
	return CONNECTION_DROP_COUNT;
}

/*
 * libcurl discards bytes behind a chunked body without telling. The bytes
 * received are those of the body in a single chunk only if none followed, as
 * several chunks, extensions and leading zeros are all longer; a connection with
 * such an answer is not kept.
 */
static bool bytes_exact(const struct keep_answer *answer)
{
	uint64_t body_bytes = answer->body_bytes;

	if (answer->chunked)
		body_bytes = one_chunk_bytes(body_bytes);
	return answer->received_bytes == answer->head_bytes + body_bytes;
}

static uint64_t one_chunk_bytes(uint64_t body_bytes)
{
	uint64_t digits = 0;
	uint64_t rest;

	if (body_bytes == 0)
		return LAST_CHUNK_BYTES;
	for (rest = body_bytes; rest > 0; rest /= 16)
		digits++;
	return digits + CHUNK_LINE_ENDS_BYTES + body_bytes + LAST_CHUNK_BYTES;
}
