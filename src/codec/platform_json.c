/* Parsing of the platform's list of instances and index of documents. */
#include "codec/document_json.h"

#include "codec/json_fields.h"
#include "codec/json_text.h"
#include "core/member.h"

/* json-c reads integers that are too large for it as INT64_MAX. */
#define VERSION_MAX ((uint64_t)INT64_MAX - 1)

#define AT_INSTANCE(member) \
	.offset_bytes = offsetof(struct instance_doc, member)
#define AT_INDEX(member) .offset_bytes = offsetof(struct index_entry, member)
#define TABLE(list)                      \
	{                                \
		list, G_N_ELEMENTS(list) \
	}

enum list_kind { LIST_INSTANCES, LIST_INDEX };

/**
 * struct platform_list - list that is being parsed
 * @kind: type of the entries
 * @entries: array of parsed entries; handed to the caller on success
 * @seen: set of keys of the parsed entries, to detect duplicates
 * @version: the platform's version of the list
 */
struct platform_list {
	enum list_kind kind;
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

static bool parse_list(const char *label, const char *text, size_t text_bytes,
		       const struct json_list *spec, struct platform_list *list,
		       GError **error);
static bool read_entries(const struct json_node *node,
			 const struct json_list *spec,
			 struct platform_list *list, GError **error);
static bool read_instance(const struct json_node *node,
			  struct platform_list *list, GError **error);
static bool read_index_entry(const struct json_node *node,
			     struct platform_list *list, GError **error);

bool instances_parse(const char *text, size_t text_bytes, uint64_t *version,
		     GArray **list, GError **error)
{
	const struct json_list spec = {
		.key = "instances",
		.required = true,
		.max_items = MEMBERS_MAX,
	};
	struct platform_list out = { .kind = LIST_INSTANCES };

	out.entries = g_array_new(FALSE, TRUE, sizeof(struct instance_doc));
	if (!parse_list("instances", text, text_bytes, &spec, &out, error))
		return false;
	*version = out.version;
	*list = out.entries;
	return true;
}

bool index_parse(const char *text, size_t text_bytes, uint64_t *version,
		 GArray **list, GError **error)
{
	const struct json_list spec = {
		.key = "documents",
		.required = true,
		.max_items = DOCUMENTS_MAX,
	};
	struct platform_list out = { .kind = LIST_INDEX };

	out.entries = g_array_new(FALSE, TRUE, sizeof(struct index_entry));
	if (!parse_list("index", text, text_bytes, &spec, &out, error))
		return false;
	*version = out.version;
	*list = out.entries;
	return true;
}

/* Releases the entries when the list is invalid. */
static bool parse_list(const char *label, const char *text, size_t text_bytes,
		       const struct json_list *spec, struct platform_list *list,
		       GError **error)
{
	const struct json_field fields[] = {
		{ "version", FIELD_U64, true,
		  offsetof(struct platform_list, version),
		  .range = { 0, VERSION_MAX, 0 } },
		{ .key = spec->key, .kind = FIELD_CUSTOM },
	};
	const struct field_table table = TABLE(fields);
	struct json_node node = { .label = label };
	bool ok = false;

	node.path = g_string_new(NULL);
	list->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	node.value =
		json_text_parse(label, text, text_bytes, DOC_BYTES_MAX, error);
	if (node.value)
		ok = json_read_fields(&node, table, list, error) &&
		     read_entries(&node, spec, list, error);
	json_object_put(node.value);
	g_hash_table_unref(list->seen);
	g_string_free(node.path, TRUE);
	if (!ok)
		g_array_unref(list->entries);
	return ok;
}

static bool read_entries(const struct json_node *node,
			 const struct json_list *spec,
			 struct platform_list *list, GError **error)
{
	struct json_list_iter iter;
	bool ok = true;

	if (!json_list_iter_init(node, spec, &iter, error))
		return false;
	while (ok && json_list_iter_next(&iter)) {
		switch (list->kind) {
		case LIST_INSTANCES:
			ok = read_instance(&iter.item, list, error);
			break;
		case LIST_INDEX:
			ok = read_index_entry(&iter.item, list, error);
			break;
		}
	}
	return ok;
}

static bool read_instance(const struct json_node *node,
			  struct platform_list *list, GError **error)
{
	const struct field_table table = TABLE(instance_fields);
	struct instance_doc entry = { 0 };
	char text[ADDR_TEXT_BYTES];

	if (!json_read_fields(node, table, &entry, error))
		return false;
	addr_format(entry.peer, text);
	if (!g_hash_table_add(list->seen, g_strdup(text)))
		return json_fail(node, "peer", SETTINGS_ERROR_DUPLICATE, error,
				 "duplicate instance; keep one");
	g_array_append_val(list->entries, entry);
	return true;
}

static bool read_index_entry(const struct json_node *node,
			     struct platform_list *list, GError **error)
{
	const struct field_table table = TABLE(index_fields);
	struct index_entry entry = { 0 };

	if (!json_read_fields(node, table, &entry, error))
		return false;
	if (!g_hash_table_add(list->seen, g_strdup(entry.key.text)))
		return json_fail(node, "key", SETTINGS_ERROR_DUPLICATE, error,
				 "duplicate key; keep one");
	g_array_append_val(list->entries, entry);
	return true;
}
