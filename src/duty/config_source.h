#ifndef DUTY_CONFIG_SOURCE_H
#define DUTY_CONFIG_SOURCE_H

/**
 * DOC: client of the platform for documents and the list of instances
 *
 * The config duty reaches the platform through this interface only; the
 * settings select the kind of source. A source belongs to one thread; only
 * config_source_wake() may be called from other threads.
 */

#include "core/document.h"
#include "core/error.h"
#include "core/peer.h"

/**
 * enum source_request_kind - tag of struct source_request
 * @SOURCE_INDEX: the keys and versions of all documents
 * @SOURCE_INSTANCES: the list of instances
 * @SOURCE_DOCUMENT: one document
 */
enum source_request_kind { SOURCE_INDEX, SOURCE_INSTANCES, SOURCE_DOCUMENT };

/**
 * struct source_watch - read of a list, as a long poll
 * @after: version that is known already
 * @wait_ms: longest time in ms that the platform may wait for a newer version;
 *	0 for an immediate answer
 */
struct source_watch {
	uint64_t after;
	uint32_t wait_ms;
};

/**
 * struct source_request - one read
 * @kind: which member of the union is valid
 * @watch: with SOURCE_INDEX and SOURCE_INSTANCES
 * @key: with SOURCE_DOCUMENT, service of the document
 */
struct source_request {
	enum source_request_kind kind;
	union {
		struct source_watch watch;
		struct name key;
	};
};

/**
 * struct source_answer - result of one read
 * @request: the read
 * @error: of PLATFORM_ERROR, owned; NULL on success
 * @partial: with SOURCE_INDEX, the read goes on, and a further answer follows
 * @found: false when the platform holds no such document
 * @version: with SOURCE_DOCUMENT, the document's version
 * @text: owned, the list or document as JSON text
 */
struct source_answer {
	struct source_request request;
	GError *error;
	bool partial;
	bool found;
	uint64_t version;
	GByteArray *text;
};

struct config_source;

/**
 * config_source_new() - make a client of the platform
 * @settings: kind and address of the platform, own address
 * @error: DUTY_ERROR on failure
 *
 * Return: a source to be freed with config_source_free(), or NULL.
 */
struct config_source *config_source_new(const struct settings *settings,
					GError **error);

/**
 * config_source_free() - cancel all reads and free the client
 * @source: the source, or NULL
 */
void config_source_free(struct config_source *source);

/**
 * config_source_begin() - begin a read
 * @source: the source
 * @request: the read
 *
 * Return: false when the read cannot be started.
 */
bool config_source_begin(struct config_source *source,
			 const struct source_request *request);

/**
 * config_source_wait() - wait for the end of a read
 * @source: the source
 * @deadline_us: boot-time deadline, or DEADLINE_NONE_US
 * @answer: filled on true; clear it with source_answer_clear()
 *
 * Each read has a time-out of its own, so that a platform that does not answer
 * is detected.
 *
 * Return: true with an answer; false at the deadline, when woken, or when
 *	another call is needed to drive the reads.
 */
bool config_source_wait(struct config_source *source, uint64_t deadline_us,
			struct source_answer *answer);

/**
 * config_source_restate() - raise the version of a document that was overruled
 * @source: the source
 * @held: document in force, with another text than the source's may have
 *
 * Return: new version of the source's document, 0 if that stays as it is.
 */
uint64_t config_source_restate(struct config_source *source,
			       const struct config_offer *held);

/**
 * config_source_wake() - make config_source_wait() return, from any thread
 * @source: the source
 */
void config_source_wake(struct config_source *source);

/**
 * source_answer_clear() - free what an answer owns
 * @answer: the answer
 */
void source_answer_clear(struct source_answer *answer);

#endif
