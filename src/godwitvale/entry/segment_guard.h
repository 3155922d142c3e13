/*
 * Protects engines from prompt segments that crash them: collects the evidence
 * that this instance observes, and refuses the requests in quarantine.
 * core/quarantine.c forms the rules.
 */
#ifndef GODWITVALE_ENTRY_SEGMENT_GUARD_H
#define GODWITVALE_ENTRY_SEGMENT_GUARD_H

#include "godwitvale/entry/entry_request_defs.h"

struct segment_guard *segment_guard_new(struct entry *entry);
void segment_guard_free(struct segment_guard *guard);
struct quarantine *segment_guard_quarantine(struct segment_guard *guard);
bool segment_guard_admits(struct entry_request *request);
void segment_guard_note_sent(struct entry_request *request);
void segment_guard_note_answered(struct entry_request *request);
void segment_guard_note_cut(struct entry_request *request);
void segment_guard_tick(struct segment_guard *guard, usec_t now);

#endif
