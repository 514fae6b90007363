#ifndef CODEC_TEXT_PACK_H
#define CODEC_TEXT_PACK_H

/**
 * DOC: compression of documents that are sent between instances
 */

#include <glib.h>
#include <stdint.h>

/**
 * text_pack() - compress a text
 * @text: text to compress
 *
 * Return: owned zlib stream, or NULL when the text is longer than
 * ROUTING_BYTES_MAX or zlib fails.
 */
GByteArray *text_pack(GBytes *text);

/**
 * text_unpack() - decompress a text
 * @packed: zlib stream from another instance
 * @packed_bytes: length of @packed
 * @text_bytes: length of the text as stated by the other instance
 * @error: set to PEER_ERROR_MALFORMED on failure
 *
 * Return: owned text of exactly @text_bytes, or NULL.
 */
GBytes *text_unpack(const char *packed, uint32_t packed_bytes,
		    uint32_t text_bytes, GError **error);

#endif
