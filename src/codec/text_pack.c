#include "codec/text_pack.h"

#include <zlib.h>

#include "core/document.h"
#include "core/error.h"

GByteArray *text_pack(GBytes *text)
{
	gsize text_bytes;
	const Bytef *from = g_bytes_get_data(text, &text_bytes);
	GByteArray *out;
	uLongf packed_bytes;

	if (text_bytes > ROUTING_BYTES_MAX)
		return NULL;
	packed_bytes = compressBound(text_bytes);
	out = g_byte_array_sized_new((guint)packed_bytes);
	g_byte_array_set_size(out, (guint)packed_bytes);
	if (compress2(out->data, &packed_bytes, from, text_bytes,
		      Z_BEST_SPEED) != Z_OK) {
		g_byte_array_unref(out);
		return NULL;
	}
	g_byte_array_set_size(out, (guint)packed_bytes);
	return out;
}

GBytes *text_unpack(const char *packed, uint32_t packed_bytes,
		    uint32_t text_bytes, GError **error)
{
	uLongf written_bytes = text_bytes;
	Bytef *text;

	if (text_bytes <= ROUTING_BYTES_MAX) {
		text = g_malloc(MAX(text_bytes, 1u));
		if (uncompress(text, &written_bytes, (const Bytef *)packed,
			       packed_bytes) == Z_OK &&
		    written_bytes == text_bytes)
			return g_bytes_new_take(text, text_bytes);
		g_free(text);
	}
	g_set_error_literal(error, PEER_ERROR, PEER_ERROR_MALFORMED,
			    "compressed document is damaged, too long or not "
			    "of the stated length");
	return NULL;
}
