#ifndef CODEC_AUDIT_LINE_H
#define CODEC_AUDIT_LINE_H

/**
 * DOC: audit records as lines of text
 */

#include <json-c/json.h>

/**
 * audit_line_text() - format an audit record as one line
 * @record: audit record in the form of audit_record_to_json(); not changed
 *
 * Return: owned text "TIME #SEQUENCE KIND [SERVICE] [SUBJECT] cause=CAUSE
 * KEY=VALUE..." without a newline.
 */
char *audit_line_text(struct json_object *record);

#endif
