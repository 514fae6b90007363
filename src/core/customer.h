#ifndef CORE_CUSTOMER_H
#define CORE_CUSTOMER_H

/**
 * DOC: customers
 *
 * The customers of one version of the routing table, found by the hash of a
 * key. The keys themselves are not kept.
 */

#include <glib.h>

#include "core/ids.h"

#define CUSTOMERS_MAX 65536
#define CUSTOMER_KEYS_MAX 262144
#define CUSTOMER_BURST_MAX_REQUESTS 1000000000
#define CUSTOMER_RATE_MAX_MILLI UINT32_C(4000000000)
#define KEY_HASH_BYTES 32
/* Hexadecimal digits of a hash and a final NUL. */
#define KEY_HASH_TEXT_BYTES (2 * KEY_HASH_BYTES + 1)

/**
 * struct key_hash - SHA-256 of a key
 * @bytes: the digest
 */
struct key_hash {
	uint8_t bytes[KEY_HASH_BYTES];
};

/**
 * enum credential_kind - what a request shows of its customer
 * @CREDENTIAL_NONE: no credentials
 * @CREDENTIAL_KEY: one well-formed key
 * @CREDENTIAL_INVALID: credentials that are malformed or given more than once
 */
enum credential_kind { CREDENTIAL_NONE, CREDENTIAL_KEY, CREDENTIAL_INVALID };

/**
 * struct credential - credentials of a request
 * @kind: which credentials the request has
 * @key_hash: with CREDENTIAL_KEY
 */
struct credential {
	enum credential_kind kind;
	struct key_hash key_hash;
};

/**
 * struct customer - one customer
 * @name: name, unique in its table
 * @hash: hash of @name, identifies the customer in messages between instances
 * @has_priority: @priority replaces the priority of the routes
 * @priority: 0 is served first
 * @rate_milli: requests per second over the whole fleet, in thousandths; 0 for
 *	no limit
 * @burst_requests: requests that may come at once after a time without any
 */
struct customer {
	struct name name;
	uint64_t hash;
	bool has_priority;
	uint32_t priority;
	uint32_t rate_milli;
	uint32_t burst_requests;
};

/**
 * struct customer_table - customers of one version of the routing table
 * @by_key: struct key_hash to struct customer, owns the key hashes
 * @by_name: name to struct customer, owns the customers
 * @by_hash: hash of the name to struct customer
 * @has_limits: a customer has a rate limit
 */
struct customer_table {
	GHashTable *by_key;
	GHashTable *by_name;
	GHashTable *by_hash;
	bool has_limits;
};

/**
 * customer_table_new() - create an empty table
 *
 * Return: a table to be freed with customer_table_free().
 */
struct customer_table *customer_table_new(void);

/**
 * customer_table_free() - free a table and its customers
 * @table: table to free, or NULL
 */
void customer_table_free(struct customer_table *table);

/**
 * customer_table_add() - add a customer without keys
 * @table: table to add to
 * @customer: copied; its hash is computed
 *
 * Return: the customer in the table; NULL if the name is taken or the table
 * has CUSTOMERS_MAX customers.
 */
const struct customer *customer_table_add(struct customer_table *table,
					  const struct customer *customer);

/**
 * customer_table_add_key() - add a key of a customer
 * @table: table to add to
 * @customer: customer of the table
 * @hash: hash of the key, copied
 *
 * Return: false if the table has the key already, or CUSTOMER_KEYS_MAX keys.
 */
bool customer_table_add_key(struct customer_table *table,
			    const struct customer *customer,
			    const struct key_hash *hash);

/**
 * customer_by_key() - find the customer that holds a key
 * @table: table to search
 * @hash: hash of the key
 *
 * Return: the customer or NULL.
 */
const struct customer *customer_by_key(const struct customer_table *table,
				       const struct key_hash *hash);

/**
 * customer_by_hash() - find a customer by the hash of its name
 * @table: table to search
 * @hash: hash of the name
 *
 * Return: the customer or NULL.
 */
const struct customer *customer_by_hash(const struct customer_table *table,
					uint64_t hash);

/**
 * key_hash_of() - hash a key
 * @key: the key, need not be NUL-terminated
 * @key_bytes: length of @key
 * @out: filled
 */
void key_hash_of(const char *key, size_t key_bytes, struct key_hash *out);

/**
 * key_hash_bucket() - hash function for hash tables by struct key_hash
 * @data: struct key_hash
 *
 * Return: its first bytes; the digest is uniform.
 */
guint key_hash_bucket(gconstpointer data);

/**
 * key_hash_equal() - compare two hashes of keys
 * @a: struct key_hash
 * @b: struct key_hash
 *
 * Return: TRUE if they are equal.
 */
gboolean key_hash_equal(gconstpointer a, gconstpointer b);

/**
 * key_hash_format() - format a hash as hexadecimal digits
 * @hash: hash to format
 * @out: filled with the text
 *
 * Return: @out.
 */
const char *key_hash_format(const struct key_hash *hash,
			    char out[KEY_HASH_TEXT_BYTES]);

/**
 * key_hash_parse() - parse a hash in hexadecimal digits
 * @text: NUL-terminated text
 * @out: filled on success
 *
 * Return: false unless the whole text is a hash.
 */
bool key_hash_parse(const char *text, struct key_hash *out);

#endif
