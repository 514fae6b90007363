#ifndef CODEC_TEXT_PACK_H
#define CODEC_TEXT_PACK_H

/**
 * DOC: documents compressed for the way between instances
 */

#include <glib.h>
#include <stdint.h>

/**
 * text_pack() - compress a text
 * @text: the text
 *
 * Return: owned zlib stream; NULL when the text is too long.
 */
GByteArray *text_pack(GBytes *text);

/**
 * text_unpack() - undo text_pack()
 * @packed: zlib stream from another instance
 * @packed_bytes: its length
 * @text_bytes: what the text's length is said to be
 * @error: gets PEER_ERROR_MALFORMED
 *
 * Return: owned text of exactly @text_bytes, or NULL.
 */
GBytes *text_unpack(const char *packed, uint32_t packed_bytes,
		    uint32_t text_bytes, GError **error);

#endif
