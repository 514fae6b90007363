#include "cli/log.h"

#include <stdio.h>

#include "codec/log_line.h"
#include "core/clock.h"

static GLogWriterOutput write_event(GLogLevelFlags level,
				    const GLogField *fields, gsize field_count,
				    gpointer data);

void log_setup(const struct settings *settings)
{
	g_log_set_writer_func(write_event, (gpointer)settings, NULL);
}

static GLogWriterOutput write_event(GLogLevelFlags level,
				    const GLogField *fields, gsize field_count,
				    gpointer data)
{
	const struct settings *settings = data;
	int written;
	char *line;

	if (!(level & settings->log_level))
		return G_LOG_WRITER_HANDLED;
	line = log_line(settings->log_format, level, fields, field_count,
			clock_now().unix_ms);
	/* One call, so that lines of two threads never mix. */
	written = fputs(line, stdout);
	if (written >= 0)
		written = fflush(stdout);
	g_free(line);
	return written < 0 ? G_LOG_WRITER_UNHANDLED : G_LOG_WRITER_HANDLED;
}
