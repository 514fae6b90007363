#ifndef CODEC_AUDIT_LINE_H
#define CODEC_AUDIT_LINE_H

/**
 * DOC: audit records as lines for people
 */

#include <json-c/json.h>

/**
 * audit_line_text() - write an audit record's JSON as one line
 * @record: object as audit_record_to_json() writes it
 *
 * Return: owned text "TIME #SEQUENCE KIND [SERVICE] [SUBJECT] cause=CAUSE
 * FIGURE=VALUE..." without the line end.
 */
char *audit_line_text(struct json_object *record);

#endif
