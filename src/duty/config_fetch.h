#ifndef DUTY_CONFIG_FETCH_H
#define DUTY_CONFIG_FETCH_H

/**
 * DOC: documents that the config duty still has to fetch
 */

#include <glib.h>

#include "core/peer.h"

/**
 * struct fetch - one document to be fetched
 * @key: service
 * @version: at least this version
 * @due_us: when to begin
 * @running: it is on its way
 * @failures: tries in a row that failed
 */
struct fetch {
	struct name key;
	uint64_t version;
	uint64_t due_us;
	bool running;
	uint32_t failures;
};

/**
 * struct fetch_list - all of them
 * @wanted: owned key text to owned struct fetch
 * @seen: owned key text to owned uint64_t, the version that was fetched last
 * @running: how many are on their way
 */
struct fetch_list {
	GHashTable *wanted;
	GHashTable *seen;
	uint32_t running;
};

/**
 * fetch_list_init() - make an empty list
 * @list: filled
 */
void fetch_list_init(struct fetch_list *list);

/**
 * fetch_list_clear() - free what a list owns
 * @list: the list
 */
void fetch_list_clear(struct fetch_list *list);

/**
 * fetch_list_add() - take in what the index names
 * @list: the list
 * @key: service
 * @version: its version there
 * @due_us: when to begin, unless it is wanted already
 */
void fetch_list_add(struct fetch_list *list, const struct name *key,
		    uint64_t version, uint64_t due_us);

/**
 * fetch_list_has_version() - whether a document was fetched or brought before
 * @list: the list
 * @key: the document
 *
 * Return: false until its first version is there.
 */
bool fetch_list_has_version(const struct fetch_list *list,
			    const struct name *key);

/**
 * fetch_list_make_all_due() - begin all at once
 * @list: the list
 */
void fetch_list_make_all_due(struct fetch_list *list);

/**
 * fetch_list_drop_held() - drop what is in force by now
 * @list: the list
 * @held: array of struct config_offer
 * @now_us: only those that are due are looked at
 */
void fetch_list_drop_held(struct fetch_list *list, const GArray *held,
			  uint64_t now_us);

/**
 * fetch_list_due_us() - when the next one begins
 * @list: the list
 *
 * Return: DEADLINE_NONE_US when none waits.
 */
uint64_t fetch_list_due_us(const struct fetch_list *list);

/**
 * fetch_list_next() - the next one to begin
 * @list: the list
 * @now_us: boot-time now
 *
 * Return: one that is due and not running, or NULL.
 */
struct fetch *fetch_list_next(const struct fetch_list *list, uint64_t now_us);

/**
 * fetch_list_mark_running() - it is on its way
 * @list: the list
 * @fetch: which
 */
void fetch_list_mark_running(struct fetch_list *list, struct fetch *fetch);

/**
 * fetch_list_end_run() - it has an answer
 * @list: the list
 * @key: service
 *
 * Return: the fetch, or NULL when there is none on its way.
 */
struct fetch *fetch_list_end_run(struct fetch_list *list,
				 const struct name *key);

/**
 * fetch_list_complete() - it was fetched
 * @list: the list
 * @fetch: which; freed
 * @version: the version that came
 */
void fetch_list_complete(struct fetch_list *list, struct fetch *fetch,
			 uint64_t version);

/**
 * fetch_list_drop() - leave it alone until the index names it again
 * @list: the list
 * @fetch: which; freed
 */
void fetch_list_drop(struct fetch_list *list, struct fetch *fetch);

#endif
