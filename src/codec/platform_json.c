/* The platform's lists. */
#include "codec/document_json.h"

#include "codec/json_fields.h"
#include "codec/json_text.h"
#include "core/member.h"

#define INDEX_DOCUMENTS_MAX 4096
#define VERSION_MAX UINT64_C(999999999999999)

#define AT_INSTANCE(member) \
	.offset_bytes = offsetof(struct instance_doc, member)
#define AT_INDEX(member) .offset_bytes = offsetof(struct index_entry, member)
#define TABLE(list)                      \
	{                                \
		list, G_N_ELEMENTS(list) \
	}

/**
 * struct platform_list - a list that is being read
 * @entries: owned array
 * @seen: keys read so far
 * @version: the platform's version of the list
 */
struct platform_list {
	GArray *entries;
	GHashTable *seen;
	uint64_t version;
};

static const struct field_choice statuses[] = {
	{ "live", INSTANCE_LIVE },
	{ "leaving", INSTANCE_LEAVING },
};

static const struct json_field instance_fields[] = {
	{ "caller", FIELD_ADDR, true, AT_INSTANCE(caller) },
	{ "peer", FIELD_ADDR, true, AT_INSTANCE(peer) },
	{ "failure_domain", FIELD_NAME, true, AT_INSTANCE(domain) },
	{ "status", FIELD_CHOICE, true, AT_INSTANCE(status),
	  .choices = { statuses, G_N_ELEMENTS(statuses), INSTANCE_LIVE } },
};

static const struct json_field index_fields[] = {
	{ "key", FIELD_NAME, true, AT_INDEX(key) },
	{ "version", FIELD_U64, true, AT_INDEX(version),
	  .range = { 1, VERSION_MAX, 0 } },
};

static bool read_list(const char *label, const char *text, size_t text_bytes,
		      const struct json_list *list, uint32_t entry_bytes,
		      struct platform_list *out, GError **error);
static bool read_instance(const struct json_place *place, uint32_t index,
			  void *data, GError **error);
static bool read_index_entry(const struct json_place *place, uint32_t index,
			     void *data, GError **error);

bool instances_parse(const char *text, size_t text_bytes, uint64_t *version,
		     GArray **list, GError **error)
{
	const struct json_list how = {
		.key = "instances",
		.required = true,
		.max_items = MEMBERS_MAX,
		.read = read_instance,
	};
	struct platform_list out = { 0 };

	if (!read_list("instances", text, text_bytes, &how,
		       sizeof(struct instance_doc), &out, error))
		return false;
	*version = out.version;
	*list = out.entries;
	return true;
}

bool index_parse(const char *text, size_t text_bytes, uint64_t *version,
		 GArray **list, GError **error)
{
	const struct json_list how = {
		.key = "documents",
		.required = true,
		.max_items = INDEX_DOCUMENTS_MAX,
		.read = read_index_entry,
	};
	struct platform_list out = { 0 };

	if (!read_list("index", text, text_bytes, &how,
		       sizeof(struct index_entry), &out, error))
		return false;
	*version = out.version;
	*list = out.entries;
	return true;
}

static bool read_list(const char *label, const char *text, size_t text_bytes,
		      const struct json_list *list, uint32_t entry_bytes,
		      struct platform_list *out, GError **error)
{
	const struct json_field fields[] = {
		{ "version", FIELD_U64, true,
		  offsetof(struct platform_list, version),
		  .range = { 0, VERSION_MAX, 0 } },
		{ .key = list->key, .kind = FIELD_CUSTOM },
	};
	const struct field_table table = TABLE(fields);
	struct json_place place = { .label = label };
	bool ok;

	place.value =
		json_text_parse(label, text, text_bytes, DOC_BYTES_MAX, error);
	if (!place.value)
		return false;
	place.path = g_string_new(NULL);
	out->entries = g_array_new(FALSE, TRUE, entry_bytes);
	out->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ok = json_read_fields(&place, table, out, error) &&
	     json_read_list(&place, list, out, error);
	g_hash_table_unref(out->seen);
	g_string_free(place.path, TRUE);
	json_object_put(place.value);
	if (!ok)
		g_array_unref(out->entries);
	return ok;
}

static bool read_instance(const struct json_place *place, uint32_t index,
			  void *data, GError **error)
{
	const struct field_table table = TABLE(instance_fields);
	struct platform_list *list = data;
	struct instance_doc entry = { 0 };
	char text[ADDR_TEXT_BYTES];

	(void)index;
	if (!json_read_fields(place, table, &entry, error))
		return false;
	addr_format(entry.peer, text);
	if (!g_hash_table_add(list->seen, g_strdup(text)))
		return json_fail(place, "peer", SETTINGS_ERROR_DUPLICATE, error,
				 "instance stands twice; keep one");
	g_array_append_val(list->entries, entry);
	return true;
}

static bool read_index_entry(const struct json_place *place, uint32_t index,
			     void *data, GError **error)
{
	const struct field_table table = TABLE(index_fields);
	struct platform_list *list = data;
	struct index_entry entry = { 0 };

	(void)index;
	if (!json_read_fields(place, table, &entry, error))
		return false;
	if (!g_hash_table_add(list->seen, g_strdup(entry.key.text)))
		return json_fail(place, "key", SETTINGS_ERROR_DUPLICATE, error,
				 "key stands twice; keep one");
	g_array_append_val(list->entries, entry);
	return true;
}
