#include "cli/log.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>

#include "codec/log_line.h"
#include "core/clock.h"
#include "core/error.h"
#include "ring/ring.h"

#define RING_LINES 2048
/* What is left to write at the end of the process has this long. */
#define FLUSH_MAX_US (500 * US_PER_MS)

/**
 * struct log_writer - the duty that writes lines to standard output
 * @settings: not owned
 * @ring: ring of owned char *, joins it to all threads that log
 * @ended: ring of bool, tells that all is written
 * @dropped_told: dropped lines that a line has told of
 * @thread: its thread
 */
struct log_writer {
	const struct settings *settings;
	struct ring *ring;
	struct ring *ended;
	uint64_t dropped_told;
	pthread_t thread;
};

static struct log_writer writer;

static GLogWriterOutput take_event(GLogLevelFlags level,
				   const GLogField *fields, gsize field_count,
				   gpointer data);
static bool start_thread(void);
static void *write_lines(void *data);
static void write_line(const char *line);
static void tell_dropped(void);

bool log_setup(const struct settings *settings, GError **error)
{
	writer.settings = settings;
	writer.ring = ring_new(sizeof(char *), RING_LINES, 0);
	writer.ended = ring_new(sizeof(bool), 1, 0);
	if (!start_thread()) {
		g_set_error_literal(error, DUTY_ERROR, DUTY_ERROR_THREAD,
				    "log: cannot make its thread");
		return false;
	}
	g_log_set_writer_func(take_event, &writer, NULL);
	return true;
}

void log_stop(void)
{
	bool ended;

	ring_close(writer.ring);
	ring_pop(writer.ended, &ended, clock_now_us() + FLUSH_MAX_US);
}

/* A line that finds no room is dropped: whoever logs never waits. */
static GLogWriterOutput take_event(GLogLevelFlags level,
				   const GLogField *fields, gsize field_count,
				   gpointer data)
{
	struct log_writer *to = data;
	char *line;

	if (!(level & to->settings->log_level))
		return G_LOG_WRITER_HANDLED;
	line = log_line(to->settings->log_format, level, fields, field_count,
			clock_now().unix_ms);
	if (ring_push(to->ring, &line) != RING_OK)
		g_free(line);
	return G_LOG_WRITER_HANDLED;
}

/* Signals are the signal duty's, which starts later. */
static bool start_thread(void)
{
	sigset_t all;
	sigset_t before;
	bool started;

	if (sigfillset(&all) != 0 ||
	    pthread_sigmask(SIG_SETMASK, &all, &before) != 0)
		return false;
	started = pthread_create(&writer.thread, NULL, write_lines, NULL) == 0;
	return pthread_sigmask(SIG_SETMASK, &before, NULL) == 0 && started;
}

static void *write_lines(void *data)
{
	const bool ended = true;
	char *line;

	(void)data;
	while (ring_pop(writer.ring, &line, DEADLINE_NONE_US) == RING_OK) {
		write_line(line);
		g_free(line);
		tell_dropped();
	}
	if (ring_push(writer.ended, &ended) != RING_OK)
		fputs("log: cannot say that all is written\n", stderr);
	return NULL;
}

/* Nobody is left to tell when standard output is gone. */
static void write_line(const char *line)
{
	if (fputs(line, stdout) < 0 || fflush(stdout) != 0)
		clearerr(stdout);
}

static void tell_dropped(void)
{
	uint64_t dropped = ring_refused(writer.ring);
	char *json;

	if (dropped == writer.dropped_told)
		return;
	json = g_strdup_printf("{\"level\":\"warning\",\"message\":\"log: "
			       "%" G_GUINT64_FORMAT " lines dropped, standard "
			       "output is read too slowly\"}\n",
			       dropped - writer.dropped_told);
	writer.dropped_told = dropped;
	write_line(json);
	g_free(json);
}
