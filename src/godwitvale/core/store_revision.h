/*
 * Revisions of the store, across restores of the store from a copy.
 *
 * After a restore the store gives out numbers again that it has used before.
 * Its era rises by one then. A revision holds both, the era in its high bits,
 * so that revisions of a later era are greater than all earlier ones. A store
 * that names no era is in era 0.
 */
#ifndef GODWITVALE_CORE_STORE_REVISION_H
#define GODWITVALE_CORE_STORE_REVISION_H

#include <stdint.h>

/// Number of low bits that hold the store's own number.
#define STORE_REVISION_NUMBER_BITS 44
#define STORE_REVISION_NUMBER_MASK \
	((UINT64_C(1) << STORE_REVISION_NUMBER_BITS) - 1)

/// @return the revision with a number in an era
static inline uint64_t
store_revision_make(uint64_t era, uint64_t number)
{
	return era << STORE_REVISION_NUMBER_BITS |
	    (number & STORE_REVISION_NUMBER_MASK);
}

/// @return the era of a revision
static inline uint64_t
store_revision_era(uint64_t revision)
{
	return revision >> STORE_REVISION_NUMBER_BITS;
}

/// @return the store's own number of a revision
static inline uint64_t
store_revision_number(uint64_t revision)
{
	return revision & STORE_REVISION_NUMBER_MASK;
}

#endif
