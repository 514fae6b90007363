#ifndef DUTY_PLATFORM_GET_H
#define DUTY_PLATFORM_GET_H

/**
 * DOC: HTTP client for the platform, on libcurl's multi interface
 *
 * Sends requests and applies time-outs; the caller chooses the target and
 * interprets the body. A client belongs to one thread; only
 * platform_client_wake() may be called from other threads.
 */

#include "core/document.h"
#include "core/error.h"

#define PLATFORM_TARGET_BYTES 1024

/**
 * struct platform_get - one read
 * @tag: identifies the read to the caller
 * @target: path and query of the URL
 * @wait_ms: how long in ms a long poll lets the platform delay its answer
 * @version_header: header of the answer that holds a version, NULL for
 *	none; not owned
 */
struct platform_get {
	uint64_t tag;
	char target[PLATFORM_TARGET_BYTES];
	uint32_t wait_ms;
	const char *version_header;
};

/**
 * struct platform_answer - result of one read
 * @tag: tag of the read
 * @error: of PLATFORM_ERROR, owned; NULL when a complete answer was received
 * @status: HTTP status
 * @has_version: the answer had a valid version header
 * @version: its value, with @has_version
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
 * @settings: platform's address, own address and time-out
 * @body_max_bytes: longest body that is accepted
 * @error: DUTY_ERROR on failure
 *
 * Return: a client to be freed with platform_client_free(), or NULL.
 */
struct platform_client *platform_client_new(const struct settings *settings,
					    uint32_t body_max_bytes,
					    GError **error);

/**
 * platform_client_free() - cancel all reads and free the client
 * @client: the client, or NULL
 */
void platform_client_free(struct platform_client *client);

/**
 * platform_client_begin() - begin a read
 * @client: the client
 * @get: the read
 *
 * Return: false when libcurl refuses the read.
 */
bool platform_client_begin(struct platform_client *client,
			   const struct platform_get *get);

/**
 * platform_client_wait() - wait for the end of a read
 * @client: the client
 * @deadline_us: boot-time deadline, or DEADLINE_NONE_US
 * @answer: filled on true; clear it with platform_answer_clear()
 *
 * Each read has a time-out of its own, so that a platform that does not answer
 * is detected.
 *
 * Return: true with an answer; false at the deadline, when woken, or when
 *	another call is needed to drive the reads.
 */
bool platform_client_wait(struct platform_client *client, uint64_t deadline_us,
			  struct platform_answer *answer);

/**
 * platform_client_wake() - make platform_client_wait() return, from any thread
 * @client: the client
 */
void platform_client_wake(struct platform_client *client);

/**
 * platform_answer_clear() - free what an answer owns
 * @answer: the answer
 */
void platform_answer_clear(struct platform_answer *answer);

#endif
