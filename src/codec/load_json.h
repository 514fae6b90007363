#ifndef CODEC_LOAD_JSON_H
#define CODEC_LOAD_JSON_H

/**
 * DOC: load reports of backend servers
 */

#include "core/error.h"
#include "core/units.h"

#define LOAD_BYTES_MAX 4096

/**
 * struct load_report - what a backend server says of its load
 * @busy_slots: requests it works on
 * @draining: it takes no new work
 * @cold: it has started lately
 */
struct load_report {
	uint32_t busy_slots;
	bool draining;
	bool cold;
};

/**
 * load_report_parse() - read a load report
 * @text: the report, need not be NUL-terminated
 * @text_bytes: its length
 * @out: filled on success
 * @error: SETTINGS_ERROR on failure
 *
 * Fields that mean nothing here are passed over, for the report is not ours.
 *
 * Return: whether it can be read.
 */
bool load_report_parse(const char *text, size_t text_bytes,
		       struct load_report *out, GError **error);

#endif
