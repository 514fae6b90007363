#include "codec/customer_json.h"

#include "core/routing.h"

#define AT(member) .offset_bytes = offsetof(struct customer, member)

static const struct json_field customer_fields[] = {
	{ "name", FIELD_NAME, true, AT(name) },
	{ "priority", FIELD_U32, false, AT(priority),
	  .range = { 0, ROUTING_PRIORITY_MAX, 0 } },
	{ "rate_per_s", FIELD_PERMILLE, false, AT(rate_milli),
	  .range = { 0, CUSTOMER_RATE_MAX_MILLI, 0 } },
	{ "burst", FIELD_U32, false, AT(burst_requests),
	  .range = { 0, CUSTOMER_BURST_MAX_REQUESTS, 0 } },
	{ .key = "key_hashes", .kind = FIELD_CUSTOM },
};

static bool read_customer(const struct json_node *node,
			  struct customer_table *table, GError **error);
static bool read_keys(const struct json_node *node,
		      struct customer_table *table,
		      const struct customer *customer, GError **error);
static bool read_key(const struct json_node *node, struct customer_table *table,
		     const struct customer *customer, GError **error);

bool customers_read(const struct json_node *node, struct customer_table **out,
		    GError **error)
{
	const struct json_list list = {
		.key = "customers",
		.max_items = CUSTOMERS_MAX,
	};
	struct json_list_iter iter;

	*out = NULL;
	if (!json_has(node, list.key))
		return true;
	if (!json_list_iter_init(node, &list, &iter, error))
		return false;
	*out = customer_table_new();
	while (json_list_iter_next(&iter)) {
		if (!read_customer(&iter.item, *out, error))
			return false;
	}
	return true;
}

static bool read_customer(const struct json_node *node,
			  struct customer_table *table, GError **error)
{
	const struct field_table fields = { customer_fields,
					    G_N_ELEMENTS(customer_fields) };
	struct customer customer = { 0 };
	const struct customer *added;

	if (!json_read_fields(node, fields, &customer, error))
		return false;
	customer.has_priority = json_has(node, "priority");
	added = customer_table_add(table, &customer);
	if (!added)
		return json_fail(node, "name", SETTINGS_ERROR_DUPLICATE, error,
				 "duplicate customer %s; keep one",
				 customer.name.text);
	return read_keys(node, table, added, error);
}

static bool read_keys(const struct json_node *node,
		      struct customer_table *table,
		      const struct customer *customer, GError **error)
{
	const struct json_list list = {
		.key = "key_hashes",
		.required = true,
		.max_items = CUSTOMER_KEYS_MAX,
	};
	struct json_list_iter iter;

	if (!json_list_iter_init(node, &list, &iter, error))
		return false;
	while (json_list_iter_next(&iter)) {
		if (!read_key(&iter.item, table, customer, error))
			return false;
	}
	return true;
}

static bool read_key(const struct json_node *node, struct customer_table *table,
		     const struct customer *customer, GError **error)
{
	struct key_hash hash;

	if (!json_object_is_type(node->value, json_type_string) ||
	    !key_hash_parse(json_object_get_string(node->value), &hash))
		return json_fail(node, NULL, SETTINGS_ERROR_RANGE, error,
				 "not the %d hexadecimal digits of a SHA-256; "
				 "write the hash of the key",
				 KEY_HASH_TEXT_BYTES - 1);
	if (customer_table_add_key(table, customer, &hash))
		return true;
	return json_fail(node, NULL, SETTINGS_ERROR_DUPLICATE, error,
			 "duplicate key, or more than %d keys; keep one",
			 CUSTOMER_KEYS_MAX);
}
