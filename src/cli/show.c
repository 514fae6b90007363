#include "cli/show.h"

#include <stdio.h>
#include <stdlib.h>

#include "cli/fetch.h"
#include "codec/json_text.h"

#define ANSWER_TIMEOUT_MS 5000

struct json_object *show_parse(const GString *body, GError **error)
{
	return json_text_parse("answer", body->str, body->len, FETCH_MAX_BYTES,
			       error);
}

struct json_object *show_fetch(struct net_addr addr, const char *target,
			       bool json, GError **error)
{
	GString *body = fetch(addr, target, ANSWER_TIMEOUT_MS, error);
	struct json_object *answer;

	if (!body)
		return NULL;
	answer = show_parse(body, error);
	if (answer && json)
		printf("%s\n", body->str);
	g_string_free(body, TRUE);
	return answer;
}

int show_flush(void)
{
	return fflush(stdout) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int show_error(GError *error)
{
	fprintf(stderr, "nutmegcrank: %s\n", error->message);
	g_error_free(error);
	return EXIT_FAILURE;
}

struct json_object *show_member(struct json_object *object, const char *key)
{
	struct json_object *member = NULL;

	if (json_object_is_type(object, json_type_object))
		json_object_object_get_ex(object, key, &member);
	return member;
}

const char *show_text(struct json_object *object, const char *key)
{
	struct json_object *member = show_member(object, key);

	return member ? json_object_get_string(member) : "-";
}

bool show_flag(struct json_object *object, const char *key)
{
	return json_object_get_boolean(show_member(object, key)) != 0;
}

size_t show_count(struct json_object *list)
{
	if (!json_object_is_type(list, json_type_array))
		return 0;
	return json_object_array_length(list);
}
