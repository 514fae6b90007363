#ifndef CLI_FETCH_H
#define CLI_FETCH_H

/**
 * DOC: one GET of an instance, with a deadline
 */

#include <glib.h>

#include "core/ids.h"

/**
 * enum fetch_error - an instance did not answer usefully
 * @FETCH_ERROR_UNREACHABLE: no connection, or it went silent
 * @FETCH_ERROR_STATUS: an HTTP status other than 200
 * @FETCH_ERROR_TOO_LARGE: an answer above its bound
 * @FETCH_ERROR_LIBRARY: the library refused to start
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
 * fetch() - get a path of an instance
 * @addr: the instance's operators' or callers' address
 * @target: path and query
 * @limit_ms: time for the whole answer
 * @error: FETCH_ERROR on failure
 *
 * Return: the owned body of an answer with status 200, or NULL.
 */
GString *fetch(struct net_addr addr, const char *target, uint32_t limit_ms,
	       GError **error);

#endif
