#ifndef DUTY_CONFIG_SOURCE_HTTP_H
#define DUTY_CONFIG_SOURCE_HTTP_H

/**
 * DOC: source for a configuration service with an index of documents
 *
 * Each function has the contract of the function of duty/config_source.h that
 * has the same suffix.
 */

#include "duty/config_source.h"

struct documents_source;

struct documents_source *documents_source_new(const struct settings *settings,
					      GError **error);
void documents_source_free(struct documents_source *source);
bool documents_source_begin(struct documents_source *source,
			    const struct source_request *request);
bool documents_source_wait(struct documents_source *source,
			   uint64_t deadline_us, struct source_answer *answer);
void documents_source_wake(struct documents_source *source);

#endif
