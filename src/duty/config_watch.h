#ifndef DUTY_CONFIG_WATCH_H
#define DUTY_CONFIG_WATCH_H

/**
 * DOC: schedule of reads from the platform
 *
 * The times depend only on the reader role, the time and the results of earlier
 * reads. An instance with a reader role always has a long poll open at the
 * platform; the others poll at longer, jittered intervals and receive changes
 * from peers.
 */

#include <glib.h>

#include "core/event.h"

/**
 * enum watch_kind - which list is read
 * @WATCH_INDEX: index of documents
 * @WATCH_INSTANCES: list of instances
 */
enum watch_kind { WATCH_INDEX, WATCH_INSTANCES };

/**
 * struct watch - reads of one list
 * @kind: which list is read
 * @poll_ms: duration of a reader's long poll in ms
 * @known: a read has succeeded, so @after is valid
 * @after: version of the list last read
 * @running: a read is in progress
 * @began_us: boot time when the last read began
 * @due_us: boot time when the next read begins
 * @failures: consecutive reads that failed
 */
struct watch {
	enum watch_kind kind;
	uint32_t poll_ms;
	bool known;
	uint64_t after;
	bool running;
	uint64_t began_us;
	uint64_t due_us;
	uint32_t failures;
};

/**
 * watch_has_ended_read() - whether a read has succeeded or failed
 * @watch: the list
 *
 * Return: true from the first answer or failure on.
 */
bool watch_has_ended_read(const struct watch *watch);

/**
 * watch_wait_ms() - how long the platform may delay its answer
 * @watch: the list
 * @role: reader role of this instance
 *
 * Return: milliseconds, 0 for an immediate answer.
 */
uint32_t watch_wait_ms(const struct watch *watch, enum reader_role role);

/**
 * watch_record_answer() - record a read that succeeded, schedule the next
 * @watch: the list
 * @version: the list's version
 * @role: reader role of this instance
 * @rand: for jitter
 * @now_us: current boot time
 */
void watch_record_answer(struct watch *watch, uint64_t version,
			 enum reader_role role, GRand *rand, uint64_t now_us);

/**
 * watch_record_failure() - record a read that failed, schedule the next
 * @watch: the list
 * @rand: for jitter
 * @now_us: current boot time
 */
void watch_record_failure(struct watch *watch, GRand *rand, uint64_t now_us);

/**
 * watch_retry_us() - when to repeat a failed read
 * @failures: consecutive failures, at least 1
 * @rand: for jitter
 * @now_us: current boot time
 *
 * Return: boot time of the next read; the delay doubles with each failure up to
 *	a limit.
 */
uint64_t watch_retry_us(uint32_t failures, GRand *rand, uint64_t now_us);

/**
 * watch_document_due_us() - when a document of the index is fetched
 * @role: reader role of this instance
 * @alone: no other live instance is known
 * @rand: for jitter
 * @now_us: current boot time
 *
 * Return: boot time of the read: @now_us for the first reader, later for other
 *	instances, so that peers can relay the document first.
 */
uint64_t watch_document_due_us(enum reader_role role, bool alone, GRand *rand,
			       uint64_t now_us);

#endif
