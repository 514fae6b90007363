#include "cli/log.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>

#include "codec/log_line.h"
#include "core/clock.h"
#include "core/error.h"
#include "ring/ring.h"

#define RING_LINES 2048
/* How long log_stop() waits for the remaining lines. */
#define STOP_TIMEOUT_US (500 * US_PER_MS)

/**
 * struct log_writer - the duty that writes log lines to standard output
 * @settings: log format and level, not owned
 * @ring: ring of owned char *, filled by all threads that log
 * @finished: ring of bool, gets an item when all lines have been written
 * @dropped_reported: number of dropped lines that the log has reported so far
 * @thread: thread of the duty
 */
struct log_writer {
	const struct settings *settings;
	struct ring *ring;
	struct ring *finished;
	uint64_t dropped_reported;
	pthread_t thread;
};

static struct log_writer writer;

static GLogWriterOutput queue_event(GLogLevelFlags level,
				    const GLogField *fields, gsize field_count,
				    gpointer data);
static bool start_thread(void);
static void *write_lines(void *data);
static void write_line(const char *line);
static void report_dropped(void);

bool log_setup(const struct settings *settings, GError **error)
{
	writer.settings = settings;
	writer.ring = ring_new(sizeof(char *), RING_LINES, 0);
	writer.finished = ring_new(sizeof(bool), 1, 0);
	if (!start_thread()) {
		g_set_error_literal(error, DUTY_ERROR, DUTY_ERROR_THREAD,
				    "log: cannot create its thread");
		return false;
	}
	g_log_set_writer_func(queue_event, &writer, NULL);
	return true;
}

void log_stop(uint64_t deadline_us)
{
	bool finished;

	ring_close(writer.ring);
	ring_pop(writer.finished, &finished,
		 MIN(clock_now_us() + STOP_TIMEOUT_US, deadline_us));
}

/*
 * Drops the line when the ring is full, so that a thread that logs never
 * waits.
 */
static GLogWriterOutput queue_event(GLogLevelFlags level,
				    const GLogField *fields, gsize field_count,
				    gpointer data)
{
	struct log_writer *target = data;
	char *line;

	if (!(level & target->settings->log_level))
		return G_LOG_WRITER_HANDLED;
	line = log_line(target->settings->log_format, level, fields,
			field_count, clock_now().unix_ms);
	if (ring_push(target->ring, &line) != RING_OK)
		g_free(line);
	return G_LOG_WRITER_HANDLED;
}

/*
 * Starts the writer thread with all signals blocked: the signal duty, which
 * starts later, is to receive them.
 */
static bool start_thread(void)
{
	sigset_t all_signals;
	sigset_t old_signals;
	bool started;

	if (sigfillset(&all_signals) != 0 ||
	    pthread_sigmask(SIG_SETMASK, &all_signals, &old_signals) != 0)
		return false;
	started = pthread_create(&writer.thread, NULL, write_lines, NULL) == 0;
	return pthread_sigmask(SIG_SETMASK, &old_signals, NULL) == 0 && started;
}

static void *write_lines(void *data)
{
	const bool finished = true;
	char *line;

	(void)data;
	while (ring_pop(writer.ring, &line, DEADLINE_NONE_US) == RING_OK) {
		write_line(line);
		g_free(line);
		report_dropped();
	}
	if (ring_push(writer.finished, &finished) != RING_OK)
		fputs("log: cannot report that all lines are "
		      "written\n",
		      stderr);
	return NULL;
}

/* A failed write is ignored: there is nowhere else to report it. */
static void write_line(const char *line)
{
	if (fputs(line, stdout) < 0 || fflush(stdout) != 0)
		clearerr(stdout);
}

static void report_dropped(void)
{
	uint64_t dropped = ring_refused(writer.ring);
	char *json;

	if (dropped == writer.dropped_reported)
		return;
	json = g_strdup_printf("{\"level\":\"warning\",\"message\":\"log: "
			       "%" G_GUINT64_FORMAT " lines dropped, standard "
			       "output is read too slowly\"}\n",
			       dropped - writer.dropped_reported);
	writer.dropped_reported = dropped;
	write_line(json);
	g_free(json);
}
