#ifndef CORE_IDS_H
#define CORE_IDS_H

/**
 * DOC: identities
 *
 * Small values that name things. All are copied by value and compare by
 * content.
 */

#include <stddef.h>

#include "core/units.h"

#define NAME_BYTES_MAX 64
#define PATH_BYTES_MAX 256
#define ADDR_TEXT_BYTES 24

/**
 * struct name - bounded, NUL-terminated name of a service, domain or class
 * @text: letters, digits, '-', '_' and '.'
 */
struct name {
	char text[NAME_BYTES_MAX];
};

/**
 * struct net_addr - IPv4 address and port, both in host byte order
 * @ip: address
 * @port: port; 0 means unset
 */
struct net_addr {
	uint32_t ip;
	uint16_t port;
};

/**
 * struct start_id - one start of a backend server
 * @instance: its name, empty when the team does not name it
 * @started_unix_ms: when it began, for a name that is used again; 0 when not told
 */
struct start_id {
	struct name instance;
	uint64_t started_unix_ms;
};

/**
 * struct exchange_id - one admitted request; a reused index gets another
 *	generation, so a late message never meets its successor
 * @index: place in the ticket table
 * @generation: how often the place was used
 */
struct exchange_id {
	uint32_t index;
	uint32_t generation;
};

/**
 * name_set() - copy a text into a name
 * @name: filled on success
 * @text: NUL-terminated
 *
 * Return: false when it is empty, too long or has a forbidden character.
 */
bool name_set(struct name *name, const char *text);

/**
 * name_lower() - write a name in lower case, as host names are compared
 * @name: changed
 */
void name_lower(struct name *name);

/**
 * name_equal() - compare two names
 * @a: one
 * @b: other
 *
 * Return: whether they are the same.
 */
bool name_equal(const struct name *a, const struct name *b);

/**
 * start_named() - whether a start can be told from others
 * @start: the start
 *
 * Return: false when another one may look the same.
 */
bool start_named(const struct start_id *start);

/**
 * start_equal() - compare two starts
 * @a: one
 * @b: other
 *
 * Return: whether they look the same.
 */
bool start_equal(const struct start_id *a, const struct start_id *b);

/**
 * addr_equal() - compare two addresses
 * @a: one
 * @b: other
 *
 * Return: whether they are the same.
 */
bool addr_equal(struct net_addr a, struct net_addr b);

/**
 * addr_key() - an address as a key of a hash table
 * @addr: the address
 *
 * Return: equal for equal addresses only.
 */
uint64_t addr_key(struct net_addr addr);

/**
 * addr_compare() - order two addresses
 * @a: one
 * @b: other
 *
 * Return: negative, 0 or positive.
 */
int32_t addr_compare(struct net_addr a, struct net_addr b);

/**
 * addr_parse() - read "a.b.c.d:port"
 * @text: NUL-terminated
 * @out: filled on success
 *
 * Return: false unless the whole text is an IPv4 address and a port from 1.
 */
bool addr_parse(const char *text, struct net_addr *out);

/**
 * addr_ip_parse() - read "a.b.c.d"
 * @text: NUL-terminated
 * @ip: filled on success, host byte order
 *
 * Return: false unless the whole text is an IPv4 address.
 */
bool addr_ip_parse(const char *text, uint32_t *ip);

/**
 * addr_format() - write "a.b.c.d:port"
 * @addr: the address
 * @out: at least ADDR_TEXT_BYTES long
 *
 * Return: @out.
 */
const char *addr_format(struct net_addr addr, char out[ADDR_TEXT_BYTES]);

/**
 * addr_ip_format() - write "a.b.c.d"
 * @ip: host byte order
 * @out: at least ADDR_TEXT_BYTES long
 *
 * Return: @out.
 */
const char *addr_ip_format(uint32_t ip, char out[ADDR_TEXT_BYTES]);

/**
 * hash_bytes() - 64-bit hash, the same on every instance
 * @data: what to hash
 * @data_bytes: its length
 * @seed: mixed in
 *
 * Return: the hash (xxHash64).
 */
uint64_t hash_bytes(const void *data, size_t data_bytes, uint64_t seed);

/**
 * hash_pair() - rank of one address for another, for rendezvous hashing
 * @a: one address
 * @b: other address
 * @seed: mixed in
 *
 * Return: the hash.
 */
uint64_t hash_pair(struct net_addr a, struct net_addr b, uint64_t seed);

#endif
