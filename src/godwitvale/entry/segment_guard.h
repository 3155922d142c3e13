/*
 * Protects engines from prompt segments that crash them: collects the evidence
 * that this instance observes, and refuses the requests in quarantine.
 * core/quarantine.c forms the rules.
 */
#ifndef GODWITVALE_ENTRY_SEGMENT_GUARD_H
#define GODWITVALE_ENTRY_SEGMENT_GUARD_H

#include "godwitvale/entry/crash_probe.h"

struct segment_guard *segment_guard_new(struct entry *entry);
void segment_guard_free(struct segment_guard *guard);
struct quarantine *segment_guard_quarantine(struct segment_guard *guard);
bool segment_guard_covers(
    struct segment_guard *guard, const uint64_t *segments, unsigned n_segments);
bool segment_guard_admits(struct entry_request *request);
void segment_guard_note_sent(struct entry_request *request);
void segment_guard_note_answered(struct entry_request *request);
void segment_guard_add_crash(
    struct segment_guard *guard, const struct crash_report *report);
void segment_guard_tick(struct segment_guard *guard, usec_t now);

#endif
