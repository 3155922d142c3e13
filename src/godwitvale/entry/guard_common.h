/* What the guards of prompt segments and of whole requests share. */
#ifndef GODWITVALE_ENTRY_GUARD_COMMON_H
#define GODWITVALE_ENTRY_GUARD_COMMON_H

#include "godwitvale/entry/entry_request_defs.h"

/// Checks whether a quarantine covers a request.
typedef bool (*guard_covers)(void *owner, const struct entry_request *request);

/// Outcomes of requests that a quarantine of segments, or of the whole request,
/// covers.
#define GUARD_SEGMENTS_OUTCOME "quarantined"
#define GUARD_REQUEST_OUTCOME "request-quarantined"

bool guard_has_turn(
    const struct entry *entry, uint64_t rule, usec_t trial_at, usec_t now);
void guard_end_covered(
    struct entry *entry, guard_covers covers, void *owner, const char *outcome);

#endif
