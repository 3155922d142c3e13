/*
 * Estimates how long a caller has already waited for earlier attempts of the
 * same request. A caller names how long it will wait. One that was refused
 * before names what is left of its time, so the difference from what callers of
 * its organisation and route usually name is the time already spent. A caller
 * that names a shorter time for another reason is taken for one that comes
 * back.
 *
 * Load pattern: refused callers come back while the burst lasts. They have
 * missed the target already, and must not take the room of those that can still
 * meet it.
 */
#ifndef GODWITVALE_CORE_EARLIER_WAIT_H
#define GODWITVALE_CORE_EARLIER_WAIT_H

#include <stdint.h>

#include "godwitvale/core/time_defs.h"

struct earlier_waits;

struct earlier_waits *earlier_waits_new(void);
void earlier_waits_free(struct earlier_waits *waits);
usec_t earlier_waits_note(struct earlier_waits *waits, uint64_t route,
    uint64_t organisation, usec_t timeout);

#endif
