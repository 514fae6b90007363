#include "runlog.h"

#include "http.h"

static GMutex lock;
static GArray *runs;

static uint32_t append_run(struct run run, const char *id, const char *method);
static const char *end_name(enum run_end end);

uint32_t runlog_begin(const char *id, uint16_t port, const char *method)
{
	const struct run run = { .port = port,
				 .begin_unix_us = unix_now_us(),
				 .end = RUN_RUNNING };

	return append_run(run, id, method);
}

void runlog_shed(const char *id, uint16_t port, const char *method,
		 uint32_t retry_after_s)
{
	const struct run run = { .port = port,
				 .begin_unix_us = unix_now_us(),
				 .end = RUN_SHED,
				 .retry_after_s = retry_after_s };

	append_run(run, id, method);
}

static uint32_t append_run(struct run run, const char *id, const char *method)
{
	uint32_t index;

	if (id != NULL && !name_set(&run.id, id))
		g_warning("request id is not a valid name; logged without it");
	g_strlcpy(run.method, method, sizeof(run.method));
	g_mutex_lock(&lock);
	if (runs == NULL)
		runs = g_array_new(FALSE, FALSE, sizeof(struct run));
	index = runs->len;
	if (index < RUNLOG_MAX)
		g_array_append_val(runs, run);
	g_mutex_unlock(&lock);
	if (index >= RUNLOG_MAX)
		g_warning("run log is full; request not logged");
	return index;
}

void runlog_end(uint32_t index, enum run_end end)
{
	struct run *run;

	g_mutex_lock(&lock);
	if (runs != NULL && index < runs->len) {
		run = &g_array_index(runs, struct run, index);
		run->end_unix_us = unix_now_us();
		run->end = end;
	}
	g_mutex_unlock(&lock);
}

char *runlog_text(void)
{
	GString *text = g_string_new(NULL);

	g_mutex_lock(&lock);
	for (uint32_t i = 0; runs != NULL && i < runs->len; i++) {
		const struct run *run = &g_array_index(runs, struct run, i);

		g_string_append_printf(
			text,
			"{\"id\":\"%s\",\"port\":%u,\"method\":\"%s\","
			"\"begin_unix_us\":%" G_GUINT64_FORMAT
			",\"end_unix_us\":%" G_GUINT64_FORMAT
			",\"end\":\"%s\",\"retry_after_s\":%u}\n",
			run->id.text, run->port, run->method,
			run->begin_unix_us, run->end_unix_us,
			end_name(run->end), run->retry_after_s);
	}
	g_mutex_unlock(&lock);
	return g_string_free(text, FALSE);
}

json_object *runlog_counts(void)
{
	json_object *counts = json_object_new_object();

	g_mutex_lock(&lock);
	for (uint32_t i = 0; runs != NULL && i < runs->len; i++) {
		const struct run *run = &g_array_index(runs, struct run, i);
		const char *id = run->id.text;
		json_object *count;

		if (run->end == RUN_SHED)
			continue;
		if (json_object_object_get_ex(counts, id, &count))
			json_object_int_inc(count, 1);
		else
			json_object_object_add(counts, id,
					       json_object_new_int(1));
	}
	g_mutex_unlock(&lock);
	return counts;
}

static const char *end_name(enum run_end end)
{
	switch (end) {
	case RUN_RUNNING:
		return "running";
	case RUN_COMPLETE:
		return "whole";
	case RUN_INCOMPLETE:
		return "broken";
	case RUN_CANCELLED:
		return "cancelled";
	case RUN_SHED:
		return "shed";
	}
	return "";
}
