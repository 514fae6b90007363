#ifndef CORE_IDS_H
#define CORE_IDS_H

/**
 * DOC: identities
 *
 * Small identifiers that are copied by value and compared by content.
 */

#include <stddef.h>

#include "core/units.h"

#define NAME_BYTES_MAX 64
/* A domain name has at most 253 characters. */
#define HOST_BYTES_MAX 256
#define PATH_BYTES_MAX 256
/* Space for the text of an address, with its final NUL. */
#define ADDR_TEXT_BYTES 24

/**
 * struct name - bounded, NUL-terminated name of a service, domain or class
 * @text: consists of letters, digits, '-', '_' and '.'
 */
struct name {
	char text[NAME_BYTES_MAX];
};

/**
 * struct host_name - bounded, NUL-terminated name of a host
 * @text: consists of the characters of a name, in lower case
 */
struct host_name {
	char text[HOST_BYTES_MAX];
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
 * struct start_id - identifies one start of a backend server
 * @instance: name of the start, empty if the document gives none
 * @started_unix_ms: wall-clock time of the start, tells starts with the same
 *	name apart; 0 if the document gives none
 */
struct start_id {
	struct name instance;
	uint64_t started_unix_ms;
};

/**
 * struct exchange_id - identifies the exchanges of one admitted request; a
 *	reused index gets a new generation, so that a late message never refers
 *	to a later request
 * @index: index into the ticket table
 * @generation: how often the index has been used
 */
struct exchange_id {
	uint32_t index;
	uint32_t generation;
};

/**
 * name_set() - copy a text into a name
 * @name: filled on success
 * @text: NUL-terminated text
 *
 * Return: false if it is empty, too long or has a character that is not
 * allowed.
 */
bool name_set(struct name *name, const char *text);

/**
 * name_lower() - convert a name to lower case, for comparing host names
 * @name: changed in place
 */
void name_lower(struct name *name);

/**
 * host_set() - copy a text into the name of a host, in lower case
 * @host: filled on success
 * @text: text, need not be NUL-terminated
 * @text_bytes: length of @text
 *
 * Return: false if it is empty, too long or has a character that is not
 * allowed in a name.
 */
bool host_set(struct host_name *host, const char *text, size_t text_bytes);

/**
 * path_char_allowed() - whether a path may contain a character as it is
 * @c: the character
 *
 * Return: false for those that must be percent-encoded, and for the begin of a
 * query or fragment.
 */
bool path_char_allowed(char c);

/**
 * path_char_received() - whether the path of a request may contain a character
 * @c: the character
 *
 * Return: true for all printable ASCII characters but those that begin a query
 * or a fragment; more than path_char_allowed(), as callers do not always encode
 * what they should.
 */
bool path_char_received(char c);

/**
 * name_equal() - compare two names
 * @a: first name
 * @b: second name
 *
 * Return: true if they are equal.
 */
bool name_equal(const struct name *a, const struct name *b);

/**
 * start_named() - whether a start has a name
 * @start: start of a backend server
 *
 * Return: false if it cannot be told from other starts at the same address.
 */
bool start_named(const struct start_id *start);

/**
 * start_equal() - compare two starts
 * @a: first start
 * @b: second start
 *
 * Return: true if name and start time are equal.
 */
bool start_equal(const struct start_id *a, const struct start_id *b);

/**
 * addr_equal() - compare two addresses
 * @a: first address
 * @b: second address
 *
 * Return: true if they are equal.
 */
bool addr_equal(struct net_addr a, struct net_addr b);

/**
 * addr_key() - convert an address to a hash table key
 * @addr: address to convert
 *
 * Return: a key that is unique for each address.
 */
uint64_t addr_key(struct net_addr addr);

/**
 * addr_compare() - order two addresses by IP address, then port
 * @a: first address
 * @b: second address
 *
 * Return: negative, 0 or positive, as for strcmp().
 */
int32_t addr_compare(struct net_addr a, struct net_addr b);

/**
 * addr_parse() - parse "a.b.c.d:port"
 * @text: NUL-terminated text
 * @out: filled on success
 *
 * Return: false unless the whole text is an IPv4 address and a port other than
 * 0.
 */
bool addr_parse(const char *text, struct net_addr *out);

/**
 * addr_ip_parse() - parse "a.b.c.d"
 * @text: NUL-terminated text
 * @ip: filled on success, host byte order
 *
 * Return: false unless the whole text is an IPv4 address.
 */
bool addr_ip_parse(const char *text, uint32_t *ip);

/**
 * ip_is_unicast() - whether an address can be that of a single host
 * @ip: address in host byte order
 *
 * Return: false for 0.0.0.0/8, multicast and reserved addresses.
 */
bool ip_is_unicast(uint32_t ip);

/**
 * addr_format() - format an address as "a.b.c.d:port"
 * @addr: address to format
 * @out: at least ADDR_TEXT_BYTES long
 *
 * Return: @out.
 */
const char *addr_format(struct net_addr addr, char out[ADDR_TEXT_BYTES]);

/**
 * addr_ip_format() - format an IP address as "a.b.c.d"
 * @ip: address in host byte order
 * @out: at least ADDR_TEXT_BYTES long
 *
 * Return: @out.
 */
const char *addr_ip_format(uint32_t ip, char out[ADDR_TEXT_BYTES]);

/**
 * hash_bytes() - 64-bit hash (xxHash64), the same on every instance
 * @data: bytes to hash
 * @data_bytes: length of @data
 * @seed: seed of the hash
 *
 * Return: hash of @data; different seeds give independent hashes.
 */
uint64_t hash_bytes(const void *data, size_t data_bytes, uint64_t seed);

/**
 * hash_pair() - rank of one address for another, for rendezvous hashing
 * @a: first address
 * @b: second address
 * @seed: seed of the hash
 *
 * Return: 64-bit hash of both, the same on every instance; it depends on the
 * order of @a and @b.
 */
uint64_t hash_pair(struct net_addr a, struct net_addr b, uint64_t seed);

#endif
