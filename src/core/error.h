#ifndef CORE_ERROR_H
#define CORE_ERROR_H

/**
 * DOC: error domains
 *
 * Every failure that crosses a module is a GError of one of these domains; a
 * refusal of a request is an enum refusal_cause (core/request.h).
 */

#include <glib.h>

/**
 * enum settings_error - a settings file or service document is not accepted
 * @SETTINGS_ERROR_IO: the file cannot be read
 * @SETTINGS_ERROR_SYNTAX: not JSON with comments
 * @SETTINGS_ERROR_DUPLICATE: a key or a unique value stands twice
 * @SETTINGS_ERROR_UNKNOWN: a field that has no meaning
 * @SETTINGS_ERROR_MISSING: a field that must be there
 * @SETTINGS_ERROR_TYPE: a value of the wrong kind
 * @SETTINGS_ERROR_RANGE: a number or a length out of bounds
 * @SETTINGS_ERROR_REFERENCE: names something that the document lacks
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
 * enum platform_error - the platform's service did not answer usefully
 * @PLATFORM_ERROR_UNREACHABLE: no connection, or it went silent
 * @PLATFORM_ERROR_STATUS: an unexpected HTTP status
 * @PLATFORM_ERROR_TOO_LARGE: an answer above its bound
 * @PLATFORM_ERROR_MALFORMED: an answer that cannot be read
 */
enum platform_error {
	PLATFORM_ERROR_UNREACHABLE,
	PLATFORM_ERROR_STATUS,
	PLATFORM_ERROR_TOO_LARGE,
	PLATFORM_ERROR_MALFORMED,
};

/**
 * enum peer_error - a message between instances failed
 * @PEER_ERROR_UNREACHABLE: no connection, or it went silent
 * @PEER_ERROR_MALFORMED: a field out of bounds
 * @PEER_ERROR_ABSENT: the peer does not hold what was asked for
 */
enum peer_error {
	PEER_ERROR_UNREACHABLE,
	PEER_ERROR_MALFORMED,
	PEER_ERROR_ABSENT,
};

/**
 * enum duty_error - a duty could not start
 * @DUTY_ERROR_LISTEN: an address cannot be listened on
 * @DUTY_ERROR_THREAD: a thread cannot be made
 * @DUTY_ERROR_LIBRARY: a library refused to start
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

GQuark settings_error_quark(void);
GQuark platform_error_quark(void);
GQuark peer_error_quark(void);
GQuark duty_error_quark(void);

#endif
