#ifndef CODEC_TIME_TEXT_H
#define CODEC_TIME_TEXT_H

/**
 * DOC: points in time as text
 */

#include "core/units.h"

/**
 * time_text() - format a point in time in UTC with milliseconds
 * @unix_ms: point in time; its seconds are limited to those of 32 bits, which
 *	end in 2106
 *
 * Return: owned text such as "2026-05-04T10:03:00.250Z".
 */
char *time_text(uint64_t unix_ms);

#endif
