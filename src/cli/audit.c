#include "cli/audit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/fetch.h"
#include "cli/show.h"
#include "codec/audit_line.h"
#include "codec/json_text.h"

#define ANSWER_TIMEOUT_MS 5000
/* With --follow the instance delays its answer this long for new records. */
#define FOLLOW_WAIT_MS 10000
#define LINE_MAX_BYTES 65536

static bool print_lines(const GString *body, bool json, uint64_t *sequence,
			GError **error);
static bool print_line(const char *line, bool json, uint64_t *sequence,
		       GError **error);

int audit_main(const struct audit_args *args)
{
	uint64_t sequence = args->since_sequence;
	uint32_t wait_ms = args->follow ? FOLLOW_WAIT_MS : 0;
	GError *error = NULL;
	GString *body;
	char *target;
	bool ok;

	do {
		target = g_strdup_printf("/audit?since=%" G_GUINT64_FORMAT
					 "&wait_ms=%u",
					 sequence, wait_ms);
		body = fetch(args->addr, target, ANSWER_TIMEOUT_MS + wait_ms,
			     &error);
		g_free(target);
		if (!body)
			return show_error(error);
		ok = print_lines(body, args->json, &sequence, &error);
		g_string_free(body, TRUE);
		if (!ok)
			return show_error(error);
		if (fflush(stdout) != 0)
			return EXIT_FAILURE;
	} while (args->follow);
	return EXIT_SUCCESS;
}

/* Prints all records and sets @sequence to that of the last one. */
static bool print_lines(const GString *body, bool json, uint64_t *sequence,
			GError **error)
{
	char **lines = g_strsplit(body->str, "\n", -1);
	bool ok = true;
	uint32_t i;

	for (i = 0; ok && lines[i]; i++) {
		if (lines[i][0])
			ok = print_line(lines[i], json, sequence, error);
	}
	g_strfreev(lines);
	return ok;
}

static bool print_line(const char *line, bool json, uint64_t *sequence,
		       GError **error)
{
	struct json_object *record = json_text_parse(
		"audit", line, strlen(line), LINE_MAX_BYTES, error);
	char *text;

	if (!record)
		return false;
	*sequence = json_object_get_uint64(show_member(record, "sequence"));
	text = json ? g_strdup(line) : audit_line_text(record);
	printf("%s\n", text);
	g_free(text);
	json_object_put(record);
	return true;
}
