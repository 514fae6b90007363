#ifndef CODEC_TIME_TEXT_H
#define CODEC_TIME_TEXT_H

/**
 * DOC: points in time as text
 */

#include "core/units.h"

/**
 * time_text() - write a point in time in UTC with milliseconds
 * @unix_ms: the point; what lies after 2106 is cut to it
 *
 * Return: owned text such as "2026-05-04T10:03:00.250Z".
 */
char *time_text(uint64_t unix_ms);

#endif
