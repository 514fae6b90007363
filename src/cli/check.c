#include "cli/check.h"

#include <stdio.h>
#include <stdlib.h>

#include "codec/document_json.h"
#include "codec/json_error.h"
#include "codec/json_text.h"

static bool check_file(const char *path, GError **error);
static bool check_text(const char *path, const char *text, size_t text_bytes,
		       GError **error);
static bool is_document(const char *text, size_t text_bytes);

int check_main(const struct check_args *args)
{
	int status = EXIT_SUCCESS;
	GError *error = NULL;
	int32_t i;

	for (i = 0; i < args->path_count; i++) {
		if (check_file(args->paths[i], &error)) {
			printf("%s: accepted\n", args->paths[i]);
			continue;
		}
		fprintf(stderr, "%s\n", error->message);
		g_clear_error(&error);
		status = EXIT_FAILURE;
	}
	return status;
}

static bool check_file(const char *path, GError **error)
{
	GError *cause = NULL;
	gsize text_bytes;
	char *text;
	bool ok;

	if (!g_file_get_contents(path, &text, &text_bytes, &cause)) {
		json_error_set(error, SETTINGS_ERROR_IO, path, "",
			       "%s; name a readable file", cause->message);
		g_error_free(cause);
		return false;
	}
	ok = check_text(path, text, text_bytes, error);
	g_free(text);
	return ok;
}

static bool check_text(const char *path, const char *text, size_t text_bytes,
		       GError **error)
{
	struct service_doc *doc;
	struct settings settings;

	if (!is_document(text, text_bytes))
		return settings_parse(path, text, text_bytes, &settings, error);
	doc = service_doc_parse(path, text, text_bytes, 1, error);
	service_doc_unref(doc);
	return doc != NULL;
}

/* A service document has the member "service", a settings file has not. */
static bool is_document(const char *text, size_t text_bytes)
{
	struct json_object *root =
		json_text_parse("", text, text_bytes, DOC_BYTES_MAX, NULL);
	bool has_service = json_object_object_get_ex(root, "service", NULL);

	json_object_put(root);
	return has_service;
}
