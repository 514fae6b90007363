#ifndef BENCH_PROCESS_H
#define BENCH_PROCESS_H

/**
 * DOC: child processes, free ports and HTTP requests of the measurements
 */

#include <glib.h>

#include "core/units.h"

/**
 * process_start() - start a program of the build directory
 * @args: program name and arguments, NULL-terminated
 *
 * The output of the child is discarded. It is killed when this process ends.
 * Aborts this program when it cannot fork.
 *
 * Return: process id of the child; if the program cannot be executed, the
 * child exits with an error.
 */
int32_t process_start(const char *const *args);

/**
 * process_stop() - kill a child process and wait for its end
 * @pid: process id
 */
void process_stop(int32_t pid);

/**
 * process_cpu_us() - CPU time that a process has used
 * @pid: process id
 *
 * Return: user and system time, in microseconds; 0 when it cannot be read.
 */
uint64_t process_cpu_us(int32_t pid);

/**
 * ports_find() - find a range of unused TCP ports
 * @count: number of consecutive ports
 *
 * Tries ranges until one is unused; the process id selects the one to begin
 * with. The ports are not reserved.
 *
 * Return: the first port of the range.
 */
uint16_t ports_find(uint32_t count);

/**
 * http_put_text() - send a PUT request
 * @url: target
 * @text: body
 *
 * Return: whether the status of the answer was 200.
 */
bool http_put_text(const char *url, const char *text);

/**
 * http_wait_ok() - repeat a GET request until its status is 200
 * @url: target
 * @timeout_ms: time after which no further request is sent
 *
 * Return: whether the status was 200 before the timeout.
 */
bool http_wait_ok(const char *url, uint32_t timeout_ms);

/**
 * http_get_text() - send a GET request
 * @url: target
 *
 * Return: body of an answer with status 200, owned by the caller; NULL for any
 * other status or none.
 */
char *http_get_text(const char *url);

#endif
