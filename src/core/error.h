#ifndef CORE_ERROR_H
#define CORE_ERROR_H

/**
 * DOC: error domains
 *
 * Modules report failures to each other as a GError of one of these domains.
 * Refused requests are reported as an enum refusal_cause (core/request.h).
 */

#include <glib.h>

/**
 * enum settings_error - why a settings file or service document is rejected
 * @SETTINGS_ERROR_IO: the file cannot be read
 * @SETTINGS_ERROR_SYNTAX: the text is not JSON with comments
 * @SETTINGS_ERROR_DUPLICATE: duplicate key or duplicate value of a unique field
 * @SETTINGS_ERROR_UNKNOWN: unknown field
 * @SETTINGS_ERROR_MISSING: required field is missing
 * @SETTINGS_ERROR_TYPE: value of the wrong type
 * @SETTINGS_ERROR_RANGE: number or length out of range
 * @SETTINGS_ERROR_REFERENCE: reference to something that the document does not
 *	define
 */
enum settings_error {
	SETTINGS_ERROR_IO,
	SETTINGS_ERROR_SYNTAX,
	SETTINGS_ERROR_DUPLICATE,
	SETTINGS_ERROR_UNKNOWN,
	SETTINGS_ERROR_MISSING,
	SETTINGS_ERROR_TYPE,
	SETTINGS_ERROR_RANGE,
	SETTINGS_ERROR_REFERENCE,
};

/**
 * enum platform_error - why a call to the platform failed
 * @PLATFORM_ERROR_UNREACHABLE: no connection, or no answer in time
 * @PLATFORM_ERROR_STATUS: unexpected HTTP status
 * @PLATFORM_ERROR_TOO_LARGE: answer larger than its limit
 * @PLATFORM_ERROR_MALFORMED: answer that cannot be parsed
 */
enum platform_error {
	PLATFORM_ERROR_UNREACHABLE,
	PLATFORM_ERROR_STATUS,
	PLATFORM_ERROR_TOO_LARGE,
	PLATFORM_ERROR_MALFORMED,
};

/**
 * enum peer_error - why an exchange with a peer failed
 * @PEER_ERROR_UNREACHABLE: no connection, or no answer in time
 * @PEER_ERROR_MALFORMED: message with a field out of range
 * @PEER_ERROR_ABSENT: the peer does not have the requested document
 */
enum peer_error {
	PEER_ERROR_UNREACHABLE,
	PEER_ERROR_MALFORMED,
	PEER_ERROR_ABSENT,
};

/**
 * enum duty_error - why a duty could not be started
 * @DUTY_ERROR_LISTEN: cannot listen on an address
 * @DUTY_ERROR_THREAD: cannot create a thread
 * @DUTY_ERROR_LIBRARY: a library could not be initialized
 */
enum duty_error {
	DUTY_ERROR_LISTEN,
	DUTY_ERROR_THREAD,
	DUTY_ERROR_LIBRARY,
};

#define SETTINGS_ERROR (settings_error_quark())
#define PLATFORM_ERROR (platform_error_quark())
#define PEER_ERROR (peer_error_quark())
#define DUTY_ERROR (duty_error_quark())

/* Quarks of the error domains, used by the macros above. */
GQuark settings_error_quark(void);
GQuark platform_error_quark(void);
GQuark peer_error_quark(void);
GQuark duty_error_quark(void);

#endif
