#include "core/document_version.h"

#include <glib.h>

#define ERA_SHIFT 53
#define REVISION_MAX ((UINT64_C(1) << ERA_SHIFT) - 1)

uint64_t doc_version(uint64_t era, uint64_t revision)
{
	if (era == 0)
		return revision;
	return (MIN(era, DOC_ERA_MAX) << ERA_SHIFT) +
	       MIN(revision, REVISION_MAX);
}

uint64_t doc_version_era(uint64_t version)
{
	return version >> ERA_SHIFT;
}
