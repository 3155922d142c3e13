/*
 * Finds the crashes of a request's upstreams that something else explains,
 * from the evidence on prompt segments that all instances have reported.
 *
 * A segment that isn't the request's own explains the crashes at which requests
 * with that segment were, if there are at least two of these and the segment
 * wasn't answered since. One crash isn't enough: whatever all requests share is
 * present at each crash, but is answered before the next one.
 */
#ifndef GODWITVALE_CORE_CRASH_CAUSES_H
#define GODWITVALE_CORE_CRASH_CAUSES_H

#include <stdbool.h>

#include "godwitvale/core/crash_suspects.h"
#include "godwitvale/core/quarantine.h"

/// Crashes of one upstream that are closer to each other than this are the
/// same one, as seen by several instances. An upstream that has crashed is back
/// after seconds.
#define CRASH_SAME_SPAN (1500 * USEC_PER_MSEC)
/// Times that other instances report are late by the transit of their messages.
#define CRASH_TRANSIT (5 * USEC_PER_MSEC)

bool crash_causes_was_down(const struct crash_exposure *exposure,
    uint64_t upstream, usec_t crashed_at);
bool crash_causes_is_failure_beside(const struct crash_suspect *suspect,
    const struct crash_exposure *elsewhere);
void crash_causes_find(
    const struct quarantine *evidence, struct crash_suspect *suspect);

#endif
