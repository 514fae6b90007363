#ifndef CORE_DOCUMENT_VERSION_H
#define CORE_DOCUMENT_VERSION_H

/**
 * DOC: versions of the platform's state
 *
 * A store that comes back from an older copy begins a new era, in which it
 * gives out again the revisions that the copy lacks. A version has the era above
 * the revision, so it rises with every change of the state all the same. In era 0
 * it is the revision, of any size.
 */

#include <stdint.h>

/* Largest era that is told apart. */
#define DOC_ERA_MAX UINT64_C(511)

/**
 * doc_version() - version of a state
 * @era: era of the store; above DOC_ERA_MAX it counts as that
 * @revision: revision of the state in that era
 *
 * Return: the version.
 */
uint64_t doc_version(uint64_t era, uint64_t revision);

/**
 * doc_version_era() - era of a version
 * @version: version of a state
 *
 * Return: the era.
 */
uint64_t doc_version_era(uint64_t version);

#endif
