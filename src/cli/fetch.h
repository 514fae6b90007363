#ifndef CLI_FETCH_H
#define CLI_FETCH_H

/**
 * DOC: HTTP GET from an instance, with a time limit
 */

#include <glib.h>

#include "core/ids.h"

/**
 * enum fetch_error - why a GET failed
 * @FETCH_ERROR_UNREACHABLE: no connection, or no complete answer in time
 * @FETCH_ERROR_STATUS: HTTP status other than 200
 * @FETCH_ERROR_TOO_LARGE: answer larger than FETCH_MAX_BYTES
 * @FETCH_ERROR_LIBRARY: the HTTP library could not be initialized
 */
enum fetch_error {
	FETCH_ERROR_UNREACHABLE,
	FETCH_ERROR_STATUS,
	FETCH_ERROR_TOO_LARGE,
	FETCH_ERROR_LIBRARY,
};

#define FETCH_ERROR (fetch_error_quark())
#define FETCH_MAX_BYTES UINT32_C(67108864)

GQuark fetch_error_quark(void);

/**
 * fetch() - send a GET to an instance and wait for the answer
 * @addr: operators' or callers' address of the instance
 * @target: path and query
 * @timeout_ms: time limit from connecting to the end of the answer
 * @error: FETCH_ERROR on failure
 *
 * Return: the owned body of an answer with status 200, or NULL.
 */
GString *fetch(struct net_addr addr, const char *target, uint32_t timeout_ms,
	       GError **error);

#endif
