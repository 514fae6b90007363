#include "core/ids.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* 224.0.0.0; addresses from here on are multicast or reserved. */
#define IP_MULTICAST_FIRST UINT32_C(0xe0000000)
/* 0.0.0.0 to 0.255.255.255 are not addresses of a host. */
#define IP_THIS_NETWORK_LAST UINT32_C(0x00ffffff)

static bool allowed_in_name(char c);

bool name_set(struct name *name, const char *text)
{
	size_t length = strlen(text);
	size_t i;

	if (length == 0 || length >= NAME_BYTES_MAX)
		return false;
	for (i = 0; i < length; i++) {
		if (!allowed_in_name(text[i]))
			return false;
	}
	memset(name, 0, sizeof(*name));
	memcpy(name->text, text, length);
	return true;
}

void name_lower(struct name *name)
{
	char *at;

	for (at = name->text; *at != '\0'; at++)
		*at = g_ascii_tolower(*at);
}

bool host_set(struct host_name *host, const char *text, size_t text_bytes)
{
	size_t i;

	if (text_bytes == 0 || text_bytes >= HOST_BYTES_MAX)
		return false;
	for (i = 0; i < text_bytes; i++) {
		if (!allowed_in_name(text[i]))
			return false;
		host->text[i] = g_ascii_tolower(text[i]);
	}
	host->text[text_bytes] = '\0';
	return true;
}

bool path_char_allowed(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("-._~!$&'()*+,;=:@%/", c));
}

bool path_char_received(char c)
{
	return g_ascii_isgraph(c) && c != '?' && c != '#';
}

bool name_equal(const struct name *a, const struct name *b)
{
	return strcmp(a->text, b->text) == 0;
}

bool start_named(const struct start_id *start)
{
	return start->instance.text[0] != '\0';
}

bool start_equal(const struct start_id *a, const struct start_id *b)
{
	return a->started_unix_ms == b->started_unix_ms &&
	       name_equal(&a->instance, &b->instance);
}

bool addr_equal(struct net_addr a, struct net_addr b)
{
	return a.ip == b.ip && a.port == b.port;
}

uint64_t addr_key(struct net_addr addr)
{
	return (uint64_t)addr.ip << 16 | addr.port;
}

int32_t addr_compare(struct net_addr a, struct net_addr b)
{
	if (a.ip != b.ip)
		return a.ip < b.ip ? -1 : 1;
	return (int32_t)a.port - (int32_t)b.port;
}

bool addr_parse(const char *text, struct net_addr *out)
{
	const char *colon = strchr(text, ':');
	char ip[ADDR_TEXT_BYTES];
	char *end;
	unsigned long port;
	size_t length;

	if (!colon)
		return false;
	length = (size_t)(colon - text);
	if (length >= sizeof(ip) || !isdigit((unsigned char)colon[1]))
		return false;
	memcpy(ip, text, length);
	ip[length] = '\0';
	port = strtoul(colon + 1, &end, 10);
	if (*end != '\0' || end - colon > 6 || port == 0 || port > UINT16_MAX)
		return false;
	if (!addr_ip_parse(ip, &out->ip))
		return false;
	out->port = (uint16_t)port;
	return true;
}

bool addr_ip_parse(const char *text, uint32_t *ip)
{
	struct in_addr in;

	if (inet_pton(AF_INET, text, &in) != 1)
		return false;
	*ip = ntohl(in.s_addr);
	return true;
}

bool ip_is_unicast(uint32_t ip)
{
	return ip > IP_THIS_NETWORK_LAST && ip < IP_MULTICAST_FIRST;
}

const char *addr_format(struct net_addr addr, char out[ADDR_TEXT_BYTES])
{
	snprintf(out, ADDR_TEXT_BYTES, "%u.%u.%u.%u:%u", addr.ip >> 24,
		 addr.ip >> 16 & 0xff, addr.ip >> 8 & 0xff, addr.ip & 0xff,
		 addr.port);
	return out;
}

const char *addr_ip_format(uint32_t ip, char out[ADDR_TEXT_BYTES])
{
	snprintf(out, ADDR_TEXT_BYTES, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 0xff,
		 ip >> 8 & 0xff, ip & 0xff);
	return out;
}

uint64_t hash_bytes(const void *data, size_t data_bytes, uint64_t seed)
{
	return XXH64(data, data_bytes, seed);
}

uint64_t hash_pair(struct net_addr a, struct net_addr b, uint64_t seed)
{
	uint32_t words[4] = { a.ip, a.port, b.ip, b.port };

	return hash_bytes(words, sizeof(words), seed);
}

static bool allowed_in_name(char c)
{
	return isalnum((unsigned char)c) || c == '-' || c == '_' || c == '.';
}
