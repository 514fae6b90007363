#ifndef DUTY_CONFIG_SOURCE_H
#define DUTY_CONFIG_SOURCE_H

/**
 * DOC: where documents and the list of instances are read
 *
 * The config duty knows the platform by this interface alone; which source is
 * behind it, the settings say. A source is used by one thread, but for
 * config_source_wake().
 */

#include "core/document.h"
#include "core/error.h"

/**
 * enum source_request_kind - what is read
 * @SOURCE_INDEX: the keys and versions of all documents
 * @SOURCE_INSTANCES: the list of instances
 * @SOURCE_DOCUMENT: one document
 */
enum source_request_kind { SOURCE_INDEX, SOURCE_INSTANCES, SOURCE_DOCUMENT };

/**
 * struct source_watch - read of a list
 * @after: version already known
 * @wait_ms: how long the platform may wait for a newer one, 0 for not
 */
struct source_watch {
	uint64_t after;
	uint32_t wait_ms;
};

/**
 * struct source_request - one read
 * @kind: which member of the union holds
 * @watch: with SOURCE_INDEX and SOURCE_INSTANCES
 * @key: with SOURCE_DOCUMENT
 */
struct source_request {
	enum source_request_kind kind;
	union {
		struct source_watch watch;
		struct name key;
	};
};

/**
 * struct source_answer - end of one read
 * @request: the read
 * @error: of PLATFORM_ERROR, owned; NULL when it went well
 * @found: false when the platform holds no such document
 * @version: with SOURCE_DOCUMENT, its version
 * @text: owned, what was read
 */
struct source_answer {
	struct source_request request;
	GError *error;
	bool found;
	uint64_t version;
	GByteArray *text;
};

struct config_source;

/**
 * config_source_new() - make a client of the platform
 * @settings: addresses
 * @error: DUTY_ERROR on failure
 *
 * Return: a source to be freed with config_source_free(), or NULL.
 */
struct config_source *config_source_new(const struct settings *settings,
					GError **error);

/**
 * config_source_free() - drop all reads and free the client
 * @source: the source, or NULL
 */
void config_source_free(struct config_source *source);

/**
 * config_source_begin() - begin a read without waiting for it
 * @source: the source
 * @request: the read
 *
 * Return: false when the library refuses.
 */
bool config_source_begin(struct config_source *source,
			 const struct source_request *request);

/**
 * config_source_wait() - wait for the end of a read
 * @source: the source
 * @deadline_us: boot-time deadline, or DEADLINE_NONE_US
 * @answer: filled on true; clear it with source_answer_clear()
 *
 * Each read has a deadline of its own, so that a silent platform is found.
 *
 * Return: false at the deadline, when woken, or when there may be more to do.
 */
bool config_source_wait(struct config_source *source, uint64_t deadline_us,
			struct source_answer *answer);

/**
 * config_source_wake() - end a wait, from any thread
 * @source: the source
 */
void config_source_wake(struct config_source *source);

/**
 * source_answer_clear() - free what an answer owns
 * @answer: the answer
 */
void source_answer_clear(struct source_answer *answer);

#endif
