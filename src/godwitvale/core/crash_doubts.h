/*
 * Crashes that an instance can't tell yet from a cut of its own links.
 *
 * Load pattern: when an instance's links are cut, all its connections to
 * upstreams end, as they would if the upstreams crashed, and soon everything
 * works again. A crash counts if any upstream has answered what was sent right
 * after it. Bytes that arrive later prove nothing: they may have been under way
 * before, or the cut may be over.
 *
 * If all upstreams of all services are down at once, no crash counts: that
 * can't be told from a cut. A crash more is the lesser evil, as a caller whose
 * sound request is refused has lost its answer.
 */
#ifndef GODWITVALE_CORE_CRASH_DOUBTS_H
#define GODWITVALE_CORE_CRASH_DOUBTS_H

#include <stdbool.h>

#include "godwitvale/core/time_defs.h"

/// Maximum number of crashes that are kept; further ones don't count.
#define CRASH_DOUBTS_MAX 64

struct crash_doubts;

struct crash_doubts *crash_doubts_new(void);
void crash_doubts_free(struct crash_doubts *doubts);
bool crash_doubts_add(
    struct crash_doubts *doubts, usec_t crashed_at, void *crash);
void crash_doubts_note_answered(struct crash_doubts *doubts, usec_t sent_at);
bool crash_doubts_want_probes(const struct crash_doubts *doubts, usec_t now);
void *crash_doubts_take_confirmed(struct crash_doubts *doubts);
void *crash_doubts_take_expired(struct crash_doubts *doubts, usec_t now);

#endif
