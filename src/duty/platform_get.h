#ifndef DUTY_PLATFORM_GET_H
#define DUTY_PLATFORM_GET_H

/**
 * DOC: reads from the platform over HTTP, by libcurl's multi interface
 *
 * Knows how to ask, to wait and to give up, but not what is asked for. Used by
 * one thread, but for platform_client_wake().
 */

#include "core/document.h"
#include "core/error.h"

#define PLATFORM_TARGET_BYTES 512

/**
 * struct platform_get - one read
 * @tag: names it to whoever asked
 * @target: path and query
 * @wait_ms: how long the platform may wait with its answer by itself
 * @version_header: answer header with a version, NULL for none
 */
struct platform_get {
	uint64_t tag;
	char target[PLATFORM_TARGET_BYTES];
	uint32_t wait_ms;
	const char *version_header;
};

/**
 * struct platform_answer - end of one read
 * @tag: of the read
 * @error: of PLATFORM_ERROR, owned; NULL when a whole answer came
 * @status: HTTP status
 * @has_version: the answer had a readable version header
 * @version: then the version
 * @text: owned, the body
 */
struct platform_answer {
	uint64_t tag;
	GError *error;
	uint32_t status;
	bool has_version;
	uint64_t version;
	GByteArray *text;
};

struct platform_client;

/**
 * platform_client_new() - make a client
 * @settings: addresses
 * @body_max_bytes: longest body that is taken
 * @error: DUTY_ERROR on failure
 *
 * Return: a client to be freed with platform_client_free(), or NULL.
 */
struct platform_client *platform_client_new(const struct settings *settings,
					    uint32_t body_max_bytes,
					    GError **error);

/**
 * platform_client_free() - drop all reads and free the client
 * @client: the client, or NULL
 */
void platform_client_free(struct platform_client *client);

/**
 * platform_client_begin() - begin a read without waiting for it
 * @client: the client
 * @get: the read
 *
 * Return: false when the library refuses.
 */
bool platform_client_begin(struct platform_client *client,
			   const struct platform_get *get);

/**
 * platform_client_wait() - wait for the end of a read
 * @client: the client
 * @deadline_us: boot-time deadline, or DEADLINE_NONE_US
 * @answer: filled on true; clear it with platform_answer_clear()
 *
 * Each read has a deadline of its own, so that a silent platform is found.
 *
 * Return: false at the deadline, when woken, or when there may be more to do.
 */
bool platform_client_wait(struct platform_client *client, uint64_t deadline_us,
			  struct platform_answer *answer);

/**
 * platform_client_wake() - end a wait, from any thread
 * @client: the client
 */
void platform_client_wake(struct platform_client *client);

/**
 * platform_answer_clear() - free what an answer owns
 * @answer: the answer
 */
void platform_answer_clear(struct platform_answer *answer);

#endif
