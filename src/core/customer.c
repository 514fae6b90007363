#include "core/customer.h"

#include <string.h>

struct customer_table *customer_table_new(void)
{
	struct customer_table *table = g_new0(struct customer_table, 1);

	table->by_key = g_hash_table_new_full(key_hash_bucket, key_hash_equal,
					      g_free, NULL);
	/* No key destructor: the key is the name of the customer itself. */
	table->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	table->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	return table;
}

void customer_table_free(struct customer_table *table)
{
	if (!table)
		return;
	g_hash_table_unref(table->by_key);
	g_hash_table_unref(table->by_hash);
	g_hash_table_unref(table->by_name);
	g_free(table);
}

const struct customer *customer_table_add(struct customer_table *table,
					  const struct customer *customer)
{
	struct customer *added;

	if (g_hash_table_size(table->by_name) >= CUSTOMERS_MAX ||
	    g_hash_table_contains(table->by_name, customer->name.text))
		return NULL;
	added = g_memdup2(customer, sizeof(*customer));
	added->hash = hash_bytes(added->name.text, strlen(added->name.text), 0);
	g_hash_table_insert(table->by_name, added->name.text, added);
	g_hash_table_insert(table->by_hash, &added->hash, added);
	if (added->rate_milli > 0)
		table->has_limits = true;
	return added;
}

bool customer_table_add_key(struct customer_table *table,
			    const struct customer *customer,
			    const struct key_hash *hash)
{
	if (g_hash_table_size(table->by_key) >= CUSTOMER_KEYS_MAX ||
	    g_hash_table_contains(table->by_key, hash))
		return false;
	g_hash_table_insert(table->by_key, g_memdup2(hash, sizeof(*hash)),
			    (gpointer)customer);
	return true;
}

const struct customer *customer_by_key(const struct customer_table *table,
				       const struct key_hash *hash)
{
	return g_hash_table_lookup(table->by_key, hash);
}

const struct customer *customer_by_hash(const struct customer_table *table,
					uint64_t hash)
{
	return g_hash_table_lookup(table->by_hash, &hash);
}

void key_hash_of(const char *key, size_t key_bytes, struct key_hash *out)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize digest_bytes = sizeof(out->bytes);

	g_checksum_update(checksum, (const guchar *)key, (gssize)key_bytes);
	g_checksum_get_digest(checksum, out->bytes, &digest_bytes);
	g_checksum_free(checksum);
}

const char *key_hash_format(const struct key_hash *hash,
			    char out[KEY_HASH_TEXT_BYTES])
{
	uint32_t i;

	for (i = 0; i < KEY_HASH_BYTES; i++)
		g_snprintf(out + 2 * (size_t)i, 3, "%02x", hash->bytes[i]);
	return out;
}

bool key_hash_parse(const char *text, struct key_hash *out)
{
	int32_t high;
	int32_t low;
	uint32_t i;

	if (strlen(text) != KEY_HASH_TEXT_BYTES - 1)
		return false;
	for (i = 0; i < KEY_HASH_BYTES; i++) {
		high = g_ascii_xdigit_value(text[2 * (size_t)i]);
		low = g_ascii_xdigit_value(text[2 * (size_t)i + 1]);
		if (high < 0 || low < 0)
			return false;
		out->bytes[i] = (uint8_t)(high * 16 + low);
	}
	return true;
}

guint key_hash_bucket(gconstpointer data)
{
	const struct key_hash *key = data;
	guint hash;

	memcpy(&hash, key->bytes, sizeof(hash));
	return hash;
}

gboolean key_hash_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct key_hash)) == 0;
}
