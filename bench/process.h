#ifndef BENCH_PROCESS_H
#define BENCH_PROCESS_H

/**
 * DOC: child processes and orders to stand-ins
 */

#include <glib.h>

#include "core/units.h"

/**
 * process_start() - start a program of the build folder
 * @args: program name and arguments, NULL-terminated
 *
 * Its output is dropped. It ends with this process.
 *
 * Return: its id; the program ends when it cannot be started.
 */
int32_t process_start(const char *const *args);

/**
 * process_stop() - end a child process
 * @id: its id
 */
void process_stop(int32_t id);

/**
 * process_cpu_us() - CPU time that a process has used
 * @id: its id
 *
 * Return: user and system time, in microseconds; 0 when it cannot be read.
 */
uint64_t process_cpu_us(int32_t id);

/**
 * ports_find() - find ports that nothing uses and that follow each other
 * @count: how many
 *
 * Return: the first.
 */
uint16_t ports_find(uint32_t count);

/**
 * http_put_text() - send a text by PUT
 * @url: where
 * @text: what
 *
 * Return: whether it was answered with 200.
 */
bool http_put_text(const char *url, const char *text);

/**
 * http_wait_ok() - ask until the answer is 200
 * @url: where
 * @limit_ms: gives up then
 *
 * Return: whether it was in time.
 */
bool http_wait_ok(const char *url, uint32_t limit_ms);

/**
 * http_get_text() - read a text
 * @url: where
 *
 * Return: owned text of an answer with 200, else NULL.
 */
char *http_get_text(const char *url);

#endif
