#include "codec/json_error.h"

#include <string.h>

/* Longer keys are truncated in the path of an error. */
#define PATH_KEY_BYTES_MAX 64

bool json_error_set(GError **error, enum settings_error code, const char *label,
		    const char *path, const char *format, ...)
{
	va_list args;
	char *reason;

	va_start(args, format);
	reason = g_strdup_vprintf(format, args);
	va_end(args);
	g_set_error(error, SETTINGS_ERROR, (gint)code, "%s: %s: %s", label,
		    *path ? path : "document", reason);
	g_free(reason);
	return false;
}

void json_path_add_key(GString *path, const char *key)
{
	size_t length = strnlen(key, PATH_KEY_BYTES_MAX);
	size_t i;

	if (path->len > 0)
		g_string_append_c(path, '.');
	for (i = 0; i < length; i++) {
		if (g_ascii_isalnum(key[i]) || strchr("-_", key[i]))
			g_string_append_c(path, key[i]);
		else
			g_string_append_c(path, '?');
	}
}

void json_path_add_index(GString *path, uint32_t index)
{
	g_string_append_printf(path, "[%u]", index);
}
