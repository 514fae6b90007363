#include "cli/entries.h"

#include <stdio.h>
#include <stdlib.h>

#include "cli/show.h"
#include "codec/time_text.h"

static void print_entries(struct json_object *answer);

int entries_main(const struct entries_args *args)
{
	char *target = g_strdup_printf("/.nutmegcrank/entries?service=%s",
				       args->service.text);
	GError *error = NULL;
	struct json_object *answer =
		show_fetch(args->addr, target, args->json, &error);

	g_free(target);
	if (!answer)
		return show_error(error);
	if (!args->json)
		print_entries(answer);
	json_object_put(answer);
	return show_flush();
}

static void print_entries(struct json_object *answer)
{
	struct json_object *entries = show_member(answer, "entries");
	char *expires = time_text(
		json_object_get_uint64(show_member(answer, "expires_unix_ms")));
	struct json_object *entry;
	size_t i;

	printf("%s until %s\n", show_text(answer, "service"), expires);
	g_free(expires);
	for (i = 0; i < show_count(entries); i++) {
		entry = json_object_array_get_idx(entries, i);
		printf("  %s:%s  %s\n", show_text(entry, "ip"),
		       show_text(entry, "port"),
		       show_text(entry, "failure_domain"));
	}
}
