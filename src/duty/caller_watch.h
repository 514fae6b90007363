#ifndef DUTY_CALLER_WATCH_H
#define DUTY_CALLER_WATCH_H

/**
 * DOC: watch over callers' connections
 *
 * CivetWeb's workers block while they read, wait or write. The watch sees a
 * caller that goes away while a worker waits, and cuts off one that reads or
 * writes too slowly.
 */

#include "core/command.h"
#include "core/error.h"

struct caller_watch;
struct watched_caller;

/**
 * caller_watch_start() - start the watch and its thread
 * @dispatch: ring of struct message, gets COMMAND_CANCEL
 * @error: DUTY_ERROR on failure
 *
 * Return: the watch, to be ended with caller_watch_stop(), or NULL.
 */
struct caller_watch *caller_watch_start(struct ring *dispatch, GError **error);

/**
 * caller_watch_stop() - end the thread and free the watch
 * @watch: the watch, or NULL
 */
void caller_watch_stop(struct caller_watch *watch);

/**
 * caller_watch_open() - watch a connection
 * @watch: the watch
 * @fd: its socket
 *
 * Return: to be ended with caller_watch_close() before @fd is closed.
 */
struct watched_caller *caller_watch_open(struct caller_watch *watch,
					 int32_t fd);

/**
 * caller_watch_close() - stop watching a connection
 * @watch: the watch
 * @caller: the connection, or NULL
 */
void caller_watch_close(struct caller_watch *watch,
			struct watched_caller *caller);

/**
 * caller_watch_wait() - a worker begins to wait for an answer
 * @watch: the watch
 * @caller: the connection, or NULL
 * @request: is cancelled when the caller goes away; its answer ring is closed
 */
void caller_watch_wait(struct caller_watch *watch,
		       struct watched_caller *caller, struct request *request);

/**
 * caller_watch_limit() - cut the connection off at a deadline
 * @watch: the watch
 * @caller: the connection, or NULL
 * @deadline_us: boot-time deadline; DEADLINE_NONE_US for none
 */
void caller_watch_limit(struct caller_watch *watch,
			struct watched_caller *caller, uint64_t deadline_us);

#endif
