#include "codec/time_text.h"

#include <glib.h>

char *time_text(uint64_t unix_ms)
{
	gint64 unix_s = (gint64)MIN(unix_ms / MS_PER_S, UINT32_MAX);
	GDateTime *time = g_date_time_new_from_unix_utc(unix_s);
	char *seconds = g_date_time_format(time, "%Y-%m-%dT%H:%M:%S");
	char *text = g_strdup_printf("%s.%03uZ", seconds,
				     (uint32_t)(unix_ms % MS_PER_S));

	g_free(seconds);
	g_date_time_unref(time);
	return text;
}
