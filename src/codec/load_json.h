#ifndef CODEC_LOAD_JSON_H
#define CODEC_LOAD_JSON_H

/**
 * DOC: load reports of backend servers
 */

#include "core/error.h"
#include "core/units.h"

#define LOAD_BYTES_MAX 4096

/**
 * struct load_report - load that a backend server reports
 * @busy_slots: number of requests that it is processing
 * @draining: true when it does not want new requests
 * @cold: true when it has just started and is still slow
 */
struct load_report {
	uint32_t busy_slots;
	bool draining;
	bool cold;
};

/**
 * load_report_parse() - parse a load report
 * @text: JSON text, need not be NUL-terminated
 * @text_bytes: length of @text
 * @out: report, valid on success only
 * @error: set to a SETTINGS_ERROR on failure
 *
 * Unknown fields are ignored, as backend servers may report more than is used
 * here.
 *
 * Return: true when the report is valid.
 */
bool load_report_parse(const char *text, size_t text_bytes,
		       struct load_report *out, GError **error);

#endif
