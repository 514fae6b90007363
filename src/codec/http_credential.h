#ifndef CODEC_HTTP_CREDENTIAL_H
#define CODEC_HTTP_CREDENTIAL_H

/**
 * DOC: key of a customer in the Authorization field of a request
 */

#include "codec/http_request.h"

/**
 * http_credential_read() - read the key of a request
 * @head: request head
 * @out: filled; a field that is malformed or given more than once is
 *	CREDENTIAL_INVALID
 */
void http_credential_read(const struct http_request_head *head,
			  struct credential *out);

#endif
