#ifndef DUTY_CONFIG_FETCH_H
#define DUTY_CONFIG_FETCH_H

/**
 * DOC: list of documents that the config duty has to fetch
 */

#include <glib.h>

#include "core/peer.h"

/**
 * struct fetch - one document to be fetched
 * @key: service of the document
 * @version: lowest version that is accepted
 * @due_us: boot time from which it may be read
 * @running: a read is in progress
 * @failures: consecutive reads that failed
 */
struct fetch {
	struct name key;
	uint64_t version;
	uint64_t due_us;
	bool running;
	uint32_t failures;
};

/**
 * struct fetch_list - documents to be fetched, and versions that are known
 * @pending: owned key text to owned struct fetch
 * @known_versions: owned key text to owned uint64_t, the version that was last
 *	fetched or relayed by peers
 * @running: number of reads in progress
 */
struct fetch_list {
	GHashTable *pending;
	GHashTable *known_versions;
	uint32_t running;
};

/**
 * fetch_list_init() - initialize an empty list
 * @list: filled; to be cleared with fetch_list_clear()
 */
void fetch_list_init(struct fetch_list *list);

/**
 * fetch_list_clear() - free what a list owns
 * @list: the list
 */
void fetch_list_clear(struct fetch_list *list);

/**
 * fetch_list_add() - add a document of the index, or update its version
 * @list: the list
 * @key: service of the document
 * @version: version in the index
 * @due_us: boot time from which it may be read; ignored if the document is
 *	pending already
 *
 * Does nothing if the same version is known.
 */
void fetch_list_add(struct fetch_list *list, const struct name *key,
		    uint64_t version, uint64_t due_us);

/**
 * fetch_list_has_version() - whether any version of a document is known
 * @list: the list
 * @key: service of the document
 *
 * Return: true once a version was fetched or relayed by peers.
 */
bool fetch_list_has_version(const struct fetch_list *list,
			    const struct name *key);

/**
 * fetch_list_make_all_due() - let all pending documents be read from now on
 * @list: the list
 */
void fetch_list_make_all_due(struct fetch_list *list);

/**
 * fetch_list_drop_held() - drop due documents that are in force already
 * @list: the list
 * @held: array of struct config_offer, the documents in force
 * @now_us: current boot time; documents that are not due yet are kept
 */
void fetch_list_drop_held(struct fetch_list *list, const GArray *held,
			  uint64_t now_us);

/**
 * fetch_list_due_us() - when the next read may begin
 * @list: the list
 *
 * Return: boot time of that read, DEADLINE_NONE_US when no document waits.
 */
uint64_t fetch_list_due_us(const struct fetch_list *list);

/**
 * fetch_list_next() - next document to read
 * @list: the list
 * @now_us: current boot time
 *
 * Return: a fetch that is due and not running, owned by the list, or NULL.
 */
struct fetch *fetch_list_next(const struct fetch_list *list, uint64_t now_us);

/**
 * fetch_list_mark_running() - record that the read of a document began
 * @list: the list
 * @fetch: the document's fetch
 */
void fetch_list_mark_running(struct fetch_list *list, struct fetch *fetch);

/**
 * fetch_list_end_run() - record that the read of a document ended
 * @list: the list
 * @key: service of the document
 *
 * Return: the fetch, still pending, or NULL when no such read is in progress.
 */
struct fetch *fetch_list_end_run(struct fetch_list *list,
				 const struct name *key);

/**
 * fetch_list_complete() - record a fetched version and drop the fetch
 * @list: the list
 * @fetch: freed
 * @version: version that was fetched
 */
void fetch_list_complete(struct fetch_list *list, struct fetch *fetch,
			 uint64_t version);

/**
 * fetch_list_drop() - drop a fetch until the index names its document again
 * @list: the list
 * @fetch: freed
 */
void fetch_list_drop(struct fetch_list *list, struct fetch *fetch);

#endif
