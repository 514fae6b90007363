#ifndef DUTY_CONFIG_WATCH_H
#define DUTY_CONFIG_WATCH_H

/**
 * DOC: when the platform is read
 *
 * Pure functions of role, time and what the last reads gave. An instance with
 * the reader's role always has a long poll at the platform; the others look now
 * and then and get what changes from their peers.
 */

#include <glib.h>

#include "core/event.h"

/**
 * enum watch_kind - which list
 */
enum watch_kind { WATCH_INDEX, WATCH_INSTANCES };

/**
 * struct watch - reads of one list
 * @kind: which list
 * @poll_ms: how long a reader lets the platform wait
 * @known: a read went well once
 * @after: version known
 * @running: a read is on its way
 * @began_us: when the last read began
 * @due_us: when the next one begins
 * @failures: reads in a row that failed
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
 * watch_has_ended_read() - whether a read has ended, in whatever way
 * @watch: the list
 *
 * Return: true from the first answer or failure on.
 */
bool watch_has_ended_read(const struct watch *watch);

/**
 * watch_wait_ms() - how long the platform may wait with its answer
 * @watch: the list
 * @role: own role
 *
 * Return: milliseconds, 0 for an answer at once.
 */
uint32_t watch_wait_ms(const struct watch *watch, enum reader_role role);

/**
 * watch_record_answer() - a read went well
 * @watch: the list
 * @version: the list's version
 * @role: own role
 * @rand: for jitter
 * @now_us: boot-time now
 */
void watch_record_answer(struct watch *watch, uint64_t version,
			 enum reader_role role, GRand *rand, uint64_t now_us);

/**
 * watch_record_failure() - a read went wrong
 * @watch: the list
 * @rand: for jitter
 * @now_us: boot-time now
 */
void watch_record_failure(struct watch *watch, GRand *rand, uint64_t now_us);

/**
 * watch_retry_us() - when to try again
 * @failures: failures in a row, at least 1
 * @rand: for jitter
 * @now_us: boot-time now
 *
 * Return: boot-time point in time, later with each failure up to a bound.
 */
uint64_t watch_retry_us(uint32_t failures, GRand *rand, uint64_t now_us);

/**
 * watch_document_due_us() - when a document of the index is fetched
 * @role: own role
 * @alone: no other live instance is known
 * @rand: for jitter
 * @now_us: boot-time now
 *
 * Return: at once for a reader; else peers have time to bring it first.
 */
uint64_t watch_document_due_us(enum reader_role role, bool alone, GRand *rand,
			       uint64_t now_us);

#endif
